package fake

import (
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// A fleet must detect each kind of violation on its own, and report none for a correct placement.
func TestFleetDetectsEachViolation(t *testing.T) {
	now := time.Unix(1000, 0)
	launch := func(worker *Worker, job string, index int) {
		worker.Execute([]model.Command{{
			Op:      model.OpLaunch,
			Task:    model.TaskID{Job: job, Index: index},
			Attempt: uint64(index + 1),
		}})
	}
	for rule, provoke := range map[string]func(f *Fleet, a, b *Worker){
		"ran_twice": func(_ *Fleet, a, b *Worker) { launch(a, "wk-000001", 0); launch(b, "wk-000001", 0) },
		"quota": func(_ *Fleet, a, _ *Worker) {
			launch(a, "wk-000001", 0)
			launch(a, "wk-000001", 1)
			launch(a, "wk-000001", 2)
		},
		"wrong_place": func(f *Fleet, a, _ *Worker) { f.Specs["wk-000001"].Zone = "b"; launch(a, "wk-000001", 0) },
		"ran_cancelled": func(f *Fleet, a, _ *Worker) {
			f.RecordCancelled("wk-000001")
			f.SetNow(now.Add(time.Hour))
			launch(a, "wk-000001", 0)
		},
		"went_back": func(f *Fleet, _, _ *Worker) {
			f.RecordAnswer("x", "wk-000001", wire.StateQueued)
			f.RecordCancelRequest("wk-000001")
			f.RecordAnswer("x", "wk-000001", wire.StateCancelled)
			f.RecordAnswer("y", "wk-000001", wire.StateRunning)
		},
		// The empty rule stands for a valid placement, which violates nothing.
		"": func(_ *Fleet, a, b *Worker) { launch(a, "wk-000001", 0); launch(b, "wk-000001", 1) },
	} {
		f := NewFleet(now, []model.Team{{Name: "red", Quota: model.NewQuota(8, 0)}})
		f.Lease = 2 * time.Hour
		f.Specs["wk-000001"] = &model.Spec{
			ID:     "wk-000001",
			Team:   "red",
			Shape:  model.Array,
			Tasks:  9,
			Demand: model.Resources{CPU: 4},
		}
		a := f.Add(model.MachineInfo{Name: "n-1", Zone: "a"})
		b := f.Add(model.MachineInfo{Name: "n-2", Zone: "a"})
		provoke(f, a, b)
		for range 2 { // the images are fetched, and the tasks count as being on their machines
			f.SetNow(f.Now().Add(2 * time.Second))
			a.Advance()
			b.Advance()
		}
		f.CheckCancelled()
		if violations := strings.Join(f.Violations, "; "); rule == "" && violations != "" ||
			!strings.Contains(violations, rule) {
			t.Errorf("rule %q: got violations %q, want one of the rule, or none for the empty rule", rule, violations)
		}
	}
}

// A gang's tasks start only when all of them are ready, and the others end when one of them is lost.
func TestFleetGangTasksStartAndEndTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := NewFleet(now, []model.Team{{Name: "red"}})
	fleet.Lease, fleet.GangWait, fleet.RunTime = time.Hour, time.Hour, time.Hour
	fleet.Specs["wk-000001"] = &model.Spec{
		ID:     "wk-000001",
		Team:   "red",
		Shape:  model.Gang,
		Tasks:  2,
		Demand: model.Resources{CPU: 4},
	}
	var machines [2]*Worker
	// advance lets 2 s pass and returns the phase of the task on the machine with the given index.
	advance := func(i int) model.Phase {
		fleet.SetNow(fleet.Now().Add(2 * time.Second))
		for _, worker := range machines {
			if worker != nil {
				worker.Advance()
			}
		}
		for _, task := range machines[i].Tasks {
			return task.Phase
		}
		return 0
	}
	for i := range machines {
		machines[i] = fleet.Add(model.MachineInfo{Name: string(rune('a' + i)), Zone: "a"})
		machines[i].Execute([]model.Command{{Op: model.OpLaunch, Task: model.TaskID{Job: "wk-000001", Index: i}, Attempt: 7}})
		if advance(i); i == 0 && advance(0) != model.PhaseWaiting {
			t.Error("the first gang task does not wait for the second")
		}
	}
	if advance(0); advance(0) != model.PhaseRunning {
		t.Error("the gang does not run although all its tasks are ready")
	}
	fleet.Remove(machines[1].Name)
	machines[0].Tasks[model.AttemptKey{Task: model.TaskID{Job: "wk-000001"}, Number: 7}].phaseEnd = fleet.Now()
	if advance(0); advance(0) != model.PhaseExited {
		t.Error("a gang task keeps running although another task of the gang is lost")
	}
}
