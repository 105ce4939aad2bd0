package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// workers are the hollow workers of all regions with their sockets. What happens on a machine is package fake's; here
// its reports leave, and answers and direct commands come in. One lock is held for moments only, never over a socket.
type workers struct {
	listener net.Listener
	http     *fasthttp.Server
	port     int
	mutation Mutation
	traffic  *traffic

	mu         sync.Mutex
	fleet      *fake.Fleet
	random     *rand.Rand
	byName     map[string]*hollowWorker
	byIP       map[string]*hollowWorker
	byRegion   map[*region]map[string]*hollowWorker
	hosts      int // addresses given out
	counts     workerCounts
	roundTrips *hdrhistogram.Histogram // of reports, in microseconds
}

// workerCounts are what reports have led to.
type workerCounts struct {
	Heartbeats      int `json:"reports"`   // that were answered with 200
	Redirects       int `json:"redirects"` // answered with 421
	Refused         int `json:"refused"`   // answered otherwise
	Failed          int `json:"failed"`    // not answered, or not connected
	Late            int `json:"late"`      // not answered within what a worker waits
	Commands        int `json:"commands"`  // direct ones
	CommandsRefused int `json:"refusals"`  // direct ones that were refused
	Dials           int `json:"dials"`
}

// hollowWorker is one worker with its socket.
type hollowWorker struct {
	worker          *fake.Worker
	region          *region
	ip              string
	conn            net.Conn // the exchange that is under way owns it
	busy            bool     // an exchange is under way
	removed         bool
	controllerIndex int // of the region's controllers
}

func (h *hollowWorker) listed() model.MachineInfo {
	return model.MachineInfo{
		Name: h.worker.Name,
		Addr: h.worker.Addr,
		Type: h.worker.Type,
		Zone: h.worker.Zone,
		Spot: h.worker.Spot,
	}
}

const (
	pollWorkersInterval = 50 * time.Millisecond // between looks at what is due on a worker
	pollBatchSize       = 512                   // workers for which the lock is held at once
	heartbeatTimeout    = 4 * time.Second       // a worker's for the answer to a report
	firstHostOctet      = 64                    // workers have the addresses from 127.64.0.1 on
	maxRoundTrip        = int64(10 * time.Second / time.Microsecond)
)

// newWorkers opens the workers' listener: one for all of them, told apart by the address that is connected to.
func newWorkers(p *Plan) (*workers, error) {
	w := &workers{mutation: p.Mutation, traffic: newTraffic(), fleet: newFleet(p), random: rand.New(rand.NewPCG(p.Seed, 1)),
		byName: map[string]*hollowWorker{}, byIP: map[string]*hollowWorker{}, byRegion: map[*region]map[string]*hollowWorker{}, roundTrips: newRoundTripHistogram()}
	w.fleet.HeartbeatJitter = func() float64 { return 0.75 + 0.5*w.random.Float64() }
	w.fleet.RunTimeOf = func(id model.TaskID) time.Duration {
		return time.Duration((0.5 + w.random.Float64()) * float64(meanTaskTime))
	}
	var err error
	if w.http, w.listener, err = serveLoopback("0.0.0.0:0", w.handle); err != nil {
		return nil, err
	}
	w.port = w.listener.Addr().(*net.TCPAddr).Port
	return w, nil
}

func newRoundTripHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRoundTrip, 3) }

func (w *workers) close() error { return w.http.Shutdown() }

// add brings a machine up. The lock is held.
func (w *workers) add(r *region, l model.MachineInfo) *hollowWorker {
	if l.Addr == "" {
		l.Addr = w.nextAddress()
	}
	host, _, _ := net.SplitHostPort(l.Addr)
	h := &hollowWorker{worker: w.fleet.Add(l), region: r, ip: host, controllerIndex: w.random.IntN(len(r.controllers))}
	h.worker.Retry(time.Duration(w.random.Float64() * float64(heartbeatInterval)))
	w.byName[l.Name], w.byIP[host] = h, h
	if w.byRegion[r] == nil {
		w.byRegion[r] = map[string]*hollowWorker{}
	}
	w.byRegion[r][l.Name] = h
	return h
}

// nextAddress gives the next worker's address.
func (w *workers) nextAddress() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d:%d", firstHostOctet+w.hosts>>16, w.hosts>>8&255, w.hosts&255, w.port)
}

// remove ends a machine. The lock is held.
func (w *workers) remove(h *hollowWorker) {
	h.removed = true
	w.fleet.Remove(h.worker.Name)
	delete(w.byName, h.worker.Name)
	delete(w.byIP, h.ip)
	delete(w.byRegion[h.region], h.worker.Name)
	if !h.busy && h.conn != nil {
		_ = h.conn.Close()
	}
}

// count counts a region's machines that are up. The lock is held.
func (w *workers) count(r *region) int { return len(w.byRegion[r]) }

// release ends machines that their region gives back.
func (w *workers) release(r *region, c *fake.Cloud, names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range names {
		c.Forget(n)
		if h := w.byRegion[r][n]; h != nil {
			w.remove(h)
		}
	}
}

// run lets time pass on the workers until the context ends.
func (w *workers) run(ctx context.Context, regions []*region) {
	every := time.NewTicker(pollWorkersInterval)
	defer every.Stop()
	for ctx.Err() == nil {
		w.sendDueHeartbeats(ctx, regions)
		select {
		case <-every.C:
		case <-ctx.Done():
		}
	}
}

// sendDueHeartbeats sends the reports that are due.
func (w *workers) sendDueHeartbeats(ctx context.Context, regions []*region) {
	w.mu.Lock()
	all := make([]*hollowWorker, 0, len(w.byName))
	for _, r := range regions {
		for _, l := range r.cloud.cloud.TakeBooted(time.Now()) {
			l.Addr = ""
			w.add(r, l)
		}
	}
	for _, h := range w.byName {
		all = append(all, h)
	}
	w.mu.Unlock()
	for len(all) > 0 {
		n := min(pollBatchSize, len(all))
		w.mu.Lock()
		w.fleet.SetNow(time.Now())
		for _, h := range all[:n] {
			if !h.removed && h.worker.Advance() && !h.busy {
				w.startHeartbeat(ctx, h)
			}
		}
		w.mu.Unlock()
		all = all[n:]
	}
	w.mu.Lock()
	w.fleet.CheckCancelled()
	w.mu.Unlock()
}

// startHeartbeat has a worker send its report. The lock is held.
func (w *workers) startHeartbeat(ctx context.Context, h *hollowWorker) {
	r := h.worker.NextHeartbeat()
	h.busy = true
	body := appendHeartbeat(nil, r)
	to := h.region.controllers[h.controllerIndex].httpAddr
	go func() {
		sent := time.Now()
		a := w.exchange(ctx, h, to, body)
		w.handleAnswer(h, r, sent, a)
	}()
}

// heartbeatResult is what a report has led to.
type heartbeatResult struct {
	status int // 0: none
	body   []byte
	err    error
	bytes  int
	dialed bool
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2048) }}

// exchange sends a report and reads its answer.
func (w *workers) exchange(ctx context.Context, h *hollowWorker, to string, body []byte) heartbeatResult {
	var a heartbeatResult
	deadline := time.Now().Add(heartbeatTimeout)
	if h.conn == nil {
		a.dialed = true
		d := net.Dialer{Deadline: deadline, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
		if h.conn, a.err = d.DialContext(ctx, "tcp4", to); a.err != nil {
			h.conn = nil
			return a
		}
	}
	defer func() {
		if a.err != nil {
			_ = h.conn.Close()
			h.conn = nil
		}
	}()
	if a.err = h.conn.SetDeadline(deadline); a.err != nil {
		return a
	}
	request := appendRequest(make([]byte, 0, len(body)+160), to, body)
	if _, a.err = h.conn.Write(request); a.err != nil {
		return a
	}
	counted := &countedReader{source: h.conn}
	reader := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(reader)
	reader.Reset(counted)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if a.err = response.Read(reader); a.err != nil {
		return a
	}
	a.status, a.bytes = response.StatusCode(), counted.bytes
	a.body = append(a.body, response.Body()...)
	w.traffic.count("report", a.bytes, len(request))
	if response.ConnectionClose() {
		_ = h.conn.Close()
		h.conn = nil
	}
	return a
}

// appendRequest writes a report's request.
func appendRequest(b []byte, host string, body []byte) []byte {
	b = append(b, "POST /v1/report HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nContent-Type: application/msgpack\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// countedReader counts what is read.
type countedReader struct {
	source io.Reader
	bytes  int
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.bytes += n
	return n, err
}

// handleAnswer has a worker take what its report has led to, as the protocol says.
func (w *workers) handleAnswer(h *hollowWorker, r *model.Heartbeat, sent time.Time, a heartbeatResult) {
	took := time.Since(sent)
	var m *commandMessage
	if a.status == fasthttp.StatusOK {
		if m, a.err = decodeMessage(a.body); a.err != nil {
			a.status = 0
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.busy = false
	if h.removed {
		if h.conn != nil {
			_ = h.conn.Close()
		}
		return
	}
	w.recordOutcome(a, took)
	w.fleet.SetNow(time.Now())
	switch a.status {
	case fasthttp.StatusOK:
		h.worker.HandleAnswer(r.Epoch, sent, m.token, w.executedCommands(h, m.commands))
	case fasthttp.StatusMisdirectedRequest:
		w.redirect(h, decodeLeader(a.body))
	default:
		w.tryNextController(h)
	}
}

// recordOutcome counts what a report has led to. The lock is held.
func (w *workers) recordOutcome(a heartbeatResult, took time.Duration) {
	if a.dialed {
		w.counts.Dials++
	}
	switch a.status {
	case fasthttp.StatusOK:
		w.counts.Heartbeats++
		_ = w.roundTrips.RecordValue(min(took.Microseconds(), maxRoundTrip)) // it is within the bounds
	case fasthttp.StatusMisdirectedRequest:
		w.counts.Redirects++
	case 0:
		w.counts.Failed++
	default:
		w.counts.Refused++
	}
	var timeout net.Error
	if a.err != nil && errors.As(a.err, &timeout) && timeout.Timeout() {
		w.counts.Late++
	}
}

// redirect sends a worker to the controller that a 421 names. The lock is held.
func (w *workers) redirect(h *hollowWorker, leader string) {
	for i, c := range h.region.controllers {
		if c.name == leader && i != h.controllerIndex {
			w.closeConn(h)
			h.controllerIndex = i
			h.worker.Retry(time.Duration(w.random.Float64() * float64(maxRedirectDelay)))
			return
		}
	}
	w.tryNextController(h)
}

const (
	maxRedirectDelay    = 500 * time.Millisecond // at the most, until a worker reports where it was sent
	nextControllerDelay = time.Second            // until it tries the next controller
)

// tryNextController has a worker try the next controller. The lock is held.
func (w *workers) tryNextController(h *hollowWorker) {
	w.closeConn(h)
	h.controllerIndex = (h.controllerIndex + 1) % len(h.region.controllers)
	h.worker.Retry(nextControllerDelay)
}

func (w *workers) closeConn(h *hollowWorker) {
	if h.conn != nil {
		_ = h.conn.Close()
		h.conn = nil
	}
}

// closeIdleConns closes all connections that no exchange owns, once nothing more is sent.
func (w *workers) closeIdleConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byName {
		if !h.busy {
			w.closeConn(h)
		}
	}
}

// executedCommands are the orders that a worker carries out: all of them, unless it is at fault on purpose. The lock is held.
func (w *workers) executedCommands(h *hollowWorker, orders []model.Command) []model.Command {
	if w.mutation != LaunchTwice {
		return orders
	}
	for _, other := range w.byRegion[h.region] {
		if other != h {
			other.worker.Execute(launchesOf(orders))
			break
		}
	}
	return orders
}

func launchesOf(orders []model.Command) (out []model.Command) {
	for _, o := range orders {
		if o.Op == model.OpLaunch {
			out = append(out, o)
		}
	}
	return out
}

// handle takes what comes straight to a worker.
func (w *workers) handle(c *fasthttp.RequestCtx) {
	if !c.RemoteIP().IsLoopback() {
		c.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	host, _, _ := net.SplitHostPort(c.LocalAddr().String())
	c.SetContentType("application/msgpack")
	var m *commandMessage
	if string(c.Path()) == "/commands" {
		var err error
		if m, err = decodeMessage(c.PostBody()); err != nil || m.epoch == 0 {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
	}
	w.mu.Lock()
	h := w.byIP[host]
	if h == nil || h.worker.Hung {
		w.mu.Unlock()
		c.SetConnectionClose()
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	w.fleet.SetNow(time.Now())
	if m != nil {
		w.counts.Commands++
		if !h.worker.HandleCommands(m.token, m.epoch, w.executedCommands(h, m.commands)) {
			w.counts.CommandsRefused++
			c.SetStatusCode(fasthttp.StatusConflict)
		}
	}
	body := appendHeartbeat(nil, h.worker.Inspect())
	w.mu.Unlock()
	c.SetBody(body)
	w.traffic.count(string(c.Path())[1:], len(c.PostBody()), len(body))
}
