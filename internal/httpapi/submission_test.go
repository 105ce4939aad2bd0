package httpapi

import (
	"bytes"
	"encoding/json"
	"maps"
	"math"
	"os"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// invalidValues lists, for each required field, values of a wrong type or out of range.
var invalidValues = map[string][]any{
	"ref":      {nil, 7, "", "x", []any{"wk-000001"}},
	"jobclass": {nil, 1, ""},
	"owner":    {nil, 1, true, ""},
	"shape":    {nil, 1, "", "arrays"},
	"rank":     {nil, 2, "", "boss"},
	"rows":     {nil, "4", 4.0, 0, -1, 100_001},
	"cores":    {nil, "8", -1, math.NaN(), math.Inf(1), 1e9},
	"cards":    {nil, "0", -1.0},
	"memoryGb": {nil, false, -0.5},
	"oneZone":  {nil, 0, "false"},
	"scatter":  {nil, 1, "no"},
	"loaners":  {nil, 1},
	"seed":     {nil, 5},
	"imageGb":  {nil, "1", -1.0},
	"expectS":  {nil, "30", -1.0, math.Inf(1)},
	"markS":    {nil, []any{}, -1},
	"storeS":   {nil, map[string]any{}, -2},
}

// invalidOptionalValues lists values of a wrong type or out of range for the optional fields.
var invalidOptionalValues = map[string][]any{
	"breeds": {"eight", []any{1}, map[string]any{}},
	"field":  {1, "", []any{"a"}},
	"dueS":   {"60", -1, math.NaN()},
}

// infeasibleFields lists field values of well-formed submissions whose jobs can never run, by description.
var infeasibleFields = map[string]map[string]any{
	"no such type":                {"breeds": []any{"nine"}},
	"no such zone":                {"field": "z"},
	"too many CPUs":               {"cores": 8.5},
	"too much memory":             {"memoryGb": 65},
	"GPUs that no machine has":    {"cards": 1},
	"a gang over the quota":       {"shape": "ensemble", "rows": 9},
	"a service over the quota":    {"shape": "daemon", "rows": 9},
	"no such team":                {"owner": "nobody"},
	"a gang spread over one zone": {"shape": "ensemble", "rows": 2, "scatter": true},
	"spread, and in a zone":       {"shape": "daemon", "rows": 2, "scatter": true, "field": "a"},
	"spread, and in one zone":     {"shape": "ensemble", "rows": 2, "scatter": true, "oneZone": true},
}

// checkInvalidFieldsAreRejected submits wk-000001 with each required field missing, and with each
// invalid value of each field.
func checkInvalidFieldsAreRejected(t *testing.T, do testClient) {
	t.Helper()
	for field := range submissionFields("wk-000001") {
		if len(invalidValues[field]) == 0 {
			t.Errorf("required field %s: got no invalid values, want at least one", field)
		}
		fields := submissionFields("wk-000001")
		delete(fields, field)
		if got := do("POST", "/api/jobs", fields); got.status != 400 {
			t.Errorf("without %s: got %d, want 400", field, got.status)
		}
		for _, value := range invalidValues[field] {
			fields[field] = value
			if got := do("POST", "/api/jobs", fields); got.status != 400 {
				t.Errorf("%s = %v: got %d, want 400", field, value, got.status)
			}
		}
	}
	for field, values := range invalidOptionalValues {
		for _, value := range values {
			fields := submissionFields("wk-000001")
			fields[field] = value
			if got := do("POST", "/api/jobs", fields); got.status != 400 {
				t.Errorf("%s = %v: got %d, want 400", field, value, got.status)
			}
		}
	}
}

func TestInvalidSubmissionsAreRejectedUnlessJobIsKnown(t *testing.T) {
	jobs := noJobs()
	backend := &fakeBackend{machineTypes: eightCPUTypes}
	do := serveHTTP(t, jobs, backend)
	checkInvalidFieldsAreRejected(t, do)
	for name, changes := range infeasibleFields {
		fields := submissionFields("wk-000001")
		maps.Copy(fields, changes)
		if got := do("POST", "/api/jobs", fields); got.status != 422 {
			t.Errorf("%s: got %d, want 422", name, got.status)
		}
	}
	if len(jobs.records) > 0 {
		t.Fatalf("records of rejected submissions: got %v, want none", jobs.records)
	}
	for name, changes := range map[string]map[string]any{
		"one task spread in a zone":     {"shape": "ensemble", "rows": 1, "scatter": true, "field": "a"},
		"an array spread over one zone": {"scatter": true},
	} {
		fields := submissionFields("wk-000003")
		maps.Copy(fields, changes)
		if got := do("POST", "/api/jobs", fields); got.status != 201 && got.status != 200 {
			t.Errorf("%s: got %d, want 201 or 200", name, got.status)
		}
	}
	if got := do("POST", "/api/jobs", submissionFields("wk-000001")); got.status != 201 {
		t.Fatalf("valid submission: got %d, want 201", got.status)
	}
	// Once a job is known, a repeated submission returns its state, whatever the submission says and whichever
	// machine types the cloud offers by then.
	tinyTypes := []model.MachineType{{Name: "tiny", Capacity: model.Resources{CPU: 1}, Zones: []string{"b"}}}
	for _, types := range [][]model.MachineType{eightCPUTypes, tinyTypes, nil} {
		backend.machineTypes = types
		for name, changes := range infeasibleFields {
			fields := submissionFields("wk-000001")
			maps.Copy(fields, changes)
			if got := do("POST", "/api/jobs", fields); got.status != 200 {
				t.Errorf("repeated, %s: got %d, want 200", name, got.status)
			}
		}
		if got := do("POST", "/api/jobs", map[string]any{"ref": "wk-000001"}); got.status != 200 {
			t.Errorf("repeated with the id alone: got %d, want 200", got.status)
		}
	}
}

func TestSubmissionWithoutMachineTypesIsRetryable(t *testing.T) {
	do := serveHTTP(t, noJobs(), &fakeBackend{})
	if got := do("POST", "/api/jobs", submissionFields("wk-000001")); got.status != 503 {
		t.Errorf("got %d, want 503", got.status)
	}
}

func TestMemoryPressureRejectsOnlyNewJobs(t *testing.T) {
	jobs := &fakeJobs{records: map[string]store.JobRecord{"wk-000001": {State: wire.StateQueued}}}
	do := serveHTTP(t, jobs, &fakeBackend{machineTypes: eightCPUTypes, memoryPressure: true})
	if got := do("POST", "/api/jobs", submissionFields("wk-000002")); got.status != 429 || got.retryAfter == "" {
		t.Errorf("new job: got %d, Retry-After %q, want 429 with Retry-After", got.status, got.retryAfter)
	}
	if got := do("POST", "/api/jobs", submissionFields("wk-000001")); got.status != 200 {
		t.Errorf("known job: got %d, want 200", got.status)
	}
	if got := do("POST", "/api/jobs/wk-000001/withdraw", nil); got.status != 200 {
		t.Errorf("cancellation: got %d, want 200", got.status)
	}
}

// Guards against a README whose example no longer works. The README shows two submissions as JSON, and the
// server must accept both as they are.
func TestReadmePipelineIsAccepted(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ = bytes.Cut(text, []byte("## A pipeline"))
	text, _, _ = bytes.Cut(text, []byte("## Tests"))
	do := serveHTTP(t, noJobs(), &fakeBackend{machineTypes: eightCPUTypes})
	parts := bytes.Split(text, []byte("POST /api/jobs\n"))
	if len(parts) != 3 {
		t.Fatalf("submissions in the README: got %d, want 2", len(parts)-1)
	}
	for _, part := range parts[1:] {
		decoder := json.NewDecoder(bytes.NewReader(part))
		decoder.UseNumber()
		var fields map[string]any
		if err := decoder.Decode(&fields); err != nil {
			t.Fatal(err)
		}
		for key, value := range fields {
			number, ok := value.(json.Number)
			if !ok {
				continue
			}
			if fields[key], err = number.Int64(); err != nil {
				fields[key], err = number.Float64()
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if got := do("POST", "/api/jobs", fields); got.status != 201 {
			t.Errorf("%v: got %d %v, want 201", fields["ref"], got.status, got.fields)
		}
	}
}
