package main

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/clustersim/capacity"
)

type capacityCmd struct {
	Runs string `default:"docs/capacity" placeholder:"DIR" help:"Folder with results of scale in files runs*.jsonl (docs/capacity)."`
}

// Run prints the table of docs/CAPACITY.md.
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
