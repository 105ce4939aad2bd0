package scale

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// startHTTPServer starts an HTTP server on an address of this machine. The server runs until its Shutdown is called,
// which also closes the listener.
func startHTTPServer(address string, handler fasthttp.RequestHandler) (*fasthttp.Server, net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	server := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    1 << 20,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ReadTimeout:           2 * time.Minute,
	}
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	return server, listener, nil
}

// discardLogger discards the log of the HTTP library, which reports every connection that breaks because a controller
// is killed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// stateServer serves the stand-in for a region's state service over HTTP.
type stateServer struct {
	addr    string
	traffic *traffic
	http    *fasthttp.Server

	mu      sync.Mutex // guards state, changed and changes
	state   *fake.State
	changed chan struct{} // closed and replaced when a key changes
	changes int           // writes and removals in committed transactions since the last reset
	done    chan struct{} // closed by close
}

// newStateServer starts a state service without keys on an address.
func newStateServer(address string) (*stateServer, error) {
	s := &stateServer{
		traffic: newTraffic(),
		state:   fake.NewState(time.Now),
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
	s.state.MaxOps, s.state.MaxValueBytes = stateTxnOps, stateValueKB<<10
	s.state.OnCommit = func(ops []fake.Operation) { s.changes += len(ops) }
	var listener net.Listener
	var err error
	if s.http, listener, err = startHTTPServer(address, s.handle); err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	go s.expire()
	return s, nil
}

// close ends all pending watches and stops the server.
func (s *stateServer) close() error {
	close(s.done)
	return s.http.Shutdown()
}

// expireInterval is the time between checks for expired leases, and so the maximum delay of an expiry.
const expireInterval = 50 * time.Millisecond

// expire removes the keys of expired leases every expireInterval and notifies the watches. The state itself checks
// its leases only when a request arrives. expire returns when the server is closed.
func (s *stateServer) expire() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			previousRevision := s.state.Revision()
			s.state.Expire()
			s.notifyWatchers(previousRevision)
			s.mu.Unlock()
		case <-s.done:
			return
		}
	}
}

// notifyWatchers wakes all pending watches if the state has changed since a revision. The caller holds s.mu.
func (s *stateServer) notifyWatchers(previousRevision uint64) {
	if s.state.Revision() != previousRevision {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// preload stores the record of a machine.
func (s *stateServer) preload(machine model.MachineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Preload("machine/"+machine.Name, wire.AppendMachine(nil, machine))
}

// leader returns the name of the controller that holds the leader lease, or "" if none does.
func (s *stateServer) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, member, err := wire.DecodeLeaderRecord(s.state.RawValue("leader/holder"))
	if err != nil {
		return "" // the key does not exist: nobody holds the lease
	}
	return member
}

// resetChanges resets the counter of changes.
func (s *stateServer) resetChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = 0
}

// changeCount returns the number of changes that were committed since resetChanges.
func (s *stateServer) changeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// handle serves the requests of the state service's protocol. A request for changes first waits for one.
func (s *stateServer) handle(c *fasthttp.RequestCtx) {
	kind := "state " + strings.ToLower(string(c.Method())) + " " + firstPathElement(string(c.Path()))
	if string(c.Path()) == "/changes" {
		s.awaitChange(c)
	}
	s.mu.Lock()
	previousRevision := s.state.Revision()
	body, err := s.state.Call(string(c.Method()), string(c.RequestURI()), c.PostBody(), 0)
	s.notifyWatchers(previousRevision)
	s.mu.Unlock()
	var status *rpc.StatusError
	switch {
	case errors.As(err, &status):
		c.SetStatusCode(status.Status)
		body = status.Body
	case err != nil:
		c.SetStatusCode(fasthttp.StatusBadRequest)
	}
	c.SetContentType("application/msgpack")
	c.SetBody(body)
	s.traffic.count(kind, len(c.PostBody()), len(body))
}

// awaitChange blocks a watch request until a key with the requested prefix has changed after the requested revision,
// the requested time has passed or the server is closed.
func (s *stateServer) awaitChange(c *fasthttp.RequestCtx) {
	args := c.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	waitMs, _ := strconv.Atoi(string(args.Peek("waitMs")))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		hasChanged, changed := s.state.Changed(string(args.Peek("prefix")), after), s.changed
		s.mu.Unlock()
		if hasChanged {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-s.done:
			return
		}
	}
}

// firstPathElement returns the first element of a path with its leading slash, such as "/keys" for "/keys/job".
func firstPathElement(path string) string {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[:i+1]
	}
	return path
}

// cloudServer serves the stand-in for a region's cloud over HTTP.
type cloudServer struct {
	addr    string
	traffic *traffic
	http    *fasthttp.Server
	region  *region
	workers *workers
	cloud   *fake.Cloud // guarded by workers.mu
}

// newCloudServer starts a region's cloud on an address. The cloud keeps only the machines that are booting; those
// that are up are the region's workers.
func newCloudServer(address string, region *region, workers *workers) (*cloudServer, error) {
	s := &cloudServer{traffic: newTraffic(), region: region, workers: workers}
	s.cloud = fake.NewCloud(func() int { return workers.count(region) })
	s.cloud.BootTime = bootTime
	s.cloud.NamePrefix = fmt.Sprintf("n-%d-", region.index) // makes the names unique across regions
	var listener net.Listener
	var err error
	if s.http, listener, err = startHTTPServer(address, s.handle); err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	return s, nil
}

func (s *cloudServer) close() error { return s.http.Shutdown() }

// handle serves the requests of the cloud's protocol.
func (s *cloudServer) handle(c *fasthttp.RequestCtx) {
	c.SetContentType("application/msgpack")
	path := string(c.Path())
	switch {
	case path == "/catalog":
		c.SetBody(wire.AppendCatalog(nil, machineTypes(s.region.zones)))
	case path == "/rentals" && c.IsGet():
		s.list(c)
	case path == "/rentals":
		s.provision(c)
	case path == "/rentals/return":
		s.release(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
	s.traffic.count("cloud "+strings.ToLower(string(c.Method()))+" "+path, len(c.PostBody()), len(c.Response.Body()))
}

// provision serves a request to provision machines. It answers 503 if the cloud has no capacity.
func (s *cloudServer) provision(c *fasthttp.RequestCtx) {
	request, err := wire.DecodeProvisioning(c.PostBody())
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.workers.mu.Lock()
	names, ok := s.cloud.Provision(time.Now(), request)
	s.workers.mu.Unlock()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBody(wire.AppendError(nil, "no capacity"))
		return
	}
	c.SetBody(wire.AppendMachineNames(nil, names))
}

// release serves a request to release machines.
func (s *cloudServer) release(c *fasthttp.RequestCtx) {
	names, err := wire.DecodeMachineNames(c.PostBody())
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.workers.release(s.region, s.cloud, names)
	c.SetBody([]byte{0x80}) // an empty MessagePack map
}

// maxListPageSize bounds the number of machines on a page of the machine list.
const maxListPageSize = 500

// list serves a page of the machine list, which begins after the machine that the request names.
func (s *cloudServer) list(c *fasthttp.RequestCtx) {
	pageSize, err := strconv.Atoi(string(c.QueryArgs().Peek("page")))
	if err != nil || pageSize < 1 || pageSize > maxListPageSize {
		pageSize = maxListPageSize
	}
	all := s.workers.list(s.region, s.cloud)
	// The zero byte makes the search skip the machine that the request names: no name sorts between the two.
	from, _ := slices.BinarySearchFunc(
		all,
		string(c.QueryArgs().Peek("after"))+"\x00",
		func(machine model.MachineInfo, name string) int {
			return strings.Compare(machine.Name, name)
		},
	)
	remaining := all[from:]
	c.SetBody(wire.AppendMachineList(nil, remaining[:min(pageSize, len(remaining))], len(remaining) > pageSize))
}

// list returns a region's machines, including those that are booting, sorted by name.
func (w *workers) list(region *region, c *fake.Cloud) []model.MachineInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []model.MachineInfo
	for _, h := range w.byRegion[region] {
		out = append(out, h.machineInfo())
	}
	out = append(out, slices.Collect(maps.Values(c.Booting()))...)
	slices.SortFunc(out, func(a, b model.MachineInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}
