package fake

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// newConstraintDeployment returns a deployment that has a leader and a second machine type, which is larger and far
// more expensive than the first.
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

// submitConstrained submits a job with constraints and returns its specification. The test fails if a task of the job
// starts on a worker for which allowed returns false.
func submitConstrained(
	t *testing.T,
	w *World,
	spec *model.Spec,
	constraints string,
	allowed func(worker *Worker) bool,
) *model.Spec {
	t.Helper()
	spec.Rules = constraints
	w.PlacementAllowed[spec.ID] = allowed
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
	waitUntil(t, w, 60*second, "half of the tasks run", func() bool { return activeTasks(w, spec) >= 3 })
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
	waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
	for _, worker := range w.Workers {
		if worker.Type == "big" && (worker.Zone != "b" || worker.Spot) {
			t.Errorf("machine %s was provisioned in zone %s with spot=%v, want zone b and no spot machine",
				worker.Name, worker.Zone, worker.Spot)
		}
	}
}

func TestAffinityAndAntiAffinityToOtherJobsHold(t *testing.T) {
	w := newConstraintDeployment(t, 6)
	service := newJob(model.Service, 1, func(spec *model.Spec) { spec.Zone = "b" })
	submitJob(t, w, service)
	waitUntil(t, w, 20*second, "the service runs", func() bool { return activeTasks(w, service) == 1 })
	serviceMachine := w.MachinesOf(model.TaskID{Job: service.ID})[0]
	sameZone := submitConstrained(t, w, newJob(model.Array, 3, nil), "require same zone as "+service.ID,
		func(worker *Worker) bool { return worker.Zone == "b" })
	otherMachine := submitConstrained(t, w, newJob(model.Array, 3, nil),
		"require apart from "+service.ID+"; prefer 100 same zone as "+service.ID,
		func(worker *Worker) bool { return worker.Name != serviceMachine })
	otherZone := submitConstrained(t, w, newJob(model.Array, 2, nil), "require apart from "+service.ID+" by zone",
		func(worker *Worker) bool { return worker.Zone == "a" })
	for _, spec := range []*model.Spec{sameZone, otherMachine, otherZone} {
		waitUntil(t, w, 90*second, "the constrained job is done", jobDone(t, w, spec))
	}
}

// Both jobs are placed in one scheduling pass. The gang's constraint must also hold against the task of the first
// job, which is placed earlier in that pass.
func TestAntiAffinityHoldsWithinOnePass(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	w.RunTime = 30 * second
	first := newJob(model.Array, 1, func(spec *model.Spec) { spec.Priority, spec.Team = model.PriorityProduction, "blue" })
	gang := newJob(model.Gang, 2, func(spec *model.Spec) { spec.Demand.CPU = 2 })
	gang.Rules = "require apart from " + first.ID + " by zone"
	w.Leader().Crash() // both jobs are pending when the next leader runs its first pass
	submitToFirstUp(t, w, w.Controllers, first, gang)
	waitUntil(t, w, 60*second, "both jobs run", func() bool {
		return activeTasks(w, first) == 1 && activeTasks(w, gang) == 2
	})
	zone := w.Workers[w.MachinesOf(model.TaskID{Job: first.ID})[0]].Zone
	for i := range gang.Tasks {
		if worker := w.Workers[w.MachinesOf(model.TaskID{Job: gang.ID, Index: i})[0]]; worker.Zone == zone {
			t.Errorf("task %d of the gang is on %s in zone %s, where the other job runs", i, worker.Name, zone)
		}
	}
}

// submitToFirstUp submits each job through the first of the controllers that is up and accepts it.
func submitToFirstUp(t *testing.T, w *World, controllers []*Controller, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		for _, c := range controllers {
			if c.Up && w.Submit(c, spec) == nil {
				break
			}
		}
	}
}

func TestConstraintsHoldUnderPreemptionAndConsolidation(t *testing.T) {
	w := newConstraintDeployment(t, 4) // two machines in each zone
	lowPriority := newJob(model.Array, 8, func(spec *model.Spec) {
		spec.Priority, spec.CheckpointInterval, spec.CheckpointTime = model.PriorityLow, 5*second, second
	})
	w.RunTime = 300 * second
	submitJob(t, w, lowPriority)
	waitUntil(t, w, 20*second, "low-priority tasks fill all machines", func() bool {
		return activeTasks(w, lowPriority) == 8
	})
	service := newJob(model.Service, 2, func(spec *model.Spec) {
		spec.Priority, spec.Team = model.PriorityProduction, "blue"
	})
	submitConstrained(t, w, service, "require zone = \"a\"; require at most 1 per machine",
		func(worker *Worker) bool { return worker.Zone == "a" })
	waitUntil(t, w, 30*second, "tasks are preempted in its zone", func() bool { return activeTasks(w, service) == 2 })
	cancelJobs(t, w, w.Controllers[0], lowPriority)
	w.Advance(60 * second) // no job is pending, so replicas are consolidated where their constraints allow it
	if activeTasks(w, service) != 2 {
		t.Errorf("replicas after consolidation: got %d, want 2", activeTasks(w, service))
	}
}

func TestJobWaitsForMissingMachineType(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	// The service occupies both machines.
	submitJob(t, w, newJob(model.Service, 2, func(spec *model.Spec) { spec.Demand.CPU = 8 }))
	allTypes := w.Types
	w.Types = allTypes[:1]
	w.Advance(70 * second) // long enough for the controllers to read the catalog again
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
		t.Fatalf("no machine type matches: got explanation %+v, want 1 waiting task, 2 refused machines and a remedy",
			explanation)
	}
	w.Types = allTypes
	waitUntil(t, w, 120*second, "the job is done after the machine type has returned", jobDone(t, w, spec))
}

func TestUnreadableConstraintsStartNothing(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	spec := newJob(model.Array, 1, nil)
	spec.Rules = "require colour = \"blue\"" // a constraint that only a later version can read
	submitJob(t, w, spec)
	w.Advance(30 * second)
	explanation := w.Leader().Reconciler.Explain(w.Now(), spec.ID)
	if activeTasks(w, spec) != 0 || explanation == nil || len(explanation.Reasons) != 1 ||
		!strings.Contains(explanation.Reasons[0], "cannot be read") {
		t.Errorf("with unreadable constraints: got %d running tasks and explanation %+v, want 0 and that they cannot be read",
			activeTasks(w, spec), explanation)
	}
}

func TestExplanationsNameTheDecidingReason(t *testing.T) {
	w := newConstraintDeployment(t, 8)
	w.RunTime = 60 * second
	overQuota := newJob(model.Array, 10, nil)
	submitJob(t, w, overQuota)
	dependent := newJob(model.Array, 1, func(spec *model.Spec) { spec.Dependencies = []string{overQuota.ID} })
	submitJob(t, w, dependent)
	preferred := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = "blue" })
	submitConstrained(t, w, preferred, "prefer 100 zone = \"b\"",
		func(worker *Worker) bool { return worker.Zone == "b" })
	w.Advance(6 * second)
	explain := func(spec *model.Spec) string {
		explanation := w.Leader().Reconciler.Explain(w.Now(), spec.ID)
		text := strings.Join(append(append(explanation.Reasons, explanation.Remedies...), explanation.Constraints...), "; ")
		for _, placement := range explanation.Placements {
			text += "; " + placement.Reason
		}
		return text
	}
	for spec, want := range map[*model.Spec]string{
		overQuota: "team red is at its limit: 32 of 32 CPUs",
		dependent: "it awaits [" + overQuota.ID + "]",
		preferred: "+1.00 for wishes",
	} {
		if got := explain(spec); !strings.Contains(got, want) {
			t.Errorf("explanation of %s: got %q, want it to contain %q", spec.ID, got, want)
		}
	}
	explanation := w.Leader().Reconciler.Explain(w.Now(), overQuota.ID)
	if explanation.OnMachines != 8 || explanation.Waiting != 2 || len(explanation.Placements) != 8 ||
		!strings.Contains(explanation.Placements[0].Reason, "most efficient") {
		t.Errorf("partly placed job: got explanation %+v, want 8 efficient placements and 2 waiting tasks", explanation)
	}
}
