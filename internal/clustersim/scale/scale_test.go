package scale

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPlanOutOfRangeIsRejectedBeforeStart(t *testing.T) {
	for want, change := range map[string]func(p *Plan){
		"workers":            func(p *Plan) { p.Workers = 3 },
		"regions":            func(p *Plan) { p.Regions = 0 },
		"controllers":        func(p *Plan) { p.Controllers = 99 },
		"seconds":            func(p *Plan) { p.Seconds = -1 },
		"starts-per-second":  func(p *Plan) { p.Starts = -1 },
		"no kind \"meteor\"": func(p *Plan) { p.Faults = []Fault{{"meteor", 1}} },
		"no \"everything\"":  func(p *Plan) { p.Mutation = "everything" },
		"fewer than ten":     func(p *Plan) { p.Workers, p.Regions = 20, 10 },
	} {
		p := DefaultPlan()
		change(&p)
		if _, err := Run(context.Background(), p, t.Logf); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestRequirementsBeyondMachineAreRejected(t *testing.T) {
	for want, n := range map[string]Requirements{
		"memory: 999999999 MB are needed":   {MemoryMB: 999_999_999},
		"open files: 1999999999 are needed": {Files: 1_999_999_999},
		"processes: 5000 are needed":        {Processes: 5000},
		"":                                  {MemoryMB: 1, Files: 1, Processes: 1},
	} {
		err := n.Check()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestReadPlanParsesFileAndRejectsUnknownNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.toml")
	text := "workers = 500\nstarts_per_second = 20.5\n[[fault]]\nkind = \"zone\"\nat_s = 4.0\n"
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	p, err := ReadPlan(path, DefaultPlan())
	if err != nil || p.Workers != 500 || p.Starts != 20.5 || p.Teams != 140 || len(p.Faults) != 1 ||
		p.Faults[0].Kind != ZoneOutage {
		t.Errorf("read as %+v, %v", p, err)
	}
	if err := os.WriteFile(path, []byte("wrokers = 500"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadPlan(path, DefaultPlan()); err == nil {
		t.Error("a name that there is not was read")
	}
	if _, err := ParseFault("leader"); err == nil {
		t.Error("a failure without a moment was read")
	}
}

// A regression test: machines of two regions had the same names, so that only one region had workers.
func TestMachineNamesAreUniqueAcrossRegions(t *testing.T) {
	p := DefaultPlan()
	w, err := newWorkers(&p)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.close() }()
	names := map[string]bool{}
	for i := range 3 {
		r, err := newRegion(&p, i, t.TempDir(), "none", w)
		if err != nil {
			t.Fatal(err)
		}
		defer r.close()
		for _, l := range initialMachines(r, w, 20) {
			if names[l.Name] {
				t.Errorf("%s is in two regions", l.Name)
			}
			names[l.Name] = true
		}
	}
}

// Each region has its share of every quota, so that all together stay within it.
func TestRegionsShareQuota(t *testing.T) {
	p := DefaultPlan()
	p.Workers, p.Regions = 10_000, 5
	one, _ := p.teams()[0].Quota.CPU.Max()
	for _, k := range newFleet(&p).Workers {
		t.Errorf("there is a worker already: %s", k.Name)
	}
	whole := DefaultPlan()
	whole.Workers = 10_000
	all, _ := whole.teams()[0].Quota.CPU.Max()
	if one*5 != all {
		t.Errorf("%v in each of five regions, %v in one", one, all)
	}
}
