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
	busyMachines = 400
	busyTeams    = 16
	busyJobs     = 64
)

// busyLeader is a leader of 400 machines and 16 teams, with five tasks running on each machine and jobs waiting at
// their teams' quotas.
type busyLeader struct {
	core       *Core
	now        time.Time
	machines   []model.MachineInfo
	heartbeats []*model.Heartbeat // the last one of each machine; nil: none yet
	tasks      map[string]map[model.AttemptKey]model.Phase
	next       int // whose heartbeat comes next
}

func newBusyLeader(ledgerSettings *LedgerSettings) *busyLeader {
	l := &busyLeader{
		now: time.Unix(1e9, 0), heartbeats: make([]*model.Heartbeat, busyMachines),
		tasks: map[string]map[model.AttemptKey]model.Phase{},
	}
	zones := []string{"a", "b"}
	settings := busySettings()
	settings.Ledger = ledgerSettings
	types := []model.MachineType{{
		Name: "five", Capacity: model.Resources{CPU: 5, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 1, Zones: zones,
	}}
	for i := range busyMachines {
		l.machines = append(l.machines, model.MachineInfo{
			Name: fmt.Sprintf("n-%06d", i), Addr: "x", Type: "five", Zone: zones[i%2],
		})
	}
	snapshot := &record.Snapshot{NumberedChunkTasks: 16384, Machines: l.machines, Revision: busyJobs}
	for i := range busyJobs {
		spec := &model.Spec{
			ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: settings.Teams[i%busyTeams].Name, Shape: model.Array,
			Priority: model.PriorityNormal, Tasks: 40, Demand: model.Resources{CPU: 1, MemGB: 1}, Image: "i",
			EstimatedRunTime: time.Hour,
		}
		snapshot.Jobs = append(snapshot.Jobs, record.Job{Spec: spec, SubmittedAt: l.now, Version: uint64(i + 1)})
	}
	l.core = New(l.now, settings, 7, snapshot, types, discardLog())
	for range 10 {
		l.second()
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
			IdlePowerFraction: 0.7, PromoteAfter: time.Minute, PromoteLateAfter: 15 * time.Minute,
		},
	}
	for i := range busyTeams {
		settings.Teams = append(settings.Teams, model.Team{
			Name: fmt.Sprintf("team-%02d", i), Quota: model.NewQuota(125, 0),
		})
	}
	return settings
}

// second drives one second of heartbeats: each machine sends one every 2 s.
func (l *busyLeader) second() {
	for range busyMachines / 2 {
		l.step(HeartbeatReceived{Heartbeat: l.nextHeartbeat()})
		l.now = l.now.Add(5 * time.Millisecond)
	}
}

func (l *busyLeader) nextHeartbeat() *model.Heartbeat {
	i := l.next % busyMachines
	l.next++
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

// step has an event happen; transactions and commands are carried out at once.
func (l *busyLeader) step(event Event) {
	for _, effect := range slices.Clone(l.core.Step(l.now, event)) {
		switch effect := effect.(type) {
		case Commit:
			l.core.Step(l.now, CommitCompleted{
				Changes: slices.Clone(effect.Changes), Outcome: OK, Version: uint64(l.now.Unix()),
			})
		case SendCommands:
			for _, command := range effect.Commands {
				key := model.AttemptKey{Task: command.Task, Number: command.Attempt}
				l.tasks[effect.Machine][key] = model.PhaseRunning
			}
			l.core.Step(l.now, CommandCompleted{
				Machine: effect.Machine, Epoch: effect.Epoch, Commands: slices.Clone(effect.Commands), Outcome: OK,
			})
		}
	}
}

func testLedgerSettings() *LedgerSettings {
	settings := &LedgerSettings{
		Settings: ledger.Settings{
			SettleInterval: 13 * time.Second, HalfLife: time.Hour, MaxRecordBytes: 2048, Seal: ledger.NewSeal(nil),
		},
		FairShare: true,
		Weights:   map[string]float64{},
		TimeOfDay: func(now time.Time) time.Time { return now },
	}
	for i := range busyTeams {
		settings.Weights[fmt.Sprintf("team-%02d", i)] = 1
	}
	return settings
}

// BenchmarkOneSecondOf400Machines measures what a leader's second of heartbeats and passes costs, without a ledger and
// with one.
func BenchmarkOneSecondOf400Machines(b *testing.B) {
	for name, settings := range map[string]*LedgerSettings{"off": nil, "on": testLedgerSettings()} {
		b.Run(name, func(b *testing.B) {
			leader := newBusyLeader(settings)
			for b.Loop() {
				leader.second()
			}
		})
	}
}
