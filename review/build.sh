#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/stand ./stand
