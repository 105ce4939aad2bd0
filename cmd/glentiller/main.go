// Command glentiller is the controller of a cluster scheduler. Its subcommands run a controller, check settings,
// and query a running controller. README.md shows how to run it.
package main

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/cli"
)

// version is the name of the release. Release builds replace it with the linker option -X.
var version = "dev"

// commands holds the subcommands. Kong derives the names of subcommands and flags from the names of the fields
// unless a tag gives another name.
type commands struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings files and exit."`
	Version versionCmd `cmd:"" help:"Print the version and exit."`

	Ledger ledgerCmd `cmd:"" help:"Show resource usage and waiting time, or verify the ledger."`
	Shares sharesCmd `cmd:"" help:"Show the fair-share ranking of the teams."`

	Rollout rolloutCmd `cmd:"" help:"Show feature levels, which require support by all members."`
	Member  memberCmd  `cmd:"" help:"Show the status of a controller: election, connections, load and request routing."`

	Explain     explainCmd     `cmd:"" help:"Explain why tasks of a job are waiting, and why its placed tasks are on their machines."`
	Constraints constraintsCmd `cmd:"" help:"Check the rules of submissions."`
}

func main() {
	cli.Main("glentiller", "Controller of a cluster scheduler.", &commands{})
}

type versionCmd struct{}

// Run prints the program's name and version.
func (versionCmd) Run() error {
	_, err := fmt.Println("glentiller", version)
	return err
}
