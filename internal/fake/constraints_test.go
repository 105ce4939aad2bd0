package fake

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// newConstraintDeployment is a deployment with a second, larger type of machine, dearer by far.
func newConstraintDeployment(t *testing.T, machines int) *World {
	t.Helper()
	w := newDeployment(t, machines)
	w.Types = append(w.Types, model.MachineType{Name: "big", Capacity: model.Resources{CPU: 16, MemGB: 128}, PricePerHour: 9, SpotPricePerHour: 5, BootTime: 5 * second, Zones: []string{"a", "b"}})
	for _, c := range w.Controllers {
		c.Crash()
		c.Start()
	}
	waitUntil(t, w, 10*second, "another leads", func() bool { return w.Leader() != nil })
	return w
}

// submitConstrained submits a job with rules, and has every start of it checked by a predicate.
func submitConstrained(t *testing.T, w *World, s *model.Spec, rules string, holds func(k *Worker) bool) *model.Spec {
	t.Helper()
	s.Rules = rules
	w.PlacementAllowed[s.ID] = holds
	submitJob(t, w, s)
	return s
}

func TestRequiredConstraintsHoldWhenProvisioningAndAfterFailover(t *testing.T) {
	w := newConstraintDeployment(t, 4)
	w.RunTime = 15 * second
	s := submitConstrained(t, w, newJob(model.Array, 6, nil), "require type = \"big\" and zone = \"b\" and not spot\nrequire at most 1 per machine",
		func(k *Worker) bool { return k.Type == "big" && k.Zone == "b" && !k.Spot && k.CountTasks("wk-") <= 1 })
	waitUntil(t, w, 60*second, "its tasks run", func() bool { return activeTasks(w, s) >= 3 })
	for range 3 {
		w.Leader().Crash()
		w.Advance(3 * second)
		for _, c := range w.Controllers {
			if !c.Up {
				c.Start()
			}
		}
		waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
	}
	waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
	for _, k := range w.Workers {
		if k.Type == "big" && (k.Zone != "b" || k.Spot) {
			t.Errorf("%s in %s was rented, spot %v", k.Name, k.Zone, k.Spot)
		}
	}
}

func TestAffinityAndAntiAffinityToOtherJobsHold(t *testing.T) {
	w := newConstraintDeployment(t, 6)
	data := newJob(model.Service, 1, func(s *model.Spec) { s.Zone = "b" })
	submitJob(t, w, data)
	waitUntil(t, w, 20*second, "the service runs", func() bool { return activeTasks(w, data) == 1 })
	host := w.MachinesOf(model.TaskID{Job: data.ID})[0]
	near := submitConstrained(t, w, newJob(model.Array, 3, nil), "require same zone as "+data.ID, func(k *Worker) bool { return k.Zone == "b" })
	apart := submitConstrained(t, w, newJob(model.Array, 3, nil), "require apart from "+data.ID+"; prefer 100 same zone as "+data.ID, func(k *Worker) bool { return k.Name != host })
	far := submitConstrained(t, w, newJob(model.Array, 2, nil), "require apart from "+data.ID+" by zone", func(k *Worker) bool { return k.Zone == "a" })
	for _, s := range []*model.Spec{near, apart, far} {
		waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
	}
}

// Both are placed in one pass: the rule holds against where the other one starts just now.
func TestAntiAffinityHoldsWithinOnePass(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	w.RunTime = 30 * second
	first := newJob(model.Array, 1, func(s *model.Spec) { s.Priority, s.Team = model.PriorityProduction, "blue" })
	behind := newJob(model.Gang, 2, func(s *model.Spec) { s.Demand.CPU = 2 })
	behind.Rules = "require apart from " + first.ID + " by zone"
	w.Leader().Crash() // both are there when the next leader makes its first pass
	submitToFirstUp(t, w, w.Controllers, first, behind)
	waitUntil(t, w, 60*second, "both run", func() bool { return activeTasks(w, first) == 1 && activeTasks(w, behind) == 2 })
	zone := w.Workers[w.MachinesOf(model.TaskID{Job: first.ID})[0]].Zone
	for i := range behind.Tasks {
		if at := w.Workers[w.MachinesOf(model.TaskID{Job: behind.ID, Index: i})[0]]; at.Zone == zone {
			t.Errorf("task %d is on %s, in the other job's zone %s", i, at.Name, zone)
		}
	}
}

// submitToFirstUp submits through the first controller that is up.
func submitToFirstUp(t *testing.T, w *World, all []*Controller, specs ...*model.Spec) {
	t.Helper()
	for _, s := range specs {
		for _, c := range all {
			if c.Up && w.Submit(c, s) == nil {
				break
			}
		}
	}
}

func TestConstraintsHoldUnderPreemptionAndConsolidation(t *testing.T) {
	w := newConstraintDeployment(t, 4) // two machines in each zone
	low := newJob(model.Array, 8, func(s *model.Spec) {
		s.Priority, s.CheckpointInterval, s.CheckpointTime = model.PriorityLow, 5*second, second
	})
	w.RunTime = 300 * second
	submitJob(t, w, low)
	waitUntil(t, w, 20*second, "low work fills all", func() bool { return activeTasks(w, low) == 8 })
	serve := submitConstrained(t, w, newJob(model.Service, 2, func(s *model.Spec) { s.Priority, s.Team = model.PriorityProduction, "blue" }), "require zone = \"a\"; require at most 1 per machine",
		func(k *Worker) bool { return k.Zone == "a" })
	waitUntil(t, w, 30*second, "room is made in its zone", func() bool { return activeTasks(w, serve) == 2 })
	w.Cancel(w.Controllers[0], low.ID)
	w.Advance(60 * second) // nothing waits: replicas move together where they may
	if activeTasks(w, serve) != 2 {
		t.Errorf("%d replicas", activeTasks(w, serve))
	}
}

func TestJobWaitsForMissingMachineType(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	submitJob(t, w, newJob(model.Service, 2, func(s *model.Spec) { s.Demand.CPU = 8 })) // keeps both machines
	all := w.Types
	w.Types = all[:1]
	w.Advance(70 * second) // the catalogue is read anew
	s := submitConstrained(t, w, newJob(model.Array, 1, nil), "require cpus >= 16", func(k *Worker) bool { return k.Type == "big" })
	w.Advance(20 * second)
	e := w.Leader().Reconciler.Explain(w.Now(), s.ID)
	if e == nil || e.Waiting != 1 || !strings.Contains(strings.Join(e.Remedies, " "), "no machine that can be rented meets `require cpus >= 16` (line 1)") ||
		len(e.Machines) == 0 || e.Machines[0].Reason != "refused by `require cpus >= 16` (line 1)" || e.Machines[0].Count != 2 {
		t.Fatalf("%+v", e)
	}
	w.Types = all
	waitUntil(t, w, 120*second, "done once the type is back", jobDone(t, w, s))
}

func TestUnreadableConstraintsStartNothing(t *testing.T) {
	w := newConstraintDeployment(t, 2)
	s := newJob(model.Array, 1, nil)
	s.Rules = "require colour = \"blue\"" // of a version to come
	submitJob(t, w, s)
	w.Advance(30 * second)
	e := w.Leader().Reconciler.Explain(w.Now(), s.ID)
	if activeTasks(w, s) != 0 || e == nil || len(e.Reasons) != 1 || !strings.Contains(e.Reasons[0], "cannot be read") {
		t.Errorf("%d tasks run, %+v", activeTasks(w, s), e)
	}
}

func TestExplanationsNameTheDecidingReason(t *testing.T) {
	w := newConstraintDeployment(t, 8)
	w.RunTime = 60 * second
	limit := newJob(model.Array, 10, nil)
	submitJob(t, w, limit)
	behind := newJob(model.Array, 1, func(s *model.Spec) { s.Dependencies = []string{limit.ID} })
	submitJob(t, w, behind)
	wish := submitConstrained(t, w, newJob(model.Array, 1, func(s *model.Spec) { s.Team = "blue" }), "prefer 100 zone = \"b\"", func(k *Worker) bool { return k.Zone == "b" })
	w.Advance(6 * second)
	explain := func(s *model.Spec) string {
		e := w.Leader().Reconciler.Explain(w.Now(), s.ID)
		text := strings.Join(append(append(e.Reasons, e.Remedies...), e.Constraints...), "; ")
		for _, p := range e.Placements {
			text += "; " + p.Reason
		}
		return text
	}
	for s, want := range map[*model.Spec]string{limit: "team red is at its limit: 32 of 32 CPUs", behind: "it awaits [" + limit.ID + "]", wish: "+1.00 for wishes"} {
		if got := explain(s); !strings.Contains(got, want) {
			t.Errorf("%s: %q, want %q", s.ID, got, want)
		}
	}
	if e := w.Leader().Reconciler.Explain(w.Now(), limit.ID); e.OnMachines != 8 || e.Waiting != 2 || len(e.Placements) != 8 || !strings.Contains(e.Placements[0].Reason, "most efficient") {
		t.Errorf("%+v", e)
	}
}
