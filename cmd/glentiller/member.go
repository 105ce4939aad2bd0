package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
)

type memberCmd struct {
	remote
	JSON bool `help:"Write JSON."`
}

// Run asks and writes.
func (c *memberCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	m, err := client.Member()
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(m)
	}
	fmt.Printf("%s: %s, leader %q, token %d\n", m.Member, m.State, m.Leader, m.Token)
	if m.Right > 0 {
		rests := "the lease at the state service"
		if m.Lease <= 0 {
			rests = "the promises of all other members"
		}
		fmt.Printf("right to act for %.1f s, by %s\n", m.Right, rests)
	}
	if m.Each == 0 {
		fmt.Println("promises are off")
	}
	for _, o := range slices.Sorted(maps.Keys(m.Promises)) {
		fmt.Printf("promised by %s for %.1f s\n", o, m.Promises[o])
	}
	if m.Bound > 0 {
		fmt.Printf("claims nothing for %.1f s, for what it has promised\n", m.Bound)
	}
	if m.StateDown > 0 {
		fmt.Printf("the state service has not answered it for %.1f s\n", m.StateDown)
	}
	return nil
}
