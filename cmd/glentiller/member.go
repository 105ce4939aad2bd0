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
	JSON bool `help:"Print JSON."`
}

// Run requests the status of a controller and prints it.
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

// printElection prints the member's state in the election, and the lease and votes that support its leadership.
func printElection(s *admin.MemberStatus) {
	fmt.Printf("%s: %s, leader %q, fencing token %d\n", s.Member, s.State, s.Leader, s.FencingToken)
	if s.LeadershipRemainingSeconds > 0 {
		basis := "the lease at the state service"
		if s.LeaseRemainingSeconds <= 0 {
			basis = "the votes of all other members"
		}
		fmt.Printf("leadership valid for %.1f s, based on %s\n", s.LeadershipRemainingSeconds, basis)
	}
	if s.VoteDurationSeconds == 0 {
		fmt.Println("votes are disabled")
	}
	for _, voter := range slices.Sorted(maps.Keys(s.VoteRemainingSeconds)) {
		fmt.Printf("vote of %s valid for %.1f s\n", voter, s.VoteRemainingSeconds[voter])
	}
	if s.ClaimBlockedSeconds > 0 {
		fmt.Printf("must not claim the leadership for %.1f s because of a vote that it has cast\n", s.ClaimBlockedSeconds)
	}
	if s.StateServiceUnreachableSeconds > 0 {
		fmt.Printf("no answer from the state service for %.1f s\n", s.StateServiceUnreachableSeconds)
	}
}

// printLoad prints the use of sockets by connection class, and the load of the event loop.
func printLoad(s *admin.MemberStatus) {
	connections := s.Connections
	fmt.Printf("sockets: %s, %d of %d in use, peak %d\n",
		connections.Occupancy, connections.Used, connections.Capacity, connections.Peak)
	for _, name := range slices.Sorted(maps.Keys(connections.Classes)) {
		if class := connections.Classes[name]; class.Used > 0 || class.Rejected > 0 {
			fmt.Printf("  %-10s %d of %d, %d rejected\n", name, class.Used, class.Quota, class.Rejected)
		}
	}
	if s.Load.LongestHoldWork != "" {
		fmt.Printf("event loop: recently blocked for up to %.3f s by %s; %d events queued\n",
			s.Load.LongestHoldSeconds, s.Load.LongestHoldWork, s.Load.QueuedEvents)
	}
}

// printRequests prints the state of request routing: circuit breakers, concurrency limits and counters.
func printRequests(r *route.Status) {
	fmt.Printf("requests: circuit breaker of this member %s; %.0f retries left in the budget\n", r.Local, r.RetriesLeft)
	for _, member := range slices.Sorted(maps.Keys(r.Members)) {
		fmt.Printf("  circuit breaker of %s: %s\n", member, r.Members[member])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Limits)) {
		fmt.Printf("  %-7s %d of %d concurrent requests", kind, r.InFlight[kind], r.Limits[kind])
		if r.HedgeMillis[kind] > 0 {
			fmt.Printf(", hedged after %d ms", r.HedgeMillis[kind])
		}
		fmt.Println()
	}
	counts := r.Counts
	fmt.Printf("  %d attempts here, %d forwarded (%d hedged, %d retried), %d served for other members; ",
		counts.Local, counts.Forwarded, counts.Hedged, counts.AttemptsExhausted, counts.ServedForOthers)
	fmt.Printf("%d requests rejected, %d shed at the concurrency limit, %d retries denied\n",
		counts.Rejected, counts.Shed, counts.RetriesDenied)
}
