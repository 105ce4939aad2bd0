// Command clustersim simulates deployments with faults, on stand-ins for the state service, the cloud, workers and
// users, and reports which invariants do not hold. docs/clustersim.md tells how to use it.
package main

import (
	"encoding/json"
	"os"

	"github.com/glentiller/glentiller/internal/cli"
)

// commands are the subcommands; their names and flags are derived from the fields' names. The aliases are the names
// of earlier versions.
type commands struct {
	Capacity capacityCmd `cmd:"" help:"Fit lines to results of scale and print the table of docs/CAPACITY.md."`
	Scale    scaleCmd    `cmd:"" help:"Run real controllers with thousands of hollow workers and measure their load."`

	OverlappingFaults overlappingFaultsCmd `cmd:"" aliases:"meetings" help:"Simulate two or three faults at a time, with cancellations and tasks that outlast them."`
	Faults            faultsCmd            `cmd:"" aliases:"troubles" help:"Simulate unresponsive machines, duplicate messages, partitioned members and quick restarts."`

	Election electionCmd `cmd:"" help:"Explore the election through every course that a few faults can take."`
	Ledger   ledgerCmd   `cmd:"" help:"Simulate a week and compare the ledger with an independent audit."`
}

func main() {
	cli.Main("clustersim", "Simulates deployments of glentiller with faults.", &commands{})
}

// printResult prints a result as one line of JSON, and returns the failure unless the result is good.
func printResult(result any, good bool, failure error) error {
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if !good {
		return failure
	}
	return nil
}
