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

// newShortage is a shortage of n tasks of two CPUs, two of which fill a small machine; change may be nil.
func newShortage(n int, change func(*model.Spec)) []scheduler.Shortage {
	spec := &model.Spec{
		ID:     "wk-000001",
		Class:  "c",
		Tasks:  n,
		Demand: model.Resources{CPU: 2, MemGB: 6},
		Shape:  model.Array,
	}
	if change != nil {
		change(spec)
	}
	job := model.NewJob(spec, time.Unix(0, 0), 1)
	return []scheduler.Shortage{
		{Request: &scheduler.Request{Job: job, TasksByZone: map[string]int{}}, Count: n},
	}
}

// newSnapshot is a snapshot of a cluster without machines.
func newSnapshot() *Snapshot {
	return &Snapshot{
		Types:          machineTypes,
		RefusedUntil:   map[Offer]time.Time{},
		MachinesByZone: map[string]int{},
		ReservedForGPU: func(t *model.MachineType, spot bool) bool { return t.Capacity.GPU > 0 && !spot },
	}
}

var testSettings = &Settings{
	MaxPerRequest:     50,
	IdleTimeout:       20 * time.Second,
	IdleBootFactor:    1,
	BootTimeoutFactor: 2,
	MinBilledTime:     time.Minute,
	SpotIdleFactor:    4,
}

// The offers of small machines that are not spot.
var (
	smallInA = Offer{Type: "small", Zone: "a"}
	smallInB = Offer{Type: "small", Zone: "b"}
)

// requested is how many machines of an offer are requested.
func requested(requests []Request, offer Offer) int {
	for _, r := range requests {
		if r.Offer == offer {
			return r.Count
		}
	}
	return 0
}

func TestScaleOutRequestsCheapestKindSpreadOverZones(t *testing.T) {
	requests := ScaleOut(testSettings, time.Unix(0, 0), newSnapshot(), newShortage(8, nil))
	if len(requests) != 2 || requested(requests, smallInA) != 2 || requested(requests, smallInB) != 2 {
		t.Errorf("requested %v, want 2 small machines in each zone", requests)
	}
}

// Machines for what has to be in one zone are requested in one: where most of it fits already, and where its tasks are
// once some run.
func TestScaleOutForOneZoneJobStaysInOneZone(t *testing.T) {
	scaleOut := func(snapshot *Snapshot, tasksByZone map[string]int) string {
		t.Helper()
		shortages := newShortage(8, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, true })
		shortages[0].Request.Count, shortages[0].Request.TasksByZone = 8, tasksByZone
		zones := ""
		for _, r := range ScaleOut(testSettings, time.Unix(100, 0), snapshot, shortages) {
			zones += r.Zone
		}
		return zones
	}
	roomInB := func(_ *scheduler.Request, zone string) int { return map[string]int{"b": 3}[zone] }
	if got := scaleOut(newSnapshot(), nil); got != "a" {
		t.Errorf("no machine: requested in %q, want %q", got, "a")
	}
	if got := scaleOut(newSnapshot(), map[string]int{"a": 0, "b": 1}); got != "b" {
		t.Errorf("a task in b: requested in %q, want %q", got, "b")
	}
	snapshot := newSnapshot()
	snapshot.Incoming = []*Incoming{{Type: &machineTypes[0], Zone: "b"}}
	if got := scaleOut(snapshot, nil); got != "b" {
		t.Errorf("a machine boots in b: requested in %q, want %q", got, "b")
	}
	snapshot = newSnapshot()
	snapshot.CapacityInZone = roomInB
	if got := scaleOut(snapshot, nil); got != "b" {
		t.Errorf("room in b: requested in %q, want %q", got, "b")
	}
	snapshot = newSnapshot()
	snapshot.CapacityInZone, snapshot.RefusedUntil[smallInB] = roomInB, time.Unix(200, 0)
	if got := scaleOut(snapshot, nil); got != "a" {
		t.Errorf("room in b, whose offer is refused: requested in %q, want %q", got, "a")
	}
}

// A type that states no boot time or spot price is still requested and waited for.
func TestScaleOutTypeWithoutBootTimeOrSpotPrice(t *testing.T) {
	snapshot := newSnapshot()
	capacity := model.Resources{CPU: 4, MemGB: 16}
	snapshot.Types = []model.MachineType{{Name: "own", Capacity: capacity, Zones: []string{"a"}}}
	shortages := newShortage(1, func(s *model.Spec) { s.AllowSpot = true })
	requests := ScaleOut(testSettings, time.Unix(0, 0), snapshot, shortages)
	if len(requests) != 1 || requests[0].Spot {
		t.Errorf("requested %v, want one machine that is not spot", requests)
	}
	if got := testSettings.BootTimeout(&snapshot.Types[0]); got < time.Minute {
		t.Errorf("boot timeout is %v, want a minute or more", got)
	}
}

func TestScaleOutRequestsSpotForJobsThatAllowIt(t *testing.T) {
	shortages := newShortage(4, func(s *model.Spec) { s.AllowSpot = true })
	for _, r := range ScaleOut(testSettings, time.Unix(0, 0), newSnapshot(), shortages) {
		if !r.Spot {
			t.Errorf("requested %v for a job that may use spot machines, want spot", r)
		}
	}
}

func TestScaleOutSkipsRefusedOffersUntilBackoffEnds(t *testing.T) {
	snapshot := newSnapshot()
	now := time.Unix(100, 0)
	snapshot.RefusedUntil[smallInA] = now.Add(time.Second)
	snapshot.RefusedUntil[smallInB] = now.Add(time.Second)
	if requests := ScaleOut(testSettings, now, snapshot, newShortage(2, nil)); len(requests) != 0 {
		t.Errorf("requested %v, want none: machines reserved for GPU work are no substitute", requests)
	}
	later := now.Add(2 * time.Second)
	if requests := ScaleOut(testSettings, later, snapshot, newShortage(2, nil)); len(requests) != 1 {
		t.Errorf("after the backoff: requested %v, want one request", requests)
	}
}

func TestScaleOutCountsIncomingCapacity(t *testing.T) {
	snapshot := newSnapshot()
	freeSoon := func() model.Resources { return model.Resources{CPU: 2, MemGB: 6} }
	snapshot.Incoming = []*Incoming{
		{Type: &machineTypes[0], Zone: "a"},
		{Type: &machineTypes[0], Zone: "b", FreeSoon: freeSoon},
	}
	now := time.Unix(0, 0)
	if requests := ScaleOut(testSettings, now, snapshot, newShortage(3, nil)); len(requests) != 0 {
		t.Errorf("requested %v, want none", requests)
	}
	overQuota := newShortage(9, nil)
	overQuota[0].OverQuota = true
	if requests := ScaleOut(testSettings, now, snapshot, overQuota); len(requests) != 0 {
		t.Errorf("for work over its team's quota: requested %v, want none", requests)
	}
	production := newShortage(3, func(s *model.Spec) { s.Priority = model.PriorityProduction })
	if requests := ScaleOut(testSettings, now, snapshot, production); len(requests) != 1 {
		t.Errorf("production, which does not wait for what may become free: requested %v, want one request", requests)
	}
}

func TestIdleMachineIsKeptForBilledTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		spot       bool
		empty, age time.Duration
		want       bool
	}{
		{"paid for a minute", false, 25 * time.Second, 50 * time.Second, false},
		{"a boot takes 30 s", false, 25 * time.Second, 70 * time.Second, false},
		{"idle for longer", false, 31 * time.Second, 70 * time.Second, true},
		{"spot is kept for 80 s", true, 31 * time.Second, 70 * time.Second, false},
		{"spot idle for longer", true, 81 * time.Second, 90 * time.Second, true},
	} {
		if got := testSettings.ShouldRelease(&machineTypes[0], c.spot, c.empty, c.age); got != c.want {
			t.Errorf("%s: release is %v, want %v", c.name, got, c.want)
		}
	}
}

// A machine in a zone that is cut off cannot register, and such a zone seems to have the fewest machines.
func TestScaleOutAvoidsSuspectZones(t *testing.T) {
	snapshot := newSnapshot()
	snapshot.MachinesByZone, snapshot.SuspectZones = map[string]int{"b": 9}, map[string]bool{"a": true}
	now := time.Unix(0, 0)
	requests := ScaleOut(testSettings, now, snapshot, newShortage(8, nil))
	if len(requests) != 1 || requested(requests, smallInB) != 4 {
		t.Errorf("requested %v, want 4 small machines in b", requests)
	}
	bound := newShortage(2, func(s *model.Spec) { s.Zone = "a" })
	requests = ScaleOut(testSettings, now, snapshot, bound)
	if len(requests) != 1 || requested(requests, smallInA) != 1 {
		t.Errorf("for a job that has to be in a: requested %v, want one small machine in a", requests)
	}
}

// What becomes free soon on a running machine is computed once, and only where tasks of a shortage may run.
func TestFreeSoonIsComputedOnlyWhereTasksMayRun(t *testing.T) {
	snapshot := newSnapshot()
	calls := map[string]int{}
	machine := func(name, zone string) *Incoming {
		return &Incoming{Type: &machineTypes[0], Zone: zone, FreeSoon: func() model.Resources {
			calls[name]++
			return model.Resources{}
		}}
	}
	snapshot.Incoming = []*Incoming{machine("other zone", "b"), machine("other zone too", "b"), machine("full", "a")}
	inA := func(s *model.Spec) { s.Zone = "a" }
	ScaleOut(testSettings, time.Unix(0, 0), snapshot, append(newShortage(3, inA), newShortage(2, inA)...))
	if len(calls) != 1 || calls["full"] != 1 {
		t.Errorf("computed %v, want only full, once", calls)
	}
}
