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

// TestMain draws the same cases every time, unless a flag gives another seed.
func TestMain(m *testing.M) {
	flags := map[string]string{"rapid.seed": "20260302", "rapid.checks": "1500", "rapid.nofailfile": "true"}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// randomJob is a job with rules over a small catalog, and what each rule says, worked out independently of the parser.
type randomJob struct {
	types         []model.MachineType
	spec          *model.Spec
	text          string
	holds         []func(c Class) bool // the required expressions
	maxPerZone    int                  // 0: any number
	affinityZones []string             // nil: there is no affinity
}

// expressions are texts with what they say.
var expressions = []struct {
	text  string
	holds func(c Class) bool
}{
	{`spot`, func(c Class) bool { return c.Spot }},
	{`not spot`, func(c Class) bool { return !c.Spot }},
	{`type = "t1"`, func(c Class) bool { return c.Type.Name == "t1" }},
	{`type not in ("t0", "t2")`, func(c Class) bool { return c.Type.Name != "t0" && c.Type.Name != "t2" }},
	{`zone != "a"`, func(c Class) bool { return c.Zone != "a" }},
	{`zone in ("a", "c")`, func(c Class) bool { return c.Zone == "a" || c.Zone == "c" }},
	{`cpus >= 8`, func(c Class) bool { return c.Type.Capacity.CPU >= 8 }},
	{`cpus < 16 or gpus > 0`, func(c Class) bool { return c.Type.Capacity.CPU < 16 || c.Type.Capacity.GPU > 0 }},
	{`gpus = 0 and price <= 0.3`, func(c Class) bool { return c.Type.Capacity.GPU == 0 && c.Price() <= 0.3 }},
	{`not (cpus = 4 and zone = "b")`, func(c Class) bool { return c.Type.Capacity.CPU != 4 || c.Zone != "b" }},
}

// drawFrom draws one of some values.
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

// allows reports whether tasks of the job may be on a class of machines.
func (j *randomJob) allows(class Class) bool {
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

// canRun tries all ways to place the tasks that run at the same time.
func (j *randomJob) canRun() bool {
	tasks := j.spec.Tasks
	if j.spec.Shape == model.Array {
		tasks = 1
	}
	var classes []Class
	for _, class := range Classes(j.types) {
		if j.allows(class) {
			classes = append(classes, class)
		}
	}
	tasksByZone := map[string]int{}
	mayAdd := func(zone string, left int) bool {
		switch n := tasksByZone[zone]; {
		case j.maxPerZone > 0 && n >= j.maxPerZone:
			return false
		case j.spec.Spread && n >= j.spec.MaxTasksPerZone():
			return false
		case j.spec.SingleZone && left < tasks && n == 0:
			return false
		}
		return true
	}
	var place func(left int) bool
	place = func(left int) bool {
		if left == 0 {
			return true
		}
		for _, class := range classes {
			if !mayAdd(class.Zone, left) {
				continue
			}
			tasksByZone[class.Zone]++
			if place(left - 1) {
				return true
			}
			tasksByZone[class.Zone]--
		}
		return false
	}
	return place(tasks)
}

func TestCheckAgreesWithExhaustiveSearch(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		set, err := Parse(job.text)
		if err != nil {
			t.Fatalf("%s: got %v, want no error", job.text, err)
		}
		err = Check(set, job.spec, job.environment())
		if canRun := job.canRun(); canRun != (err == nil) {
			t.Fatalf("%q of %+v: got %v, but it can run: %v", job.text, job.spec, err, canRun)
		}
		var contradiction *ContradictionError
		if err == nil || !errors.As(err, &contradiction) {
			return
		}
		refused++
		// No smaller set of the conditions contradicts itself.
		p := newProblem(set, job.spec, job.environment())
		for m := uint64(0); m < 1<<len(p.conditions); m++ {
			if bits.OnesCount64(m) < len(contradiction.Clauses) && !p.feasible(conditionSet(m)) {
				t.Fatalf("%q: got %v, want the smaller set %b", job.text, err, m)
			}
		}
		if !contradiction.Smallest || len(contradiction.Clauses) == 0 {
			t.Fatalf("%q: got %+v, want clauses that are the smallest set", job.text, contradiction)
		}
	})
	if refused < 100 {
		t.Errorf("%d of the drawn rules contradict each other, want 100 or more", refused)
	}
}

// hostileTexts are texts that are made to keep a controller busy.
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
	// Far above what it takes on any machine: a bound against what grows without one.
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
		least := time.Hour
		for range 5 {
			start := time.Now()
			if set, err := Parse(text); err == nil {
				err = Check(set, spec, Environment{Types: types})
				if name == "all zones but one" && err == nil {
					t.Errorf("%s: got no error, want a contradiction", name)
				}
			}
			least = min(least, time.Since(start))
		}
		if least > bound {
			t.Errorf("%s takes %v, want at most %v", name, least, bound)
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
			if !errors.As(err, &syntax) || syntax.Line < 1 || syntax.Column < 1 || syntax.What == "" {
				t.Fatalf("%q: got %#v, want a SyntaxError with a place and a text", text, err)
			}
			return
		}
		n := len(set.Required) + len(set.Preferences) + len(set.Affinities) + len(set.TaskLimits)
		if n > maxClauses || len(set.ClauseTexts()) != n {
			t.Fatalf("%q: got %d clauses with %d texts, want as many and at most %d",
				text, n, len(set.ClauseTexts()), maxClauses)
		}
		for _, class := range Classes(types) {
			_, _ = set.Allows(class)
			set.PreferenceWeight(class, true)
		}
		_ = Check(set, spec, Environment{Types: types}) // any verdict, in bounded time
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
					_ = Check(set, spec, Environment{Types: types}) // refused or not: the time counts
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
