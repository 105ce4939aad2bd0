package reconciler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// constraintCase is one line of the test table: a job with constraints, and the expected result. The expectations
// were computed independently of this code, with a separate predicate for each constraint and with an exhaustive
// search for the smallest contradicting sets. The job's fields have the names that the protocol gives them.
type constraintCase struct {
	N       int
	Catalog string
	Job     struct {
		Shape                     string
		Rows                      int
		Cores, Cards, MemoryGb    float64
		Loaners, OneZone, Scatter bool
		Breeds                    []string
		Field                     string
	}
	Rules     string
	Images    []int      // indexes of the classes whose machine has the job's image cached
	Place     []string   // acceptable classes for the first task, given one empty machine of each class
	Refused   [][]string // acceptable smallest sets of contradicting clauses
	Malformed string     // substring of the expected syntax error message
}

func (test *constraintCase) spec() *model.Spec {
	shapes := map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}
	job := test.Job
	return &model.Spec{
		ID: "wk-000001", Class: "work", Team: "red", Priority: model.PriorityNormal, Tasks: job.Rows, Image: "img",
		Shape:        shapes[job.Shape],
		Demand:       model.Resources{CPU: job.Cores, GPU: job.Cards, MemGB: job.MemoryGb},
		MachineTypes: job.Breeds,
		Zone:         job.Field,
		AllowSpot:    job.Loaners,
		SingleZone:   job.OneZone,
		Spread:       job.Scatter,
		Rules:        test.Rules,
	}
}

// readConstraintCases reads the test table and the machine catalogs that its cases name.
func readConstraintCases(t *testing.T) (cases []constraintCase, catalogs map[string]json.RawMessage) {
	t.Helper()
	raw, err := os.ReadFile("../constraint/testdata/catalogs.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &catalogs); err != nil {
		t.Fatal(err)
	}
	if raw, err = os.ReadFile("../constraint/testdata/rulesets.jsonl"); err != nil {
		t.Fatal(err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var test constraintCase
		if err := json.Unmarshal(lines.Bytes(), &test); err != nil {
			t.Fatal(err)
		}
		cases = append(cases, test)
	}
	return cases, catalogs
}

func TestConstraintCases(t *testing.T) {
	cases, catalogs := readConstraintCases(t)
	count := map[string]int{}
	for _, test := range cases {
		types, err := constraint.DecodeCatalog(catalogs[test.Catalog], nil)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case test.Malformed != "":
			count["malformed"]++
			checkMalformed(t, &test)
		case test.Refused != nil:
			count["refused"]++
			checkRefused(t, &test, types)
		default:
			count["placed"]++
			checkPlaced(t, &test, types)
		}
	}
	if count["placed"] < 200 || count["refused"] < 100 || count["malformed"] < 30 {
		t.Errorf("too few cases: got %v, want 200 placed, 100 refused and 30 malformed", count)
	}
}

func checkMalformed(t *testing.T, test *constraintCase) {
	t.Helper()
	_, err := constraint.Parse(test.Rules)
	var syntax *constraint.SyntaxError
	if !errors.As(err, &syntax) || !strings.Contains(err.Error(), test.Malformed) ||
		syntax.Line < 1 || syntax.Column < 1 {
		t.Errorf("%d: %q: got %v, want %q", test.N, test.Rules, err, test.Malformed)
	}
}

func checkRefused(t *testing.T, test *constraintCase, types []model.MachineType) {
	t.Helper()
	set, err := constraint.Parse(test.Rules)
	if err != nil {
		t.Errorf("%d: %q: got %v, want no error", test.N, test.Rules, err)
		return
	}
	err = constraint.Check(set, test.spec(), constraint.Environment{Types: types})
	var contradiction *constraint.ContradictionError
	if !errors.As(err, &contradiction) || !contradiction.Smallest ||
		!slices.ContainsFunc(test.Refused, func(want []string) bool {
			return slices.Equal(slices.Sorted(slices.Values(contradiction.Clauses)), want)
		}) {
		t.Errorf("%d: %q: got %v, want one of %q", test.N, test.Rules, err, test.Refused)
	}
}

func checkPlaced(t *testing.T, test *constraintCase, types []model.MachineType) {
	t.Helper()
	set, err := constraint.Parse(test.Rules)
	if err != nil {
		t.Errorf("%d: %q: got %v, want no error", test.N, test.Rules, err)
		return
	}
	spec := test.spec()
	if err := constraint.Check(set, spec, constraint.Environment{Types: types}); err != nil {
		t.Errorf("%d: %q: got %v, want no contradiction", test.N, test.Rules, err)
		return
	}
	c, now := newIdleLeader(types)
	for _, i := range test.Images {
		c.machines[fmt.Sprintf("n-%06d", i)].CachedImages["img"] = now
	}
	c.Step(now, JobAdded{Spec: spec, SubmittedAt: now, Version: 9})
	c.Step(now, Tick{})
	c.Step(now.Add(time.Second), Tick{})
	got := "nowhere"
	for _, attempt := range c.jobs[spec.ID].ActiveAttempts {
		machine := attempt.Machine
		got = machine.Type.Name + "/" + machine.Zone + "/ordinary"
		if machine.Spot {
			got = machine.Type.Name + "/" + machine.Zone + "/spot"
		}
	}
	if !slices.Contains(test.Place, got) {
		t.Errorf("%d: %q: placed on %s, want %s", test.N, test.Rules, got, test.Place)
	}
}

// newIdleLeader returns a leader with one empty machine of each machine class, in the order of
// constraint.MachineClasses.
func newIdleLeader(types []model.MachineType) (*Core, time.Time) {
	now := time.Unix(1e9, 0)
	settings := Settings{
		Member:             "tiller-0",
		Teams:              []model.Team{{Name: "red", Quota: model.NewQuota(1e6, 1e6)}},
		UnresponsiveAfter:  time.Hour,
		WorkerLease:        time.Hour,
		PassInterval:       time.Millisecond,
		MaxTxnOps:          12,
		NumberedChunkTasks: 64,
		Scheduler: scheduler.Settings{
			IdlePowerFraction: 0.7, PromoteAfter: time.Hour, PromoteDeadlineAfter: time.Hour, ExpensiveFactor: 1e6,
		},
		Autoscaler: autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 3, MaxPerRequest: 50},
	}
	c := New(now, settings, 3, &record.Snapshot{NumberedChunkTasks: 64}, types, discardLog())
	for i, class := range constraint.MachineClasses(types) {
		addReadyMachine(c, now, fmt.Sprintf("n-%06d", i), class)
	}
	return c, now
}

// addReadyMachine adds an empty, registered machine in the ready state.
func addReadyMachine(c *Core, now time.Time, name string, class constraint.MachineClass) *model.Machine {
	machine := c.addMachine(now, model.MachineInfo{
		Name: name, Type: class.Type.Name, Zone: class.Zone, Spot: class.Spot,
	}, model.MachineBooting)
	machine.Transition(now, model.MachineReady, "")
	machine.RecordDurable, machine.Epoch = true, 1
	return machine
}

// BenchmarkPassOf500Machines measures the cost of a scheduling pass that finds little free capacity, with and without
// constraints on all waiting jobs.
func BenchmarkPassOf500Machines(b *testing.B) {
	types := []model.MachineType{
		{Name: "small", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3,
			Zones: []string{"a", "b", "c"}},
		{Name: "large", Capacity: model.Resources{CPU: 64, MemGB: 512}, PricePerHour: 8, SpotPricePerHour: 3,
			Zones: []string{"a", "b"}},
	}
	for _, test := range []struct{ name, rules string }{
		{"without", ""},
		{"with", `require cpus >= 4 and not (zone = "c" and spot)
prefer 20 spot
prefer -5 type = "large"
require at most 4 per machine`},
	} {
		b.Run(test.name, func(b *testing.B) {
			c, now := newIdleLeader(types)
			classes := constraint.MachineClasses(types)
			for i := range 500 {
				machine := addReadyMachine(c, now, fmt.Sprintf("m-%06d", i), classes[i%len(classes)])
				machine.Used = model.Resources{CPU: machine.Type.Capacity.CPU - float64(i%3)}
			}
			for i := range 40 {
				c.Step(now, JobAdded{SubmittedAt: now, Version: 9, Spec: &model.Spec{
					ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: "red", Shape: model.Array,
					Priority: model.PriorityNormal, Tasks: 50, Demand: model.Resources{CPU: 2, MemGB: 4},
					Image: "img", AllowSpot: true, Rules: test.rules,
				}})
			}
			b.ResetTimer()
			for b.Loop() {
				scheduler.MakePlan(&c.settings.Scheduler, c.schedulerInput(now))
			}
		})
	}
}
