package main

import (
	"errors"

	"github.com/glentiller/glentiller/internal/clustersim/electionsim"
)

var errSplitBrain = errors.New("more than one member may act, or one with an outdated fencing token")

type electionCmd struct {
	Members int    `default:"3" help:"Members, from 2 to 5."`
	Seconds int    `default:"10" help:"Seconds to explore, from when a member leads."`
	Faults  int    `default:"2" help:"Faults in one course at most."`
	Most    int    `default:"5000000" help:"States to explore at most."`
	Break   string `default:"" enum:",cut-short,forgotten,late,lives,readable,beside" help:"A part of the protocol to leave out: cut-short, forgotten or late; with --blink lives; with --levels readable or beside."`
	Levels  bool   `help:"Members change their programs, and the feature level is raised."`
	Blink   bool   `help:"Members crash at any step of an election and restart at once."`
}

// Run explores every course and prints what was found.
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
