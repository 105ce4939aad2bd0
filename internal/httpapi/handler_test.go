package httpapi

import (
	"maps"
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestUserRequestsReturnDocumentedStatus(t *testing.T) {
	jobs := &fakeJobs{records: map[string]store.JobRecord{"wk-000009": {State: wire.StateDone, Tasks: 7}}}
	do := serveHTTP(t, jobs, &fakeBackend{machineTypes: eightCPUTypes})
	with := func(id string, change func(map[string]any)) map[string]any {
		fields := maps.Clone(submissionFields(id))
		change(fields)
		return fields
	}
	without := func(id, field string) map[string]any {
		return with(id, func(fields map[string]any) { delete(fields, field) })
	}
	dependent := func(id string, dependencies any) map[string]any {
		return with(id, func(fields map[string]any) { fields["awaits"] = dependencies })
	}
	unknownTeam := with("wk-000003", func(fields map[string]any) { fields["owner"] = "nobody" })
	tooManyCPUs := with("wk-000004", func(fields map[string]any) { fields["cores"] = 9 })
	gangOverQuota := with("wk-000005", func(fields map[string]any) { fields["shape"], fields["rows"] = "ensemble", 9 })
	arrayOverQuota := with("wk-000006", func(fields map[string]any) { fields["rows"] = 900 })
	malformedRepeat := map[string]any{"ref": "wk-000001", "rows": "x"}
	tooLarge := []byte(strings.Repeat("x", wire.MaxBodyBytes+1))
	for _, c := range []struct {
		name, method, path string
		body               any
		status             int
		jobStatus          string
	}{
		{"new job", "POST", "/api/jobs", submissionFields("wk-000001"), 201, "queued"},
		{"repeated", "POST", "/api/jobs", submissionFields("wk-000001"), 200, "running"},
		{"repeated, malformed", "POST", "/api/jobs", malformedRepeat, 200, "running"},
		{"repeated, done", "POST", "/api/jobs", submissionFields("wk-000009"), 200, "done"},
		{"malformed", "POST", "/api/jobs", []byte("hello"), 400, ""},
		{"trailing bytes", "POST", "/api/jobs", []byte{0x80, 0x80}, 400, ""},
		{"too large", "POST", "/api/jobs", tooLarge, 400, ""},
		{"missing field", "POST", "/api/jobs", without("wk-000002", "rank"), 400, ""},
		{"unknown team", "POST", "/api/jobs", unknownTeam, 422, ""},
		{"fits no machine", "POST", "/api/jobs", tooManyCPUs, 422, ""},
		{"gang over the quota", "POST", "/api/jobs", gangOverQuota, 422, ""},
		{"array over the quota", "POST", "/api/jobs", arrayOverQuota, 201, "queued"},
		{"null dependencies", "POST", "/api/jobs", dependent("wk-000010", nil), 201, "queued"},
		{"no dependencies", "POST", "/api/jobs", dependent("wk-000011", []any{}), 201, "queued"},
		{"known dependencies", "POST", "/api/jobs",
			dependent("wk-000012", []any{"wk-000001", "wk-000009", "wk-000009"}), 201, "queued"},
		{"dependencies not a list", "POST", "/api/jobs", dependent("wk-000013", "wk-000001"), 400, ""},
		{"dependency not an id", "POST", "/api/jobs", dependent("wk-000014", []any{"wk-000001", "x"}), 400, ""},
		{"dependency a number", "POST", "/api/jobs", dependent("wk-000015", []any{1}), 400, ""},
		{"dependency never accepted", "POST", "/api/jobs",
			dependent("wk-000016", []any{"wk-000001", "wk-777777"}), 422, ""},
		{"repeated with another dependency", "POST", "/api/jobs",
			dependent("wk-000012", []any{"wk-777777"}), 200, "running"},
		{"poll", "GET", "/api/jobs/wk-000001", nil, 200, "running"},
		{"poll, done", "GET", "/api/jobs/wk-000009", nil, 200, "done"},
		{"poll, unknown", "GET", "/api/jobs/wk-777777", nil, 404, ""},
		{"poll, not an id", "GET", "/api/jobs/../healthz", nil, 404, ""},
		{"cancel", "POST", "/api/jobs/wk-000001/withdraw", nil, 200, "withdrawn"},
		{"cancel, done", "POST", "/api/jobs/wk-000009/withdraw", nil, 200, "done"},
		{"cancel, unknown", "POST", "/api/jobs/wk-777777/withdraw", nil, 404, ""},
		{"other method", "DELETE", "/api/jobs/wk-000009", nil, 405, ""},
		{"other path", "GET", "/api/job", nil, 404, ""},
		{"health check", "GET", "/healthz", nil, 200, ""},
	} {
		got := do(c.method, c.path, c.body)
		if got.status != c.status || c.jobStatus != "" && got.fields["status"] != c.jobStatus {
			t.Errorf("%s: got %d %v, want %d %s", c.name, got.status, got.fields, c.status, c.jobStatus)
		}
	}
}

func TestStateServiceOutageReturnsRetryAfter(t *testing.T) {
	jobs := &fakeJobs{
		records: map[string]store.JobRecord{
			"wk-000001": {State: wire.StateQueued},
			"wk-000009": {State: wire.StateCancelled},
		},
		stateServiceDown: true,
	}
	do := serveHTTP(t, jobs, &fakeBackend{machineTypes: eightCPUTypes})
	for _, c := range []struct{ method, path string }{
		{"GET", "/api/jobs/wk-000001"},
		{"GET", "/api/jobs/wk-777777"},
		{"POST", "/api/jobs/wk-000001/withdraw"},
	} {
		if got := do(c.method, c.path, nil); got.status != 503 || got.retryAfter == "" {
			t.Errorf("%s %s: got %d, Retry-After %q, want 503 with Retry-After",
				c.method, c.path, got.status, got.retryAfter)
		}
	}
	if got := do("POST", "/api/jobs", submissionFields("wk-000002")); got.status != 503 || got.retryAfter == "" {
		t.Errorf("submission: got %d, Retry-After %q, want 503 with Retry-After", got.status, got.retryAfter)
	}
	dependent := submissionFields("wk-000003")
	dependent["awaits"] = []any{"wk-777777"}
	if got := do("POST", "/api/jobs", dependent); got.status != 503 {
		t.Errorf("submission with dependencies: got %d, want 503", got.status)
	}
	if got := do("GET", "/api/jobs/wk-000009", nil); got.status != 200 || got.fields["status"] != "withdrawn" {
		t.Errorf("poll of an ended job: got %d %v, want 200 withdrawn", got.status, got.fields)
	}
}
