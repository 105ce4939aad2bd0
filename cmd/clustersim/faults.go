package main

import (
	"errors"
	"fmt"

	"github.com/glentiller/glentiller/internal/clustersim/faults"
)

// The machines that a simulation may have.
const (
	minMachines = 10
	maxMachines = 2000
)

var (
	errFaultsRange     = errors.New("--machines: from 10 to 2000; --runs, --at-once: from 1 on")
	errInvariantBroken = errors.New("an invariant was broken, or a job forgotten")
)

type faultsCmd struct {
	Machines int    `default:"100" help:"Machines at the start, from 10 to 2000."`
	Runs     int    `default:"20" help:"Runs, each with a seed of its own."`
	Seed     uint64 `default:"1" help:"Of the first run."`
	AtOnce   int    `default:"4" help:"Runs in parallel."`
	JSON     bool   `help:"Only the result, as one JSON object."`
}

// Run simulates and prints what was found.
func (c *faultsCmd) Run() error {
	return c.runAndPrint(func() *faults.Result { return faults.Run(c.Machines, c.Runs, c.Seed, c.AtOnce) })
}

// runAndPrint checks the flags, simulates, and prints what was found.
func (c *faultsCmd) runAndPrint(simulate func() *faults.Result) error {
	if c.Machines < minMachines || c.Machines > maxMachines || c.Runs < 1 || c.AtOnce < 1 {
		return errFaultsRange
	}
	result := simulate()
	if !c.JSON {
		fmt.Printf("%d runs with %d machines: %d invariants broken, %d jobs forgotten, %d tasks killed by their lease\n",
			result.Runs, c.Machines, result.Violations, result.ForgottenJobs, result.KilledTasks)
	}
	if err := printJSON(result); err != nil {
		return err
	}
	if !result.Good() {
		return errInvariantBroken
	}
	return nil
}

type overlappingFaultsCmd struct {
	faultsCmd
	Break string `default:"" enum:",knows,tokens,leases,synced" help:"A part of the protocol to leave out; docs/clustersim.md."`
}

// Run simulates and prints what was found.
func (c *overlappingFaultsCmd) Run() error {
	return c.runAndPrint(func() *faults.Result {
		return faults.RunOverlapping(c.Machines, c.Runs, c.Seed, c.AtOnce, faults.Mutation(c.Break))
	})
}
