package autoscaler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

var types = []model.MachineType{
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

func lacking(n int, change func(*model.Spec)) []scheduler.Shortage {
	s := &model.Spec{ID: "wk-000001", Class: "c", Tasks: n, Demand: model.Resources{CPU: 2, MemGB: 6}, Shape: model.Array}
	if change != nil {
		change(s)
	}
	return []scheduler.Shortage{
		{Want: &scheduler.Want{Job: model.NewJob(s, time.Unix(0, 0), 1), Zones: map[string]int{}}, Count: n},
	}
}

func view() *View {
	return &View{Types: types, Refused: map[Offer]time.Time{}, Count: map[string]int{},
		ForGPU: func(t *model.MachineType, spot bool) bool { return t.Capacity.GPU > 0 && !spot }}
}

var set = &Settings{
	MaxRent:    50,
	KeepIdle:   20 * time.Second,
	KeepBoots:  1,
	BootFactor: 2,
	LeastPaid:  time.Minute,
	KeepSpot:   4,
}

func count(asks []Ask, o Offer) int {
	for _, a := range asks {
		if a.Offer == o {
			return a.Count
		}
	}
	return 0
}

func TestTheCheapestKindIsRentedAndSpreadOverZones(t *testing.T) {
	asks := Rent(set, time.Unix(0, 0), view(), lacking(8, nil)) // two on a machine
	if len(asks) != 2 || count(asks, Offer{"small", "a", false}) != 2 || count(asks, Offer{"small", "b", false}) != 2 {
		t.Errorf("asked for %v", asks)
	}
}

// What has to be in one zone is rented for in one: where most of it fits already, and where its
// tasks are once some run. Before, its machines were spread and none of the zones took it whole.
func TestWhatHasToBeInOneZoneIsRentedForInOne(t *testing.T) {
	ask := func(v *View, held map[string]int) string {
		t.Helper()
		l := lacking(8, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, true })
		l[0].Want.Count, l[0].Want.Zones = 8, held
		zones := ""
		for _, a := range Rent(set, time.Unix(100, 0), v, l) {
			zones += a.Zone
		}
		return zones
	}
	if got := ask(view(), nil); got != "a" {
		t.Errorf("nothing is up: rented in %q", got)
	}
	if got := ask(view(), map[string]int{"a": 0, "b": 1}); got != "b" {
		t.Errorf("a task is in b: rented in %q", got)
	}
	v := view()
	v.Coming = []*Coming{{Type: &types[0], Zone: "b"}}
	if got := ask(v, nil); got != "b" {
		t.Errorf("one boots in b: rented in %q", got)
	}
	v = view()
	v.Room = func(_ *scheduler.Want, zone string) int { return map[string]int{"b": 3}[zone] }
	if got := ask(v, nil); got != "b" {
		t.Errorf("there is room in b: rented in %q", got)
	}
	v = view()
	v.Room, v.Refused[Offer{"small", "b", false}] = func(_ *scheduler.Want, zone string) int { return map[string]int{"b": 3}[zone] }, time.Unix(
		200,
		0,
	)
	if got := ask(v, nil); got != "a" {
		t.Errorf("b is refused: rented in %q", got)
	}
}

// A type that says nothing of its boot time or has no spot price is still rented and waited for.
func TestTypesThatLeaveThingsOut(t *testing.T) {
	v := view()
	v.Types = []model.MachineType{{Name: "own", Capacity: model.Resources{CPU: 4, MemGB: 16}, Zones: []string{"a"}}}
	asks := Rent(set, time.Unix(0, 0), v, lacking(1, func(s *model.Spec) { s.AllowSpot = true }))
	if len(asks) != 1 || asks[0].Spot {
		t.Errorf("asked for %v", asks)
	}
	if got := set.BootLimit(&v.Types[0]); got < time.Minute {
		t.Errorf("given up after %v", got)
	}
}

func TestSpotOnlyForJobsThatAllowIt(t *testing.T) {
	for _, a := range Rent(set, time.Unix(0, 0), view(), lacking(4, func(s *model.Spec) { s.AllowSpot = true })) {
		if !a.Spot {
			t.Errorf("a job that may use spot machines gets %v", a)
		}
	}
}

func TestRefusedKindsAreLeftOutForAWhile(t *testing.T) {
	v := view()
	now := time.Unix(100, 0)
	v.Refused[Offer{"small", "a", false}] = now.Add(time.Second)
	v.Refused[Offer{"small", "b", false}] = now.Add(time.Second)
	if asks := Rent(set, now, v, lacking(2, nil)); len(asks) != 0 {
		t.Errorf("machines kept for GPU work are no substitute: asked for %v", asks)
	}
	if asks := Rent(set, now.Add(2*time.Second), v, lacking(2, nil)); len(asks) != 1 {
		t.Errorf("after the wait: asked for %v", asks)
	}
}

func TestNothingIsRentedForWhatIsComing(t *testing.T) {
	v := view()
	v.Coming = []*Coming{
		{Type: &types[0], Zone: "a"},
		{Type: &types[0], Zone: "b", Soon: func() model.Resources { return model.Resources{CPU: 2, MemGB: 6} }},
	}
	if asks := Rent(set, time.Unix(0, 0), v, lacking(3, nil)); len(asks) != 0 {
		t.Errorf("asked for %v", asks)
	}
	limited := lacking(9, nil)
	limited[0].Limited = true
	if asks := Rent(set, time.Unix(0, 0), v, limited); len(asks) != 0 {
		t.Errorf("for work that its team's limit keeps back: asked for %v", asks)
	}
	if asks := Rent(set, time.Unix(0, 0), v, lacking(3, func(s *model.Spec) { s.Priority = model.PriorityProduction })); len(
		asks,
	) != 1 {
		t.Errorf("production does not wait for what may become free: asked for %v", asks)
	}
}

func TestIdleMachinesAreKeptForWhatIsPaidAnyway(t *testing.T) {
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
		if got := set.Idle(&types[0], c.spot, c.empty, c.age); got != c.back {
			t.Errorf("%+v: given back: %v", c, got)
		}
	}
}

// Guards against renting where nothing can report: a zone that is cut off seems to
// have the fewest machines.
func TestNothingIsRentedInAQuietZoneWhileAnotherWillDo(t *testing.T) {
	v := view()
	v.Count, v.Quiet = map[string]int{"b": 9}, map[string]bool{"a": true}
	if asks := Rent(set, time.Unix(0, 0), v, lacking(8, nil)); len(asks) != 1 ||
		count(asks, Offer{"small", "b", false}) != 4 {
		t.Errorf("asked for %v", asks)
	}
	bound := lacking(2, func(s *model.Spec) { s.Zone = "a" })
	if asks := Rent(set, time.Unix(0, 0), v, bound); len(asks) != 1 || count(asks, Offer{"small", "a", false}) != 1 {
		t.Errorf("for a job that is bound to it: asked for %v", asks)
	}
}

// Guards against working out what ends soon on every machine that is up, five times a second: it is asked for once,
// and
// only of machines on which what is lacking may run.
func TestWhatEndsSoonIsAskedForOnlyWhereTasksMayGo(t *testing.T) {
	v := view()
	asked := map[string]int{}
	machine := func(name, zone string) *Coming {
		return &Coming{Type: &types[0], Zone: zone, Soon: func() model.Resources {
			asked[name]++
			return model.Resources{}
		}}
	}
	v.Coming = []*Coming{machine("other zone", "b"), machine("another zone too", "b"), machine("full", "a")}
	inA := func(s *model.Spec) { s.Zone = "a" }
	Rent(set, time.Unix(0, 0), v, append(lacking(3, inA), lacking(2, inA)...))
	if len(asked) != 1 || asked["full"] != 1 {
		t.Errorf("asked: %v", asked)
	}
}
