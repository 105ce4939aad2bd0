package constraint

import (
	"errors"
	"flag"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// TestMain makes rapid draw the same cases in every run, unless a flag on the command line sets another seed.
func TestMain(m *testing.M) {
	flags := map[string]string{"rapid.seed": "20260302", "rapid.checks": "1500", "rapid.nofailfile": "true"}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// randomJob is a job with rules over a small catalog. Besides the rule text, it holds the meaning of each rule in a
// form that does not depend on the parser.
type randomJob struct {
	types         []model.MachineType
	spec          *model.Spec
	text          string                      // the rule text
	holds         []func(c MachineClass) bool // one function per required expression
	maxPerZone    int                         // limit on the tasks in one zone, or 0 for no limit
	affinityZones []string                    // zones that a required affinity allows, or nil if there is no affinity
}

// expressions pairs the texts of expressions with functions that evaluate them independently of the parser.
var expressions = []struct {
	text  string
	holds func(c MachineClass) bool
}{
	{`spot`, func(c MachineClass) bool { return c.Spot }},
	{`not spot`, func(c MachineClass) bool { return !c.Spot }},
	{`type = "t1"`, func(c MachineClass) bool { return c.Type.Name == "t1" }},
	{`type not in ("t0", "t2")`, func(c MachineClass) bool { return c.Type.Name != "t0" && c.Type.Name != "t2" }},
	{`zone != "a"`, func(c MachineClass) bool { return c.Zone != "a" }},
	{`zone in ("a", "c")`, func(c MachineClass) bool { return c.Zone == "a" || c.Zone == "c" }},
	{`cpus >= 8`, func(c MachineClass) bool { return c.Type.Capacity.CPU >= 8 }},
	{`cpus < 16 or gpus > 0`, func(c MachineClass) bool { return c.Type.Capacity.CPU < 16 || c.Type.Capacity.GPU > 0 }},
	{`gpus = 0 and price <= 0.3`, func(c MachineClass) bool { return c.Type.Capacity.GPU == 0 && c.Price() <= 0.3 }},
	{`not (cpus = 4 and zone = "b")`, func(c MachineClass) bool { return c.Type.Capacity.CPU != 4 || c.Zone != "b" }},
}

// drawFrom draws one of the given values.
func drawFrom[T any](t *rapid.T, label string, values ...T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

func drawJob(t *rapid.T) *randomJob {
	job := &randomJob{}
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	for i := range rapid.IntRange(1, 3).Draw(t, "types") {
		job.types = append(job.types, drawMachineType(t, fmt.Sprintf("t%d", i), zones))
	}
	job.spec = &model.Spec{
		Shape:      drawFrom(t, "shape", model.Array, model.Gang, model.Service),
		Tasks:      rapid.IntRange(1, 4).Draw(t, "tasks"),
		Demand:     model.Resources{CPU: drawFrom(t, "demand", 1.0, 8.0)},
		AllowSpot:  rapid.Bool().Draw(t, "allow spot"),
		SingleZone: rapid.Bool().Draw(t, "single zone"),
		Spread:     rapid.Bool().Draw(t, "spread"),
	}
	if rapid.Bool().Draw(t, "in zone b") {
		job.spec.Zone = "b"
	}
	job.drawRules(t)
	return job
}

func drawMachineType(t *rapid.T, name string, zones []string) model.MachineType {
	return model.MachineType{
		Name: name,
		Capacity: model.Resources{
			CPU:   drawFrom(t, "cpus", 4.0, 8.0, 16.0),
			GPU:   drawFrom(t, "gpus", 0.0, 0.0, 2.0),
			MemGB: 64,
		},
		PricePerHour:     1,
		SpotPricePerHour: 0.3,
		Zones:            zones[:rapid.IntRange(1, len(zones)).Draw(t, "offered in")],
	}
}

func (j *randomJob) drawRules(t *rapid.T) {
	var clauses []string
	for range rapid.IntRange(0, 4).Draw(t, "rules") {
		expression := rapid.SampledFrom(expressions).Draw(t, "expression")
		clauses = append(clauses, "require "+expression.text)
		j.holds = append(j.holds, expression.holds)
	}
	if j.maxPerZone = rapid.IntRange(0, 3).Draw(t, "per zone"); j.maxPerZone > 0 {
		clauses = append(clauses, fmt.Sprintf("require at most %d per zone", j.maxPerZone))
	}
	if rapid.Bool().Draw(t, "affinity") {
		clauses = append(clauses, "require same zone as wk-000001")
		j.affinityZones = []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "from zone"):]
	}
	j.text = strings.Join(clauses, "; ")
}

func (j *randomJob) environment() Environment {
	return Environment{Types: j.types, JobZones: func(string) ([]string, bool) {
		return j.affinityZones, j.affinityZones != nil
	}}
}

// allows reports whether tasks of the job may run on a class of machines.
func (j *randomJob) allows(class MachineClass) bool {
	for _, holds := range j.holds {
		if !holds(class) {
			return false
		}
	}
	if j.affinityZones != nil && !slices.Contains(j.affinityZones, class.Zone) {
		return false
	}
	return j.spec.Demand.Fits(class.Type.Capacity) && (j.spec.AllowSpot || !class.Spot) &&
		(j.spec.Zone == "" || j.spec.Zone == class.Zone)
}

// canRun reports whether the concurrent tasks of the job can be placed, by trying all placements.
func (j *randomJob) canRun() bool {
	tasks := j.spec.Tasks
	if j.spec.Shape == model.Array {
		tasks = 1
	}
	var classes []MachineClass
	for _, class := range MachineClasses(j.types) {
		if j.allows(class) {
			classes = append(classes, class)
		}
	}
	tasksByZone := map[string]int{}
	mayAdd := func(zone string, remaining int) bool {
		switch n := tasksByZone[zone]; {
		case j.maxPerZone > 0 && n >= j.maxPerZone:
			return false
		case j.spec.Spread && n >= j.spec.MaxTasksPerZone():
			return false
		case j.spec.SingleZone && remaining < tasks && n == 0:
			return false // only the first task may choose the zone
		}
		return true
	}
	var placeRemaining func(remaining int) bool
	placeRemaining = func(remaining int) bool {
		if remaining == 0 {
			return true
		}
		for _, class := range classes {
			if !mayAdd(class.Zone, remaining) {
				continue
			}
			tasksByZone[class.Zone]++
			if placeRemaining(remaining - 1) {
				return true
			}
			tasksByZone[class.Zone]--
		}
		return false
	}
	return placeRemaining(tasks)
}

func TestCheckAgreesWithExhaustiveSearch(t *testing.T) {
	contradictions := 0
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		set, err := Parse(job.text)
		if err != nil {
			t.Fatalf("%s: got %v, want no error", job.text, err)
		}
		err = Check(set, job.spec, job.environment())
		if canRun := job.canRun(); canRun != (err == nil) {
			t.Fatalf("%q of %+v: Check returned %v, but exhaustive search found that the job can run: %v",
				job.text, job.spec, err, canRun)
		}
		var contradiction *ContradictionError
		if err == nil || !errors.As(err, &contradiction) {
			return
		}
		contradictions++
		// No set with fewer conditions may be contradictory.
		p := newProblem(set, job.spec, job.environment())
		for subset := uint64(0); subset < 1<<len(p.conditions); subset++ {
			if bits.OnesCount64(subset) < len(contradiction.Clauses) && !p.feasible(conditionSet(subset)) {
				t.Fatalf("%q: got %v, want the smaller contradictory set %b", job.text, err, subset)
			}
		}
		if !contradiction.Smallest || len(contradiction.Clauses) == 0 {
			t.Fatalf("%q: got %+v, want a nonempty set of clauses marked as the smallest", job.text, contradiction)
		}
	})
	if contradictions < 100 {
		t.Errorf("%d of the drawn jobs have contradictory rules, want at least 100", contradictions)
	}
}

// hostileTexts returns rule texts that are meant to keep a controller busy, keyed by a description.
func hostileTexts() map[string]string {
	var zones []string
	for i := range maxClauses {
		zones = append(zones, fmt.Sprintf(`require zone != "z%d"`, i))
	}
	return map[string]string{
		"64 KiB":            strings.Repeat("require spot;", 64<<10/13),
		"nested":            "require " + strings.Repeat("(", 500) + "spot" + strings.Repeat(")", 500),
		"negated":           "require " + strings.Repeat("not ", 360) + "spot",
		"thousands":         strings.Repeat(";", 1500),
		"long list":         `require type in (` + strings.Repeat(`"a",`, 350) + `"b")`,
		"all zones but one": strings.Join(zones, ";"),
		"alternatives":      "require " + strings.Repeat("spot or ", 180) + "spot",
	}
}

func TestHostileTextIsHandledInBoundedTime(t *testing.T) {
	// The bound is far above the time that any machine takes. It guards against work that no limit bounds.
	const bound = 200 * time.Millisecond
	var types []model.MachineType
	for i := range 12 {
		machineType := model.MachineType{Name: fmt.Sprintf("t%d", i), Capacity: model.Resources{CPU: 8}}
		for z := range maxClauses {
			machineType.Zones = append(machineType.Zones, fmt.Sprintf("z%d", z))
		}
		types = append(types, machineType)
	}
	spec := &model.Spec{Tasks: 1, Shape: model.Array, Demand: model.Resources{CPU: 1}, AllowSpot: true}
	for name, text := range hostileTexts() {
		fastest := time.Hour
		for range 5 {
			start := time.Now()
			if set, err := Parse(text); err == nil {
				err = Check(set, spec, Environment{Types: types})
				if name == "all zones but one" && err == nil {
					t.Errorf("%s: got no error, want a ContradictionError", name)
				}
			}
			fastest = min(fastest, time.Since(start))
		}
		if fastest > bound {
			t.Errorf("%s: Parse and Check took %v, want at most %v", name, fastest, bound)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("require type in (\"harrow-gpu\", \"combine-gpu\") and gpus >= 4; prefer 20 same zone as wk-000412")
	f.Add("prefer -10 spot # cheap\nrequire at most 2 per machine\nrequire apart from wk-000007 by zone")
	f.Add("require not (cpus < 8 or price > 1.5) and zone not in (\"a\")\nprefer 5 image present")
	for _, text := range hostileTexts() {
		f.Add(text)
	}
	types := []model.MachineType{
		{Name: "a", Capacity: model.Resources{CPU: 8, GPU: 1, MemGB: 16}, Zones: []string{"a", "b"}},
	}
	spec := &model.Spec{Tasks: 3, Shape: model.Gang, Demand: model.Resources{CPU: 1}}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse(text)
		if err != nil {
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Line < 1 || syntax.Column < 1 || syntax.Message == "" {
				t.Fatalf("%q: got %#v, want a SyntaxError with a position and a message", text, err)
			}
			return
		}
		clauseCount := len(set.Required) + len(set.Preferences) + len(set.Affinities) + len(set.TaskLimits)
		if clauseCount > maxClauses || len(set.ClauseTexts()) != clauseCount {
			t.Fatalf("%q: got %d clauses and %d clause texts, want equal numbers and at most %d",
				text, clauseCount, len(set.ClauseTexts()), maxClauses)
		}
		for _, class := range MachineClasses(types) {
			_, _ = set.Allows(class)
			set.PreferenceWeight(class, true)
		}
		_ = Check(set, spec, Environment{Types: types}) // any result is valid as long as the time is bounded
	})
}

func BenchmarkParse(b *testing.B) {
	text := "require type in (\"harrow-gpu\", \"combine-gpu\") and gpus >= 4\n" +
		"prefer 20 same zone as wk-000412\nprefer -10 spot"
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHostile(b *testing.B) {
	types := []model.MachineType{{Name: "a", Capacity: model.Resources{CPU: 8}, Zones: []string{"z0", "z1", "z2"}}}
	spec := &model.Spec{Tasks: 1, Shape: model.Array, Demand: model.Resources{CPU: 1}}
	for name, text := range hostileTexts() {
		b.Run(strings.ReplaceAll(name, " ", "_"), func(b *testing.B) {
			for b.Loop() {
				if set, err := Parse(text); err == nil {
					_ = Check(set, spec, Environment{Types: types}) // only the time matters
				}
			}
		})
	}
}

func BenchmarkBuildParser(b *testing.B) {
	for b.Loop() {
		buildParser()
	}
}
