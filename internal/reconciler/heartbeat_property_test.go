package reconciler

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Checks that arbitrary heartbeats and command answers, in any order and with any number of duplicates, cause no
// panic, that no task is active twice, and that the usage equals what the active attempts hold.
func TestArbitraryHeartbeatsKeepUsageConsistent(t *testing.T) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, old) }()
	}
	rapid.Check(t, func(r *rapid.T) {
		s := newArbitraryWorkers(t, r)
		r.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(*rapid.T) { s.sendHeartbeat(r) },
			"time":      func(*rapid.T) { s.passTime(r) },
			"answer":    func(*rapid.T) { s.answerCommand(r) },
			"":          func(*rapid.T) { s.check(r) },
		})
	})
}

// arbitraryWorkers is a scenario whose heartbeats and command answers are drawn at random.
type arbitraryWorkers struct {
	*workerScenario
	sent       []*model.Heartbeat // copies of these may be delivered again
	unanswered []SendCommands
}

func newArbitraryWorkers(t *testing.T, r *rapid.T) *arbitraryWorkers {
	s := &arbitraryWorkers{workerScenario: newWorkerScenario(t, &record.Snapshot{
		Machines: []model.MachineInfo{inheritedMachine("n-1", "n-1")},
	})}
	shapes := rapid.SampledFrom([]model.Shape{model.Array, model.Service, model.Gang})
	for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
		s.step(0, JobAdded{SubmittedAt: s.now, Spec: &model.Spec{
			ID: id, Team: "red", Shape: shapes.Draw(r, "shape"), Tasks: 3, Demand: model.Resources{CPU: 2, MemGB: 4},
			EstimatedRunTime: time.Minute,
		}})
	}
	return s
}

func drawMilliseconds(r *rapid.T, longest int) time.Duration {
	return time.Duration(rapid.IntRange(0, longest).Draw(r, "ms")) * time.Millisecond
}

func (s *arbitraryWorkers) sendHeartbeat(r *rapid.T) {
	after := drawMilliseconds(r, 3000)
	heartbeat := s.drawHeartbeat(r)
	s.step(after, HeartbeatReceived{Heartbeat: heartbeat, Relayed: rapid.Bool().Draw(r, "relayed")})
}

func (s *arbitraryWorkers) passTime(r *rapid.T) { s.step(drawMilliseconds(r, 9000), Tick{}) }

func (s *arbitraryWorkers) answerCommand(r *rapid.T) {
	if len(s.unanswered) == 0 {
		return
	}
	sent := s.unanswered[0]
	s.unanswered = s.unanswered[1:]
	completed := CommandCompleted{
		Machine: sent.Machine, Epoch: sent.Epoch, Commands: sent.Commands,
		Outcome: rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeRefused, OutcomeUnknown}).Draw(r, "outcome"),
	}
	if completed.Outcome == OutcomeOK {
		completed.Heartbeat = s.drawHeartbeat(r)
	}
	s.step(0, completed)
}

// drawHeartbeat draws a new heartbeat, or a copy of an earlier one.
func (s *arbitraryWorkers) drawHeartbeat(r *rapid.T) *model.Heartbeat {
	if len(s.sent) > 0 && rapid.IntRange(0, 2).Draw(r, "copy") == 0 {
		return rapid.SampledFrom(s.sent).Draw(r, "which")
	}
	machine := rapid.SampledFrom([]string{"n-1", "n-2", "n-3"}).Draw(r, "machine")
	epoch := rapid.Uint64Range(1, 3).Draw(r, "epoch")
	seq := rapid.Uint64Range(0, 30).Draw(r, "seq")
	heartbeat := heartbeatOf(machine, epoch, seq, rapid.Uint64Range(0, 2).Draw(r, "token"))
	heartbeat.Zone = rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(r, "zone")
	heartbeat.InterruptionNotice = rapid.IntRange(0, 9).Draw(r, "notice") == 0
	for range rapid.IntRange(0, 4).Draw(r, "tasks") {
		heartbeat.Tasks = append(heartbeat.Tasks, drawTaskStatus(r))
	}
	s.sent = append(s.sent, heartbeat)
	return heartbeat
}

func drawTaskStatus(r *rapid.T) model.TaskStatus {
	return model.TaskStatus{
		Task: model.TaskID{
			Job:   rapid.SampledFrom([]string{"wk-1", "wk-2", "wk-3", "wk-9"}).Draw(r, "job"),
			Index: rapid.IntRange(0, 3).Draw(r, "task"),
		},
		Attempt: rapid.SampledFrom([]uint64{
			3, 4, 1<<attemptTokenShift + 1, 1<<attemptTokenShift + 2,
		}).Draw(r, "attempt"),
		Phase: rapid.SampledFrom([]model.Phase{
			model.PhaseFetching, model.PhaseWaiting, model.PhaseRunning, model.PhaseCheckpointing, model.PhaseExited,
		}).Draw(r, "phase"),
		Cause: rapid.SampledFrom([]model.ExitCause{
			model.CauseDone, model.CauseStopped, model.CauseGangMemberLost, model.CauseError,
			model.CauseAttemptConflict,
		}).Draw(r, "cause"),
	}
}

// check collects the commands of the last step, and verifies the invariants that hold after every step.
func (s *arbitraryWorkers) check(r *rapid.T) {
	for _, effect := range s.effects {
		if sent, ok := effect.(SendCommands); ok {
			s.unanswered = append(s.unanswered, sent)
		}
	}
	s.effects = nil
	var held model.Resources
	active := map[model.TaskID]*model.Attempt{}
	for _, machine := range s.core.machines {
		count := 0
		for _, attempt := range machine.Attempts {
			if !attempt.Active() {
				continue
			}
			count++
			held = held.Add(attempt.Demand)
			if attempt.Job == nil || attempt.Job.ActiveAttempts[attempt.Task.Index] != attempt {
				continue
			}
			if active[attempt.Task] != nil {
				r.Fatalf("task %v is active twice", attempt.Task)
			}
			active[attempt.Task] = attempt
		}
		if count != machine.ActiveCount {
			r.Fatalf("%s: got ActiveCount %d, want %d active attempts", machine.Name, machine.ActiveCount, count)
		}
	}
	used := s.core.usage.orphans.Allocated
	for _, usage := range s.core.usage.byTeam {
		used = used.Add(usage.Allocated)
	}
	if d := used.CPU - held.CPU; d > 1e-6 || d < -1e-6 {
		r.Fatalf("got total usage %v, want %v, the sum of the active attempts' demands", used, held)
	}
}
