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
	Status rolloutStatusCmd `cmd:"" help:"Show the feature level in force, the level that each member supports, and what blocks the next level."`
}

type rolloutStatusCmd struct {
	adminFlags
	JSON bool `help:"Print JSON."`
}

// errNoRollout is returned if the controller reports no rollout status.
var errNoRollout = errors.New("the controller has no rollout status: " +
	"the state service has not answered yet, or <rollout> is missing from the operators' settings")

// Run prints the feature level in force, the features and their levels, and the level that each member supports.
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
	fmt.Printf("feature level %d is in force, %s supports level %d; %s: %s\n",
		rollout.Level, status.Member, rollout.Supported, rollout.State, rollout.Reason)
	if rollout.Paused {
		fmt.Println("this member does not raise the level: <hold> is set in its operators' settings")
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
		fmt.Printf("  %-12s release %s, supports level %d\n", member.Name, member.Release, member.Supported)
	}
	return nil
}
