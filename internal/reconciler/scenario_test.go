package reconciler

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/scheduler"
)

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newTestLeader makes the Core of a leader for a small deployment.
func newTestLeader(now time.Time, snapshot *record.Snapshot) *Core {
	types := []model.MachineType{
		{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, BootTime: 5 * time.Second},
	}
	settings := Settings{
		Member:            "tiller-0",
		Teams:             []model.Team{{Name: "red", Guarantee: model.Resources{CPU: 10}, Quota: model.NewQuota(100, 0)}},
		Objectives:        map[string][]Objective{"last": {{DeadlineMultiple: 1}, {DeadlineMultiple: 1.5}}},
		HeartbeatInterval: 2 * time.Second,
		WorkerLease:       12 * time.Second,
		LeaseMargin:       500 * time.Millisecond,
		UnresponsiveAfter: 7 * time.Second,
		MaxTxnOps:         12,
		MaxBackoff:        time.Minute,
		Scheduler:         scheduler.Settings{IdlePowerFraction: 0.7},
		Autoscaler:        autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 100},
	}
	return New(now, settings, 1, snapshot, types, discardLog())
}

// oneTask makes the spec of a job of one task that takes half a machine.
func oneTask(id string, shape model.Shape) *model.Spec {
	return &model.Spec{
		ID: id, Team: "red", Shape: shape, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute,
	}
}

// inheritedJob makes a job that was accepted before the takeover.
func inheritedJob(spec *model.Spec) record.Job {
	return record.Job{Version: 0, SubmittedAt: time.Unix(900, 0), Spec: spec}
}

// inheritedMachine makes a machine that was recorded before the takeover.
func inheritedMachine(name, addr string) model.MachineInfo {
	return model.MachineInfo{Name: name, Addr: addr, Type: "eight", Zone: "a"}
}

// workerScenario drives a leader with machines whose messages the test writes.
type workerScenario struct {
	*testing.T
	core    *Core
	now     time.Time
	effects []Effect // of the last step
}

func newWorkerScenario(t *testing.T, snapshot *record.Snapshot) *workerScenario {
	s := &workerScenario{T: t, now: time.Unix(1000, 0)}
	s.core = newTestLeader(s.now, snapshot)
	s.core.settings.MaxUnresponsiveShare = 0.34
	return s
}

// step has an event happen after a time; transactions are carried out at once.
func (s *workerScenario) step(after time.Duration, event Event) {
	s.now = s.now.Add(after)
	s.effects = slices.Clone(s.core.Step(s.now, event))
	for _, effect := range s.effects {
		if commit, ok := effect.(Commit); ok {
			s.core.Step(s.now, CommitCompleted{Changes: commit.Changes, Outcome: OK})
		}
	}
}

// heartbeatOf makes a machine's heartbeat that shows running attempts.
func heartbeatOf(machine string, epoch, seq, token uint64, running ...model.AttemptKey) *model.Heartbeat {
	heartbeat := &model.Heartbeat{
		Machine: machine, Addr: machine, Type: "eight", Zone: "a", Epoch: epoch, Seq: seq, FencingToken: token,
	}
	for _, key := range running {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{
			Task: key.Task, Attempt: key.Number, Phase: model.PhaseRunning,
		})
	}
	return heartbeat
}

// exitOf makes a heartbeat that shows the end of an attempt.
func exitOf(machine string, epoch, seq uint64, key model.AttemptKey, cause model.ExitCause) *model.Heartbeat {
	heartbeat := heartbeatOf(machine, epoch, seq, 1, key)
	heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = model.PhaseExited, cause
	return heartbeat
}

func (s *workerScenario) heartbeat(after time.Duration, heartbeat *model.Heartbeat) {
	s.step(after, HeartbeatReceived{Heartbeat: heartbeat})
}

// register has machines send two heartbeats, the second with this leader's token.
func (s *workerScenario) register(machines ...string) {
	for _, machine := range machines {
		s.heartbeat(0, heartbeatOf(machine, 1, 1, 1))
		s.heartbeat(0, heartbeatOf(machine, 1, 2, 1))
	}
}

// answerProbe has a machine answer the probe that the last step has sent it.
func (s *workerScenario) answerProbe(heartbeat *model.Heartbeat) {
	s.Helper()
	for _, effect := range s.effects {
		if probe, ok := effect.(SendCommands); ok && probe.Machine == heartbeat.Machine && len(probe.Commands) == 0 {
			s.step(10*time.Millisecond, CommandCompleted{
				Machine: probe.Machine, Epoch: probe.Epoch, Outcome: OK, Heartbeat: heartbeat,
			})
			return
		}
	}
	s.Fatalf("%s was not probed", heartbeat.Machine)
}

// completeLaunch gives the outcome of the launch of an attempt.
func (s *workerScenario) completeLaunch(
	machine string, key model.AttemptKey, outcome Outcome, answer *model.Heartbeat,
) {
	launch := model.Command{Op: model.OpLaunch, Task: key.Task, Attempt: key.Number}
	s.step(0, CommandCompleted{
		Machine: machine, Epoch: 1, Commands: []model.Command{launch}, Outcome: outcome, Heartbeat: answer,
	})
}

// loseCommands has the commands and probes of the last step go unanswered.
func (s *workerScenario) loseCommands() {
	for _, effect := range s.effects {
		if sent, ok := effect.(SendCommands); ok {
			s.step(0, CommandCompleted{
				Machine: sent.Machine, Epoch: sent.Epoch, Commands: sent.Commands, Outcome: Unknown,
			})
		}
	}
}

// unresponsive has a machine send heartbeats for a time, while it carries out no command and answers no probe.
func (s *workerScenario) unresponsive(d time.Duration, machine string, seq uint64, running ...model.AttemptKey) {
	for end := s.now.Add(d); s.now.Before(end); seq++ {
		s.heartbeat(2*time.Second, heartbeatOf(machine, 1, seq, 1, running...))
		s.loseCommands()
		s.step(time.Second, Tick{})
		s.loseCommands()
	}
}

// responseRefused reports whether the heartbeat of the last step was refused.
func (s *workerScenario) responseRefused() bool {
	for _, effect := range s.effects {
		if response, ok := effect.(HeartbeatResponse); ok {
			return response.Refused
		}
	}
	return false
}

// forgets reports whether the worker of the last step is told to forget an attempt.
func (s *workerScenario) forgets(key model.AttemptKey) bool {
	for _, effect := range s.effects {
		if response, ok := effect.(HeartbeatResponse); ok {
			for _, command := range response.Commands {
				if command.Op == model.OpForget && command.Attempt == key.Number {
					return true
				}
			}
		}
	}
	return false
}

// addJob adds a job of one task and returns where it is placed.
func (s *workerScenario) addJob(id string) (machine string, key model.AttemptKey) {
	s.Helper()
	s.step(0, JobAdded{Version: 9, SubmittedAt: s.now, Spec: oneTask(id, model.Array)})
	s.step(200*time.Millisecond, Tick{})
	return s.placementOf(id)
}

// placementOf returns where a job's task is; no machine: nowhere.
func (s *workerScenario) placementOf(id string) (machine string, key model.AttemptKey) {
	for _, machine := range s.core.machines {
		for key, attempt := range machine.Attempts {
			if key.Task.Job == id && attempt.Active() {
				return machine.Name, key
			}
		}
	}
	return "", model.AttemptKey{}
}

// failTask has a task of a job fail on the machine that it was placed on, and returns that machine.
func (s *workerScenario) failTask(id string) (machine string) {
	s.Helper()
	machine, _ = s.placementOf(id)
	if machine == "" {
		s.Fatalf("%s is on no machine", id)
	}
	s.exitTask(100*time.Millisecond, id, model.CauseError)
	return machine
}

// exitTask has the task of a job exit after a time.
func (s *workerScenario) exitTask(after time.Duration, id string, cause model.ExitCause) {
	name, key := s.placementOf(id)
	machine := s.core.machines[name]
	s.heartbeat(after, exitOf(name, machine.Epoch, machine.Seq+1, key, cause))
}

// pipelineStage makes an array of a pipeline.
func pipelineStage(
	id string, estimate time.Duration, priority model.Priority, dependencies ...string,
) *model.Spec {
	return &model.Spec{
		ID: id, Class: "middle", Team: "red", Shape: model.Array, Priority: priority, Tasks: 2,
		Dependencies: dependencies, Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: estimate,
	}
}
