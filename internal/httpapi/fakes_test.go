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

// fakeJobs keeps job records in memory.
type fakeJobs struct {
	known            map[string]store.JobRecord
	stateServiceDown bool
}

func (j *fakeJobs) Peek(id string) store.JobRecord { return j.known[id] }

func (j *fakeJobs) Lookup(_ context.Context, id string) (store.JobRecord, error) {
	if record := j.known[id]; record.State.Ended() || !j.stateServiceDown {
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
	record, ok := j.known[spec.ID]
	if !ok {
		record = store.JobRecord{State: wire.StateQueued, Spec: spec, Tasks: spec.Tasks}
		j.known[spec.ID] = record
	}
	return !ok, record, nil
}

func (j *fakeJobs) ResolveDependencies(_ context.Context, spec *model.Spec) (bool, error) {
	for _, id := range spec.Dependencies {
		if j.stateServiceDown {
			return false, errStateServiceDown
		}
		if j.known[id].State == wire.StateUnknown {
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
	record := j.known[id]
	if record.State == wire.StateQueued {
		record.State = wire.StateCancelled
		j.known[id] = record
	}
	return record, nil
}

// fakeBackend is a controller whose answers are fixed.
type fakeBackend struct {
	machineTypes    []model.MachineType
	heartbeatResult HeartbeatResult
	relayedResponse []byte
	memoryPressure  bool
	// forward answers a request in place of another member.
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

func (b *fakeBackend) Healthy() bool                { return true }
func (b *fakeBackend) LastStateResponse() time.Time { return time.Time{} }

func (b *fakeBackend) Forward(ctx context.Context, member string, request route.Request) route.Response {
	return b.forward(ctx, member, request)
}

func (b *fakeBackend) UnderMemoryPressure() bool { return b.memoryPressure }

// noJobs returns records without any job.
func noJobs() *fakeJobs { return &fakeJobs{known: map[string]store.JobRecord{}} }

// unreachableJobs returns records that cannot be read.
func unreachableJobs() *fakeJobs {
	return &fakeJobs{known: map[string]store.JobRecord{}, stateServiceDown: true}
}

var eightCPUTypes = []model.MachineType{
	{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, Zones: []string{"a"}},
}

// submissionFields returns the fields of a valid submission.
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

// newRouter returns the router of a member whose only peer is "b".
func newRouter(hedge time.Duration) *route.Router {
	settings := route.Settings{OtherMembers: []string{"b"}, RetryRatio: 0.2, MinHedgeDelay: hedge, MaxConcurrent: 64}
	return route.New(settings, rand.New(rand.NewPCG(1, 2)), nil)
}

// routedSettings returns the settings of a server with a router.
func routedSettings(hedge time.Duration) Settings {
	return Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(hedge)}
}

// listen serves s in memory until the test ends.
func listen(t *testing.T, s *Server) *fasthttputil.InmemoryListener {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(listener) }() // ends with the listener
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// testResponse is what a client gets.
type testResponse struct {
	status     int
	fields     map[string]any
	retryAfter string
}

// testClient sends one request. A body that is no []byte is encoded as MessagePack.
type testClient func(method, path string, body any) testResponse

// serveHTTP runs a server in memory and returns its client.
func serveHTTP(t *testing.T, jobs *fakeJobs, backend *fakeBackend) testClient {
	t.Helper()
	return serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10}, jobs, backend)
}

// serveHTTPWith is serveHTTP with other settings.
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
