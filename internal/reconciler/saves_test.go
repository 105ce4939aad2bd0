package reconciler

import (
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// slowState is a leader of one machine on which the tasks of one job end, one after the other, and a state service
// whose answers its test gives.
type slowState struct {
	t    *testing.T
	c    *Core
	now  time.Time
	seq  uint64
	done int
	sent []Save // the last transaction that has no answer yet
}

func newSlowState(t *testing.T) *slowState {
	s := &slowState{t: t, now: time.Unix(1000, 0)}
	spec := stage("wk-000001", time.Second, model.PriorityLow)
	spec.Tasks = 3 * model.ChunkTasks
	s.c = lead(s.now, &Snapshot{Numbered: 64, Jobs: []JobAdded{{Version: 1, At: s.now, Spec: spec}}})
	s.step(
		ReportIn{Report: &model.Heartbeat{Machine: "n-1", Addr: "n-1", Type: "eight", Zone: "a", Epoch: 1, Seq: 1, FencingToken: 1}},
	)
	s.answer(OK) // the machine's record
	return s
}

func (s *slowState) step(ev Event) {
	for _, e := range s.c.Step(s.now, ev) {
		if commit, ok := e.(Commit); ok {
			s.sent = slices.Clone(commit.Saves)
		}
	}
}

// answer gives the answer to the transaction that was sent.
func (s *slowState) answer(o Outcome) {
	saves := s.sent
	s.sent = nil
	s.step(SaveBack{Saves: saves, Outcome: o, Version: 9})
}

// end has a task end as its time has come, with some time for its record to be queued.
func (s *slowState) end(task int) {
	s.now = s.now.Add(time.Second)
	s.seq++
	s.done++
	s.c.taskDone(s.now, s.c.jobs["wk-000001"], task)
	s.step(Tick{})
}

func bits(b []byte) (n int) {
	for _, x := range b {
		for ; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// Guards against a queue that holds every state that a record ever had: on a day at four times a fleet's size it held
// tens of thousands, and each transaction went through all of them.
func TestARecordWaitsOnceHoweverOftenItChanges(t *testing.T) {
	s := newSlowState(t)
	s.end(0)
	if len(s.sent) != 1 || bits(s.sent[0].Bits) != 1 {
		t.Fatalf("sent %+v", s.sent)
	}
	for i := 1; i < 300; i++ {
		s.end(i)
	}
	s.end(model.ChunkTasks) // of the second chunk
	if n := len(s.c.saves); n != 2 {
		t.Fatalf("%d saves wait for two chunks", n)
	}
	s.answer(OK)
	if len(s.sent) != 2 || bits(s.sent[0].Bits) != 300 || bits(s.sent[1].Bits) != 1 {
		t.Errorf("the next transaction holds %d saves", len(s.sent))
	}
}

func TestARecordWithoutAnAnswerIsWrittenOnceMoreAsItIsByThen(t *testing.T) {
	for _, outcome := range []Outcome{Unknown, NotSent} {
		s := newSlowState(t)
		s.end(0)
		s.end(1)
		s.answer(outcome)
		if outcome == Unknown {
			s.now = s.now.Add(time.Second)
			s.step(FenceBack{Outcome: OK})
		}
		s.end(2)
		s.end(3)
		if len(s.sent) != 1 || bits(s.sent[0].Bits) < 2 || len(s.c.saves) > 1 {
			t.Fatalf("after %v: sent %+v, %d more wait", outcome, s.sent, len(s.c.saves))
		}
		s.answer(OK)
		s.end(4)
		s.answer(OK)
		if j := s.c.jobs["wk-000001"]; !j.IsDurable(0) || !j.IsDurable(3) {
			t.Errorf("after %v: not all is durable", outcome)
		}
	}
}

func TestARecordOfAJobThatHasEndedIsNotWritten(t *testing.T) {
	s := newSlowState(t)
	s.end(0)
	s.end(1) // waits behind the first
	s.step(JobEnded{ID: "wk-000001", End: model.OutcomeCancelled, At: s.now})
	s.answer(OK)
	for _, save := range s.sent {
		if save.Kind == SaveTasks {
			t.Errorf("%+v is written", save)
		}
	}
	if len(s.c.chunks) != 0 {
		t.Errorf("%v still count as waiting", s.c.chunks)
	}
}
