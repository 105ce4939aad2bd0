package reconciler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// constraintCase is one line of the table: a job with rules, and what has to come of it. The
// expectations were worked out apart from this code, each rule by a predicate of its own
// and the smallest sets by trying all of them.
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
	Images    []int      // classes whose machine holds the image
	Place     []string   // where the first task goes, with one empty machine of each class: any of them
	Refused   [][]string // the smallest sets that exclude each other: any of them
	Malformed string     // a part of the message
}

// idleLeader is a leader with one empty machine of each class, in their order.
func idleLeader(types []model.MachineType) (*Core, time.Time) {
	now := time.Unix(1e9, 0)
	set := Settings{Member: "tiller-0", Teams: []model.Team{{Name: "red", Quota: model.NewQuota(1e6, 1e6)}}, UnresponsiveAfter: time.Hour, WorkerLease: time.Hour,
		PassInterval: time.Millisecond, MaxTxnOps: 12, NumberedChunkTasks: 64, Scheduler: scheduler.Settings{IdlePowerFraction: 0.7, PromoteAfter: time.Hour, PromoteLateAfter: time.Hour, ExpensiveFactor: 1e6},
		Autoscaler: autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 3, MaxPerRequest: 50}}
	c := New(now, set, 3, &Snapshot{NumberedChunkTasks: 64}, types, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, k := range constraint.Classes(types) {
		m := c.addMachine(now, model.MachineInfo{Name: fmt.Sprintf("n-%06d", i), Type: k.Type.Name, Zone: k.Zone, Spot: k.Spot}, model.MachineBooting)
		m.Transition(now, model.MachineReady, "")
		m.Registered, m.Epoch = true, 1
	}
	return c, now
}

func TestConstraintCases(t *testing.T) {
	raw, err := os.ReadFile("../constraint/testdata/catalogs.json")
	if err != nil {
		t.Fatal(err)
	}
	var catalogs map[string]json.RawMessage
	if err := json.Unmarshal(raw, &catalogs); err != nil {
		t.Fatal(err)
	}
	if raw, err = os.ReadFile("../constraint/testdata/rulesets.jsonl"); err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var r constraintCase
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		types, err := constraint.DecodeCatalog(catalogs[r.Catalog], nil)
		if err != nil {
			t.Fatal(err)
		}
		spec := &model.Spec{ID: "wk-000001", Class: "work", Team: "red", Priority: model.PriorityNormal, Tasks: r.Job.Rows, Image: "img",
			Shape:  map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}[r.Job.Shape],
			Demand: model.Resources{CPU: r.Job.Cores, GPU: r.Job.Cards, MemGB: r.Job.MemoryGb}, MachineTypes: r.Job.Breeds, Zone: r.Job.Field, AllowSpot: r.Job.Loaners,
			SingleZone: r.Job.OneZone, Spread: r.Job.Scatter, Rules: r.Rules}
		set, err := constraint.Parse(r.Rules)
		if r.Malformed != "" {
			count["malformed"]++
			var syntax *constraint.SyntaxError
			if !errors.As(err, &syntax) || !strings.Contains(err.Error(), r.Malformed) || syntax.Line < 1 || syntax.Column < 1 {
				t.Errorf("%d: %q: got %v, want %q", r.N, r.Rules, err, r.Malformed)
			}
			continue
		}
		if err != nil {
			t.Errorf("%d: %q: %v", r.N, r.Rules, err)
			continue
		}
		err = constraint.Check(set, spec, constraint.Environment{Types: types})
		if r.Refused != nil {
			count["refused"]++
			var no *constraint.Contradiction
			if !errors.As(err, &no) || !no.Smallest || !slices.ContainsFunc(r.Refused, func(want []string) bool {
				return slices.Equal(slices.Sorted(slices.Values(no.Clauses)), want)
			}) {
				t.Errorf("%d: %q: got %v, want one of %q", r.N, r.Rules, err, r.Refused)
			}
			continue
		}
		count["placed"]++
		if err != nil {
			t.Errorf("%d: %q: %v", r.N, r.Rules, err)
			continue
		}
		c, now := idleLeader(types)
		for _, i := range r.Images {
			c.machines[fmt.Sprintf("n-%06d", i)].CachedImages["img"] = now
		}
		c.Step(now, JobAdded{Spec: spec, SubmittedAt: now, Version: 9})
		c.Step(now, Tick{})
		c.Step(now.Add(time.Second), Tick{})
		got := "nowhere"
		for _, a := range c.jobs[spec.ID].ActiveAttempts {
			m := a.Machine
			got = m.Type.Name + "/" + m.Zone + "/ordinary"
			if m.Spot {
				got = m.Type.Name + "/" + m.Zone + "/spot"
			}
		}
		if !slices.Contains(r.Place, got) {
			t.Errorf("%d: %q: placed on %s, want %s", r.N, r.Rules, got, r.Place)
		}
	}
	if count["placed"] < 200 || count["refused"] < 100 || count["malformed"] < 30 {
		t.Errorf("too few rule sets: %v", count)
	}
}

// BenchmarkPassOf500Machines tells what a pass costs that finds little room, with and
// without rules on all that waits.
func BenchmarkPassOf500Machines(b *testing.B) {
	types := []model.MachineType{{Name: "small", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, Zones: []string{"a", "b", "c"}},
		{Name: "large", Capacity: model.Resources{CPU: 64, MemGB: 512}, PricePerHour: 8, SpotPricePerHour: 3, Zones: []string{"a", "b"}}}
	for _, rules := range []string{"", "require cpus >= 4 and not (zone = \"c\" and spot)\nprefer 20 spot\nprefer -5 type = \"large\"\nrequire at most 4 per machine"} {
		name := "without"
		if rules != "" {
			name = "with"
		}
		b.Run(name, func(b *testing.B) {
			c, now := idleLeader(types)
			all := constraint.Classes(types)
			for i := range 500 {
				k := all[i%len(all)]
				m := c.addMachine(now, model.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: k.Type.Name, Zone: k.Zone, Spot: k.Spot}, model.MachineBooting)
				m.Transition(now, model.MachineReady, "")
				m.Registered, m.Epoch = true, 1
				m.Used = model.Resources{CPU: m.Type.Capacity.CPU - float64(i%3)}
			}
			for i := range 40 {
				c.Step(now, JobAdded{SubmittedAt: now, Version: 9, Spec: &model.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "work", Team: "red", Shape: model.Array, Priority: model.PriorityNormal,
					Tasks: 50, Demand: model.Resources{CPU: 2, MemGB: 4}, Image: "img", AllowSpot: true, Rules: rules}})
			}
			b.ResetTimer()
			for b.Loop() {
				p := c.schedulerInput(now)
				scheduler.MakePlan(&c.settings.Scheduler, p)
			}
		})
	}
}
