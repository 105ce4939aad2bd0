package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/glentiller/glentiller/internal/featuregate"
)

type rolloutCmd struct {
	Status rolloutStatusCmd `cmd:"" help:"Which level is in force, what each member knows, and what holds the next one."`
}

type rolloutStatusCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// Run asks and writes.
func (c *rolloutStatusCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	m, err := client.MemberStatus()
	if err != nil {
		return err
	}
	r := m.Rollout
	if r == nil {
		return errors.New("nothing is known of a rollout yet: the state service has not answered, or <rollout> is not in the operators' settings")
	}
	if c.JSON {
		return writeJSON(r)
	}
	fmt.Printf("level %d is in force, %s knows %d; %s: %s\n", r.Level, m.Member, r.Supported, r.State, r.Reason)
	if r.Held {
		fmt.Println("this member is held: it raises nothing")
	}
	for _, f := range r.Features {
		state := "not in force"
		if f.InForce {
			state = "in force"
		}
		fmt.Printf("  %-12s level %d, %s\n", f.Name, f.Level, state)
	}
	slices.SortFunc(r.Members, func(a, b featuregate.Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range r.Members {
		fmt.Printf("  %-12s release %s, knows level %d\n", o.Name, o.Release, o.Supported)
	}
	return nil
}
