package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/glentiller/glentiller/internal/clustersim/ledgersim"
)

// maxDays bounds --days.
const maxDays = 366

var (
	errInvalidDays   = fmt.Errorf("--days must be between 1 and %d", maxDays)
	errLedgerDiffers = errors.New("the ledger differs from the audit, or another invariant was violated")
)

type ledgerCmd struct {
	Days int    `default:"7" help:"Number of days to simulate, from 1 to 366."`
	Seed uint64 `default:"1" help:"Seed of the random submissions and faults."`
	JSON bool   `help:"Print only the result, as one JSON object."`
}

// Run simulates the days and prints how the ledger compares with the audit. It returns an error if they differ.
func (c *ledgerCmd) Run() error {
	if c.Days < 1 || c.Days > maxDays {
		return errInvalidDays
	}
	r := ledgersim.Run(c.Days, c.Seed, func(day int) {
		if !c.JSON {
			fmt.Fprintf(os.Stderr, "day %d of %d\n", day, c.Days)
		}
	})
	if !c.JSON {
		for i := range r.Teams {
			printTeam(&r.Teams[i])
		}
	}
	return printResult(r, r.Good(), errLedgerDiffers)
}

// printTeam prints a team's usage according to the ledger and according to the audit of the stand-in workers.
func printTeam(t *ledgersim.Team) {
	fmt.Printf("%-14s ledger %15d CPU-us %14d GPU-us; ", t.Team, t.LedgerCPU, t.LedgerGPU)
	fmt.Printf("audit %15d CPU-us %14d GPU-us\n", t.AuditedCPU, t.AuditedGPU)
}
