package election

import (
	"io"
	"testing"
	"time"
)

func voteRequest(leader string, r RequestVotes) VoteRequest {
	return VoteRequest{leader, r.FencingToken, r.Seq, r.Duration, r.Supersedes}
}

// extendedVoteScenario returns a leader and a member that has cast an extended vote for it. Neither
// has reached the state service for 3 s. request is the leader's last one.
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

// After the lease is renewed the extended vote is released, and an answer to its request that comes
// late must not count: the voter is bound by the shorter vote only.
func TestWaivedExtendedVoteDoesNotExtendValidity(t *testing.T) {
	leader, voter, now, waived := extendedVoteScenario(t)
	renewed := now
	leader.Step(now, LeaseRenewed{LeaseID: 7, Sent: renewed})
	if got, want := leader.ValidUntil(), leader.LeaseValidUntil(); !got.Equal(want) {
		t.Fatalf("after the renewal: got a leadership that is valid until %v, want %v as by the lease", got, want)
	}
	now = now.Add(time.Second)
	for _, effect := range leader.Step(now, Tick{}) {
		if e, ok := effect.(RequestVotes); ok {
			if !e.Supersedes || e.Duration != voteDuration {
				t.Fatalf("got request %+v, want one that supersedes others and lasts %v", e, voteDuration)
			}
			voter.HandleVoteRequest(now, voteRequest("a", e))
		}
	}
	if got := voter.Status(now).ClaimBlockedFor; got > voteDuration {
		t.Errorf("got a voter that may not claim for %v, want at most %v", got, voteDuration)
	}
	// The waived request arrives once more, late: it binds the voter, but its vote must not count.
	voter.HandleVoteRequest(now, voteRequest("a", waived))
	leader.Step(now, VoteReceived{"b", waived.FencingToken, renewed, waived.Seq, outageVoteDuration})
	if got, most := leader.ValidUntil(), leader.LeaseValidUntil(); got.After(most) {
		t.Errorf("after a vote for a waived request: got a leadership that is valid until %v, want %v at most", got, most)
	}
}

// A member that has restarted votes for a stale leader, which then steps down and releases the vote.
// The vote of the member's earlier incarnation for the present leader stands.
func TestStaleLeaderReleaseKeepsRecoveryBlock(t *testing.T) {
	_, voter, now, _ := extendedVoteScenario(t)
	restarted := New(now, voter.settings, voter.log)
	request := VoteRequest{Leader: "old", FencingToken: 0, Seq: 1, Duration: voteDuration}
	if got := restarted.HandleVoteRequest(now, request); got == 0 {
		t.Fatal("got no vote for the stale leader, want one")
	}
	restarted.HandleVoteRelease(0)
	if got := restarted.Status(now).ClaimBlockedFor; got < outageVoteDuration {
		t.Errorf("got a member that may not claim for %v, want at least %v", got, outageVoteDuration)
	}
}

// A leader crashes in an outage. Members with an extended vote for it may claim as soon as its new
// incarnation says that it does not lead, but not on such an answer from before their vote.
func TestVoteEndsWhenItsLeaderReportsNotLeading(t *testing.T) {
	_, voter, now, _ := extendedVoteScenario(t)
	voter.Step(now, NotLeadingReceived{"a", now.Add(-time.Minute)})
	if voter.Status(now).ClaimBlockedFor == 0 {
		t.Fatal("after an answer from before the vote: got a member that may claim, want one that may not")
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
		t.Errorf("got queried=%v and a member that may not claim for %v, want true and 0s", queried, got)
	}
}
