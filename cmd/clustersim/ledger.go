package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/glentiller/glentiller/internal/clustersim/ledgersim"
)

// maxDays is how many days can be simulated.
const maxDays = 366

var (
	errDays          = errors.New("--days: from 1 to 366")
	errLedgerDiffers = errors.New("the ledger differs from what the stand-ins saw, or an invariant is broken")
)

type ledgerCmd struct {
	Days int    `default:"7" help:"Days to simulate."`
	Seed uint64 `default:"1" help:"Of what is drawn; one seed draws one plan."`
	JSON bool   `help:"Only the result, as one JSON object."`
}

// Run simulates and compares.
func (c *ledgerCmd) Run() error {
	if c.Days < 1 || c.Days > maxDays {
		return errDays
	}
	result := ledgersim.Run(c.Days, c.Seed, func(day int) {
		if !c.JSON {
			fmt.Fprintf(os.Stderr, "day %d of %d\n", day, c.Days)
		}
	})
	if !c.JSON {
		for i := range result.Teams {
			t := &result.Teams[i]
			fmt.Printf("%-14s ledger %15d CPU-us %14d GPU-us; stand-ins %15d %14d\n",
				t.Team, t.LedgerCPU, t.LedgerGPU, t.RuntimeCPU, t.RuntimeGPU)
		}
	}
	if err := printJSON(result); err != nil {
		return err
	}
	if !result.Good() {
		return errLedgerDiffers
	}
	return nil
}
