package fake

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// electOneOf crashes and restarts leaders until one of the candidates leads, and returns it.
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
	t.Fatal("none of the candidates became leader in 20 attempts")
	return nil
}

// raiseLevel proposes the supported feature level to all running controllers that have feature gates, and waits until
// a leader applies it. The given leader steps down so that the next election raises the level.
func raiseLevel(t *testing.T, w *World, leader *Controller) {
	t.Helper()
	for _, c := range w.Controllers {
		if c.Up && !c.WithoutFeatureGates {
			c.stepElection(election.ProposeLevel{Level: featuregate.Supported, StepDown: c == leader})
		}
	}
	waitUntil(t, w, 20*second, "the leader applies the raised feature level", func() bool {
		leader := w.Leader()
		return leader != nil && leader.Election.Level() == featuregate.Supported
	})
}

// electionRecord reads the leader record from the state service.
func electionRecord(t *testing.T, w *World) election.Record {
	t.Helper()
	record, _, err := w.Controllers[1].State.ReadLeaderRecord(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// The feature level is raised while tasks run and a controller of a version without feature gates is down. When that
// controller returns it must never lead, even if it is the only one up: neither by reading the records nor with a
// claim that it sent before the level was raised.
func TestControllerWithoutFeatureGatesNeverLeadsUnderRaisedLevel(t *testing.T) {
	w := newDeployment(t, 2)
	oldController, others := w.Controllers[0], w.Controllers[1:]
	oldController.WithoutFeatureGates = true
	leader := electOneOf(t, w, others...)
	spec := newJob(model.Array, 4, nil)
	w.RunTime = 40 * second
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 4 })
	staleRecord := electionRecord(t, w) // the old controller based an earlier claim on it
	startedTasks := len(w.Launches)
	oldController.Crash()
	raiseLevel(t, w, leader)
	if record := electionRecord(t, w); record.Level != featuregate.Supported ||
		record.FencingToken != staleRecord.FencingToken+1 {
		t.Errorf("leader record after the level was raised: got %+v, want the next claim after %+v", record, staleRecord)
	}
	w.Advance(5 * second)
	if activeTasks(w, spec) != 4 || len(w.Launches) != startedTasks {
		t.Error("raising the feature level stopped or started tasks")
	}
	for _, c := range others {
		c.Crash()
	}
	w.Advance(10 * second)
	oldController.Start()
	lease, err := oldController.State.GrantLease(4 * second)
	if err != nil {
		t.Fatal(err)
	}
	claim := election.Claim{
		LeaseID:      lease,
		FencingToken: staleRecord.FencingToken + 1,
		TokenVersion: staleRecord.TokenVersion,
	}
	if _, ok, _ := oldController.claim(claim); ok {
		t.Fatal("a claim from before the feature level was raised succeeded")
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("a controller without feature gates leads at a raised feature level")
	}
	for _, c := range others {
		c.Start()
	}
	waitForLeader(t, w, 30*second)
	if got := w.Leader().Election.Level(); got != featuregate.Supported {
		t.Errorf("feature level of the leader: got %d, want %d", got, featuregate.Supported)
	}
	waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
}

// A controller that has feature gates but does not support the current feature level never leads either.
func TestControllerBelowLevelNeverLeads(t *testing.T) {
	w := newDeployment(t, 1)
	limitedController, others := w.Controllers[0], w.Controllers[1:]
	limitedController.electionSettings.MaxLevel = 0
	limitedController.Crash()
	w.Advance(8 * second)
	raiseLevel(t, w, electOneOf(t, w, others...))
	limitedController.Start()
	for _, c := range others {
		c.Crash()
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("a controller leads at a feature level that it does not support")
	}
}

// The state service loses the record of the feature level with its most recent writes. A controller that remembers
// the level leads at that level and rewrites the record with its claim.
func TestLostLevelRecordIsRewrittenByNextLeader(t *testing.T) {
	w := newDeployment(t, 1)
	raiseLevel(t, w, w.Leader())
	w.Advance(5 * second) // long enough for the other controllers to read it
	removal := &wire.Txn{Changes: []wire.Change{{Key: "leader/level"}}}
	if _, ok, err := w.Controllers[1].State.Commit(context.Background(), removal, true); !ok || err != nil {
		t.Fatalf("removing the feature level record: got success=%v, error %v, want it removed", ok, err)
	}
	leader := w.Leader()
	leader.Crash()
	waitForLeader(t, w, 30*second)
	recorded, applied := electionRecord(t, w).Level, w.Leader().Election.Level()
	if recorded != featuregate.Supported || applied != featuregate.Supported {
		t.Errorf("feature level: got %d recorded and %d applied, want %d", recorded, applied, featuregate.Supported)
	}
}
