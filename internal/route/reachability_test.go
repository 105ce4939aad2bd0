package route

import (
	"testing"
	"time"
)

func TestMemberWithoutAnyContactBecomesIsolated(t *testing.T) {
	var c PeerReachability
	now := time.Unix(1000, 0)
	look := func(after, down time.Duration, asks bool, want ReachabilityState) {
		t.Helper()
		now = now.Add(after)
		if ask, _ := c.Evaluate(now, down); ask != asks || c.State() != want {
			t.Fatalf("asks %v, %v; want %v, %v", ask, c.State(), asks, want)
		}
	}
	look(0, 0, false, Connected)
	look(time.Second, 900*time.Millisecond, false, Connected) // a slow answer
	look(time.Second, 2*time.Second, true, ProbingPeers)
	look(2*time.Second, 4*time.Second, true, ProbingPeers)
	c.ObserveContact(now) // an outage for all: the others are there
	look(2*time.Second, 6*time.Second, true, ProbingPeers)
	look(2*time.Second, 8*time.Second, true, Isolated) // and now they are not
	c.ObserveContact(now)
	look(time.Second, 9*time.Second, true, ProbingPeers)
	look(4*time.Second, 13*time.Second, true, Isolated)
	look(time.Second, 0, false, Connected)
	look(time.Second, 5*time.Second, true, ProbingPeers) // it starts anew with the next cut
}
