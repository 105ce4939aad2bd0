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

// busy is a leader of 400 machines and 16 teams, with five tasks of each machine running
// and jobs waiting at their teams' limits. It returns what plays one second of reports.
func busy(book *Ledger) (second func()) {
	now := time.Unix(1e9, 0)
	zones := []string{"a", "b"}
	set := Settings{Member: "tiller-0", Report: 2 * time.Second, Lease: 12 * time.Second, SilentAfter: 7 * time.Second,
		Pass: 50 * time.Millisecond, Flush: 500 * time.Millisecond, ListEvery: time.Hour, CatalogEvery: time.Hour, TxnOps: 12, Numbered: 16384,
		Fleet: autoscaler.Settings{KeepIdle: time.Hour, BootFactor: 3, MaxRent: 50}, Sched: scheduler.Settings{IdleShare: 0.7, Overtake: time.Minute, OvertakeLate: 15 * time.Minute}, Ledger: book}
	for i := range 16 {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%02d", i), Quota: model.NewQuota(125, 0)})
	}
	types := []model.MachineType{{Name: "five", Capacity: model.Resources{CPU: 5, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 1, Zones: zones}}
	snap := &Snapshot{Numbered: 16384}
	for i := range 400 {
		snap.Machines = append(snap.Machines, model.MachineInfo{Name: fmt.Sprintf("n-%06d", i), Addr: "x", Type: "five", Zone: zones[i%2]})
	}
	for i := range 64 {
		s := &model.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: set.Teams[i%16].Name, Shape: model.Array, Priority: model.PriorityNormal, Tasks: 40,
			Demand: model.Resources{CPU: 1, MemGB: 1}, Image: "i", EstimatedRunTime: time.Hour}
		snap.Jobs = append(snap.Jobs, JobAdded{Spec: s, At: now, Version: uint64(i + 1)})
	}
	snap.Revision = 64
	c := New(now, set, 7, snap, types, slog.New(slog.NewTextHandler(io.Discard, nil)))
	reports := make([]*model.Heartbeat, 400)
	tasks := map[string]map[model.AttemptKey]model.Phase{}
	step := func(ev Event) {
		for _, e := range append([]Effect(nil), c.Step(now, ev)...) {
			switch e := e.(type) {
			case Commit:
				c.Step(now, SaveBack{Saves: append([]Save(nil), e.Saves...), Outcome: OK, Version: uint64(now.Unix())})
			case Command:
				for _, o := range e.Orders {
					tasks[e.Machine][model.AttemptKey{Task: o.Task, Number: o.Attempt}] = model.PhaseRunning
				}
				c.Step(now, CommandBack{Machine: e.Machine, Session: e.Session, Orders: append([]model.Command(nil), e.Orders...), Outcome: OK})
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
			step(ReportIn{Report: r})
			now = now.Add(5 * time.Millisecond)
			at++
		}
	}
	for range 10 {
		second()
	}
	return second
}

func accounting() *Ledger {
	l := &Ledger{Settings: ledger.Settings{Settle: 13 * time.Second, Half: time.Hour, Most: 2048, Seal: ledger.NewSeal(nil)}, FairShare: true, Weights: map[string]float64{},
		Day: func(now time.Time) time.Time { return now }}
	for i := range 16 {
		l.Weights[fmt.Sprintf("team-%02d", i)] = 1
	}
	return l
}

// BenchmarkASecondOf400Machines tells what a leader's second of reports and passes costs,
// without a ledger and with one.
func BenchmarkASecondOf400Machines(b *testing.B) {
	for name, book := range map[string]*Ledger{"off": nil, "on": accounting()} {
		b.Run(name, func(b *testing.B) {
			second := busy(book)
			for b.Loop() {
				second()
			}
		})
	}
}
