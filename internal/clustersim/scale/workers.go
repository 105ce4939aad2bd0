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
	broken   Break
	traffic  *traffic

	mu       sync.Mutex
	fleet    *fake.Fleet
	random   *rand.Rand
	byName   map[string]*hollow
	byIP     map[string]*hollow
	byRegion map[*region]map[string]*hollow
	hosts    int // addresses given out
	counts   workerCounts
	trips    *hdrhistogram.Histogram // of reports, in microseconds
}

// workerCounts are what reports have led to.
type workerCounts struct {
	Reports   int `json:"reports"`   // that were answered with 200
	Redirects int `json:"redirects"` // answered with 421
	Refused   int `json:"refused"`   // answered otherwise
	Failed    int `json:"failed"`    // not answered, or not connected
	Late      int `json:"late"`      // not answered within what a worker waits
	Commands  int `json:"commands"`  // direct ones
	Refusals  int `json:"refusals"`  // direct ones that were refused
	Dials     int `json:"dials"`
}

// hollow is one worker with its socket.
type hollow struct {
	worker *fake.Worker
	region *region
	ip     string
	conn   net.Conn // the exchange that is under way owns it
	busy   bool     // an exchange is under way
	gone   bool
	target int // of the region's controllers
}

func (h *hollow) listed() model.MachineInfo {
	return model.MachineInfo{
		Name: h.worker.Name,
		Addr: h.worker.Addr,
		Type: h.worker.Type,
		Zone: h.worker.Zone,
		Spot: h.worker.Spot,
	}
}

const (
	pollEvery  = 50 * time.Millisecond // between looks at what is due on a worker
	pollAtOnce = 512                   // workers for which the lock is held at once
	answerWait = 4 * time.Second       // a worker's for the answer to a report
	hostsFrom  = 64                    // workers have the addresses from 127.64.0.1 on
	mostTrip   = int64(10 * time.Second / time.Microsecond)
)

// newWorkers opens the workers' listener: one for all of them, told apart by the address that is connected to.
func newWorkers(p *Plan) (*workers, error) {
	w := &workers{broken: p.Break, traffic: newTraffic(), fleet: newFleet(p), random: rand.New(rand.NewPCG(p.Seed, 1)),
		byName: map[string]*hollow{}, byIP: map[string]*hollow{}, byRegion: map[*region]map[string]*hollow{}, trips: newTrips()}
	w.fleet.Jitter = func() float64 { return 0.75 + 0.5*w.random.Float64() }
	w.fleet.Runs = func(id model.TaskID) time.Duration {
		return time.Duration((0.5 + w.random.Float64()) * float64(shortTask))
	}
	var err error
	if w.http, w.listener, err = serveLoopback("0.0.0.0:0", w.handle); err != nil {
		return nil, err
	}
	w.port = w.listener.Addr().(*net.TCPAddr).Port
	return w, nil
}

func newTrips() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostTrip, 3) }

func (w *workers) close() error { return w.http.Shutdown() }

// add brings a machine up. The lock is held.
func (w *workers) add(r *region, l model.MachineInfo) *hollow {
	if l.Addr == "" {
		l.Addr = w.nextAddress()
	}
	host, _, _ := net.SplitHostPort(l.Addr)
	h := &hollow{worker: w.fleet.Add(l), region: r, ip: host, target: w.random.IntN(len(r.controllers))}
	h.worker.Retry(time.Duration(w.random.Float64() * float64(reportEvery)))
	w.byName[l.Name], w.byIP[host] = h, h
	if w.byRegion[r] == nil {
		w.byRegion[r] = map[string]*hollow{}
	}
	w.byRegion[r][l.Name] = h
	return h
}

// nextAddress gives the next worker's address.
func (w *workers) nextAddress() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d:%d", hostsFrom+w.hosts>>16, w.hosts>>8&255, w.hosts&255, w.port)
}

// remove ends a machine. The lock is held.
func (w *workers) remove(h *hollow) {
	h.gone = true
	w.fleet.Remove(h.worker.Name)
	delete(w.byName, h.worker.Name)
	delete(w.byIP, h.ip)
	delete(w.byRegion[h.region], h.worker.Name)
	if !h.busy && h.conn != nil {
		_ = h.conn.Close()
	}
}

// in counts a region's machines that are up. The lock is held.
func (w *workers) in(r *region) int { return len(w.byRegion[r]) }

// giveBack ends machines that their region gives back.
func (w *workers) giveBack(r *region, c *fake.Cloud, names []string) {
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
	every := time.NewTicker(pollEvery)
	defer every.Stop()
	for ctx.Err() == nil {
		w.poll(ctx, regions)
		select {
		case <-every.C:
		case <-ctx.Done():
		}
	}
}

// poll sends the reports that are due.
func (w *workers) poll(ctx context.Context, regions []*region) {
	w.mu.Lock()
	all := make([]*hollow, 0, len(w.byName))
	for _, r := range regions {
		for _, l := range r.cloud.cloud.Up(time.Now()) {
			l.Addr = ""
			w.add(r, l)
		}
	}
	for _, h := range w.byName {
		all = append(all, h)
	}
	w.mu.Unlock()
	for len(all) > 0 {
		n := min(pollAtOnce, len(all))
		w.mu.Lock()
		w.fleet.SetNow(time.Now())
		for _, h := range all[:n] {
			if !h.gone && h.worker.Advance() && !h.busy {
				w.start(ctx, h)
			}
		}
		w.mu.Unlock()
		all = all[n:]
	}
	w.mu.Lock()
	w.fleet.CheckCancelled()
	w.mu.Unlock()
}

// start has a worker send its report. The lock is held.
func (w *workers) start(ctx context.Context, h *hollow) {
	r := h.worker.Report()
	h.busy = true
	body := appendReport(nil, r)
	to := h.region.controllers[h.target].front
	go func() {
		sent := time.Now()
		a := w.exchange(ctx, h, to, body)
		w.answered(h, r, sent, a)
	}()
}

// answer is what a report has led to.
type answer struct {
	status int // 0: none
	body   []byte
	err    error
	bytes  int
	dialed bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2048) }}

// exchange sends a report and reads its answer.
func (w *workers) exchange(ctx context.Context, h *hollow, to string, body []byte) answer {
	var a answer
	deadline := time.Now().Add(answerWait)
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
	counted := &countedReader{from: h.conn}
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
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
	from  io.Reader
	bytes int
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.bytes += n
	return n, err
}

// answered has a worker take what its report has led to, as the protocol says.
func (w *workers) answered(h *hollow, r *model.Heartbeat, sent time.Time, a answer) {
	took := time.Since(sent)
	var m *message
	if a.status == fasthttp.StatusOK {
		if m, a.err = decodeMessage(a.body); a.err != nil {
			a.status = 0
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.busy = false
	if h.gone {
		if h.conn != nil {
			_ = h.conn.Close()
		}
		return
	}
	w.tally(a, took)
	w.fleet.SetNow(time.Now())
	switch a.status {
	case fasthttp.StatusOK:
		h.worker.Take(r.Epoch, sent, m.token, w.carried(h, m.orders))
	case fasthttp.StatusMisdirectedRequest:
		w.redirect(h, decodeLeader(a.body))
	default:
		w.next(h)
	}
}

// tally counts what a report has led to. The lock is held.
func (w *workers) tally(a answer, took time.Duration) {
	if a.dialed {
		w.counts.Dials++
	}
	switch a.status {
	case fasthttp.StatusOK:
		w.counts.Reports++
		_ = w.trips.RecordValue(min(took.Microseconds(), mostTrip)) // it is within the bounds
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
func (w *workers) redirect(h *hollow, leader string) {
	for i, c := range h.region.controllers {
		if c.name == leader && i != h.target {
			w.hangUp(h)
			h.target = i
			h.worker.Retry(time.Duration(w.random.Float64() * float64(redirectWait)))
			return
		}
	}
	w.next(h)
}

const (
	redirectWait = 500 * time.Millisecond // at the most, until a worker reports where it was sent
	nextWait     = time.Second            // until it tries the next controller
)

// next has a worker try the next controller. The lock is held.
func (w *workers) next(h *hollow) {
	w.hangUp(h)
	h.target = (h.target + 1) % len(h.region.controllers)
	h.worker.Retry(nextWait)
}

func (w *workers) hangUp(h *hollow) {
	if h.conn != nil {
		_ = h.conn.Close()
		h.conn = nil
	}
}

// hangUpAll closes all connections that no exchange owns, once nothing more is sent.
func (w *workers) hangUpAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byName {
		if !h.busy {
			w.hangUp(h)
		}
	}
}

// carried are the orders that a worker carries out: all of them, unless it is at fault on purpose. The lock is held.
func (w *workers) carried(h *hollow, orders []model.Command) []model.Command {
	if w.broken != BreakTwice {
		return orders
	}
	for _, other := range w.byRegion[h.region] {
		if other != h {
			other.worker.Execute(launches(orders))
			break
		}
	}
	return orders
}

func launches(orders []model.Command) (out []model.Command) {
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
	var m *message
	if string(c.Path()) == "/commands" {
		var err error
		if m, err = decodeMessage(c.PostBody()); err != nil || m.session == 0 {
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
		if !h.worker.Command(m.token, m.session, w.carried(h, m.orders)) {
			w.counts.Refusals++
			c.SetStatusCode(fasthttp.StatusConflict)
		}
	}
	body := appendReport(nil, h.worker.Inspect())
	w.mu.Unlock()
	c.SetBody(body)
	w.traffic.count(string(c.Path())[1:], len(c.PostBody()), len(body))
}
