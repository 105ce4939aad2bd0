package fake

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// newConstraintDeployment is a deployment with a second type of machine that is larger and far more expensive.
func newConstraintDeployment(t *testing.T, machines int) *World {
	t.Helper()
	w := newDeployment(t, machines)
	w.Types = append(w.Types, model.MachineType{
		Name:             "big",
		Capacity:         model.Resources{CPU: 16, MemGB: 128},
		PricePerHour:     9,
		SpotPricePerHour: 5,
		BootTime:         5 * second,
		Zones:            []string{"a", "b"},
	})
	for _, c := range w.Controllers {
		restartController(c)
	}
	waitForLeader(t, w, 10*second)
	return w
}

// submitConstrained submits a job with constraints, and has every start of its tasks checked by a predicate.
func submitConstrained(
	t *testing.T,
	w *World,
	spec *model.Spec,
	rules string,
	holds func(worker *Worker) bool,
) *model.Spec {
	t.Helper()
	spec.Rules = rules
	w.PlacementAllowed[spec.ID] = holds
	submitJob(t, w, spec)
	return spec
}

func TestRequiredConstraintsHoldWhenProvisioningAndAfterFailover(t *testing.T) {
	w := newConstraintDeployment(t, 4)
	w.RunTime = 15 * second
	spec := submitConstrained(t, w, newJob(model.Array, 6, nil),
		"require type = \"big\" and zone = \"b\" and not spot\nrequire at most 1 per machine",
		func(worker *Worker) bool {
			return worker.Type == "big" && worker.Zone == "b" && !worker.Spot && worker.CountTasks("wk-") <= 1
		})
	waitUntil(t, w, 60*second, "its tasks run", func() bool { return activeTasks(w, spec) >= 3 })
	for range 3 {
		w.Leader().Crash()
		w.Advance(3 * second)
		for _, c := range w.Controllers {
			if !c.Up {
				c.Start()
			}
		}
		waitForLeader(t, w, 20*second)
	}
	waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
	for _, worker := range w.Workers {
		if worker.Type == "big" && (worker.Zone != "b" || worker.Spot) {
			t.Errorf("%s in %s was provisioned, spot %v", worker.Name, worker.Zone, worker.Spot)
		}
	}
}

func TestAffinityAndAntiAffinityToOtherJobsHold(t *testing.T) {
	w := newConstraintDeployment(t, 6)
	data := newJob(model.Service, 1, func(spec *model.Spec) { spec.Zone = "b" })
	submitJob(t, w, data)
	waitUntil(t, w, 20*second, "the service runs", func() bool { return activeTasks(w, data) == 1 })
	host := w.MachinesOf(model.TaskID{Job: data.ID})[0]
	near := submitConstrained(t, w, newJob(model.Array, 3, nil), "require same zone as "+data.ID,
		func(worker *Worker) bool { return worker.Zone == "b" })
	apart := submitConstrained(t, w, newJob(model.Array, 3, nil),
		"require apart from "+data.ID+"; prefer 100 same zone as "+data.ID,
		func(worker *Worker) bool { return worker.Name != host })
	far := submitConstrained(t, w, newJob(model.Array, 2, nil), "require apart from "+data.ID+" by zone",
		func(worker *Worker) bool { return worker.Zone == "a" })
	for _, spec := range []*model.Spec{near, apart, far} {
		waitUntil(t, w, 90*second, "done", jobDone(t, w, spec))
	}
}

// Both jobs are placed in one pass: the constraint holds against a task that was placed earlier in it.
func TestAntiAffinityHoldsWithinOnePass(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	w.RunTime = 30 * second
	first := newJob(model.Array, 1, func(spec *model.Spec) { spec.Priority, spec.Team = model.PriorityProduction, "blue" })
	behind := newJob(model.Gang, 2, func(spec *model.Spec) { spec.Demand.CPU = 2 })
	behind.Rules = "require apart from " + first.ID + " by zone"
	w.Leader().Crash() // both wait when the next leader makes its first pass
	submitToFirstUp(t, w, w.Controllers, first, behind)
	waitUntil(t, w, 60*second, "both run", func() bool {
		return activeTasks(w, first) == 1 && activeTasks(w, behind) == 2
	})
	zone := w.Workers[w.MachinesOf(model.TaskID{Job: first.ID})[0]].Zone
	for i := range behind.Tasks {
		if at := w.Workers[w.MachinesOf(model.TaskID{Job: behind.ID, Index: i})[0]]; at.Zone == zone {
			t.Errorf("task %d is on %s, in the other job's zone %s", i, at.Name, zone)
		}
	}
}

// submitToFirstUp submits jobs through the first controller that is up.
func submitToFirstUp(t *testing.T, w *World, all []*Controller, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		for _, c := range all {
			if c.Up && w.Submit(c, spec) == nil {
				break
			}
		}
	}
}

func TestConstraintsHoldUnderPreemptionAndConsolidation(t *testing.T) {
	w := newConstraintDeployment(t, 4) // two machines in each zone
	low := newJob(model.Array, 8, func(spec *model.Spec) {
		spec.Priority, spec.CheckpointInterval, spec.CheckpointTime = model.PriorityLow, 5*second, second
	})
	w.RunTime = 300 * second
	submitJob(t, w, low)
	waitUntil(t, w, 20*second, "low-priority tasks fill all machines", func() bool { return activeTasks(w, low) == 8 })
	serve := newJob(model.Service, 2, func(spec *model.Spec) {
		spec.Priority, spec.Team = model.PriorityProduction, "blue"
	})
	submitConstrained(t, w, serve, "require zone = \"a\"; require at most 1 per machine",
		func(worker *Worker) bool { return worker.Zone == "a" })
	waitUntil(t, w, 30*second, "tasks are preempted in its zone", func() bool { return activeTasks(w, serve) == 2 })
	cancelJobs(t, w, w.Controllers[0], low)
	w.Advance(60 * second) // nothing waits: replicas are consolidated where they may be
	if activeTasks(w, serve) != 2 {
		t.Errorf("%d replicas", activeTasks(w, serve))
	}
}

func TestJobWaitsForMissingMachineType(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	submitJob(t, w, newJob(model.Service, 2, func(spec *model.Spec) { spec.Demand.CPU = 8 })) // keeps both machines
	all := w.Types
	w.Types = all[:1]
	w.Advance(70 * second) // the catalogue is read again
	spec := submitConstrained(t, w, newJob(model.Array, 1, nil), "require cpus >= 16", func(worker *Worker) bool {
		return worker.Type == "big"
	})
	w.Advance(20 * second)
	explanation := w.Leader().Reconciler.Explain(w.Now(), spec.ID)
	const remedy = "no machine that can be rented meets `require cpus >= 16` (line 1)"
	const refusal = "refused by `require cpus >= 16` (line 1)"
	if explanation == nil || explanation.Waiting != 1 ||
		!strings.Contains(strings.Join(explanation.Remedies, " "), remedy) ||
		len(explanation.Machines) == 0 ||
		explanation.Machines[0].Reason != refusal ||
		explanation.Machines[0].Count != 2 {
		t.Fatalf("%+v", explanation)
	}
	w.Types = all
	waitUntil(t, w, 120*second, "done once the type is back", jobDone(t, w, spec))
}

func TestUnreadableConstraintsStartNothing(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	spec := newJob(model.Array, 1, nil)
	spec.Rules = "require colour = \"blue\"" // of a later version
	submitJob(t, w, spec)
	w.Advance(30 * second)
	explanation := w.Leader().Reconciler.Explain(w.Now(), spec.ID)
	if activeTasks(w, spec) != 0 || explanation == nil || len(explanation.Reasons) != 1 ||
		!strings.Contains(explanation.Reasons[0], "cannot be read") {
		t.Errorf("%d tasks run, %+v", activeTasks(w, spec), explanation)
	}
}

func TestExplanationsNameTheDecidingReason(t *testing.T) {
	w := newConstraintDeployment(t, 8)
	w.RunTime = 60 * second
	limit := newJob(model.Array, 10, nil)
	submitJob(t, w, limit)
	behind := newJob(model.Array, 1, func(spec *model.Spec) { spec.Dependencies = []string{limit.ID} })
	submitJob(t, w, behind)
	preferred := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = "blue" })
	submitConstrained(t, w, preferred, "prefer 100 zone = \"b\"",
		func(worker *Worker) bool { return worker.Zone == "b" })
	w.Advance(6 * second)
	explain := func(spec *model.Spec) string {
		explanation := w.Leader().Reconciler.Explain(w.Now(), spec.ID)
		text := strings.Join(append(append(explanation.Reasons, explanation.Remedies...), explanation.Constraints...), "; ")
		for _, p := range explanation.Placements {
			text += "; " + p.Reason
		}
		return text
	}
	for spec, want := range map[*model.Spec]string{
		limit:     "team red is at its limit: 32 of 32 CPUs",
		behind:    "it awaits [" + limit.ID + "]",
		preferred: "+1.00 for wishes",
	} {
		if got := explain(spec); !strings.Contains(got, want) {
			t.Errorf("%s: %q, want %q", spec.ID, got, want)
		}
	}
	explanation := w.Leader().Reconciler.Explain(w.Now(), limit.ID)
	if explanation.OnMachines != 8 || explanation.Waiting != 2 || len(explanation.Placements) != 8 ||
		!strings.Contains(explanation.Placements[0].Reason, "most efficient") {
		t.Errorf("%+v", explanation)
	}
}
