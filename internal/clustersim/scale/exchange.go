package scale

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

const (
	heartbeatTimeout    = 4 * time.Second        // that a worker waits for the answer to a heartbeat
	maxRedirectDelay    = 500 * time.Millisecond // until a worker reports to where it was redirected
	nextControllerDelay = time.Second            // until it reports to the next controller
	requestHeaderBytes  = 160                    // of a heartbeat's request, at the most
	responseBuffer      = 2048                   // bytes
)

// heartbeatResult is what a heartbeat has led to.
type heartbeatResult struct {
	status  int // 0: it was not answered
	body    []byte
	err     error
	message wire.CommandMessage // of an answer with 200
	bytes   int                 // of the answer
	dialed  bool
}

// readerPool holds the buffers of exchanges.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, responseBuffer) }}

// startHeartbeat has a worker send its heartbeat. The lock is held.
func (w *workers) startHeartbeat(ctx context.Context, h *hollowWorker) {
	heartbeat := h.worker.NextHeartbeat()
	h.busy = true
	body := wire.AppendHeartbeat(nil, heartbeat)
	addr := h.region.controllers[h.controllerIndex].httpAddr
	go func() {
		sent := time.Now()
		result := w.exchange(ctx, h, addr, body)
		w.handleAnswer(h, heartbeat, sent, result)
	}()
}

// exchange sends a heartbeat and reads its answer. It owns the worker's connection meanwhile.
func (w *workers) exchange(ctx context.Context, h *hollowWorker, addr string, body []byte) heartbeatResult {
	var result heartbeatResult
	deadline := time.Now().Add(heartbeatTimeout)
	if h.conn == nil {
		result.dialed = true
		dialer := net.Dialer{Deadline: deadline, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
		if h.conn, result.err = dialer.DialContext(ctx, "tcp4", addr); result.err != nil {
			h.conn = nil
			return result
		}
	}
	defer func() {
		if result.err != nil {
			h.closeConn()
		}
	}()
	if result.err = h.conn.SetDeadline(deadline); result.err != nil {
		return result
	}
	request := appendRequest(make([]byte, 0, len(body)+requestHeaderBytes), addr, body)
	if _, result.err = h.conn.Write(request); result.err != nil {
		return result
	}
	counted := &countedReader{source: h.conn}
	reader := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(reader)
	reader.Reset(counted)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if result.err = response.Read(reader); result.err != nil {
		return result
	}
	result.status, result.bytes = response.StatusCode(), counted.bytes
	result.body = append(result.body, response.Body()...)
	w.traffic.count("report", result.bytes, len(request))
	if response.ConnectionClose() {
		h.closeConn()
	}
	return result
}

// appendRequest appends a heartbeat's request.
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

// Read implements io.Reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.bytes += n
	return n, err
}

// handleAnswer has a worker take what its heartbeat has led to, as the protocol says.
func (w *workers) handleAnswer(h *hollowWorker, heartbeat *model.Heartbeat, sent time.Time, result heartbeatResult) {
	roundTrip := time.Since(sent)
	if result.status == fasthttp.StatusOK {
		if result.message, result.err = wire.DecodeCommands(result.body); result.err != nil {
			result.status = 0
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.busy = false
	if h.removed {
		h.closeConn()
		return
	}
	w.recordOutcome(&result, roundTrip)
	w.fleet.SetNow(time.Now())
	switch result.status {
	case fasthttp.StatusOK:
		message := &result.message
		h.worker.HandleAnswer(heartbeat.Epoch, sent, message.FencingToken, w.executedCommands(h, message.Commands))
	case fasthttp.StatusMisdirectedRequest:
		w.redirect(h, wire.DecodeLeader(result.body))
	default:
		w.tryNextController(h)
	}
}

// recordOutcome counts what a heartbeat has led to. The lock is held.
func (w *workers) recordOutcome(result *heartbeatResult, roundTrip time.Duration) {
	if result.dialed {
		w.counts.Dials++
	}
	switch result.status {
	case fasthttp.StatusOK:
		w.counts.Heartbeats++
		_ = w.roundTrips.RecordValue(min(roundTrip.Microseconds(), maxRoundTrip)) // it is within the bounds
	case fasthttp.StatusMisdirectedRequest:
		w.counts.Redirects++
	case 0:
		w.counts.Failed++
	default:
		w.counts.Refused++
	}
	var timeout net.Error
	if result.err != nil && errors.As(result.err, &timeout) && timeout.Timeout() {
		w.counts.Late++
	}
}

// redirect has a worker report to the controller that a 421 names. The lock is held.
func (w *workers) redirect(h *hollowWorker, leader string) {
	for i, c := range h.region.controllers {
		if c.name == leader && i != h.controllerIndex {
			h.closeConn()
			h.controllerIndex = i
			h.worker.Retry(time.Duration(w.random.Float64() * float64(maxRedirectDelay)))
			return
		}
	}
	w.tryNextController(h)
}

// tryNextController has a worker report to the next controller. The lock is held.
func (w *workers) tryNextController(h *hollowWorker) {
	h.closeConn()
	h.controllerIndex = (h.controllerIndex + 1) % len(h.region.controllers)
	h.worker.Retry(nextControllerDelay)
}

// closeConn closes the worker's connection, if it has one.
func (h *hollowWorker) closeConn() {
	if h.conn != nil {
		_ = h.conn.Close() // nothing is lost that was not before
		h.conn = nil
	}
}

// closeIdleConns closes all connections that no exchange owns, once nothing more is sent.
func (w *workers) closeIdleConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byName {
		if !h.busy {
			h.closeConn()
		}
	}
}

// executedCommands are the commands that a worker carries out. With the mutation LaunchTwice another worker of the
// region carries out the launches too. The lock is held.
func (w *workers) executedCommands(h *hollowWorker, commands []model.Command) []model.Command {
	if w.mutation != LaunchTwice {
		return commands
	}
	for _, other := range w.byRegion[h.region] {
		if other != h {
			other.worker.Execute(launchesOf(commands))
			break
		}
	}
	return commands
}

// launchesOf are the launches among commands.
func launchesOf(commands []model.Command) (launches []model.Command) {
	for _, command := range commands {
		if command.Op == model.OpLaunch {
			launches = append(launches, command)
		}
	}
	return launches
}

// handle answers a request that comes straight to a worker: direct commands, or a probe.
func (w *workers) handle(c *fasthttp.RequestCtx) {
	if !c.RemoteIP().IsLoopback() {
		c.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	host, _, _ := net.SplitHostPort(c.LocalAddr().String()) // a listener's address always has a port
	c.SetContentType("application/msgpack")
	commands := string(c.Path()) == "/commands"
	var message wire.CommandMessage
	if commands {
		var err error
		if message, err = wire.DecodeCommands(c.PostBody()); err != nil || message.Epoch == 0 {
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
	if commands {
		w.counts.Commands++
		executed := w.executedCommands(h, message.Commands)
		if !h.worker.HandleCommands(message.FencingToken, message.Epoch, executed) {
			w.counts.CommandsRefused++
			c.SetStatusCode(fasthttp.StatusConflict)
		}
	}
	body := wire.AppendHeartbeat(nil, h.worker.Inspect())
	w.mu.Unlock()
	c.SetBody(body)
	w.traffic.count(string(c.Path())[1:], len(c.PostBody()), len(body))
}
