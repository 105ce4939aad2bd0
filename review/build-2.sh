#!/bin/sh
# Builds the stand-ins of the second review's cases into review/bin. Needs Go and no network.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/bed ./bed
