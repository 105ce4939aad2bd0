package reconciler

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// Whatever reports and answers say, in whatever order and however often: nothing panics, no task is live
// twice, and the accounts are what the attempts hold.
func TestArbitraryHeartbeatsKeepUsageConsistent(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, old) }()
	}
	rapid.Check(t, func(r *rapid.T) {
		k := newWorkerScenario(t, &Snapshot{Machines: []model.MachineInfo{{Name: "n-1", Addr: "n-1", Type: "eight", Zone: "a"}}})
		for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
			shape := rapid.SampledFrom([]model.Shape{model.Array, model.Service, model.Gang}).Draw(r, "shape")
			k.step(0, JobAdded{SubmittedAt: k.now, Spec: &model.Spec{ID: id, Team: "red", Shape: shape, Tasks: 3, Demand: model.Resources{CPU: 2, MemGB: 4}, EstimatedRunTime: time.Minute}})
		}
		var sent []*model.Heartbeat
		draw := func() *model.Heartbeat {
			if len(sent) > 0 && rapid.IntRange(0, 2).Draw(r, "copy") == 0 {
				return rapid.SampledFrom(sent).Draw(r, "which")
			}
			m := heartbeatOf(rapid.SampledFrom([]string{"n-1", "n-2", "n-3"}).Draw(r, "machine"), rapid.Uint64Range(1, 3).Draw(r, "session"), rapid.Uint64Range(0, 30).Draw(r, "number"), rapid.Uint64Range(0, 2).Draw(r, "token"))
			m.Zone, m.InterruptionNotice = rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(r, "zone"), rapid.IntRange(0, 9).Draw(r, "notice") == 0
			for range rapid.IntRange(0, 4).Draw(r, "rows") {
				m.Tasks = append(m.Tasks, model.TaskStatus{Task: model.TaskID{Job: rapid.SampledFrom([]string{"wk-1", "wk-2", "wk-3", "wk-9"}).Draw(r, "job"), Index: rapid.IntRange(0, 3).Draw(r, "task")},
					Attempt: rapid.SampledFrom([]uint64{3, 4, 1<<24 + 1, 1<<24 + 2}).Draw(r, "try"), Phase: rapid.SampledFrom([]model.Phase{model.PhaseFetching, model.PhaseWaiting, model.PhaseRunning, model.PhaseCheckpointing, model.PhaseExited}).Draw(r, "phase"),
					Cause: rapid.SampledFrom([]model.ExitCause{model.CauseDone, model.CauseStopped, model.CauseGangMemberLost, model.CauseError, model.CauseAttemptConflict}).Draw(r, "cause")})
			}
			sent = append(sent, m)
			return m
		}
		var out []SendCommands
		r.Repeat(map[string]func(*rapid.T){
			"report": func(*rapid.T) {
				k.step(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms"))*time.Millisecond, HeartbeatReceived{Heartbeat: draw(), Relayed: rapid.Bool().Draw(r, "handed")})
			},
			"time": func(*rapid.T) {
				k.step(time.Duration(rapid.IntRange(0, 9000).Draw(r, "ms"))*time.Millisecond, Tick{})
			},
			"answer": func(*rapid.T) {
				if len(out) == 0 {
					return
				}
				q := out[0]
				out = out[1:]
				ev := CommandCompleted{Machine: q.Machine, Epoch: q.Epoch, Commands: q.Commands, Outcome: rapid.SampledFrom([]Outcome{OK, Refused, Unknown}).Draw(r, "outcome")}
				if ev.Outcome == OK {
					ev.Heartbeat = draw()
				}
				k.step(0, ev)
			},
			"": func(*rapid.T) {
				for _, e := range k.effects {
					if q, ok := e.(SendCommands); ok {
						out = append(out, q)
					}
				}
				k.effects = nil
				var held model.Resources
				live := map[model.TaskID]*model.Attempt{}
				for _, m := range k.core.machines {
					n := 0
					for _, a := range m.Attempts {
						if a.Active() {
							n++
							held = held.Add(a.Demand)
						}
						if a.Active() && a.Job != nil && a.Job.ActiveAttempts[a.Task.Index] == a {
							if live[a.Task] != nil {
								r.Fatalf("%v is live twice", a.Task)
							}
							live[a.Task] = a
						}
					}
					if n != m.ActiveCount {
						r.Fatalf("%s holds %d, counted %d", m.Name, n, m.ActiveCount)
					}
				}
				sum := k.core.usage.orphans.Allocated
				for _, u := range k.core.usage.byTeam {
					sum = sum.Add(u.Allocated)
				}
				if d := sum.CPU - held.CPU; d > 1e-6 || d < -1e-6 {
					r.Fatalf("held %v, accounts say %v", held, sum)
				}
			},
		})
	})
}
