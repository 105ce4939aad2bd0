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
	for want, required := range map[string]Requirements{
		"memory: run needs 999999999 MB, limit is":         {MemoryMB: 999_999_999},
		"open files: run needs 1999999999 in this process": {Files: 1_999_999_999},
		"processes: run needs 5000, limit is":              {Processes: 5000},
		"":                                                 {MemoryMB: 1, Files: 1, Processes: 1},
	} {
		err := required.Check()
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
		t.Error("plan file with an unknown key: got no error, want one")
	}
	if _, err := ParseFault("leader"); err == nil {
		t.Error("fault without a time: got no error, want one")
	}
}

// TestMachineNamesAreUniqueAcrossRegions guards against machines of two regions with the same name. The workers of
// all regions are stored by name, so that with equal names only one of the regions had workers.
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
		for _, machine := range initialMachines(r, w, 20) {
			if names[machine.Name] {
				t.Errorf("machine name %s is used twice, want it once", machine.Name)
			}
			names[machine.Name] = true
		}
	}
}

// TestRegionsShareQuota checks that each region gets an equal share of every quota. Regions do not coordinate, so the
// tasks of a team could otherwise exceed its quota over all regions.
func TestRegionsShareQuota(t *testing.T) {
	p := DefaultPlan()
	p.Workers, p.Regions = 10_000, 5
	regionQuota, _ := p.teams()[0].Quota.CPU.Max()
	for _, worker := range newFleet(&p).Workers {
		t.Errorf("new fleet: got worker %s, want none", worker.Name)
	}
	singleRegion := DefaultPlan()
	singleRegion.Workers = 10_000
	totalQuota, _ := singleRegion.teams()[0].Quota.CPU.Max()
	if regionQuota*5 != totalQuota {
		t.Errorf("got a quota of %v CPUs in each of five regions, want a fifth of the %v in a single region",
			regionQuota, totalQuota)
	}
}
