package httpapi

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestSubmissionConstraintsAreValidated(t *testing.T) {
	jobs := &fakeJobs{records: map[string]store.JobRecord{
		"wk-000009": {State: wire.StateQueued, Spec: &model.Spec{Tasks: 1, Zone: "b"}},
	}}
	backend := &fakeBackend{machineTypes: []model.MachineType{
		{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, Zones: []string{"a"}},
		{Name: "gpu", Capacity: model.Resources{CPU: 8, GPU: 4, MemGB: 64}, Zones: []string{"b"}},
	}}
	settings := Settings{RetryAfter: time.Second, MaxConns: 10, ConstraintsEnabled: true}
	do := serveHTTPWith(t, settings, jobs, backend)
	withRules := func(id string, rules any) map[string]any {
		fields := maps.Clone(submissionFields(id))
		fields["rules"] = rules
		return fields
	}
	for _, c := range []struct {
		rules  any
		status int
		reason string
	}{
		{"require gpus >= 1; prefer 20 spot", 201, ""},
		{nil, 201, ""},
		{"", 201, ""},
		{7, 400, "not a text"},
		{"require gpus => 1", 400, "line 1, column 15: unexpected token \">\" (expected a value)"},
		{"require gpus >= 1; require zone = \"a\"", 422,
			"these exclude each other: `require gpus >= 1` (line 1); `require zone = \"a\"` (line 1)"},
		{"require same zone as wk-000009; require zone = \"a\"", 422, "which may only be in b"},
		{"prefer 5 apart from wk-777777", 422, "never accepted"},
		{"require same zone as wk-000107", 422, "names the job itself"},
		{strings.Repeat("require spot;", 4000), 400, "longer than"},
	} {
		id := fmt.Sprintf("wk-%06d", 100+len(jobs.records)-1)
		if strings.Contains(c.reason, "itself") {
			id = "wk-000107"
		}
		got := do("POST", "/api/jobs", withRules(id, c.rules))
		if reason, _ := got.fields["error"].(string); got.status != c.status || !strings.Contains(reason, c.reason) {
			t.Errorf("%v: got %d %v, want %d %s", c.rules, got.status, got.fields, c.status, c.reason)
		}
	}
	const wantRules = "require gpus >= 1; prefer 20 spot"
	if spec := jobs.records["wk-000100"].Spec; spec == nil || spec.Rules != wantRules {
		t.Errorf("recorded spec: got %+v, want rules %q", spec, wantRules)
	}
	backend.machineTypes = nil
	if got := do("POST", "/api/jobs", withRules("wk-000200", "require spot")); got.status != 503 || got.retryAfter == "" {
		t.Errorf("without machine types: got %d, Retry-After %q, want 503 with Retry-After", got.status, got.retryAfter)
	}

	backend.machineTypes = eightCPUTypes
	doDisabled := serveHTTP(t, jobs, backend)
	for i, rules := range []any{"require gpus => 1", 7, "require gpus > 100"} {
		id := fmt.Sprintf("wk-%06d", 300+i)
		got := doDisabled("POST", "/api/jobs", withRules(id, rules))
		if got.status != 201 || jobs.records[id].Spec.Rules != "" {
			t.Errorf("constraints disabled, %v: got %d %v, want 201 without rules", rules, got.status, got.fields)
		}
	}
}
