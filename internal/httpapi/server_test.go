package httpapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// fakeJobs stands in for the job records.
type fakeJobs struct {
	known            map[string]store.JobRecord
	stateServiceDown bool
}

var errStateServiceDown = errors.New("down")

func (r *fakeJobs) Peek(id string) store.JobRecord { return r.known[id] }

func (r *fakeJobs) Lookup(_ context.Context, id string) (store.JobRecord, error) {
	if v := r.known[id]; v.State.Ended() || !r.stateServiceDown {
		return v, nil
	}
	return store.JobRecord{}, errStateServiceDown
}

func (r *fakeJobs) Accept(_ context.Context, s *model.Spec, _ bool, _ time.Time) (bool, store.JobRecord, error) {
	if r.stateServiceDown {
		return false, store.JobRecord{}, errStateServiceDown
	}
	v, ok := r.known[s.ID]
	if !ok {
		v = store.JobRecord{State: wire.StateQueued, Spec: s, Tasks: s.Tasks}
		r.known[s.ID] = v
	}
	return !ok, v, nil
}

func (r *fakeJobs) ResolveDependencies(_ context.Context, s *model.Spec) (bool, error) {
	for _, id := range s.Dependencies {
		if r.stateServiceDown {
			return false, errStateServiceDown
		}
		if r.known[id].State == wire.StateUnknown {
			return false, store.ErrUnknownDependency
		}
	}
	return false, nil
}

func (r *fakeJobs) CheckSize(*model.Spec) error { return nil }

func (r *fakeJobs) Cancel(_ context.Context, id string, _ time.Time) (store.JobRecord, error) {
	if r.stateServiceDown {
		return store.JobRecord{}, errStateServiceDown
	}
	v := r.known[id]
	if v.State == wire.StateQueued {
		v.State = wire.StateCancelled
		r.known[id] = v
	}
	return v, nil
}

// fakeBackend stands in for the controller behind the front.
type fakeBackend struct {
	machineTypes    []model.MachineType
	heartbeatResult HeartbeatResult
	relayedResponse []byte
	memoryPressure  bool
	forward         func(ctx context.Context, member string, q route.Request) route.Response // what becomes of a request at another member
}

func (b *fakeBackend) HandleHeartbeat(context.Context, *model.Heartbeat) HeartbeatResult {
	return b.heartbeatResult
}
func (b *fakeBackend) RelayHeartbeat(context.Context, string, []byte) ([]byte, bool) {
	return b.relayedResponse, b.relayedResponse != nil
}
func (b *fakeBackend) Progress(string) (int, int)        { return 3, 2 }
func (b *fakeBackend) MachineTypes() []model.MachineType { return b.machineTypes }
func (b *fakeBackend) Team(name string) *model.Team {
	if name != "vision" {
		return nil
	}
	return &model.Team{Name: name, Quota: model.NewQuota(64, 0)}
}
func (b *fakeBackend) Healthy() bool                { return true }
func (b *fakeBackend) LastStateResponse() time.Time { return time.Time{} }
func (b *fakeBackend) Forward(ctx context.Context, member string, q route.Request) route.Response {
	return b.forward(ctx, member, q)
}
func (b *fakeBackend) UnderMemoryPressure() bool { return b.memoryPressure }

// serveHTTP runs a front in memory and returns what sends requests to it.
func serveHTTP(t *testing.T, r *fakeJobs, b *fakeBackend) func(method, path string, body any) (int, map[string]any, string) {
	t.Helper()
	return serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10}, r, b)
}

// serveHTTPWith is the same with other settings.
func serveHTTPWith(t *testing.T, set Settings, r *fakeJobs, b *fakeBackend) func(method, path string, body any) (int, map[string]any, string) {
	t.Helper()
	s := New(set, r, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	c := &fasthttp.HostClient{Addr: "front", DisablePathNormalizing: true, Dial: func(string) (net.Conn, error) { return l.Dial() }}
	return func(method, path string, body any) (int, map[string]any, string) {
		t.Helper()
		var req fasthttp.Request
		var res fasthttp.Response
		req.Header.SetMethod(method)
		req.SetRequestURI("http://front" + path)
		switch v := body.(type) {
		case nil:
		case []byte:
			req.SetBody(v)
		default:
			p, err := msgp.AppendIntf(nil, v)
			if err != nil {
				t.Fatal(err)
			}
			req.SetBody(p)
		}
		if err := c.Do(&req, &res); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		out := map[string]any{}
		if len(res.Body()) > 0 {
			v, _, err := msgp.ReadIntfBytes(res.Body())
			if err != nil {
				t.Fatalf("%s %s: body: %v", method, path, err)
			}
			out, _ = v.(map[string]any)
		}
		return res.StatusCode(), out, string(res.Header.Peek("Retry-After"))
	}
}

func submissionFields(id string) map[string]any {
	return map[string]any{"ref": id, "jobclass": "train", "owner": "vision", "shape": "array", "rank": "standard", "rows": 4, "cores": 8,
		"cards": 0, "memoryGb": 16.0, "seed": "img", "imageGb": 1.5, "oneZone": false, "scatter": false, "loaners": true, "expectS": 30.0,
		"markS": 0.0, "storeS": 0.0}
}

var eightCPUTypes = []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, Zones: []string{"a"}}}

func TestSubmissionConstraintsAreValidated(t *testing.T) {
	r := &fakeJobs{known: map[string]store.JobRecord{"wk-000009": {State: wire.StateQueued, Spec: &model.Spec{Tasks: 1, Zone: "b"}}}}
	b := &fakeBackend{machineTypes: []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, Zones: []string{"a"}},
		{Name: "gpu", Capacity: model.Resources{CPU: 8, GPU: 4, MemGB: 64}, Zones: []string{"b"}}}}
	do := serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10, ConstraintsEnabled: true}, r, b)
	ruled := func(id string, rules any) map[string]any {
		m := maps.Clone(submissionFields(id))
		m["rules"] = rules
		return m
	}
	for _, c := range []struct {
		rules any
		want  int
		why   string
	}{
		{"require gpus >= 1; prefer 20 spot", 201, ""},
		{nil, 201, ""},
		{"", 201, ""},
		{7, 400, "not a text"},
		{"require gpus => 1", 400, "line 1, column 15: unexpected token \">\" (expected a value)"},
		{"require gpus >= 1; require zone = \"a\"", 422, "these exclude each other: `require gpus >= 1` (line 1); `require zone = \"a\"` (line 1)"},
		{"require same zone as wk-000009; require zone = \"a\"", 422, "which may only be in b"},
		{"prefer 5 apart from wk-777777", 422, "never accepted"},
		{"require same zone as wk-000107", 422, "names the job itself"},
		{strings.Repeat("require spot;", 4000), 400, "longer than"},
	} {
		id := fmt.Sprintf("wk-%06d", 100+len(r.known)-1)
		if strings.Contains(c.why, "itself") {
			id = "wk-000107"
		}
		code, body, _ := do("POST", "/api/jobs", ruled(id, c.rules))
		if why, _ := body["error"].(string); code != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%v: got %d %v, want %d %s", c.rules, code, body, c.want, c.why)
		}
	}
	if s := r.known["wk-000100"].Spec; s == nil || s.Rules != "require gpus >= 1; prefer 20 spot" {
		t.Errorf("kept: %+v", s)
	}
	b.machineTypes = nil
	if code, _, after := do("POST", "/api/jobs", ruled("wk-000200", "require spot")); code != 503 || after == "" {
		t.Errorf("without a catalogue: %d", code)
	}
	b.machineTypes = eightCPUTypes
	off := serveHTTP(t, r, b)
	for i, rules := range []any{"require gpus => 1", 7, "require gpus > 100"} {
		id := fmt.Sprintf("wk-%06d", 300+i)
		if code, body, _ := off("POST", "/api/jobs", ruled(id, rules)); code != 201 || r.known[id].Spec.Rules != "" {
			t.Errorf("turned off, %v: %d %v", rules, code, body)
		}
	}
}

func TestUserRequestsReturnDocumentedStatus(t *testing.T) {
	r := &fakeJobs{known: map[string]store.JobRecord{"wk-000009": {State: wire.StateDone, Tasks: 7}}}
	do := serveHTTP(t, r, &fakeBackend{machineTypes: eightCPUTypes})
	with := func(id string, change func(map[string]any)) map[string]any {
		m := maps.Clone(submissionFields(id))
		change(m)
		return m
	}
	awaits := func(id string, list any) map[string]any {
		return with(id, func(m map[string]any) { m["awaits"] = list })
	}
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
		status             string
	}{
		{"new job", "POST", "/api/jobs", submissionFields("wk-000001"), 201, "queued"},
		{"again", "POST", "/api/jobs", submissionFields("wk-000001"), 200, "running"},
		{"known, though malformed by now", "POST", "/api/jobs", map[string]any{"ref": "wk-000001", "rows": "x"}, 200, "running"},
		{"known and over", "POST", "/api/jobs", submissionFields("wk-000009"), 200, "done"},
		{"malformed", "POST", "/api/jobs", []byte("hello"), 400, ""},
		{"bytes behind", "POST", "/api/jobs", []byte{0x80, 0x80}, 400, ""},
		{"too large", "POST", "/api/jobs", []byte(strings.Repeat("x", wire.MaxBodyBytes+1)), 400, ""},
		{"a field is missing", "POST", "/api/jobs", with("wk-000002", func(m map[string]any) { delete(m, "rank") }), 400, ""},
		{"unknown team", "POST", "/api/jobs", with("wk-000003", func(m map[string]any) { m["owner"] = "nobody" }), 422, ""},
		{"fits no machine", "POST", "/api/jobs", with("wk-000004", func(m map[string]any) { m["cores"] = 9 }), 422, ""},
		{"a gang over the limit", "POST", "/api/jobs", with("wk-000005", func(m map[string]any) { m["shape"], m["rows"] = "ensemble", 9 }), 422, ""},
		{"an array may be over it", "POST", "/api/jobs", with("wk-000006", func(m map[string]any) { m["rows"] = 900 }), 201, "queued"},
		{"awaits nothing", "POST", "/api/jobs", awaits("wk-000010", nil), 201, "queued"},
		{"awaits an empty list", "POST", "/api/jobs", awaits("wk-000011", []any{}), 201, "queued"},
		{"awaits known jobs", "POST", "/api/jobs", awaits("wk-000012", []any{"wk-000001", "wk-000009", "wk-000009"}), 201, "queued"},
		{"awaits no list", "POST", "/api/jobs", awaits("wk-000013", "wk-000001"), 400, ""},
		{"awaits what is no id", "POST", "/api/jobs", awaits("wk-000014", []any{"wk-000001", "x"}), 400, ""},
		{"awaits numbers", "POST", "/api/jobs", awaits("wk-000015", []any{1}), 400, ""},
		{"awaits one never accepted", "POST", "/api/jobs", awaits("wk-000016", []any{"wk-000001", "wk-777777"}), 422, ""},
		{"known, whatever it awaits by now", "POST", "/api/jobs", awaits("wk-000012", []any{"wk-777777"}), 200, "running"},
		{"poll", "GET", "/api/jobs/wk-000001", nil, 200, "running"},
		{"poll, over", "GET", "/api/jobs/wk-000009", nil, 200, "done"},
		{"poll, unheard of", "GET", "/api/jobs/wk-777777", nil, 404, ""},
		{"poll, no id", "GET", "/api/jobs/../healthz", nil, 404, ""},
		{"cancel", "POST", "/api/jobs/wk-000001/withdraw", nil, 200, "withdrawn"},
		{"cancel what is done", "POST", "/api/jobs/wk-000009/withdraw", nil, 200, "done"},
		{"cancel, unheard of", "POST", "/api/jobs/wk-777777/withdraw", nil, 404, ""},
		{"another method", "DELETE", "/api/jobs/wk-000009", nil, 405, ""},
		{"another path", "GET", "/api/job", nil, 404, ""},
		{"health", "GET", "/healthz", nil, 200, ""},
	} {
		code, body, _ := do(c.method, c.path, c.body)
		if code != c.want || c.status != "" && body["status"] != c.status {
			t.Errorf("%s: got %d %v, want %d %s", c.name, code, body, c.want, c.status)
		}
	}
}

// Each required field missing, null, of another type and out of its range; and what can never run. Whether
// the catalogue has changed meanwhile, a known job is answered as it stands, whatever its submission says by
// now; nothing is kept of the others.
func TestInvalidSubmissionsAreRejectedUnlessJobIsKnown(t *testing.T) {
	r := &fakeJobs{known: map[string]store.JobRecord{}}
	b := &fakeBackend{machineTypes: eightCPUTypes}
	do := serveHTTP(t, r, b)
	odd := map[string][]any{"ref": {nil, 7, "", "x", []any{"wk-000001"}}, "jobclass": {nil, 1, ""},
		"owner": {nil, 1, true, ""},
		"shape": {nil, 1, "", "arrays"},
		"rank":  {nil, 2, "", "boss"}, "rows": {nil, "4", 4.0, 0, -1, 100_001},
		"cores":    {nil, "8", -1, math.NaN(), math.Inf(1), 1e9},
		"cards":    {nil, "0", -1.0},
		"memoryGb": {nil, false, -0.5}, "oneZone": {nil, 0, "false"}, "scatter": {nil, 1, "no"}, "loaners": {nil, 1},
		"seed":    {nil, 5},
		"imageGb": {nil, "1", -1.0}, "expectS": {nil, "30", -1.0, math.Inf(1)}, "markS": {nil, []any{}, -1},
		"storeS": {nil, map[string]any{}, -2}}
	for field := range submissionFields("wk-000001") {
		if len(odd[field]) == 0 {
			t.Errorf("%s is not tried", field)
		}
		m := submissionFields("wk-000001")
		delete(m, field)
		if code, _, _ := do("POST", "/api/jobs", m); code != 400 {
			t.Errorf("without %s: got %d", field, code)
		}
		for _, v := range odd[field] {
			m[field] = v
			if code, _, _ := do("POST", "/api/jobs", m); code != 400 {
				t.Errorf("%s = %v: got %d", field, v, code)
			}
		}
	}
	for field, values := range map[string][]any{"breeds": {"eight", []any{1}, map[string]any{}},
		"field": {1, "", []any{"a"}}, "dueS": {"60", -1, math.NaN()}} {
		for _, v := range values {
			m := submissionFields("wk-000001")
			m[field] = v
			if code, _, _ := do("POST", "/api/jobs", m); code != 400 {
				t.Errorf("%s = %v: got %d", field, v, code)
			}
		}
	}
	type job = map[string]any
	never := map[string]job{
		"no such type": {"breeds": []any{"nine"}}, "no such zone": {"field": "z"}, "too many cores": {"cores": 8.5},
		"too much memory": {"memoryGb": 65}, "cards that nobody has": {"cards": 1},
		"a gang over the limit": {"shape": "ensemble", "rows": 9}, "a service over the limit": {"shape": "daemon", "rows": 9},
		"no such team":                {"owner": "nobody"},
		"a gang spread over one zone": {"shape": "ensemble", "rows": 2, "scatter": true},
		"spread, and in a zone":       {"shape": "daemon", "rows": 2, "scatter": true, "field": "a"},
		"spread, and in one zone":     {"shape": "ensemble", "rows": 2, "scatter": true, "oneZone": true},
	}
	for what, fields := range never {
		m := submissionFields("wk-000001")
		maps.Copy(m, fields)
		if code, _, _ := do("POST", "/api/jobs", m); code != 422 {
			t.Errorf("%s: got %d", what, code)
		}
	}
	if len(r.known) > 0 {
		t.Fatalf("something of it was kept: %v", r.known)
	}
	for what, fields := range map[string]job{
		"one task spread in a zone":     {"shape": "ensemble", "rows": 1, "scatter": true, "field": "a"},
		"an array spread over one zone": {"scatter": true}} {
		m := submissionFields("wk-000003")
		maps.Copy(m, fields)
		if code, _, _ := do("POST", "/api/jobs", m); code != 201 && code != 200 {
			t.Errorf("%s: got %d", what, code)
		}
	}
	if code, _, _ := do("POST", "/api/jobs", submissionFields("wk-000001")); code != 201 {
		t.Fatal("the good one is not taken")
	}
	tiny := []model.MachineType{{Name: "tiny", Capacity: model.Resources{CPU: 1}, Zones: []string{"b"}}}
	for _, types := range [][]model.MachineType{eightCPUTypes, tiny, nil} {
		b.machineTypes = types // the catalogue has changed, or is not known
		for what, fields := range never {
			m := submissionFields("wk-000001")
			maps.Copy(m, fields)
			if code, _, _ := do("POST", "/api/jobs", m); code != 200 {
				t.Errorf("known, repeated with %s: got %d", what, code)
			}
		}
		if code, _, _ := do("POST", "/api/jobs", job{"ref": "wk-000001"}); code != 200 {
			t.Errorf("known, repeated with hardly a field: got %d", code)
		}
	}
}

func TestStateServiceOutageReturnsRetryAfter(t *testing.T) {
	r := &fakeJobs{known: map[string]store.JobRecord{"wk-000001": {State: wire.StateQueued}, "wk-000009": {State: wire.StateCancelled}}, stateServiceDown: true}
	do := serveHTTP(t, r, &fakeBackend{machineTypes: eightCPUTypes})
	for _, c := range [][2]string{{"GET", "/api/jobs/wk-000001"}, {"GET", "/api/jobs/wk-777777"}, {"POST", "/api/jobs/wk-000001/withdraw"}} {
		if code, _, after := do(c[0], c[1], nil); code != 503 || after == "" {
			t.Errorf("%s %s: got %d, Retry-After %q", c[0], c[1], code, after)
		}
	}
	if code, _, after := do("POST", "/api/jobs", submissionFields("wk-000002")); code != 503 || after == "" {
		t.Errorf("submission: got %d, Retry-After %q", code, after)
	}
	after := submissionFields("wk-000003")
	after["awaits"] = []any{"wk-777777"}
	if code, _, _ := do("POST", "/api/jobs", after); code != 503 {
		t.Errorf("a submission whose needs nobody can look up: got %d", code)
	}
	if code, body, _ := do("GET", "/api/jobs/wk-000009", nil); code != 200 || body["status"] != "withdrawn" {
		t.Errorf("a final state needs no state service: got %d %v", code, body)
	}
}

func TestSubmissionWithoutMachineTypesIsRetryable(t *testing.T) {
	do := serveHTTP(t, &fakeJobs{known: map[string]store.JobRecord{}}, &fakeBackend{})
	if code, _, _ := do("POST", "/api/jobs", submissionFields("wk-000001")); code != 503 {
		t.Errorf("got %d", code)
	}
}

func TestMemoryPressureRejectsOnlyNewJobs(t *testing.T) {
	r := &fakeJobs{known: map[string]store.JobRecord{"wk-000001": {State: wire.StateQueued}}}
	do := serveHTTP(t, r, &fakeBackend{machineTypes: eightCPUTypes, memoryPressure: true})
	if code, _, after := do("POST", "/api/jobs", submissionFields("wk-000002")); code != 429 || after == "" {
		t.Errorf("a new job: got %d, Retry-After %q", code, after)
	}
	if code, _, _ := do("POST", "/api/jobs", submissionFields("wk-000001")); code != 200 {
		t.Errorf("a known one: got %d", code)
	}
	if code, _, _ := do("POST", "/api/jobs/wk-000001/withdraw", nil); code != 200 {
		t.Errorf("a cancellation: got %d", code)
	}
}

// Some users hold connections open and say nothing, others hold all that users may. Workers and
// probes get in all the same, and a new user hears at once when to come back.
func TestWorkersConnectWhileUsersHoldConnections(t *testing.T) {
	var clock atomic.Int64
	now := func() time.Time { return time.Unix(1e9+clock.Load(), 0) }
	sockets := connquota.New(200, 1, nil)
	s := New(Settings{RetryAfter: time.Second, MaxConns: 200, ConnQuotas: sockets}, &fakeJobs{known: map[string]store.JobRecord{"wk-000001": {State: wire.StateQueued}}},
		&fakeBackend{heartbeatResult: HeartbeatResult{Leading: true, FencingToken: 41, LeaseValid: func() bool { return true }}, machineTypes: eightCPUTypes}, now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	ask := func(c net.Conn, method, path string, body []byte) (int, string) {
		t.Helper()
		var req fasthttp.Request
		var res fasthttp.Response
		req.Header.SetMethod(method)
		req.SetRequestURI("http://front" + path)
		req.SetBody(body)
		_, _ = req.WriteTo(c) // one that is refused may be closed before it has asked
		if err := res.Read(bufio.NewReader(c)); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		return res.StatusCode(), string(res.Header.Peek("Retry-After"))
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := l.Dial()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	share := sockets.Status().Classes
	for range share[connquota.Unclassified].Quota {
		dial()
	}
	for sockets.Status().Classes[connquota.Unclassified].Used < share[connquota.Unclassified].Quota {
		runtime.Gosched()
	}
	if code, after := ask(dial(), "GET", "/healthz", nil); code != 503 || after == "" {
		t.Errorf("while all newcomers have only just come: %d, Retry-After %q", code, after)
	}
	clock.Add(6)
	var users []net.Conn
	for range share[connquota.Users].Quota {
		c := dial()
		users = append(users, c)
		if code, _ := ask(c, "GET", "/api/jobs/wk-000001", nil); code != 200 {
			t.Fatalf("user %d: %d", len(users), code)
		}
	}
	if code, after := ask(dial(), "GET", "/api/jobs/wk-000001", nil); code != 503 || after == "" {
		t.Errorf("a user too many: %d, Retry-After %q", code, after)
	}
	report, err := msgp.AppendIntf(nil, map[string]any{"tiller": "n-1", "addr": "a", "breed": "eight", "field": "a", "loaners": false, "shift": 1, "tick": 1, "baton": 0, "rows": []any{}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		if code, _ := ask(dial(), "POST", "/v1/report", report); code != 200 {
			t.Errorf("worker %d: %d", i, code)
		}
	}
	if code, _ := ask(dial(), "GET", "/healthz", nil); code != 200 {
		t.Errorf("the probe: %d", code)
	}
}

func TestHeartbeatIsAnsweredOnlyWithValidLease(t *testing.T) {
	report := map[string]any{"tiller": "n-1", "addr": "a", "breed": "eight", "field": "a", "loaners": false, "shift": 1, "tick": 1, "baton": 0, "rows": []any{}}
	valid := true
	b := &fakeBackend{heartbeatResult: HeartbeatResult{Leading: true, FencingToken: 41, LeaseValid: func() bool { return valid },
		Commands: []model.Command{{Op: model.OpLaunch, Task: model.TaskID{Job: "wk-000412", Index: 4}, Attempt: 2}}}}
	do := serveHTTP(t, &fakeJobs{}, b)
	code, body, _ := do("POST", "/v1/report", report)
	orders, _ := body["orders"].([]any)
	if code != 200 || len(orders) != 1 || orders[0].(map[string]any)["row"] != "wk-000412/4" {
		t.Errorf("the leader: got %d %v", code, body)
	}
	valid = false // the right lapses between working the answer out and sending it
	if code, body, _ = do("POST", "/v1/report", report); code != 503 || body["orders"] != nil {
		t.Errorf("without the right to act: got %d %v", code, body)
	}
	b.heartbeatResult = HeartbeatResult{Leader: "tiller-2"}
	if code, body, _ = do("POST", "/v1/report", report); code != 421 || body["foreman"] != "tiller-2" {
		t.Errorf("a follower: got %d %v", code, body)
	}
	b.relayedResponse = wire.AppendHeartbeatResponse(nil, 42, nil)
	if code, body, _ = do("POST", "/v1/report", report); code != 200 || body["baton"] == nil {
		t.Errorf("a follower that hands on: got %d %v", code, body)
	}
	if code, _, _ = do("POST", "/v1/report", []byte{0xc1}); code != 400 {
		t.Errorf("a malformed report: got %d", code)
	}
}

// The pipeline that the README shows is taken as it stands there.
func TestReadmePipelineIsAccepted(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ = bytes.Cut(text, []byte("## A pipeline"))
	text, _, _ = bytes.Cut(text, []byte("## Tests"))
	do := serveHTTP(t, &fakeJobs{known: map[string]store.JobRecord{}}, &fakeBackend{machineTypes: eightCPUTypes})
	posts := bytes.Split(text, []byte("POST /api/jobs\n"))
	if len(posts) != 3 {
		t.Fatalf("%d submissions", len(posts)-1)
	}
	for _, p := range posts[1:] {
		d := json.NewDecoder(bytes.NewReader(p))
		d.UseNumber()
		var body map[string]any
		if err := d.Decode(&body); err != nil {
			t.Fatal(err)
		}
		for k, v := range body {
			if n, ok := v.(json.Number); ok {
				if body[k], err = n.Int64(); err != nil {
					body[k], err = n.Float64()
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		if code, answer, _ := do("POST", "/api/jobs", body); code != 201 {
			t.Errorf("%v: %d %v", body["ref"], code, answer)
		}
	}
}
