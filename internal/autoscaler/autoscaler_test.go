package autoscaler

import (
	"fmt"
	"maps"
	"math/rand/v2"
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

// newShortage returns a shortage of n tasks that demand two CPUs each, so that two tasks fill a small machine.
// modify, if not nil, changes the job's spec.
func newShortage(n int, modify func(*model.Spec)) []scheduler.Shortage {
	spec := &model.Spec{
		ID:     "wk-000001",
		Class:  "c",
		Tasks:  n,
		Demand: model.Resources{CPU: 2, MemGB: 6},
		Shape:  model.Array,
	}
	if modify != nil {
		modify(spec)
	}
	job := model.NewJob(spec, time.Unix(0, 0), 1)
	return []scheduler.Shortage{
		{Request: &scheduler.Request{Job: job, TasksByZone: map[string]int{}}, Count: n},
	}
}

// newSnapshot returns a snapshot of a cluster without machines.
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

// The offers of small on-demand machines.
var (
	smallInA = Offer{Type: "small", Zone: "a"}
	smallInB = Offer{Type: "small", Zone: "b"}
)

// requestedCount returns how many machines of an offer are requested.
func requestedCount(requests []MachineRequest, offer Offer) int {
	for _, r := range requests {
		if r.Offer == offer {
			return r.Count
		}
	}
	return 0
}

func TestScaleOutRequestsCheapestKindSpreadOverZones(t *testing.T) {
	requests := ScaleOut(testSettings, time.Unix(0, 0), newSnapshot(), newShortage(8, nil))
	if len(requests) != 2 || requestedCount(requests, smallInA) != 2 || requestedCount(requests, smallInB) != 2 {
		t.Errorf("requested %v, want 2 small machines in each zone", requests)
	}
}

// All machines for a single-zone job are requested in the same zone: the zone of its running tasks if there are any,
// or else the zone where most of its tasks fit on running and incoming machines.
func TestScaleOutForOneZoneJobStaysInOneZone(t *testing.T) {
	requestedZones := func(snapshot *Snapshot, tasksByZone map[string]int) string {
		t.Helper()
		shortages := newShortage(8, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, true })
		shortages[0].Request.PendingTasks, shortages[0].Request.TasksByZone = 8, tasksByZone
		zones := ""
		for _, r := range ScaleOut(testSettings, time.Unix(100, 0), snapshot, shortages) {
			zones += r.Zone
		}
		return zones
	}
	capacityInB := func(_ *scheduler.Request, zone string) int { return map[string]int{"b": 3}[zone] }
	if got := requestedZones(newSnapshot(), nil); got != "a" {
		t.Errorf("no machines: requested in %q, want %q", got, "a")
	}
	if got := requestedZones(newSnapshot(), map[string]int{"a": 0, "b": 1}); got != "b" {
		t.Errorf("task running in b: requested in %q, want %q", got, "b")
	}
	snapshot := newSnapshot()
	snapshot.Incoming = []*Incoming{{Type: &machineTypes[0], Zone: "b"}}
	if got := requestedZones(snapshot, nil); got != "b" {
		t.Errorf("machine booting in b: requested in %q, want %q", got, "b")
	}
	snapshot = newSnapshot()
	snapshot.CapacityInZone = capacityInB
	if got := requestedZones(snapshot, nil); got != "b" {
		t.Errorf("capacity in b: requested in %q, want %q", got, "b")
	}
	snapshot = newSnapshot()
	snapshot.CapacityInZone, snapshot.RefusedUntil[smallInB] = capacityInB, time.Unix(200, 0)
	if got := requestedZones(snapshot, nil); got != "a" {
		t.Errorf("capacity in b, whose offer is refused: requested in %q, want %q", got, "a")
	}
}

// A machine type without a boot time or a spot price is still requested, but not as a spot machine, and its machines
// are given time to boot.
func TestScaleOutTypeWithoutBootTimeOrSpotPrice(t *testing.T) {
	snapshot := newSnapshot()
	capacity := model.Resources{CPU: 4, MemGB: 16}
	snapshot.Types = []model.MachineType{{Name: "own", Capacity: capacity, Zones: []string{"a"}}}
	shortages := newShortage(1, func(s *model.Spec) { s.AllowSpot = true })
	requests := ScaleOut(testSettings, time.Unix(0, 0), snapshot, shortages)
	if len(requests) != 1 || requests[0].Spot {
		t.Errorf("requested %v, want one on-demand machine", requests)
	}
	if got := testSettings.BootTimeout(&snapshot.Types[0]); got < time.Minute {
		t.Errorf("boot timeout is %v, want at least 1m", got)
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
		t.Errorf("requested %v, want none: machines reserved for GPU work must not be used instead", requests)
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
		t.Errorf("shortage over the team's quota: requested %v, want none", requests)
	}
	production := newShortage(3, func(s *model.Spec) { s.Priority = model.PriorityProduction })
	if requests := ScaleOut(testSettings, now, snapshot, production); len(requests) != 1 {
		t.Errorf("production, which must not wait for capacity on running machines: requested %v, want one request", requests)
	}
}

func TestIdleMachineIsKeptForBilledTime(t *testing.T) {
	for _, test := range []struct {
		name          string
		spot          bool
		idleTime, age time.Duration
		want          bool
	}{
		{"younger than the billed minimum", false, 25 * time.Second, 50 * time.Second, false},
		{"idle for less than the boot time of 30 s", false, 25 * time.Second, 70 * time.Second, false},
		{"idle for longer than the boot time", false, 31 * time.Second, 70 * time.Second, true},
		{"spot, idle for less than 80 s", true, 31 * time.Second, 70 * time.Second, false},
		{"spot, idle for longer than 80 s", true, 81 * time.Second, 90 * time.Second, true},
	} {
		if got := testSettings.ShouldRelease(&machineTypes[0], test.spot, test.idleTime, test.age); got != test.want {
			t.Errorf("%s: ShouldRelease returned %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against requesting machines in a zone that is suspected to be partitioned. They could not register, and such
// a zone is otherwise preferred because it appears to have the fewest machines.
func TestScaleOutAvoidsSuspectZones(t *testing.T) {
	snapshot := newSnapshot()
	snapshot.MachinesByZone, snapshot.SuspectZones = map[string]int{"b": 9}, map[string]bool{"a": true}
	now := time.Unix(0, 0)
	requests := ScaleOut(testSettings, now, snapshot, newShortage(8, nil))
	if len(requests) != 1 || requestedCount(requests, smallInB) != 4 {
		t.Errorf("requested %v, want 4 small machines in b", requests)
	}
	restrictedToA := newShortage(2, func(s *model.Spec) { s.Zone = "a" })
	requests = ScaleOut(testSettings, now, snapshot, restrictedToA)
	if len(requests) != 1 || requestedCount(requests, smallInA) != 1 {
		t.Errorf("job restricted to zone a: requested %v, want one small machine in a", requests)
	}
}

// FreeSoon is called at most once per running machine, and only for machines that tasks of a shortage may use.
func TestFreeSoonIsComputedOnlyWhereTasksMayRun(t *testing.T) {
	snapshot := newSnapshot()
	calls := map[string]int{}
	newIncoming := func(name, zone string) *Incoming {
		return &Incoming{Type: &machineTypes[0], Zone: zone, FreeSoon: func() model.Resources {
			calls[name]++
			return model.Resources{}
		}}
	}
	snapshot.Incoming = []*Incoming{
		newIncoming("other zone", "b"), newIncoming("second in other zone", "b"), newIncoming("full", "a"),
	}
	inA := func(s *model.Spec) { s.Zone = "a" }
	ScaleOut(testSettings, time.Unix(0, 0), snapshot, append(newShortage(3, inA), newShortage(2, inA)...))
	if len(calls) != 1 || calls["full"] != 1 {
		t.Errorf("FreeSoon calls by machine: %v, want one call for \"full\"", calls)
	}
}

// Guards against a leader that runs out of memory because the work for a shortage grows with its tasks: no more
// machines are added to the snapshot than can be requested.
func TestScaleOutIsBoundedByWhatCanBeRequested(t *testing.T) {
	const maxTasks = 100_000 // of a job that users may submit
	snapshot := newSnapshot()
	var shortages []scheduler.Shortage
	for range 12 {
		shortages = append(shortages, newShortage(maxTasks, nil)...)
	}
	requests := ScaleOut(testSettings, time.Unix(0, 0), snapshot, shortages)
	if requestedCount(requests, smallInA) != 50 || requestedCount(requests, smallInB) != 50 || len(requests) != 2 {
		t.Errorf("requested %v, want %d small machines in each zone", requests, testSettings.MaxPerRequest)
	}
	if got, limit := len(snapshot.Incoming), 2*testSettings.MaxPerRequest; got > limit {
		t.Errorf("%d machines were added to the snapshot, want at most the %d that can be requested", got, limit)
	}
}

// requestsForAllTasks returns, by offer, the machines that a call without a bound would request: it goes on until every
// task has a machine, and leaves out the machines beyond MaxPerRequest only at the end.
func requestsForAllTasks(now time.Time, snapshot *Snapshot, shortage scheduler.Shortage) map[Offer]int {
	counts := map[Offer]int{}
	tasksByZone := map[string]int{}
	for missing := shortage.Count; missing > 0; {
		best, ok := snapshot.bestOffer(now, shortage.Request, tasksByZone, "")
		if !ok {
			break
		}
		tasks := min(missing, best.tasksPerMachine, shortage.Request.ZoneRemaining(tasksByZone, best.Zone))
		missing -= tasks
		tasksByZone[best.Zone] += tasks
		snapshot.MachinesByZone[best.Zone]++
		counts[best.Offer]++
	}
	for offer, count := range counts {
		counts[offer] = min(count, testSettings.MaxPerRequest)
	}
	return counts
}

// Guards against a bound on the work of a call that changes which machines it requests.
func TestBoundedScaleOutRequestsTheSameMachines(t *testing.T) {
	random := rand.New(rand.NewPCG(62, 1))
	now := time.Unix(100, 0)
	zones := []string{"a", "b", "c"}
	for round := range 500 {
		newRandomSnapshot := func(seed uint64) *Snapshot {
			random := rand.New(rand.NewPCG(seed, 2))
			snapshot := newSnapshot()
			snapshot.Types = nil
			offered := zones[:1+random.IntN(len(zones))]
			for i := range 1 + random.IntN(3) {
				cpus := float64(int(2) << random.IntN(4))
				snapshot.Types = append(snapshot.Types, model.MachineType{
					Name: fmt.Sprint("type", i), Capacity: model.Resources{CPU: cpus, MemGB: 4 * cpus},
					PricePerHour: cpus * (1 + random.Float64()), SpotPricePerHour: cpus * random.Float64(), Zones: offered,
				})
			}
			snapshot.SuspectZones = map[string]bool{}
			for _, zone := range offered {
				snapshot.MachinesByZone[zone] = random.IntN(200)
				snapshot.SuspectZones[zone] = random.IntN(4) == 0
			}
			return snapshot
		}
		seed := random.Uint64()
		shortages := newShortage(1+random.IntN(2000), func(s *model.Spec) {
			s.AllowSpot, s.Spread = random.IntN(2) == 0, random.IntN(3) == 0
		})
		want := requestsForAllTasks(now, newRandomSnapshot(seed), shortages[0])
		got := map[Offer]int{}
		for _, request := range ScaleOut(testSettings, now, newRandomSnapshot(seed), shortages) {
			got[request.Offer] = request.Count
		}
		if !maps.Equal(got, want) {
			t.Fatalf("round %d, %d tasks: requested %v, want %v", round, shortages[0].Count, got, want)
		}
	}
}

// Guards against a call that goes on for every waiting task because one of two offers that cost the same in the same
// zone can be requested no more.
func TestScaleOutUsesAllOffersOfTheSamePrice(t *testing.T) {
	snapshot := newSnapshot()
	twin := machineTypes[0]
	twin.Name = "twin"
	snapshot.Types = []model.MachineType{machineTypes[0], twin}
	requests := ScaleOut(testSettings, time.Unix(0, 0), snapshot, newShortage(100_000, nil))
	total := 0
	for _, request := range requests {
		total += request.Count
	}
	if want := 4 * testSettings.MaxPerRequest; total != want || len(snapshot.Incoming) != want {
		t.Errorf("requested %v and added %d machines, want %d", requests, len(snapshot.Incoming), want)
	}
}
