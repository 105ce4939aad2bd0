package reconciler

import (
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// slowStore is a leader of one machine on which the tasks of one job end, one after the other, and a state service
// whose answers its test gives.
type slowStore struct {
	t        *testing.T
	core     *Core
	now      time.Time
	seq      uint64
	finished int
	inFlight []Change // the last transaction that has no answer yet
}

func newSlowStore(t *testing.T) *slowStore {
	s := &slowStore{t: t, now: time.Unix(1000, 0)}
	spec := pipelineStage("wk-000001", time.Second, model.PriorityLow)
	spec.Tasks = 3 * model.ChunkTasks
	s.core = newTestLeader(s.now, &Snapshot{NumberedChunkTasks: 64, Jobs: []JobAdded{{Version: 1, SubmittedAt: s.now, Spec: spec}}})
	s.step(
		HeartbeatReceived{Heartbeat: &model.Heartbeat{Machine: "n-1", Addr: "n-1", Type: "eight", Zone: "a", Epoch: 1, Seq: 1, FencingToken: 1}},
	)
	s.complete(OK) // the machine's record
	return s
}

func (s *slowStore) step(ev Event) {
	for _, e := range s.core.Step(s.now, ev) {
		if commit, ok := e.(Commit); ok {
			s.inFlight = slices.Clone(commit.Changes)
		}
	}
}

// complete gives the answer to the transaction that was sent.
func (s *slowStore) complete(o Outcome) {
	saves := s.inFlight
	s.inFlight = nil
	s.step(CommitCompleted{Changes: saves, Outcome: o, Version: 9})
}

// finishTask has a task end as its time has come, with some time for its record to be queued.
func (s *slowStore) finishTask(task int) {
	s.now = s.now.Add(time.Second)
	s.seq++
	s.finished++
	s.core.completeTask(s.now, s.core.jobs["wk-000001"], task)
	s.step(Tick{})
}

func countBits(b []byte) (n int) {
	for _, x := range b {
		for ; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// Guards against a queue that holds every state that a record ever had: on a day at four times a fleet's size it held
// tens of thousands, and each transaction went through all of them.
func TestChangedChunkIsQueuedOnce(t *testing.T) {
	s := newSlowStore(t)
	s.finishTask(0)
	if len(s.inFlight) != 1 || countBits(s.inFlight[0].FinishedBits) != 1 {
		t.Fatalf("sent %+v", s.inFlight)
	}
	for i := 1; i < 300; i++ {
		s.finishTask(i)
	}
	s.finishTask(model.ChunkTasks) // of the second chunk
	if n := len(s.core.commits.changes); n != 2 {
		t.Fatalf("%d saves wait for two chunks", n)
	}
	s.complete(OK)
	if len(s.inFlight) != 2 || countBits(s.inFlight[0].FinishedBits) != 300 || countBits(s.inFlight[1].FinishedBits) != 1 {
		t.Errorf("the next transaction holds %d saves", len(s.inFlight))
	}
}

func TestUnansweredChunkIsRewrittenWithCurrentContent(t *testing.T) {
	for _, outcome := range []Outcome{Unknown, NotSent} {
		s := newSlowStore(t)
		s.finishTask(0)
		s.finishTask(1)
		s.complete(outcome)
		if outcome == Unknown {
			s.now = s.now.Add(time.Second)
			s.step(FenceCompleted{Outcome: OK})
		}
		s.finishTask(2)
		s.finishTask(3)
		if len(s.inFlight) != 1 || countBits(s.inFlight[0].FinishedBits) < 2 || len(s.core.commits.changes) > 1 {
			t.Fatalf("after %v: sent %+v, %d more wait", outcome, s.inFlight, len(s.core.commits.changes))
		}
		s.complete(OK)
		s.finishTask(4)
		s.complete(OK)
		if j := s.core.jobs["wk-000001"]; !j.IsDurable(0) || !j.IsDurable(3) {
			t.Errorf("after %v: not all is durable", outcome)
		}
	}
}

func TestChunkOfEndedJobIsNotWritten(t *testing.T) {
	s := newSlowStore(t)
	s.finishTask(0)
	s.finishTask(1) // waits behind the first
	s.step(JobEnded{ID: "wk-000001", Outcome: model.OutcomeCancelled, EndedAt: s.now})
	s.complete(OK)
	for _, save := range s.inFlight {
		if save.Kind == PutTasks {
			t.Errorf("%+v is written", save)
		}
	}
	if len(s.core.commits.queuedChunks) != 0 {
		t.Errorf("%v still count as waiting", s.core.commits.queuedChunks)
	}
}
