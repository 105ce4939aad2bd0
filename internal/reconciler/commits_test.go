package reconciler

import (
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// slowStoreScenario is a leader with one machine, on which the tasks of one job finish one by one. The test itself
// answers the transactions that the leader sends to the state service.
type slowStoreScenario struct {
	core     *Core
	now      time.Time
	inFlight []record.Change // the changes of the unanswered transaction
}

func newSlowStoreScenario() *slowStoreScenario {
	s := &slowStoreScenario{now: time.Unix(1000, 0)}
	spec := pipelineStage("wk-000001", time.Second, model.PriorityLow)
	spec.Tasks = 3 * model.ChunkTasks
	s.core = newTestLeader(s.now, &record.Snapshot{
		NumberedChunkTasks: 64, Jobs: []record.Job{{Version: 1, SubmittedAt: s.now, Spec: spec}},
	})
	s.step(HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 1, 1)})
	s.complete(OutcomeOK) // the machine's record
	return s
}

func (s *slowStoreScenario) step(event Event) {
	for _, effect := range s.core.Step(s.now, event) {
		if commit, ok := effect.(Commit); ok {
			s.inFlight = slices.Clone(commit.Changes)
		}
	}
}

// complete answers the transaction in flight with the given outcome.
func (s *slowStoreScenario) complete(outcome Outcome) {
	changes := s.inFlight
	s.inFlight = nil
	s.step(CommitCompleted{Changes: changes, Outcome: outcome, Version: 9})
}

// finishTask completes a task and lets enough time pass for its record to be queued.
func (s *slowStoreScenario) finishTask(index int) {
	s.now = s.now.Add(time.Second)
	s.core.completeTask(s.now, s.core.jobs["wk-000001"], index)
	s.step(Tick{})
}

// finishedCounts returns the number of finished tasks in each change in flight.
func (s *slowStoreScenario) finishedCounts() (counts []int) {
	for _, change := range s.inFlight {
		count := 0
		for _, b := range change.FinishedBits {
			count += bits.OnesCount8(b)
		}
		counts = append(counts, count)
	}
	return counts
}

// Guards against a queue that holds every state of a changed chunk. On a large deployment such a queue grew to tens
// of thousands of changes, all of which were scanned for each transaction.
func TestChangedChunkIsQueuedOnce(t *testing.T) {
	s := newSlowStoreScenario()
	s.finishTask(0)
	if got, want := s.finishedCounts(), []int{1}; !slices.Equal(got, want) {
		t.Fatalf("first transaction: got chunks with %v finished tasks, want %v", got, want)
	}
	for i := 1; i < 300; i++ {
		s.finishTask(i)
	}
	s.finishTask(model.ChunkTasks) // the first task of the second chunk
	if got := len(s.core.commits.changes); got != 2 {
		t.Fatalf("got %d queued changes for two chunks, want 2", got)
	}
	s.complete(OutcomeOK)
	if got, want := s.finishedCounts(), []int{300, 1}; !slices.Equal(got, want) {
		t.Errorf("next transaction: got chunks with %v finished tasks, want %v", got, want)
	}
}

func TestUnansweredChunkIsRewrittenWithCurrentContent(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
	}{{"unknown", OutcomeUnknown}, {"not sent", OutcomeNotSent}} {
		t.Run(test.name, func(t *testing.T) {
			s := newSlowStoreScenario()
			s.finishTask(0)
			s.finishTask(1)
			s.complete(test.outcome)
			if test.outcome == OutcomeUnknown {
				s.now = s.now.Add(time.Second)
				s.step(FenceCompleted{Outcome: OutcomeOK})
			}
			s.finishTask(2)
			s.finishTask(3)
			counts, waiting := s.finishedCounts(), len(s.core.commits.changes)
			if len(counts) != 1 || counts[0] < 2 || waiting > 1 {
				t.Fatalf("got chunks with %v finished tasks, %d queued changes; want 1 chunk with at least 2, at most 1 change",
					counts, waiting)
			}
			s.complete(OutcomeOK)
			s.finishTask(4)
			s.complete(OutcomeOK)
			if job := s.core.jobs["wk-000001"]; !job.IsDurable(0) || !job.IsDurable(3) {
				t.Errorf("got tasks 0 and 3 durable: %v, %v; want both", job.IsDurable(0), job.IsDurable(3))
			}
		})
	}
}

func TestChunkOfEndedJobIsNotWritten(t *testing.T) {
	s := newSlowStoreScenario()
	s.finishTask(0)
	s.finishTask(1) // queued behind the transaction of the first
	s.step(JobEnded{ID: "wk-000001", Outcome: model.OutcomeCancelled, EndedAt: s.now})
	s.complete(OutcomeOK)
	for _, change := range s.inFlight {
		if change.Kind == record.PutTasks {
			t.Errorf("got %+v in a transaction, want no chunk of the ended job", change)
		}
	}
	if got := len(s.core.commits.queuedChunks); got != 0 {
		t.Errorf("got %d queued chunks, want none", got)
	}
}
