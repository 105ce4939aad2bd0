// Command clustersim simulates and load-tests glentiller's clusters on stand-ins, with failures, and reports which
// invariants do not hold. docs/clustersim.md describes its subcommands and their results.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli are the subcommands. Their flags take their names from the fields, except where a tag says otherwise. The aliases
// are former names.
type cli struct {
	Capacity          capacityCmd          `cmd:"" help:"Fit what runs of scale have measured, and print the table of docs/CAPACITY.md."`
	Scale             scaleCmd             `cmd:"" help:"Run real controllers with thousands of hollow workers, and measure what they take."`
	OverlappingFaults overlappingFaultsCmd `cmd:"" aliases:"meetings" help:"Simulate two or three faults at a time that overlap, with cancellations and tasks that outlast them."`
	Faults            faultsCmd            `cmd:"" aliases:"troubles" help:"Simulate machines that receive nothing, duplicate messages, isolated members, and quick restarts."`
	Election          electionCmd          `cmd:"" help:"Explore the election through every sequence of faults, up to a number."`
	Ledger            ledgerCmd            `cmd:"" help:"Simulate a week and compare the ledger with what the stand-ins saw."`
}

// options are kong's.
func options() []kong.Option {
	return []kong.Option{
		kong.Name("clustersim"),
		kong.Description("Simulates and load-tests glentiller's clusters."),
		kong.UsageOnError(),
	}
}

// printJSON prints a result as one line of JSON.
func printJSON(result any) error { return json.NewEncoder(os.Stdout).Encode(result) }

func main() {
	ctx := kong.Parse(&cli{}, options()...)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "clustersim:", err)
		os.Exit(1)
	}
}
