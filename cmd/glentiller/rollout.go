package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/glentiller/glentiller/internal/cli"
	"github.com/glentiller/glentiller/internal/featuregate"
)

type rolloutCmd struct {
	Status rolloutStatusCmd `cmd:"" help:"Which level is in force, what each member knows, and what holds the next one."`
}

type rolloutStatusCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// errNoRollout is returned by a controller that does not watch a rollout.
var errNoRollout = errors.New("nothing is known of a rollout yet: " +
	"the state service has not answered, or <rollout> is not in the operators' settings")

// Run prints which feature level is in force and what the members support.
func (c *rolloutStatusCmd) Run() error {
	status, err := c.memberStatus()
	if err != nil {
		return err
	}
	rollout := status.Rollout
	if rollout == nil {
		return errNoRollout
	}
	if c.JSON {
		return cli.WriteJSON(os.Stdout, rollout)
	}
	fmt.Printf("level %d is in force, %s knows %d; %s: %s\n",
		rollout.Level, status.Member, rollout.Supported, rollout.State, rollout.Reason)
	if rollout.Paused {
		fmt.Println("this member is held: it raises nothing")
	}
	for _, feature := range rollout.Features {
		state := "not in force"
		if feature.InForce {
			state = "in force"
		}
		fmt.Printf("  %-12s level %d, %s\n", feature.Name, feature.Level, state)
	}
	slices.SortFunc(rollout.Members, func(a, b featuregate.Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, member := range rollout.Members {
		fmt.Printf("  %-12s release %s, knows level %d\n", member.Name, member.Release, member.Supported)
	}
	return nil
}
