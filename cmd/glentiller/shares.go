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

// Run requests the fair-share ranking of the teams and prints it.
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
	effect := "Beyond the guarantees, teams in lower bands go first."
	if !shares.Enabled {
		effect = "Fair share is disabled and does not affect the order of jobs."
	}
	halfLife := time.Duration(shares.HalfLife * float64(time.Second))
	fmt.Printf("\nDecayed usage in weighted CPU-hours, half-life %v. %s\n", halfLife, effect)
	return nil
}

// sharesTable returns the ranking as a table, with rounded numbers for people and exact ones for programs.
func sharesTable(teams []admin.FairShare) table {
	t := table{header: []string{"place", "team", "weight", "decayed", "part", "factor", "band"}}
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
