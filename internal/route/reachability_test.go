package route

import (
	"testing"
	"time"
)

func TestMemberWithoutAnyContactBecomesIsolated(t *testing.T) {
	var reachability PeerReachability
	now := time.Unix(1000, 0)
	evaluate := func(elapsed, stateServiceDown time.Duration, wantProbe bool, want ReachabilityState) {
		t.Helper()
		now = now.Add(elapsed)
		probe, _ := reachability.Evaluate(now, stateServiceDown)
		if got := reachability.State(); probe != wantProbe || got != want {
			t.Fatalf("state service down for %v: got probe %v, %v, want %v, %v", stateServiceDown, probe, got, wantProbe, want)
		}
	}
	evaluate(0, 0, false, Connected)
	evaluate(time.Second, 900*time.Millisecond, false, Connected) // the state service is only slow
	evaluate(time.Second, 2*time.Second, true, ProbingPeers)
	evaluate(2*time.Second, 4*time.Second, true, ProbingPeers)
	reachability.ObserveContact(now) // a peer answers, so only the state service is down
	evaluate(2*time.Second, 6*time.Second, true, ProbingPeers)
	evaluate(2*time.Second, 8*time.Second, true, Isolated) // no peer has answered for 4 s
	reachability.ObserveContact(now)
	evaluate(time.Second, 9*time.Second, true, ProbingPeers)
	evaluate(4*time.Second, 13*time.Second, true, Isolated)
	evaluate(time.Second, 0, false, Connected)
	evaluate(time.Second, 5*time.Second, true, ProbingPeers) // the time without contact is counted from here
}
