package reconciler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// busyLeader is a leader of 400 machines and 16 teams, with five tasks of each machine running
// and jobs waiting at their teams' limits. It returns what plays one second of reports.
func busyLeader(book *LedgerSettings) (second func()) {
	now := time.Unix(1e9, 0)
	zones := []string{"a", "b"}
	set := Settings{Member: "tiller-0", HeartbeatInterval: 2 * time.Second, WorkerLease: 12 * time.Second, UnresponsiveAfter: 7 * time.Second,
		PassInterval: 50 * time.Millisecond, FlushInterval: 500 * time.Millisecond, MachineListInterval: time.Hour, CatalogInterval: time.Hour, MaxTxnOps: 12, NumberedChunkTasks: 16384,
		Autoscaler: autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 3, MaxPerRequest: 50}, Scheduler: scheduler.Settings{IdlePowerFraction: 0.7, PromoteAfter: time.Minute, PromoteLateAfter: 15 * time.Minute}, Ledger: book}
	for i := range 16 {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%02d", i), Quota: model.NewQuota(125, 0)})
	}
	types := []model.MachineType{{Name: "five", Capacity: model.Resources{CPU: 5, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 1, Zones: zones}}
	snap := &Snapshot{NumberedChunkTasks: 16384}
	for i := range 400 {
		snap.Machines = append(snap.Machines, model.MachineInfo{Name: fmt.Sprintf("n-%06d", i), Addr: "x", Type: "five", Zone: zones[i%2]})
	}
	for i := range 64 {
		s := &model.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: set.Teams[i%16].Name, Shape: model.Array, Priority: model.PriorityNormal, Tasks: 40,
			Demand: model.Resources{CPU: 1, MemGB: 1}, Image: "i", EstimatedRunTime: time.Hour}
		snap.Jobs = append(snap.Jobs, JobAdded{Spec: s, SubmittedAt: now, Version: uint64(i + 1)})
	}
	snap.Revision = 64
	c := New(now, set, 7, snap, types, slog.New(slog.NewTextHandler(io.Discard, nil)))
	reports := make([]*model.Heartbeat, 400)
	tasks := map[string]map[model.AttemptKey]model.Phase{}
	step := func(ev Event) {
		for _, e := range append([]Effect(nil), c.Step(now, ev)...) {
			switch e := e.(type) {
			case Commit:
				c.Step(now, CommitCompleted{Changes: append([]Change(nil), e.Changes...), Outcome: OK, Version: uint64(now.Unix())})
			case SendCommands:
				for _, o := range e.Commands {
					tasks[e.Machine][model.AttemptKey{Task: o.Task, Number: o.Attempt}] = model.PhaseRunning
				}
				c.Step(now, CommandCompleted{Machine: e.Machine, Epoch: e.Epoch, Commands: append([]model.Command(nil), e.Commands...), Outcome: OK})
			}
		}
	}
	at := 0
	second = func() {
		for range 200 { // each machine reports every 2 s
			name := snap.Machines[at%400].Name
			r := reports[at%400]
			if r == nil {
				r = &model.Heartbeat{Machine: name, Addr: "x", Type: "five", Zone: snap.Machines[at%400].Zone, Epoch: 1, FencingToken: 7}
				reports[at%400], tasks[name] = r, map[model.AttemptKey]model.Phase{}
			}
			r.Seq++
			r.Tasks = r.Tasks[:0]
			for k, p := range tasks[name] {
				r.Tasks = append(r.Tasks, model.TaskStatus{Task: k.Task, Attempt: k.Number, Phase: p})
			}
			step(HeartbeatReceived{Heartbeat: r})
			now = now.Add(5 * time.Millisecond)
			at++
		}
	}
	for range 10 {
		second()
	}
	return second
}

func ledgerSettings() *LedgerSettings {
	l := &LedgerSettings{Settings: ledger.Settings{SettleInterval: 13 * time.Second, HalfLife: time.Hour, MaxRecordBytes: 2048, Seal: ledger.NewSeal(nil)}, FairShare: true, Weights: map[string]float64{},
		TimeOfDay: func(now time.Time) time.Time { return now }}
	for i := range 16 {
		l.Weights[fmt.Sprintf("team-%02d", i)] = 1
	}
	return l
}

// BenchmarkOneSecondOf400Machines tells what a leader's second of reports and passes costs,
// without a ledger and with one.
func BenchmarkOneSecondOf400Machines(b *testing.B) {
	for name, book := range map[string]*LedgerSettings{"off": nil, "on": ledgerSettings()} {
		b.Run(name, func(b *testing.B) {
			second := busyLeader(book)
			for b.Loop() {
				second()
			}
		})
	}
}
