package reconciler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/scheduler"
)

const (
	busyMachineCount = 400
	busyTeamCount    = 16
	busyJobCount     = 64
)

// busyLeader simulates a leader of 400 machines and 16 teams, with five tasks running on each machine and jobs whose
// remaining tasks wait because their teams have reached their quotas.
type busyLeader struct {
	core        *Core
	now         time.Time
	machines    []model.MachineInfo
	heartbeats  []*model.Heartbeat // last heartbeat by machine index, or nil if the machine has sent none
	tasks       map[string]map[model.AttemptKey]model.Phase
	nextMachine int // counts heartbeats; modulo busyMachineCount, the index of the next machine to send one
}

func newBusyLeader(ledgerSettings *LedgerSettings) *busyLeader {
	l := &busyLeader{
		now: time.Unix(1e9, 0), heartbeats: make([]*model.Heartbeat, busyMachineCount),
		tasks: map[string]map[model.AttemptKey]model.Phase{},
	}
	zones := []string{"a", "b"}
	settings := busySettings()
	settings.Ledger = ledgerSettings
	types := []model.MachineType{{
		Name: "five", Capacity: model.Resources{CPU: 5, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 1, Zones: zones,
	}}
	for i := range busyMachineCount {
		l.machines = append(l.machines, model.MachineInfo{
			Name: fmt.Sprintf("n-%06d", i), Addr: "x", Type: "five", Zone: zones[i%2],
		})
	}
	snapshot := &record.Snapshot{NumberedChunkTasks: 16384, Machines: l.machines, Revision: busyJobCount}
	for i := range busyJobCount {
		spec := &model.Spec{
			ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: settings.Teams[i%busyTeamCount].Name, Shape: model.Array,
			Priority: model.PriorityNormal, Tasks: 40, Demand: model.Resources{CPU: 1, MemGB: 1}, Image: "i",
			EstimatedRunTime: time.Hour,
		}
		snapshot.Jobs = append(snapshot.Jobs, record.Job{Spec: spec, SubmittedAt: l.now, Version: uint64(i + 1)})
	}
	l.core = New(l.now, settings, 7, snapshot, types, discardLog())
	for range 10 {
		l.runOneSecond()
	}
	return l
}

func busySettings() Settings {
	settings := Settings{
		Member:              "tiller-0",
		HeartbeatInterval:   2 * time.Second,
		WorkerLease:         12 * time.Second,
		UnresponsiveAfter:   7 * time.Second,
		PassInterval:        50 * time.Millisecond,
		FlushInterval:       500 * time.Millisecond,
		MachineListInterval: time.Hour,
		CatalogInterval:     time.Hour,
		MaxTxnOps:           12,
		NumberedChunkTasks:  16384,
		Autoscaler:          autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 3, MaxPerRequest: 50},
		Scheduler: scheduler.Settings{
			IdlePowerFraction: 0.7, PromoteAfter: time.Minute, PromoteDeadlineAfter: 15 * time.Minute,
		},
	}
	for i := range busyTeamCount {
		settings.Teams = append(settings.Teams, model.Team{
			Name: fmt.Sprintf("team-%02d", i), Quota: model.NewQuota(125, 0),
		})
	}
	return settings
}

// runOneSecond simulates one second, in which half of the machines send a heartbeat: each sends one every 2 s.
func (l *busyLeader) runOneSecond() {
	for range busyMachineCount / 2 {
		l.step(HeartbeatReceived{Heartbeat: l.nextHeartbeat()})
		l.now = l.now.Add(5 * time.Millisecond)
	}
}

func (l *busyLeader) nextHeartbeat() *model.Heartbeat {
	i := l.nextMachine % busyMachineCount
	l.nextMachine++
	name := l.machines[i].Name
	heartbeat := l.heartbeats[i]
	if heartbeat == nil {
		heartbeat = &model.Heartbeat{
			Machine: name, Addr: "x", Type: "five", Zone: l.machines[i].Zone, Epoch: 1, FencingToken: 7,
		}
		l.heartbeats[i], l.tasks[name] = heartbeat, map[model.AttemptKey]model.Phase{}
	}
	heartbeat.Seq++
	heartbeat.Tasks = heartbeat.Tasks[:0]
	for key, phase := range l.tasks[name] {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: phase})
	}
	return heartbeat
}

// step applies an event. Transactions and commands that result from it complete immediately.
func (l *busyLeader) step(event Event) {
	for _, effect := range slices.Clone(l.core.Step(l.now, event)) {
		switch effect := effect.(type) {
		case Commit:
			l.core.Step(l.now, CommitCompleted{
				Changes: slices.Clone(effect.Changes), Outcome: OutcomeOK, Version: uint64(l.now.Unix()),
			})
		case SendCommands:
			for _, command := range effect.Commands {
				key := model.AttemptKey{Task: command.Task, Number: command.Attempt}
				l.tasks[effect.Machine][key] = model.PhaseRunning
			}
			l.core.Step(l.now, CommandCompleted{
				Machine: effect.Machine, Epoch: effect.Epoch, Commands: slices.Clone(effect.Commands), Outcome: OutcomeOK,
			})
		}
	}
}

func testLedgerSettings() *LedgerSettings {
	settings := &LedgerSettings{
		Settings: ledger.Settings{
			SettleInterval: 13 * time.Second, HalfLife: time.Hour, MaxRecordBytes: 2048, Hasher: ledger.NewSegmentHasher(nil),
		},
		FairShare: true,
		Weights:   map[string]float64{},
		TimeOfDay: func(now time.Time) time.Time { return now },
	}
	for i := range busyTeamCount {
		settings.Weights[fmt.Sprintf("team-%02d", i)] = 1
	}
	return settings
}

// BenchmarkOneSecondOf400Machines measures the cost of one second of heartbeats and scheduling passes on a leader,
// with and without a ledger.
func BenchmarkOneSecondOf400Machines(b *testing.B) {
	for name, settings := range map[string]*LedgerSettings{"off": nil, "on": testLedgerSettings()} {
		b.Run(name, func(b *testing.B) {
			leader := newBusyLeader(settings)
			for b.Loop() {
				leader.runOneSecond()
			}
		})
	}
}
