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
	m, err := client.MemberStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(m)
	}
	fmt.Printf("%s: %s, leader %q, token %d\n", m.Member, m.State, m.Leader, m.FencingToken)
	if m.LeadershipSeconds > 0 {
		rests := "the lease at the state service"
		if m.StateLeaseSeconds <= 0 {
			rests = "the promises of all other members"
		}
		fmt.Printf("right to act for %.1f s, by %s\n", m.LeadershipSeconds, rests)
	}
	if m.VoteSeconds == 0 {
		fmt.Println("promises are off")
	}
	for _, o := range slices.Sorted(maps.Keys(m.VotesSeconds)) {
		fmt.Printf("promised by %s for %.1f s\n", o, m.VotesSeconds[o])
	}
	if m.BoundSeconds > 0 {
		fmt.Printf("claims nothing for %.1f s, for what it has promised\n", m.BoundSeconds)
	}
	if m.StateUnansweredSeconds > 0 {
		fmt.Printf("the state service has not answered it for %.1f s\n", m.StateUnansweredSeconds)
	}
	fmt.Printf("sockets: %s, %d of %d held, %d at the most\n", m.Connections.Occupancy, m.Connections.Used, m.Connections.Capacity, m.Connections.Peak)
	for _, o := range slices.Sorted(maps.Keys(m.Connections.Classes)) {
		if a := m.Connections.Classes[o]; a.Used > 0 || a.Rejected > 0 {
			fmt.Printf("  %-10s %d of %d, %d turned away\n", o, a.Used, a.Quota, a.Rejected)
		}
	}
	if m.Load.LongestHoldEvent != "" {
		fmt.Printf("the loop was held for %.3f s at the most by %s lately; %d messages wait\n", m.Load.LongestHoldSeconds, m.Load.LongestHoldEvent, m.Load.Inbox)
	}
	if r := m.Requests; r != nil {
		fmt.Printf("requests: the way by its own means is %s; %.0f second attempts left\n", r.Local, r.RetriesLeft)
		for _, o := range slices.Sorted(maps.Keys(r.Members)) {
			fmt.Printf("  by %s: %s\n", o, r.Members[o])
		}
		for _, k := range slices.Sorted(maps.Keys(r.Limits)) {
			fmt.Printf("  %-7s %d of %d at once", k, r.InFlight[k], r.Limits[k])
			if r.HedgeMillis[k] > 0 {
				fmt.Printf(", asked elsewhere too after %d ms", r.HedgeMillis[k])
			}
			fmt.Println()
		}
		n := r.Counts
		fmt.Printf("  %d begun here, %d handed over (%d hedged, %d again), %d taken for others; %d users sent away, %d at the limit, %d without a second attempt\n",
			n.Local, n.Forwarded, n.Hedged, n.Retried, n.ServedForOthers, n.Rejected, n.Shed, n.RetriesDenied)
	}
	return nil
}

// writeJSON writes an answer for programs.
func writeJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}
