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
		"workers":                            func(p *Plan) { p.Workers = 3 },
		"regions":                            func(p *Plan) { p.Regions = 0 },
		"controllers":                        func(p *Plan) { p.Controllers = 99 },
		"seconds":                            func(p *Plan) { p.Seconds = -1 },
		"starts-per-second":                  func(p *Plan) { p.Starts = -1 },
		"fault: unknown kind \"meteor\"":     func(p *Plan) { p.Faults = []Fault{{"meteor", 1}} },
		"break: unknown kind \"everything\"": func(p *Plan) { p.Mutation = "everything" },
		"workers: got 20, want at least 10":  func(p *Plan) { p.Workers, p.Regions = 20, 10 },
	} {
		p := DefaultPlan()
		change(&p)
		if _, err := Run(context.Background(), p, t.Logf); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error containing %s, got %v", want, err)
		}
	}
}

func TestRequirementsBeyondMachineAreRejected(t *testing.T) {
	for want, n := range map[string]Requirements{
		"memory: run needs 999999999 MB, limit is":         {MemoryMB: 999_999_999},
		"open files: run needs 1999999999 in this process": {Files: 1_999_999_999},
		"processes: run needs 5000, limit is":              {Processes: 5000},
		"":                                                 {MemoryMB: 1, Files: 1, Processes: 1},
	} {
		err := n.Check()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("want error containing %q (none if empty), got %v", want, err)
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
		t.Errorf("got plan %+v, error %v; want the values of the file and the defaults", p, err)
	}
	if err := os.WriteFile(path, []byte("wrokers = 500"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadPlan(path, DefaultPlan()); err == nil {
		t.Error("unknown key: got no error")
	}
	if _, err := ParseFault("leader"); err == nil {
		t.Error("fault without a time: got no error")
	}
}

// TestMachineNamesAreUniqueAcrossRegions guards against equal machine names in two regions. Workers are kept by name,
// so that only one of the regions had workers.
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
				t.Errorf("machine name %s is used twice", l.Name)
			}
			names[l.Name] = true
		}
	}
}

// TestRegionsShareQuota checks that each region gets an equal share of every quota. Regions do not coordinate, so
// that the tasks of a team could otherwise exceed its quota over all regions.
func TestRegionsShareQuota(t *testing.T) {
	p := DefaultPlan()
	p.Workers, p.Regions = 10_000, 5
	one, _ := p.teams()[0].Quota.CPU.Max()
	for _, k := range newFleet(&p).Workers {
		t.Errorf("new fleet: got worker %s, want none", k.Name)
	}
	whole := DefaultPlan()
	whole.Workers = 10_000
	all, _ := whole.teams()[0].Quota.CPU.Max()
	if one*5 != all {
		t.Errorf("got a quota of %v CPUs in each of five regions and %v in a single one, want a fifth", one, all)
	}
}
