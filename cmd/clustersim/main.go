// Command rehearse is glentiller's rehearsal kit: it plays deployments on stand-ins,
// with failures, and says what does not hold. docs/rehearse.md tells how to use it.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/glentiller/glentiller/internal/clustersim/electionsim"
	"github.com/glentiller/glentiller/internal/clustersim/faults"
	"github.com/glentiller/glentiller/internal/clustersim/ledgersim"
)

type ledgerCmd struct {
	Days int    `default:"7" help:"Days to play."`
	Seed uint64 `default:"1" help:"One seed plays one week."`
	JSON bool   `help:"Only the result, as one JSON object."`
}

// errLedgerDiffers is returned where the ledger is not what it has to be.
var errLedgerDiffers = errors.New("the ledger differs from what the stand-ins saw, or something else is broken")

// Run plays and compares.
func (c *ledgerCmd) Run() error {
	if c.Days < 1 || c.Days > 366 {
		return errors.New("--days: from 1 to 366")
	}
	r := ledgersim.Run(c.Days, c.Seed, func(day int) {
		if !c.JSON {
			fmt.Fprintf(os.Stderr, "day %d of %d\n", day, c.Days)
		}
	})
	out := json.NewEncoder(os.Stdout)
	if !c.JSON {
		for _, t := range r.Teams {
			fmt.Printf("%-14s ledger %15d CPU-us %14d GPU-us; stand-ins %15d %14d\n", t.Team, t.LedgerCPU, t.LedgerGPU, t.RuntimeCPU, t.RuntimeGPU)
		}
	}
	if err := out.Encode(r); err != nil {
		return err
	}
	if !r.Good() {
		return errLedgerDiffers
	}
	return nil
}

type electionCmd struct {
	Members int    `default:"3" help:"Members, from 2 to 5."`
	Seconds int    `default:"10" help:"Seconds from the moment on at which one leads."`
	Faults  int    `default:"2" help:"Faults in one course, at the most."`
	Most    int    `default:"5000000" help:"States that may be looked at."`
	Break   string `default:"" enum:",cut-short,forgotten,late,lives,readable,beside" help:"A part of the protocol to leave out: cut-short, forgotten or late; with blinks lives; with levels readable or beside."`
	Levels  bool   `help:"Members change their programs, and a level is raised."`
	Blink   bool   `help:"Members end at any step of an election and are back at once."`
}

var errSplitBrain = errors.New("more than one may act, or one with a token of old")

// Run plays every course and tells what was found.
func (c *electionCmd) Run() error {
	r, err := electionsim.Run(electionsim.Settings{Members: c.Members, Seconds: c.Seconds, MaxFaults: c.Faults, MaxStates: c.Most, Mutation: electionsim.Mutation(c.Break), FeatureGates: c.Levels, InstantRestarts: c.Blink})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if r.Violation != "" {
		return errSplitBrain
	}
	return nil
}

type faultsCmd struct {
	Machines int    `default:"100" help:"Machines at the start, from 10 to 2000."`
	Runs     int    `default:"20" help:"Runs, each with a seed of its own."`
	Seed     uint64 `default:"1" help:"Of the first run."`
	AtOnce   int    `default:"4" help:"Runs that are played at once."`
	JSON     bool   `help:"Only the result, as one JSON object."`
}

var errInvariantBroken = errors.New("a rule was broken, or a job forgotten")

// Run plays and tells what was found.
func (c *faultsCmd) Run() error {
	return c.runAndPrint("runs", func() *faults.Result { return faults.Run(c.Machines, c.Runs, c.Seed, c.AtOnce) })
}

func (c *faultsCmd) runAndPrint(what string, play func() *faults.Result) error {
	if c.Machines < 10 || c.Machines > 2000 || c.Runs < 1 || c.AtOnce < 1 {
		return errors.New("--machines: from 10 to 2000; --runs, --at-once: from 1 on")
	}
	r := play()
	if !c.JSON {
		fmt.Printf("%d %s with %d machines: %d rules broken, %d jobs forgotten, %d tasks killed by their lease\n", r.Runs, what, c.Machines, r.Violations, r.ForgottenJobs, r.KilledTasks)
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if !r.Good() {
		return errInvariantBroken
	}
	return nil
}

type overlappingFaultsCmd struct {
	faultsCmd
	Break string `default:"" enum:",knows,tokens,leases,synced" help:"A part to leave out; docs/rehearse.md."`
}

// Run plays and tells what was found.
func (c *overlappingFaultsCmd) Run() error {
	return c.runAndPrint("runs", func() *faults.Result {
		return faults.RunOverlapping(c.Machines, c.Runs, c.Seed, c.AtOnce, faults.Mutation(c.Break))
	})
}

func main() {
	var cli struct {
		Capacity capacityCmd          `cmd:"" help:"Fit what runs of scale have measured, and print the table of docs/CAPACITY.md."`
		Scale    scaleCmd             `cmd:"" help:"Play real controllers with thousands of hollow workers, and measure what they take."`
		Meetings overlappingFaultsCmd `cmd:"" help:"Play two or three troubles at a time that meet, with cancellations and tasks that outlast them."`
		Troubles faultsCmd            `cmd:"" help:"Play machines that do not hear, late copies, members cut off and lives a blink apart."`
		Election electionCmd          `cmd:"" help:"Play the election through every course that some faults can take."`
		Ledger   ledgerCmd            `cmd:"" help:"Play a week and compare the ledger with what the stand-ins saw."`
	}
	ctx := kong.Parse(&cli, kong.Name("rehearse"), kong.Description("glentiller's rehearsal kit."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(1)
	}
}
