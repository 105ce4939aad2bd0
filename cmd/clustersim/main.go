// Command clustersim simulates deployments with faults and reports violated invariants. The state service, the
// cloud, the workers and the users are stand-ins. docs/clustersim.md describes its use.
package main

import (
	"encoding/json"
	"os"

	"github.com/glentiller/glentiller/internal/cli"
)

// commands holds the subcommands. Kong derives the names of subcommands and flags from the names of the fields. The
// aliases are the names that the subcommands had in earlier versions.
type commands struct {
	Capacity capacityCmd `cmd:"" help:"Fit lines to results of the scale subcommand and print the table of docs/CAPACITY.md."`
	Scale    scaleCmd    `cmd:"" help:"Run real controllers with thousands of hollow workers and measure the controllers' load."`

	OverlappingFaults overlappingFaultsCmd `cmd:"" aliases:"meetings" help:"Simulate two or three overlapping faults, with cancellations and with tasks that run longer than the faults."`
	Faults            faultsCmd            `cmd:"" aliases:"troubles" help:"Simulate unresponsive machines, duplicate messages, partitioned members and quick restarts."`

	Election electionCmd `cmd:"" help:"Explore the election under every possible sequence of a few faults."`
	Ledger   ledgerCmd   `cmd:"" help:"Simulate days of operation and compare the ledger with an independent audit."`
}

func main() {
	cli.Main("clustersim", "Simulates glentiller deployments with faults.", &commands{})
}

// printResult prints the result as one line of JSON. It returns failure unless good is true.
func printResult(result any, good bool, failure error) error {
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if !good {
		return failure
	}
	return nil
}
