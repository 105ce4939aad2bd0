// Command glentiller is a cluster scheduler's controller, and the commands by which operators query a
// running one. README.md shows how to run it.
package main

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/cli"
)

// version is set when a release is built.
var version = "dev"

// commands are the subcommands; their names and flags are derived from the fields' names unless a tag says
// otherwise.
type commands struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd   `cmd:"" help:"Check the settings."`
	Version versionCmd `cmd:"" help:"Print the version."`

	Ledger ledgerCmd `cmd:"" help:"Who used what, and why who waited."`
	Shares sharesCmd `cmd:"" help:"The teams' standings by fair share."`

	Rollout rolloutCmd `cmd:"" help:"Features that all members must have."`
	Member  memberCmd  `cmd:"" help:"Where a controller stands in the election."`

	Explain     explainCmd     `cmd:"" help:"Why a job's tasks wait, and why the others are where they are."`
	Constraints constraintsCmd `cmd:"" help:"Rules of submissions."`
}

func main() {
	cli.Main("glentiller", "A cluster scheduler's controller.", &commands{})
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println("glentiller", version)
	return err
}
