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

// newTestLeader returns the Core of a leader for a deployment with one machine type and one team.
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

// oneTask returns the spec of a job with one task that uses half of a machine's CPUs.
func oneTask(id string, shape model.Shape) *model.Spec {
	return &model.Spec{
		ID: id, Team: "red", Shape: shape, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute,
	}
}

// inheritedJob returns the record of a job that was accepted before the takeover.
func inheritedJob(spec *model.Spec) record.Job {
	return record.Job{Version: 0, SubmittedAt: time.Unix(900, 0), Spec: spec}
}

// inheritedMachine returns the record of a machine that was known before the takeover.
func inheritedMachine(name, addr string) model.MachineInfo {
	return model.MachineInfo{Name: name, Addr: addr, Type: "eight", Zone: "a"}
}

// workerScenario drives a leader in simulated time. The test supplies the messages of the workers.
type workerScenario struct {
	*testing.T
	core    *Core
	now     time.Time
	effects []Effect // effects of the last step
}

func newWorkerScenario(t *testing.T, snapshot *record.Snapshot) *workerScenario {
	s := &workerScenario{T: t, now: time.Unix(1000, 0)}
	s.core = newTestLeader(s.now, snapshot)
	s.core.settings.MaxUnresponsiveShare = 0.34
	return s
}

// step advances the clock and applies an event. Transactions that result from it complete immediately.
func (s *workerScenario) step(after time.Duration, event Event) {
	s.now = s.now.Add(after)
	s.effects = slices.Clone(s.core.Step(s.now, event))
	for _, effect := range s.effects {
		if commit, ok := effect.(Commit); ok {
			s.core.Step(s.now, CommitCompleted{Changes: commit.Changes, Outcome: OutcomeOK})
		}
	}
}

// heartbeatOf returns a heartbeat of a machine that reports the given attempts as running.
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

// exitOf returns a heartbeat of a machine that reports the exit of an attempt.
func exitOf(machine string, epoch, seq uint64, key model.AttemptKey, cause model.ExitCause) *model.Heartbeat {
	heartbeat := heartbeatOf(machine, epoch, seq, 1, key)
	heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = model.PhaseExited, cause
	return heartbeat
}

func (s *workerScenario) heartbeat(after time.Duration, heartbeat *model.Heartbeat) {
	s.step(after, HeartbeatReceived{Heartbeat: heartbeat})
}

// register registers machines with the leader. Each one sends two heartbeats, both with this leader's fencing token.
func (s *workerScenario) register(machines ...string) {
	for _, machine := range machines {
		s.heartbeat(0, heartbeatOf(machine, 1, 1, 1))
		s.heartbeat(0, heartbeatOf(machine, 1, 2, 1))
	}
}

// answerProbe delivers a heartbeat as the machine's answer to the probe that the last step sent to it. The test fails
// if there was no probe.
func (s *workerScenario) answerProbe(heartbeat *model.Heartbeat) {
	s.Helper()
	for _, effect := range s.effects {
		if probe, ok := effect.(SendCommands); ok && probe.Machine == heartbeat.Machine && len(probe.Commands) == 0 {
			s.step(10*time.Millisecond, CommandCompleted{
				Machine: probe.Machine, Epoch: probe.Epoch, Outcome: OutcomeOK, Heartbeat: heartbeat,
			})
			return
		}
	}
	s.Fatalf("machine %s: got no probe, want one", heartbeat.Machine)
}

// completeLaunch delivers the outcome of the command that launches an attempt.
func (s *workerScenario) completeLaunch(
	machine string, key model.AttemptKey, outcome Outcome, answer *model.Heartbeat,
) {
	launch := model.Command{Op: model.OpLaunch, Task: key.Task, Attempt: key.Number}
	s.step(0, CommandCompleted{
		Machine: machine, Epoch: 1, Commands: []model.Command{launch}, Outcome: outcome, Heartbeat: answer,
	})
}

// loseCommands completes the commands and probes of the last step with an unknown outcome, as if no answer had come.
func (s *workerScenario) loseCommands() {
	for _, effect := range s.effects {
		if sent, ok := effect.(SendCommands); ok {
			s.step(0, CommandCompleted{
				Machine: sent.Machine, Epoch: sent.Epoch, Commands: sent.Commands, Outcome: OutcomeUnknown,
			})
		}
	}
}

// simulateUnresponsive simulates a machine that sends heartbeats for a duration but carries out no commands and answers
// no probes. seq is the sequence number of the first heartbeat.
func (s *workerScenario) simulateUnresponsive(
	d time.Duration, machine string, seq uint64, running ...model.AttemptKey,
) {
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

// toldToForget reports whether the response to the heartbeat of the last step tells the worker to forget an attempt.
func (s *workerScenario) toldToForget(key model.AttemptKey) bool {
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

// addJob adds a job with one task and returns the machine and the attempt of its placement.
func (s *workerScenario) addJob(id string) (machine string, key model.AttemptKey) {
	s.Helper()
	s.step(0, JobAdded{Version: 9, SubmittedAt: s.now, Spec: oneTask(id, model.Array)})
	s.step(200*time.Millisecond, Tick{})
	return s.placementOf(id)
}

// placementOf returns the machine and the key of a job's active attempt. The machine is empty if there is none.
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

// failTask simulates the failure of a job's task on the machine that it was placed on, and returns that machine.
func (s *workerScenario) failTask(id string) (machine string) {
	s.Helper()
	machine, _ = s.placementOf(id)
	if machine == "" {
		s.Fatalf("job %s has no active attempt, want one", id)
	}
	s.exitTask(100*time.Millisecond, id, model.CauseError)
	return machine
}

// exitTask advances the clock and simulates the exit of a job's task.
func (s *workerScenario) exitTask(after time.Duration, id string, cause model.ExitCause) {
	name, key := s.placementOf(id)
	machine := s.core.machines[name]
	s.heartbeat(after, exitOf(name, machine.Epoch, machine.Seq+1, key, cause))
}

// pipelineStage returns the spec of a job array of two tasks that is one stage of a pipeline.
func pipelineStage(
	id string, estimate time.Duration, priority model.Priority, dependencies ...string,
) *model.Spec {
	return &model.Spec{
		ID: id, Class: "middle", Team: "red", Shape: model.Array, Priority: priority, Tasks: 2,
		Dependencies: dependencies, Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: estimate,
	}
}
