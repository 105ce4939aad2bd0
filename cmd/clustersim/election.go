package main

import (
	"errors"

	"github.com/glentiller/glentiller/internal/clustersim/electionsim"
)

var errSplitBrain = errors.New(
	"the election lets several members lead at once, or one with an outdated fencing token or feature level")

type electionCmd struct {
	Members int    `default:"3" help:"Number of members, from 2 to 5."`
	Seconds int    `default:"10" help:"Simulated seconds to explore, starting when a member leads."`
	Faults  int    `default:"2" help:"Maximum number of faults in one sequence of events."`
	Most    int    `default:"5000000" help:"Maximum number of distinct states; the run fails if there are more."`
	Break   string `default:"" enum:",cut-short,forgotten,late,lives,readable,beside" help:"Part of the protocol to disable, to show that a run detects it: cut-short, forgotten or late; lives with --blink; readable or beside with --levels."`
	Levels  bool   `help:"Also upgrade and downgrade members and raise the feature level."`
	Blink   bool   `help:"Also let members crash at any step of an election and restart at once."`
}

// Run explores every sequence of events that the flags allow, and prints the result. It returns an error if an
// invariant was violated.
func (c *electionCmd) Run() error {
	r, err := electionsim.Run(electionsim.Settings{
		Members:         c.Members,
		Seconds:         c.Seconds,
		MaxFaults:       c.Faults,
		MaxStates:       c.Most,
		Mutation:        electionsim.Mutation(c.Break),
		FeatureGates:    c.Levels,
		InstantRestarts: c.Blink,
	})
	if err != nil {
		return err
	}
	return printResult(r, r.Violation == "", errSplitBrain)
}
