package fake

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// ruled is a deployment with a second, larger type of machine, dearer by far.
func ruled(t *testing.T, machines int) *World {
	t.Helper()
	w := deployment(t, machines)
	w.Types = append(w.Types, model.MachineType{Name: "big", Capacity: model.Resources{CPU: 16, MemGB: 128}, PricePerHour: 9, SpotPricePerHour: 5, BootTime: 5 * second, Zones: []string{"a", "b"}})
	for _, c := range w.Controllers {
		c.Crash()
		c.Start()
	}
	until(t, w, 10*second, "another leads", func() bool { return w.Leader() != nil })
	return w
}

// under submits a job with rules, and has every start of it checked by a predicate.
func under(t *testing.T, w *World, s *model.Spec, rules string, holds func(k *Worker) bool) *model.Spec {
	t.Helper()
	s.Rules = rules
	w.Allowed[s.ID] = holds
	submit(t, w, s)
	return s
}

func TestHardRulesHoldInRentingAndThroughTakeovers(t *testing.T) {
	w := ruled(t, 4)
	w.Run = 15 * second
	s := under(t, w, job(model.Array, 6, nil), "require type = \"big\" and zone = \"b\" and not spot\nrequire at most 1 per machine",
		func(k *Worker) bool { return k.Type == "big" && k.Zone == "b" && !k.Spot && k.Of("wk-") <= 1 })
	until(t, w, 60*second, "its tasks run", func() bool { return on(w, s) >= 3 })
	for range 3 {
		w.Leader().Crash()
		w.Pass(3 * second)
		for _, c := range w.Controllers {
			if !c.Up {
				c.Start()
			}
		}
		until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
	}
	until(t, w, 120*second, "done", done(t, w, s))
	for _, k := range w.Workers {
		if k.Type == "big" && (k.Zone != "b" || k.Spot) {
			t.Errorf("%s in %s was rented, spot %v", k.Name, k.Zone, k.Spot)
		}
	}
}

func TestNearAndApartFromOtherJobs(t *testing.T) {
	w := ruled(t, 6)
	data := job(model.Service, 1, func(s *model.Spec) { s.Zone = "b" })
	submit(t, w, data)
	until(t, w, 20*second, "the service runs", func() bool { return on(w, data) == 1 })
	host := w.On(model.TaskID{Job: data.ID})[0]
	near := under(t, w, job(model.Array, 3, nil), "require same zone as "+data.ID, func(k *Worker) bool { return k.Zone == "b" })
	apart := under(t, w, job(model.Array, 3, nil), "require apart from "+data.ID+"; prefer 100 same zone as "+data.ID, func(k *Worker) bool { return k.Name != host })
	far := under(t, w, job(model.Array, 2, nil), "require apart from "+data.ID+" by zone", func(k *Worker) bool { return k.Zone == "a" })
	for _, s := range []*model.Spec{near, apart, far} {
		until(t, w, 90*second, "done", done(t, w, s))
	}
}

// Both are placed in one pass: the rule holds against where the other one starts just now.
func TestApartFromAJobThatStartsInTheSamePass(t *testing.T) {
	w := ruled(t, 2)
	w.Run = 30 * second
	first := job(model.Array, 1, func(s *model.Spec) { s.Priority, s.Team = model.PriorityProduction, "blue" })
	behind := job(model.Gang, 2, func(s *model.Spec) { s.Demand.CPU = 2 })
	behind.Rules = "require apart from " + first.ID + " by zone"
	w.Leader().Crash() // both are there when the next leader makes its first pass
	submitTo(t, w, w.Controllers, first, behind)
	until(t, w, 60*second, "both run", func() bool { return on(w, first) == 1 && on(w, behind) == 2 })
	zone := w.Workers[w.On(model.TaskID{Job: first.ID})[0]].Zone
	for i := range behind.Tasks {
		if at := w.Workers[w.On(model.TaskID{Job: behind.ID, Index: i})[0]]; at.Zone == zone {
			t.Errorf("task %d is on %s, in the other job's zone %s", i, at.Name, zone)
		}
	}
}

// submitTo submits through the first controller that is up.
func submitTo(t *testing.T, w *World, all []*Controller, specs ...*model.Spec) {
	t.Helper()
	for _, s := range specs {
		for _, c := range all {
			if c.Up && w.Submit(c, s) == nil {
				break
			}
		}
	}
}

func TestRulesHoldWhereRoomIsMadeAndWhereReplicasMove(t *testing.T) {
	w := ruled(t, 4) // two machines in each zone
	low := job(model.Array, 8, func(s *model.Spec) {
		s.Priority, s.CheckpointInterval, s.CheckpointTime = model.PriorityLow, 5*second, second
	})
	w.Run = 300 * second
	submit(t, w, low)
	until(t, w, 20*second, "low work fills all", func() bool { return on(w, low) == 8 })
	serve := under(t, w, job(model.Service, 2, func(s *model.Spec) { s.Priority, s.Team = model.PriorityProduction, "blue" }), "require zone = \"a\"; require at most 1 per machine",
		func(k *Worker) bool { return k.Zone == "a" })
	until(t, w, 30*second, "room is made in its zone", func() bool { return on(w, serve) == 2 })
	w.Cancel(w.Controllers[0], low.ID)
	w.Pass(60 * second) // nothing waits: replicas move together where they may
	if on(w, serve) != 2 {
		t.Errorf("%d replicas", on(w, serve))
	}
}

func TestAnAcceptedJobWaitsForATypeThatIsGone(t *testing.T) {
	w := ruled(t, 2)
	submit(t, w, job(model.Service, 2, func(s *model.Spec) { s.Demand.CPU = 8 })) // keeps both machines
	all := w.Types
	w.Types = all[:1]
	w.Pass(70 * second) // the catalogue is read anew
	s := under(t, w, job(model.Array, 1, nil), "require cpus >= 16", func(k *Worker) bool { return k.Type == "big" })
	w.Pass(20 * second)
	e := w.Leader().Core.Explain(w.Now(), s.ID)
	if e == nil || e.Waiting != 1 || !strings.Contains(strings.Join(e.Remedies, " "), "no machine that can be rented meets `require cpus >= 16` (line 1)") ||
		len(e.Machines) == 0 || e.Machines[0].Reason != "refused by `require cpus >= 16` (line 1)" || e.Machines[0].Count != 2 {
		t.Fatalf("%+v", e)
	}
	w.Types = all
	until(t, w, 120*second, "done once the type is back", done(t, w, s))
}

func TestAVersionThatCannotReadRulesStartsNothing(t *testing.T) {
	w := ruled(t, 2)
	s := job(model.Array, 1, nil)
	s.Rules = "require colour = \"blue\"" // of a version to come
	submit(t, w, s)
	w.Pass(30 * second)
	e := w.Leader().Core.Explain(w.Now(), s.ID)
	if on(w, s) != 0 || e == nil || len(e.Reasons) != 1 || !strings.Contains(e.Reasons[0], "cannot be read") {
		t.Errorf("%d tasks run, %+v", on(w, s), e)
	}
}

func TestExplanationsSayWhatDecides(t *testing.T) {
	w := ruled(t, 8)
	w.Run = 60 * second
	limit := job(model.Array, 10, nil)
	submit(t, w, limit)
	behind := job(model.Array, 1, func(s *model.Spec) { s.Dependencies = []string{limit.ID} })
	submit(t, w, behind)
	wish := under(t, w, job(model.Array, 1, func(s *model.Spec) { s.Team = "blue" }), "prefer 100 zone = \"b\"", func(k *Worker) bool { return k.Zone == "b" })
	w.Pass(6 * second)
	explain := func(s *model.Spec) string {
		e := w.Leader().Core.Explain(w.Now(), s.ID)
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
	if e := w.Leader().Core.Explain(w.Now(), limit.ID); e.OnMachines != 8 || e.Waiting != 2 || len(e.Placements) != 8 || !strings.Contains(e.Placements[0].Reason, "most efficient") {
		t.Errorf("%+v", e)
	}
}
