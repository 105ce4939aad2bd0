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

// serveLoopback serves HTTP on a loopback address until it is closed.
func serveLoopback(address string, handler fasthttp.RequestHandler) (*fasthttp.Server, net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	s := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    1 << 20,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ReadTimeout:           2 * time.Minute,
	}
	go func() { _ = s.Serve(l) }() // it ends when the listener is closed
	return s, l, nil
}

// discardLogger drops the HTTP library's log: connections break whenever a process is ended.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// stateServer is the stand-in of the state service behind a socket.
type stateServer struct {
	addr    string
	traffic *traffic
	http    *fasthttp.Server

	mu      sync.Mutex
	state   *fake.State
	changed chan struct{} // closed when keys change
	changes int           // writes and removals of transactions that were carried out
	done    chan struct{}
}

func newStateServer(address string) (*stateServer, error) {
	s := &stateServer{
		traffic: newTraffic(),
		state:   fake.NewState(time.Now),
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
	s.state.MaxOps, s.state.MaxValueBytes = txnOps, valueKB<<10
	s.state.OnCommit = func(ops []fake.Operation) { s.changes += len(ops) }
	var l net.Listener
	var err error
	if s.http, l, err = serveLoopback(address, s.handle); err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go s.expire()
	return s, nil
}

func (s *stateServer) close() error {
	close(s.done)
	return s.http.Shutdown()
}

// expireInterval is by how much a lease may outlive its time.
const expireInterval = 50 * time.Millisecond

// expire ends leases when their time is over, so that watches learn of it.
func (s *stateServer) expire() {
	every := time.NewTicker(expireInterval)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			s.mu.Lock()
			before := s.state.Revision()
			s.state.Expire()
			s.notify(before)
			s.mu.Unlock()
		case <-s.done:
			return
		}
	}
}

// notify wakes those that watch if anything has changed since a revision. The lock is held.
func (s *stateServer) notify(before uint64) {
	if s.state.Revision() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// preload puts a machine on record.
func (s *stateServer) preload(machine model.MachineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Preload("machine/"+machine.Name, wire.AppendMachine(nil, machine))
}

// leader is the name of the controller that leads; "": none does.
func (s *stateServer) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, member, err := wire.DecodeLeaderRecord(s.state.RawValue("leader/holder"))
	if err != nil {
		return "" // the key does not exist
	}
	return member
}

// resetChanges sets the count of changes to zero.
func (s *stateServer) resetChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = 0
}

// changeCount counts the changes that were carried out since then.
func (s *stateServer) changeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

func (s *stateServer) handle(c *fasthttp.RequestCtx) {
	kind := "state " + strings.ToLower(string(c.Method())) + " " + firstPathElement(string(c.Path()))
	if string(c.Path()) == "/changes" {
		s.awaitChange(c)
	}
	s.mu.Lock()
	before := s.state.Revision()
	body, err := s.state.Call(string(c.Method()), string(c.RequestURI()), c.PostBody(), 0)
	s.notify(before)
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

// awaitChange waits as long as a watch asks for until something has changed.
func (s *stateServer) awaitChange(c *fasthttp.RequestCtx) {
	args := c.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(args.Peek("waitMs")))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		has, changed := s.state.Changed(string(args.Peek("prefix")), after), s.changed
		s.mu.Unlock()
		if has {
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

// firstPathElement is a path up to its second slash.
func firstPathElement(path string) string {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[:i+1]
	}
	return path
}

// cloudServer is the stand-in of the cloud behind a socket.
type cloudServer struct {
	addr    string
	traffic *traffic
	http    *fasthttp.Server
	region  *region
	workers *workers
	cloud   *fake.Cloud // under the workers' lock
}

func newCloudServer(address string, region *region, workers *workers) (*cloudServer, error) {
	s := &cloudServer{traffic: newTraffic(), region: region, workers: workers}
	s.cloud = fake.NewCloud(func() int { return workers.count(region) })
	s.cloud.BootTime = bootTime
	s.cloud.NamePrefix = fmt.Sprintf("n-%d-", region.number) // names are unique over all regions
	var l net.Listener
	var err error
	if s.http, l, err = serveLoopback(address, s.handle); err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	return s, nil
}

func (s *cloudServer) close() error { return s.http.Shutdown() }

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

func (s *cloudServer) provision(c *fasthttp.RequestCtx) {
	r, err := wire.DecodeProvisioning(c.PostBody())
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.workers.mu.Lock()
	names, ok := s.cloud.Provision(time.Now(), r)
	s.workers.mu.Unlock()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBody(wire.AppendError(nil, "no capacity"))
		return
	}
	c.SetBody(wire.AppendMachineNames(nil, names))
}

func (s *cloudServer) release(c *fasthttp.RequestCtx) {
	names, err := wire.DecodeMachineNames(c.PostBody())
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.workers.release(s.region, s.cloud, names)
	c.SetBody([]byte{0x80})
}

// maxListPage is how many machines a page of the list has at the most.
const maxListPage = 500

func (s *cloudServer) list(c *fasthttp.RequestCtx) {
	page, err := strconv.Atoi(string(c.QueryArgs().Peek("page")))
	if err != nil || page < 1 || page > maxListPage {
		page = maxListPage
	}
	all := s.workers.list(s.region, s.cloud)
	from, _ := slices.BinarySearchFunc(
		all,
		string(c.QueryArgs().Peek("after"))+"\x00",
		func(machine model.MachineInfo, name string) int {
			return strings.Compare(machine.Name, name)
		},
	)
	rest := all[from:]
	c.SetBody(wire.AppendMachineList(nil, rest[:min(page, len(rest))], len(rest) > page))
}

// list lists a region's machines in the order of their names.
func (w *workers) list(region *region, c *fake.Cloud) []model.MachineInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []model.MachineInfo
	for _, h := range w.byRegion[region] {
		out = append(out, h.listed())
	}
	out = append(out, slices.Collect(maps.Values(c.Booting()))...)
	slices.SortFunc(out, func(a, b model.MachineInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}
