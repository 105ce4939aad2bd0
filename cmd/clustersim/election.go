package main

import (
	"errors"

	"github.com/glentiller/glentiller/internal/clustersim/electionsim"
)

var errSplitBrain = errors.New("two members may act at once, or one with an outdated fencing token")

type electionCmd struct {
	Members int    `default:"3" help:"Members, from 2 to 5."`
	Seconds int    `default:"10" help:"Seconds from the moment on at which one leads."`
	Faults  int    `default:"2" help:"Faults in one sequence, at the most."`
	Most    int    `default:"5000000" help:"States that may be explored."`
	Break   string `default:"" enum:",cut-short,forgotten,late,lives,readable,beside" help:"A part of the protocol to leave out: cut-short, forgotten or late; with --blink lives; with --levels readable or beside."`
	Levels  bool   `help:"Members change their programs, and a feature level is raised."`
	Blink   bool   `help:"Members restart at once at any step of an election."`
}

// Run explores and prints what was found.
func (c *electionCmd) Run() error {
	result, err := electionsim.Run(electionsim.Settings{
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
	if err := printJSON(result); err != nil {
		return err
	}
	if result.Violation != "" {
		return errSplitBrain
	}
	return nil
}
