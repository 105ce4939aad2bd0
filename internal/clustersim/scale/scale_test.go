package scale

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
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

// The two ends of the worker protocol understand each other.
func TestCodecRoundTripsWithWire(t *testing.T) {
	report := &model.Heartbeat{
		Machine:      "n-1",
		Addr:         "127.64.0.1:9000",
		Type:         plainType,
		Zone:         "a",
		Epoch:        2,
		Seq:          7,
		FencingToken: 41,
		Tasks: []model.TaskStatus{
			{Task: model.TaskID{Job: "wk-000001", Index: 3}, Attempt: 9, Phase: model.PhaseExited, Cause: model.CauseGangMemberLost, Checkpointed: true},
			{Task: model.TaskID{Job: "wk-000002"}, Attempt: 1, Phase: model.PhaseWaiting},
		},
	}
	got, err := wire.DecodeHeartbeat(appendHeartbeat(nil, report))
	if err != nil || got.Addr != report.Addr || got.Epoch != 2 || got.Seq != 7 || got.FencingToken != 41 ||
		len(got.Tasks) != 2 ||
		got.Tasks[0] != report.Tasks[0] ||
		got.Tasks[1] != report.Tasks[1] {
		t.Errorf("read as %+v, %v", got, err)
	}
	orders := []model.Command{
		{Op: model.OpLaunch, Task: model.TaskID{Job: "wk-000001", Index: 4}, Attempt: 5},
		{Op: model.OpStop, Task: model.TaskID{Job: "wk-000001"}, Attempt: 6, GracePeriod: 10 * time.Second},
	}
	m, err := decodeMessage(wire.AppendCommands(nil, 41, 2, orders))
	if err != nil || m.token != 41 || m.epoch != 2 || len(m.commands) != 2 || m.commands[0] != orders[0] ||
		m.commands[1] != orders[1] {
		t.Errorf("read as %+v, %v", m, err)
	}
	if decodeLeader(wire.AppendLeader(nil, "tiller-2")) != "tiller-2" || decodeLeader(wire.AppendLeader(nil, "")) != "" {
		t.Error("whom a 421 names is not read")
	}
	if decodeJobState(wire.AppendJobState(nil, "wk-000001", wire.StateCancelled)) != wire.StateCancelled {
		t.Error("a job's state is not read")
	}
	types := machineTypes([]string{"a", "b"})
	if read, err := wire.DecodeCatalog(appendCatalog(nil, types)); err != nil || len(read) != 2 ||
		read[1].Capacity != types[1].Capacity ||
		len(read[0].Zones) != 2 {
		t.Errorf("the catalogue is read as %+v, %v", read, err)
	}
	rental := model.Provisioning{Name: "r-1", Type: gpuType, Zone: "a", Spot: true, Count: 3}
	if read, err := decodeProvisioning(wire.AppendProvisioning(nil, rental)); err != nil || read != rental {
		t.Errorf("a rental is read as %+v, %v", read, err)
	}
}

// Guards against machines of two regions by one name: the workers of all but one were gone, and their leaders heard
// nobody.
func TestMachineNamesAreUniqueAcrossRegions(t *testing.T) {
	p := DefaultPlan()
	w, err := newWorkers(&p)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
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

// Each region has its part of every limit, so that all together stay within it.
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
