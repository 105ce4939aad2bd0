package main

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/clustersim/capacity"
)

type capacityCmd struct {
	Runs string `default:"docs/capacity" placeholder:"DIR" help:"Directory with results of the scale subcommand in files runs*.jsonl (default docs/capacity)."`
}

// Run reads the results and prints the table of docs/CAPACITY.md.
func (c *capacityCmd) Run() error {
	runs, err := capacity.Read(c.Runs)
	if err != nil {
		return err
	}
	table, err := capacity.Table(runs)
	if err != nil {
		return err
	}
	_, err = fmt.Print(table)
	return err
}
