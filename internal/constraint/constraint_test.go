package constraint

import (
	"errors"
	"flag"
	"fmt"
	"math/bits"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// The same cases every time, unless another seed is asked for.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260302", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// randomJob is a job with rules over a small catalogue, and what each rule says, worked out
// beside the parser.
type randomJob struct {
	types         []model.MachineType
	spec          *model.Spec
	text          string
	holds         []func(c Class) bool
	maxPerZone    int // at most so many tasks in a zone; 0: any number
	affinityZones []string
}

func drawJob(t *rapid.T) *randomJob {
	d := &randomJob{}
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	for i := range rapid.IntRange(1, 3).Draw(t, "types") {
		d.types = append(d.types, model.MachineType{Name: fmt.Sprintf("t%d", i), Capacity: model.Resources{CPU: float64(rapid.SampledFrom([]int{4, 8, 16}).Draw(t, "cpus")),
			GPU: float64(rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "gpus")), MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3,
			Zones: zones[:rapid.IntRange(1, len(zones)).Draw(t, "in")]})
	}
	d.spec = &model.Spec{Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Gang, model.Service}).Draw(t, "shape"), Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
		Demand: model.Resources{CPU: float64(rapid.SampledFrom([]int{1, 8}).Draw(t, "need"))}, AllowSpot: rapid.Bool().Draw(t, "spot"), SingleZone: rapid.Bool().Draw(t, "one"),
		Spread: rapid.Bool().Draw(t, "spread")}
	if rapid.Bool().Draw(t, "field") {
		d.spec.Zone = "b"
	}
	atoms := []struct {
		text string
		fn   func(c Class) bool
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
	var lines []string
	for range rapid.IntRange(0, 4).Draw(t, "rules") {
		a := rapid.SampledFrom(atoms).Draw(t, "atom")
		lines = append(lines, "require "+a.text)
		d.holds = append(d.holds, a.fn)
	}
	if d.maxPerZone = rapid.IntRange(0, 3).Draw(t, "per zone"); d.maxPerZone > 0 {
		lines = append(lines, fmt.Sprintf("require at most %d per zone", d.maxPerZone))
	}
	if rapid.Bool().Draw(t, "near") {
		lines = append(lines, "require same zone as wk-000001")
		d.affinityZones = []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "from"):]
	}
	d.text = strings.Join(lines, "; ")
	return d
}

func (d *randomJob) environment() Environment {
	return Environment{Types: d.types, JobZones: func(string) ([]string, bool) { return d.affinityZones, d.affinityZones != nil }}
}

// canRun tries all ways to place the tasks that run at the same time.
func (d *randomJob) canRun() bool {
	n := d.spec.Tasks
	if d.spec.Shape == model.Array {
		n = 1
	}
	var may []Class
	for _, c := range Classes(d.types) {
		ok := d.spec.Demand.Fits(c.Type.Capacity) && (d.spec.AllowSpot || !c.Spot) && (d.spec.Zone == "" || d.spec.Zone == c.Zone)
		for _, h := range d.holds {
			ok = ok && h(c)
		}
		if d.affinityZones != nil {
			ok = ok && strings.Contains(strings.Join(d.affinityZones, ""), c.Zone)
		}
		if ok {
			may = append(may, c)
		}
	}
	in := map[string]int{}
	var place func(left int) bool
	place = func(left int) bool {
		if left == 0 {
			return true
		}
		for _, c := range may {
			if d.maxPerZone > 0 && in[c.Zone] >= d.maxPerZone || d.spec.Spread && in[c.Zone] >= d.spec.MaxTasksPerZone() || d.spec.SingleZone && left < n && in[c.Zone] == 0 {
				continue
			}
			in[c.Zone]++
			if place(left - 1) {
				return true
			}
			in[c.Zone]--
		}
		return false
	}
	return place(n)
}

func TestCheckAgreesWithExhaustiveSearch(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawJob(t)
		set, err := Parse(d.text)
		if err != nil {
			t.Fatalf("%s: %v", d.text, err)
		}
		err = Check(set, d.spec, d.environment())
		if runs := d.canRun(); runs != (err == nil) {
			t.Fatalf("%q of %+v: %v, but it can run: %v", d.text, d.spec, err, runs)
		}
		var no *Contradiction
		if err == nil || !errors.As(err, &no) {
			return
		}
		refused++
		// No smaller set of the conditions excludes itself.
		p := newProblem(set, d.spec, d.environment())
		for m := uint64(0); m < 1<<len(p.conditions); m++ {
			if bits.OnesCount64(m) < len(no.Clauses) && !p.feasible(m) {
				t.Fatalf("%q: %v, but a smaller set %b does", d.text, err, m)
			}
		}
		if !no.Smallest || len(no.Clauses) == 0 {
			t.Fatalf("%q: %+v", d.text, no)
		}
	})
	if refused < 100 {
		t.Errorf("only %d of the drawn rules exclude each other", refused)
	}
}

// hostileTexts are texts that are made to keep a controller busy.
func hostileTexts() map[string]string {
	var pairs []string
	for i := range maxClauses {
		pairs = append(pairs, fmt.Sprintf(`require zone != "z%d"`, i))
	}
	return map[string]string{
		"64 KiB":            strings.Repeat("require spot;", 64<<10/13),
		"nested":            "require " + strings.Repeat("(", 500) + "spot" + strings.Repeat(")", 500),
		"negated":           "require " + strings.Repeat("not ", 360) + "spot",
		"thousands":         strings.Repeat(";", 1500),
		"long list":         `require type in (` + strings.Repeat(`"a",`, 350) + `"b")`,
		"all zones but one": strings.Join(pairs, ";"),
		"alternatives":      "require " + strings.Repeat("spot or ", 180) + "spot",
	}
}

func TestHostileTextIsHandledInBoundedTime(t *testing.T) {
	var types []model.MachineType
	for i := range 12 {
		ty := model.MachineType{Name: fmt.Sprintf("t%d", i), Capacity: model.Resources{CPU: 8}}
		for z := range maxClauses {
			ty.Zones = append(ty.Zones, fmt.Sprintf("z%d", z))
		}
		types = append(types, ty)
	}
	spec := &model.Spec{Tasks: 1, Shape: model.Array, Demand: model.Resources{CPU: 1}, AllowSpot: true}
	for name, text := range hostileTexts() {
		least := time.Hour
		for range 5 {
			at := time.Now()
			if set, err := Parse(text); err == nil {
				err = Check(set, spec, Environment{Types: types})
				if name == "all zones but one" && err == nil {
					t.Errorf("%s: accepted", name)
				}
			}
			least = min(least, time.Since(at))
		}
		// Far above what it takes on any machine: a bound against what grows without one.
		if least > 200*time.Millisecond {
			t.Errorf("%s takes %v", name, least)
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
	types := []model.MachineType{{Name: "a", Capacity: model.Resources{CPU: 8, GPU: 1, MemGB: 16}, Zones: []string{"a", "b"}}}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse(text)
		if err != nil {
			var at *SyntaxError
			if !errors.As(err, &at) || at.Line < 1 || at.Column < 1 || at.What == "" {
				t.Fatalf("%q: %#v", text, err)
			}
			return
		}
		if n := len(set.Required) + len(set.Preferences) + len(set.Affinities) + len(set.TaskLimits); n > maxClauses || len(set.ClauseTexts()) != n {
			t.Fatalf("%q: %d clauses", text, n)
		}
		for _, c := range Classes(types) {
			_, _ = set.Allows(c)
			set.PreferenceWeight(c, true)
		}
		_ = Check(set, &model.Spec{Tasks: 3, Shape: model.Gang, Demand: model.Resources{CPU: 1}}, Environment{Types: types}) // any verdict, in bounded time
	})
}

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		if _, err := Parse("require type in (\"harrow-gpu\", \"combine-gpu\") and gpus >= 4\nprefer 20 same zone as wk-000412\nprefer -10 spot"); err != nil {
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
		build()
	}
}
