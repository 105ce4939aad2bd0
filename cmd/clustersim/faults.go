package main

import (
	"errors"
	"fmt"

	"github.com/glentiller/glentiller/internal/clustersim/faults"
)

// Bounds of --machines.
const (
	minMachines = 10
	maxMachines = 2000
)

var (
	errInvalidRuns = fmt.Errorf(
		"--machines must be between %d and %d, and --runs and --at-once at least 1", minMachines, maxMachines)
	errInvariant = errors.New("an invariant was violated, or polls of a job stayed unanswered")
)

// faultFlags holds the flags that the simulations with random faults share.
type faultFlags struct {
	Machines int    `default:"100" help:"Number of machines at the start of a run, from 10 to 2000."`
	Runs     int    `default:"20" help:"Number of runs, each with a seed of its own."`
	Seed     uint64 `default:"1" help:"Seed of the first run; each further run uses the next number."`
	AtOnce   int    `default:"4" help:"Number of runs that are simulated concurrently."`
	JSON     bool   `help:"Print only the result, as one JSON object."`
}

// runAndPrint checks the flags, calls run and prints its result. It returns an error if a flag is out of range or
// the result shows a violated invariant.
func (f *faultFlags) runAndPrint(run func() *faults.Result) error {
	if f.Machines < minMachines || f.Machines > maxMachines || f.Runs < 1 || f.AtOnce < 1 {
		return errInvalidRuns
	}
	r := run()
	if !f.JSON {
		fmt.Printf("%d runs with %d machines: ", r.Runs, f.Machines)
		fmt.Printf("%d invariant violations, %d jobs with unanswered polls, ", r.Violations, r.ForgottenJobs)
		fmt.Printf("%d tasks killed on expiry of a worker lease\n", r.KilledTasks)
	}
	return printResult(r, r.Good(), errInvariant)
}

type faultsCmd struct{ faultFlags }

// Run simulates the runs and prints the result.
func (c *faultsCmd) Run() error {
	return c.runAndPrint(func() *faults.Result { return faults.Run(c.Machines, c.Runs, c.Seed, c.AtOnce) })
}

type overlappingFaultsCmd struct {
	faultFlags
	Break string `default:"" enum:",knows,tokens,leases,synced" help:"Safety mechanism to disable, to show that runs detect it; see docs/clustersim.md."`
}

// Run simulates the runs and prints the result.
func (c *overlappingFaultsCmd) Run() error {
	return c.runAndPrint(func() *faults.Result {
		return faults.RunOverlapping(c.Machines, c.Runs, c.Seed, c.AtOnce, faults.Mutation(c.Break))
	})
}
