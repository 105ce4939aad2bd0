package httpapi

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

var errStateServiceDown = errors.New("down")

// fakeJobs implements Jobs with records in memory.
type fakeJobs struct {
	records          map[string]store.JobRecord // by job ID
	stateServiceDown bool                       // only Peek, and Lookup of an ended job, succeed
}

func (j *fakeJobs) Peek(id string) store.JobRecord { return j.records[id] }

func (j *fakeJobs) Lookup(_ context.Context, id string) (store.JobRecord, error) {
	if record := j.records[id]; record.State.Ended() || !j.stateServiceDown {
		return record, nil
	}
	return store.JobRecord{}, errStateServiceDown
}

func (j *fakeJobs) Accept(
	_ context.Context, spec *model.Spec, _ bool, _ time.Time,
) (bool, store.JobRecord, error) {
	if j.stateServiceDown {
		return false, store.JobRecord{}, errStateServiceDown
	}
	record, ok := j.records[spec.ID]
	if !ok {
		record = store.JobRecord{State: wire.StateQueued, Spec: spec, Tasks: spec.Tasks}
		j.records[spec.ID] = record
	}
	return !ok, record, nil
}

func (j *fakeJobs) ResolveDependencies(_ context.Context, spec *model.Spec) (bool, error) {
	for _, id := range spec.Dependencies {
		if j.stateServiceDown {
			return false, errStateServiceDown
		}
		if j.records[id].State == wire.StateUnknown {
			return false, store.ErrUnknownDependency
		}
	}
	return false, nil
}

func (j *fakeJobs) CheckSize(*model.Spec) error { return nil }

func (j *fakeJobs) Cancel(_ context.Context, id string, _ time.Time) (store.JobRecord, error) {
	if j.stateServiceDown {
		return store.JobRecord{}, errStateServiceDown
	}
	record := j.records[id]
	if record.State == wire.StateQueued {
		record.State = wire.StateCancelled
		j.records[id] = record
	}
	return record, nil
}

// fakeBackend implements Backend with fixed results. It is always healthy, and its only team is "vision".
type fakeBackend struct {
	machineTypes    []model.MachineType
	heartbeatResult HeartbeatResult
	relayedResponse []byte // result of RelayHeartbeat; nil means that heartbeats are not relayed
	memoryPressure  bool
	// forward stands in for the other member that a request is forwarded to.
	forward func(ctx context.Context, member string, request route.Request) route.Response
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

func (b *fakeBackend) Healthy() bool                       { return true }
func (b *fakeBackend) LastStateServiceResponse() time.Time { return time.Time{} }

func (b *fakeBackend) Forward(ctx context.Context, member string, request route.Request) route.Response {
	return b.forward(ctx, member, request)
}

func (b *fakeBackend) UnderMemoryPressure() bool { return b.memoryPressure }

// noJobs returns empty job records.
func noJobs() *fakeJobs { return &fakeJobs{records: map[string]store.JobRecord{}} }

// unreadableJobs returns job records that cannot be read, since the state service is down.
func unreadableJobs() *fakeJobs {
	return &fakeJobs{records: map[string]store.JobRecord{}, stateServiceDown: true}
}

var eightCPUTypes = []model.MachineType{
	{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, Zones: []string{"a"}},
}

// submissionFields returns the fields of a valid submission by team "vision", with all required fields.
func submissionFields(id string) map[string]any {
	return map[string]any{
		"ref":      id,
		"jobclass": "train",
		"owner":    "vision",
		"shape":    "array",
		"rank":     "standard",
		"rows":     4,
		"cores":    8,
		"cards":    0,
		"memoryGb": 16.0,
		"seed":     "img",
		"imageGb":  1.5,
		"oneZone":  false,
		"scatter":  false,
		"loaners":  true,
		"expectS":  30.0,
		"markS":    0.0,
		"storeS":   0.0,
	}
}

// heartbeatFields returns the fields of a valid heartbeat.
func heartbeatFields() map[string]any {
	return map[string]any{
		"tiller":  "n-1",
		"addr":    "a",
		"breed":   "eight",
		"field":   "a",
		"loaners": false,
		"shift":   1,
		"tick":    1,
		"baton":   0,
		"rows":    []any{},
	}
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newRouter returns the router of a member whose only peer is "b". A minHedgeDelay of 0 turns hedging off.
func newRouter(minHedgeDelay time.Duration) *route.Router {
	settings := route.Settings{
		OtherMembers:  []string{"b"},
		RetryRatio:    0.2,
		MinHedgeDelay: minHedgeDelay,
		MaxConcurrent: 64,
	}
	return route.New(settings, rand.New(rand.NewPCG(1, 2)), nil)
}

// routedSettings returns the settings of a server that forwards requests to member "b".
func routedSettings(minHedgeDelay time.Duration) Settings {
	return Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(minHedgeDelay)}
}

// listen serves s on an in-memory listener until the test ends.
func listen(t *testing.T, s *Server) *fasthttputil.InmemoryListener {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(listener) }() // returns when the listener is closed
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// testResponse is the response that a client receives.
type testResponse struct {
	status     int
	fields     map[string]any // the decoded body; empty if there is no body
	retryAfter string         // the Retry-After header
}

// testClient sends a request and returns the response. A body of any type but []byte is encoded as
// MessagePack; a nil body is empty.
type testClient func(method, path string, body any) testResponse

// serveHTTP runs a server on an in-memory listener and returns a client for it. The server forwards no requests.
func serveHTTP(t *testing.T, jobs *fakeJobs, backend *fakeBackend) testClient {
	t.Helper()
	return serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10}, jobs, backend)
}

// serveHTTPWith is like serveHTTP but takes the settings of the server.
func serveHTTPWith(t *testing.T, settings Settings, jobs *fakeJobs, backend *fakeBackend) testClient {
	t.Helper()
	listener := listen(t, New(settings, jobs, backend, time.Now, discardLog()))
	client := &fasthttp.HostClient{
		Addr:                   "controller",
		DisablePathNormalizing: true,
		Dial:                   func(string) (net.Conn, error) { return listener.Dial() },
	}
	return func(method, path string, body any) testResponse {
		t.Helper()
		var request fasthttp.Request
		var response fasthttp.Response
		request.Header.SetMethod(method)
		request.SetRequestURI("http://controller" + path)
		request.SetBody(encodeBody(t, body))
		if err := client.Do(&request, &response); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		fields := map[string]any{}
		if len(response.Body()) > 0 {
			decoded, _, err := msgp.ReadIntfBytes(response.Body())
			if err != nil {
				t.Fatalf("%s %s: body: %v", method, path, err)
			}
			fields, _ = decoded.(map[string]any)
		}
		return testResponse{response.StatusCode(), fields, string(response.Header.Peek("Retry-After"))}
	}
}

func encodeBody(t *testing.T, body any) []byte {
	t.Helper()
	switch body := body.(type) {
	case nil:
		return nil
	case []byte:
		return body
	}
	encoded, err := msgp.AppendIntf(nil, body)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
