package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/cli"
	"github.com/glentiller/glentiller/internal/route"
)

type memberCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// Run prints the status of a controller.
func (c *memberCmd) Run() error {
	status, err := c.memberStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return cli.WriteJSON(os.Stdout, status)
	}
	printElection(status)
	printLoad(status)
	if status.Requests != nil {
		printRequests(status.Requests)
	}
	return nil
}

// printElection prints who leads, and by what lease and votes.
func printElection(s *admin.MemberStatus) {
	fmt.Printf("%s: %s, leader %q, token %d\n", s.Member, s.State, s.Leader, s.FencingToken)
	if s.LeadershipSeconds > 0 {
		restsOn := "the lease at the state service"
		if s.StateLeaseSeconds <= 0 {
			restsOn = "the promises of all other members"
		}
		fmt.Printf("right to act for %.1f s, by %s\n", s.LeadershipSeconds, restsOn)
	}
	if s.VoteSeconds == 0 {
		fmt.Println("promises are off")
	}
	for _, voter := range slices.Sorted(maps.Keys(s.VotesSeconds)) {
		fmt.Printf("promised by %s for %.1f s\n", voter, s.VotesSeconds[voter])
	}
	if s.ClaimBlockedSeconds > 0 {
		fmt.Printf("claims nothing for %.1f s, for what it has promised\n", s.ClaimBlockedSeconds)
	}
	if s.StateUnansweredSeconds > 0 {
		fmt.Printf("the state service has not answered it for %.1f s\n", s.StateUnansweredSeconds)
	}
}

// printLoad prints who holds the connections, and what holds the event loop.
func printLoad(s *admin.MemberStatus) {
	connections := s.Connections
	fmt.Printf("sockets: %s, %d of %d held, %d at the most\n",
		connections.Occupancy, connections.Used, connections.Capacity, connections.Peak)
	for _, name := range slices.Sorted(maps.Keys(connections.Classes)) {
		if class := connections.Classes[name]; class.Used > 0 || class.Rejected > 0 {
			fmt.Printf("  %-10s %d of %d, %d turned away\n", name, class.Used, class.Quota, class.Rejected)
		}
	}
	if s.Load.LongestHoldEvent != "" {
		fmt.Printf("the loop was held for %.3f s at the most by %s lately; %d messages wait\n",
			s.Load.LongestHoldSeconds, s.Load.LongestHoldEvent, s.Load.Inbox)
	}
}

// printRequests prints where users' requests are answered.
func printRequests(r *route.Status) {
	fmt.Printf("requests: the way by its own means is %s; %.0f second attempts left\n", r.Local, r.RetriesLeft)
	for _, member := range slices.Sorted(maps.Keys(r.Members)) {
		fmt.Printf("  by %s: %s\n", member, r.Members[member])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Limits)) {
		fmt.Printf("  %-7s %d of %d at once", kind, r.InFlight[kind], r.Limits[kind])
		if r.HedgeMillis[kind] > 0 {
			fmt.Printf(", asked elsewhere too after %d ms", r.HedgeMillis[kind])
		}
		fmt.Println()
	}
	counts := r.Counts
	fmt.Printf("  %d begun here, %d handed over (%d hedged, %d again), %d taken for others; ",
		counts.Local, counts.Forwarded, counts.Hedged, counts.Retried, counts.ServedForOthers)
	fmt.Printf("%d users sent away, %d at the limit, %d without a second attempt\n",
		counts.Rejected, counts.Shed, counts.RetriesDenied)
}
