package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
)

type memberCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// Run asks and writes.
func (c *memberCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	m, err := client.Member()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(m)
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
	fmt.Printf("sockets: %s, %d of %d held, %d at the most\n", m.Sockets.Level, m.Sockets.Used, m.Sockets.Most, m.Sockets.Peak)
	for _, o := range slices.Sorted(maps.Keys(m.Sockets.Owners)) {
		if a := m.Sockets.Owners[o]; a.Used > 0 || a.Turned > 0 {
			fmt.Printf("  %-10s %d of %d, %d turned away\n", o, a.Used, a.Share, a.Turned)
		}
	}
	if m.Load.By != "" {
		fmt.Printf("the loop was held for %.3f s at the most by %s lately; %d messages wait\n", m.Load.Hold, m.Load.By, m.Load.Inbox)
	}
	if r := m.Requests; r != nil {
		fmt.Printf("requests: the way by its own means is %s; %.0f second attempts left\n", r.Here, r.Retries)
		for _, o := range slices.Sorted(maps.Keys(r.Members)) {
			fmt.Printf("  by %s: %s\n", o, r.Members[o])
		}
		for _, k := range slices.Sorted(maps.Keys(r.Limits)) {
			fmt.Printf("  %-7s %d of %d at once", k, r.Inside[k], r.Limits[k])
			if r.Hedge[k] > 0 {
				fmt.Printf(", asked elsewhere too after %d ms", r.Hedge[k])
			}
			fmt.Println()
		}
		n := r.Counts
		fmt.Printf("  %d begun here, %d handed over (%d hedged, %d again), %d taken for others; %d users sent away, %d at the limit, %d without a second attempt\n",
			n.Here, n.Handed, n.Hedged, n.Again, n.ForThem, n.Refused, n.Shed, n.Spent)
	}
	return nil
}

// writeJSON writes an answer for programs.
func writeJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}
