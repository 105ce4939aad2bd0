package election

import (
	"io"
	"testing"
	"time"
)

func voteRequest(leader string, r RequestVotes) VoteRequest {
	return VoteRequest{leader, r.FencingToken, r.Seq, r.Duration, r.Supersedes}
}

// extendedVoteScenario returns a leader and a member that has cast an extended vote for it, after an outage of the
// state service of 3 s. request is the leader's last vote request.
func extendedVoteScenario(t *testing.T) (leader, voter *StateMachine, now time.Time, request RequestVotes) {
	t.Helper()
	now = time.Unix(1000, 0)
	leader = New(now, testSettings("a", "b"), discardLog)
	voter = New(now, testSettings("b", "a"), discardLog)
	leader.Step(now, NotLeadingReceived{"b", now})
	leader.Step(now, Tick{})
	leader.Step(now, RecordRead{})
	leader.Step(now, LeaseGranted{LeaseID: 7, Sent: now})
	leader.Step(now, ClaimCompleted{OK: true, TokenVersion: 1})
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, effect := range leader.Step(now, Tick{}) {
			switch e := effect.(type) {
			case RequestVotes:
				request = e
				duration := voter.HandleVoteRequest(now, voteRequest("a", e))
				leader.Step(now, VoteReceived{"b", e.FencingToken, now, e.Seq, duration})
			case RenewLease:
				leader.Step(now, LeaseRenewed{LeaseID: 7, Sent: now, Err: io.EOF})
			}
		}
	}
	valid, starts := leader.ValidUntil().Sub(now), leader.StartsValidUntil().Sub(now)
	if request.Duration != outageVoteDuration || request.Supersedes || valid <= 8*time.Second || starts > voteDuration {
		t.Fatalf("got request %+v, leadership valid for %v, starts for %v; want an extended vote, more than 8s, at most %v",
			request, valid, starts, voteDuration)
	}
	return leader, voter, now, request
}

// After the lease is renewed, the leader waives extended votes, and the next request shortens the vote of the voter. An
// extended vote that arrives late must not extend the leadership, since the voter may claim after the shorter vote.
func TestWaivedExtendedVoteDoesNotExtendValidity(t *testing.T) {
	leader, voter, now, waived := extendedVoteScenario(t)
	renewed := now
	leader.Step(now, LeaseRenewed{LeaseID: 7, Sent: renewed})
	if got, want := leader.ValidUntil(), leader.LeaseValidUntil(); !got.Equal(want) {
		t.Fatalf("after the renewal: leadership valid until %v, want %v, the end of the lease", got, want)
	}
	now = now.Add(time.Second)
	for _, effect := range leader.Step(now, Tick{}) {
		if e, ok := effect.(RequestVotes); ok {
			if !e.Supersedes || e.Duration != voteDuration {
				t.Fatalf("got request %+v, want one that supersedes earlier requests and lasts %v", e, voteDuration)
			}
			voter.HandleVoteRequest(now, voteRequest("a", e))
		}
	}
	if got := voter.Status(now).ClaimBlockedFor; got > voteDuration {
		t.Errorf("claims of the voter are blocked for %v, want at most %v", got, voteDuration)
	}
	// A delayed copy of the waived request arrives. It binds the voter again, but the leader must not count the vote.
	voter.HandleVoteRequest(now, voteRequest("a", waived))
	leader.Step(now, VoteReceived{"b", waived.FencingToken, renewed, waived.Seq, outageVoteDuration})
	if got, latest := leader.ValidUntil(), leader.LeaseValidUntil(); got.After(latest) {
		t.Errorf("after a vote for a waived request: leadership valid until %v, want at most %v", got, latest)
	}
}

// A member that has restarted votes for a stale leader, which then steps down and releases the vote. The vote that the
// member's earlier incarnation cast for the current leader must stay in effect.
func TestStaleLeaderReleaseKeepsRecoveryBlock(t *testing.T) {
	_, voter, now, _ := extendedVoteScenario(t)
	restarted := New(now, voter.settings, voter.log)
	request := VoteRequest{Leader: "old", FencingToken: 0, Seq: 1, Duration: voteDuration}
	if got := restarted.HandleVoteRequest(now, request); got == 0 {
		t.Fatal("got no vote for the stale leader, want one")
	}
	restarted.HandleVoteRelease(0)
	if got := restarted.Status(now).ClaimBlockedFor; got < outageVoteDuration {
		t.Errorf("claims of the restarted member are blocked for %v, want at least %v", got, outageVoteDuration)
	}
}

// A leader crashes during an outage. A member with an extended vote for it may claim as soon as the leader's new
// incarnation responds that it does not lead. Such a response to a query from before the vote must not end the vote.
func TestVoteEndsWhenItsLeaderReportsNotLeading(t *testing.T) {
	_, voter, now, _ := extendedVoteScenario(t)
	voter.Step(now, NotLeadingReceived{"a", now.Add(-time.Minute)})
	if voter.Status(now).ClaimBlockedFor == 0 {
		t.Fatal("after a response from before the vote: the member may claim, want it blocked")
	}
	voter.Step(now, Tick{})
	queried := false
	for _, effect := range voter.Step(now, RecordRead{}) {
		_, ok := effect.(QueryLeadership)
		queried = queried || ok
	}
	later := now.Add(time.Second)
	voter.Step(later, NotLeadingReceived{"a", later})
	if got := voter.Status(later).ClaimBlockedFor; !queried || got != 0 {
		t.Errorf("got queried=%v and claims blocked for %v, want true and 0s", queried, got)
	}
}
