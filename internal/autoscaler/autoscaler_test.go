package autoscaler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

var machineTypes = []model.MachineType{
	{
		Name:             "small",
		Capacity:         model.Resources{CPU: 4, MemGB: 16},
		PricePerHour:     0.2,
		SpotPricePerHour: 0.05,
		BootTime:         30 * time.Second,
		Zones:            []string{"a", "b"},
	},
	{
		Name:             "gpu",
		Capacity:         model.Resources{CPU: 96, GPU: 8, MemGB: 384},
		PricePerHour:     28,
		SpotPricePerHour: 9,
		BootTime:         time.Minute,
		Zones:            []string{"a"},
	},
}

func newShortage(n int, change func(*model.Spec)) []scheduler.Shortage {
	s := &model.Spec{ID: "wk-000001", Class: "c", Tasks: n, Demand: model.Resources{CPU: 2, MemGB: 6}, Shape: model.Array}
	if change != nil {
		change(s)
	}
	return []scheduler.Shortage{
		{Request: &scheduler.Request{Job: model.NewJob(s, time.Unix(0, 0), 1), TasksByZone: map[string]int{}}, Count: n},
	}
}

func newSnapshot() *Snapshot {
	return &Snapshot{Types: machineTypes, RefusedUntil: map[Offer]time.Time{}, MachinesByZone: map[string]int{},
		ReservedForGPU: func(t *model.MachineType, spot bool) bool { return t.Capacity.GPU > 0 && !spot }}
}

var testSettings = &Settings{
	MaxPerRequest:     50,
	IdleTimeout:       20 * time.Second,
	IdleBootFactor:    1,
	BootTimeoutFactor: 2,
	MinBilledTime:     time.Minute,
	SpotIdleFactor:    4,
}

func requested(asks []Request, o Offer) int {
	for _, a := range asks {
		if a.Offer == o {
			return a.Count
		}
	}
	return 0
}

func TestScaleOutRequestsCheapestKindSpreadOverZones(t *testing.T) {
	asks := ScaleOut(testSettings, time.Unix(0, 0), newSnapshot(), newShortage(8, nil)) // two on a machine
	if len(asks) != 2 || requested(asks, Offer{"small", "a", false}) != 2 || requested(asks, Offer{"small", "b", false}) != 2 {
		t.Errorf("asked for %v", asks)
	}
}

// What has to be in one zone is rented for in one: where most of it fits already, and where its
// tasks are once some run. Before, its machines were spread and none of the zones took it whole.
func TestScaleOutForOneZoneJobStaysInOneZone(t *testing.T) {
	ask := func(v *Snapshot, held map[string]int) string {
		t.Helper()
		l := newShortage(8, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, true })
		l[0].Request.Count, l[0].Request.TasksByZone = 8, held
		zones := ""
		for _, a := range ScaleOut(testSettings, time.Unix(100, 0), v, l) {
			zones += a.Zone
		}
		return zones
	}
	if got := ask(newSnapshot(), nil); got != "a" {
		t.Errorf("nothing is up: rented in %q", got)
	}
	if got := ask(newSnapshot(), map[string]int{"a": 0, "b": 1}); got != "b" {
		t.Errorf("a task is in b: rented in %q", got)
	}
	v := newSnapshot()
	v.Incoming = []*Incoming{{Type: &machineTypes[0], Zone: "b"}}
	if got := ask(v, nil); got != "b" {
		t.Errorf("one boots in b: rented in %q", got)
	}
	v = newSnapshot()
	v.CapacityInZone = func(_ *scheduler.Request, zone string) int { return map[string]int{"b": 3}[zone] }
	if got := ask(v, nil); got != "b" {
		t.Errorf("there is room in b: rented in %q", got)
	}
	v = newSnapshot()
	v.CapacityInZone, v.RefusedUntil[Offer{"small", "b", false}] = func(_ *scheduler.Request, zone string) int { return map[string]int{"b": 3}[zone] }, time.Unix(
		200,
		0,
	)
	if got := ask(v, nil); got != "a" {
		t.Errorf("b is refused: rented in %q", got)
	}
}

// A type that says nothing of its boot time or has no spot price is still rented and waited for.
func TestScaleOutTypeWithoutBootTimeOrSpotPrice(t *testing.T) {
	v := newSnapshot()
	v.Types = []model.MachineType{{Name: "own", Capacity: model.Resources{CPU: 4, MemGB: 16}, Zones: []string{"a"}}}
	asks := ScaleOut(testSettings, time.Unix(0, 0), v, newShortage(1, func(s *model.Spec) { s.AllowSpot = true }))
	if len(asks) != 1 || asks[0].Spot {
		t.Errorf("asked for %v", asks)
	}
	if got := testSettings.BootTimeout(&v.Types[0]); got < time.Minute {
		t.Errorf("given up after %v", got)
	}
}

func TestScaleOutRequestsSpotForJobsThatAllowIt(t *testing.T) {
	for _, a := range ScaleOut(testSettings, time.Unix(0, 0), newSnapshot(), newShortage(4, func(s *model.Spec) { s.AllowSpot = true })) {
		if !a.Spot {
			t.Errorf("a job that may use spot machines gets %v", a)
		}
	}
}

func TestScaleOutSkipsRefusedOffersUntilBackoffEnds(t *testing.T) {
	v := newSnapshot()
	now := time.Unix(100, 0)
	v.RefusedUntil[Offer{"small", "a", false}] = now.Add(time.Second)
	v.RefusedUntil[Offer{"small", "b", false}] = now.Add(time.Second)
	if asks := ScaleOut(testSettings, now, v, newShortage(2, nil)); len(asks) != 0 {
		t.Errorf("machines kept for GPU work are no substitute: asked for %v", asks)
	}
	if asks := ScaleOut(testSettings, now.Add(2*time.Second), v, newShortage(2, nil)); len(asks) != 1 {
		t.Errorf("after the wait: asked for %v", asks)
	}
}

func TestScaleOutCountsIncomingCapacity(t *testing.T) {
	v := newSnapshot()
	v.Incoming = []*Incoming{
		{Type: &machineTypes[0], Zone: "a"},
		{Type: &machineTypes[0], Zone: "b", FreeSoon: func() model.Resources { return model.Resources{CPU: 2, MemGB: 6} }},
	}
	if asks := ScaleOut(testSettings, time.Unix(0, 0), v, newShortage(3, nil)); len(asks) != 0 {
		t.Errorf("asked for %v", asks)
	}
	limited := newShortage(9, nil)
	limited[0].OverQuota = true
	if asks := ScaleOut(testSettings, time.Unix(0, 0), v, limited); len(asks) != 0 {
		t.Errorf("for work that its team's limit keeps back: asked for %v", asks)
	}
	if asks := ScaleOut(testSettings, time.Unix(0, 0), v, newShortage(3, func(s *model.Spec) { s.Priority = model.PriorityProduction })); len(
		asks,
	) != 1 {
		t.Errorf("production does not wait for what may become free: asked for %v", asks)
	}
}

func TestIdleMachineIsKeptForBilledTime(t *testing.T) {
	for _, c := range []struct {
		spot       bool
		empty, age time.Duration
		back       bool
	}{
		{false, 25 * time.Second, 50 * time.Second, false}, // paid for a minute
		{false, 25 * time.Second, 70 * time.Second, false}, // a boot takes 30 s
		{false, 31 * time.Second, 70 * time.Second, true},
		{true, 31 * time.Second, 70 * time.Second, false}, // spot: 80 s
		{true, 81 * time.Second, 90 * time.Second, true},
	} {
		if got := testSettings.ShouldRelease(&machineTypes[0], c.spot, c.empty, c.age); got != c.back {
			t.Errorf("%+v: given back: %v", c, got)
		}
	}
}

// Guards against renting where nothing can report: a zone that is cut off seems to
// have the fewest machines.
func TestScaleOutAvoidsSuspectZones(t *testing.T) {
	v := newSnapshot()
	v.MachinesByZone, v.SuspectZones = map[string]int{"b": 9}, map[string]bool{"a": true}
	if asks := ScaleOut(testSettings, time.Unix(0, 0), v, newShortage(8, nil)); len(asks) != 1 ||
		requested(asks, Offer{"small", "b", false}) != 4 {
		t.Errorf("asked for %v", asks)
	}
	bound := newShortage(2, func(s *model.Spec) { s.Zone = "a" })
	if asks := ScaleOut(testSettings, time.Unix(0, 0), v, bound); len(asks) != 1 || requested(asks, Offer{"small", "a", false}) != 1 {
		t.Errorf("for a job that is bound to it: asked for %v", asks)
	}
}

// Guards against working out what ends soon on every machine that is up, five times a second: it is asked for once,
// and
// only of machines on which what is lacking may run.
func TestFreeSoonIsComputedOnlyWhereTasksMayRun(t *testing.T) {
	v := newSnapshot()
	asked := map[string]int{}
	machine := func(name, zone string) *Incoming {
		return &Incoming{Type: &machineTypes[0], Zone: zone, FreeSoon: func() model.Resources {
			asked[name]++
			return model.Resources{}
		}}
	}
	v.Incoming = []*Incoming{machine("other zone", "b"), machine("another zone too", "b"), machine("full", "a")}
	inA := func(s *model.Spec) { s.Zone = "a" }
	ScaleOut(testSettings, time.Unix(0, 0), v, append(newShortage(3, inA), newShortage(2, inA)...))
	if len(asked) != 1 || asked["full"] != 1 {
		t.Errorf("asked: %v", asked)
	}
}
