package main

import (
	"fmt"
	"os"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
)

type sharesCmd struct {
	adminFlags
	outputFormat
}

// Run prints the teams' standings by fair share.
func (c *sharesCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	shares, err := client.FairShares()
	if err != nil {
		return err
	}
	if err := c.write(os.Stdout, shares, sharesTable(shares.Teams)); err != nil || c.JSON || c.CSV {
		return err
	}
	orders := "Bands order what goes beyond guarantees: lower ones first."
	if !shares.Enabled {
		orders = "Fair share is off: it orders nothing."
	}
	halfLife := time.Duration(shares.HalfLife * float64(time.Second))
	fmt.Printf("\nDecayed use in CPU-hours by the weights, half-life %v. %s\n", halfLife, orders)
	return nil
}

// sharesTable makes the table of standings: rounded for people, exact for programs.
func sharesTable(teams []admin.FairShare) table {
	t := table{head: []string{"place", "team", "weight", "decayed", "part", "factor", "band"}}
	for _, team := range teams {
		t.rows = append(t.rows, []string{
			fmt.Sprint(team.Rank),
			team.Team,
			fmt.Sprintf("%.3f", team.Weight),
			formatHours(team.DecayedUsage),
			fmt.Sprintf("%.3f", team.UsageFraction),
			fmt.Sprintf("%.3f", team.Factor),
			fmt.Sprint(team.Band),
		})
		t.exact = append(t.exact, []string{
			fmt.Sprint(team.Rank),
			team.Team,
			fmt.Sprint(team.Weight),
			fmt.Sprint(team.DecayedUsage),
			fmt.Sprint(team.UsageFraction),
			fmt.Sprint(team.Factor),
			fmt.Sprint(team.Band),
		})
	}
	return t
}
