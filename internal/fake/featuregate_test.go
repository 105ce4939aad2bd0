package fake

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// electOneOf crashes leaders until one of the candidates leads.
func electOneOf(t *testing.T, w *World, candidates ...*Controller) *Controller {
	t.Helper()
	for range 20 {
		leader := w.Leader()
		for _, c := range candidates {
			if c == leader {
				return leader
			}
		}
		if leader != nil {
			leader.Crash()
			w.Advance(8 * second)
			leader.Start()
		}
		w.Advance(8 * second)
	}
	t.Fatal("none of the candidates ever leads")
	return nil
}

// raiseLevel opens the feature gate at all controllers that know of it; the leader is elected anew for it.
func raiseLevel(t *testing.T, w *World, leader *Controller) {
	t.Helper()
	for _, c := range w.Controllers {
		if c.Up && !c.WithoutFeatureGates {
			c.stepElection(election.ProposeLevel{Level: featuregate.Supported, StepDown: c == leader})
		}
	}
	waitUntil(t, w, 20*second, "the level is raised", func() bool {
		leader := w.Leader()
		return leader != nil && leader.Election.Level() == featuregate.Supported
	})
}

// electionRecord is the leader's record in the state service.
func electionRecord(t *testing.T, w *World) election.Record {
	t.Helper()
	r, _, err := w.Controllers[1].State.ReadLeaderRecord(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The feature level is raised while a member of an older version is down, and tasks run through it. The member comes
// back and never leads, also when it is alone: not by reading the records, and not by a claim that it sent before.
func TestControllerWithoutFeatureGatesNeverLeadsUnderRaisedLevel(t *testing.T) {
	w := newDeployment(t, 2)
	old, others := w.Controllers[0], w.Controllers[1:]
	old.WithoutFeatureGates = true
	leader := electOneOf(t, w, others...)
	spec := newJob(model.Array, 4, nil)
	w.RunTime = 40 * second
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 4 })
	stale := electionRecord(t, w) // the record on which an earlier claim of the old member rests
	starts := len(w.Starts)
	old.Crash()
	raiseLevel(t, w, leader)
	if r := electionRecord(t, w); r.Level != featuregate.Supported || r.FencingToken != stale.FencingToken+1 {
		t.Errorf("record after the raise: got %+v, want one claim after %+v", r, stale)
	}
	w.Advance(5 * second)
	if activeTasks(w, spec) != 4 || len(w.Starts) != starts {
		t.Error("raising the level stopped or started tasks")
	}
	for _, c := range others {
		c.Crash()
	}
	w.Advance(10 * second)
	old.Start()
	lease, err := old.State.GrantLease(4 * second)
	if err != nil {
		t.Fatal(err)
	}
	claim := election.Claim{
		LeaseID:      lease,
		FencingToken: stale.FencingToken + 1,
		TokenVersion: stale.TokenVersion,
	}
	if _, ok, _ := old.claim(claim); ok {
		t.Fatal("a claim from before the raise came through")
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("a program without feature gates leads under a raised level")
	}
	for _, c := range others {
		c.Start()
	}
	waitForLeader(t, w, 30*second)
	if got := w.Leader().Election.Level(); got != featuregate.Supported {
		t.Errorf("level of the leader: got %d, want %d", got, featuregate.Supported)
	}
	waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
}

// A program with feature gates that does not support the level in force never leads either.
func TestControllerBelowLevelNeverLeads(t *testing.T) {
	w := newDeployment(t, 1)
	less, others := w.Controllers[0], w.Controllers[1:]
	less.electionSettings.MaxLevel = 0
	less.Crash()
	w.Advance(8 * second)
	raiseLevel(t, w, electOneOf(t, w, others...))
	less.Start()
	for _, c := range others {
		c.Crash()
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("a program leads under a level that it does not support")
	}
}

// The record of the level is lost with the last writes of the state service. A member that remembers the level leads by
// it and writes it again with its claim.
func TestLostLevelRecordIsRewrittenByNextLeader(t *testing.T) {
	w := newDeployment(t, 1)
	raiseLevel(t, w, w.Leader())
	w.Advance(5 * second) // the others have read it
	removal := &wire.Txn{Changes: []wire.Change{{Key: "leader/level"}}}
	if _, ok, err := w.Controllers[1].State.Commit(context.Background(), removal, true); !ok || err != nil {
		t.Fatalf("removing the level's record: got %v, %v, want it carried out", ok, err)
	}
	leader := w.Leader()
	leader.Crash()
	waitForLeader(t, w, 30*second)
	onRecord, applied := electionRecord(t, w).Level, w.Leader().Election.Level()
	if onRecord != featuregate.Supported || applied != featuregate.Supported {
		t.Errorf("level: got %d on record and %d applied, want %d", onRecord, applied, featuregate.Supported)
	}
}
