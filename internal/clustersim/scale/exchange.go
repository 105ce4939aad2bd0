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
	heartbeatTimeout    = 4 * time.Second        // time limit of a heartbeat, from dialing until the response is read
	maxRedirectDelay    = 500 * time.Millisecond // maximum delay until a redirected worker sends its next heartbeat
	nextControllerDelay = time.Second            // delay until a worker sends a heartbeat to the next controller
	requestHeaderBytes  = 160                    // upper bound of the request line and headers of a heartbeat
	responseBufferBytes = 2048
)

// heartbeatResult is the outcome of one heartbeat.
type heartbeatResult struct {
	status        int // HTTP status; 0 if no valid response was received
	body          []byte
	err           error
	message       wire.CommandMessage // decoded body of a 200 response
	responseBytes int                 // size of the response with its headers
	dialed        bool                // a connection was opened, or an attempt to open one failed
}

// readerPool holds the buffered readers with which responses are read.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, responseBufferBytes) }}

// startHeartbeat sends a worker's heartbeat in a new goroutine, which also handles the answer. The caller holds w.mu.
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

// exchange sends a heartbeat to a controller and reads the response. It opens a connection if the worker has none,
// and closes the connection after an error. The worker has to be busy, which makes exchange the owner of the
// connection. The caller must not hold w.mu, since exchange blocks on the network.
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
	counted := &countingReader{source: h.conn}
	reader := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(reader)
	reader.Reset(counted)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if result.err = response.Read(reader); result.err != nil {
		return result
	}
	result.status, result.responseBytes = response.StatusCode(), counted.bytesRead
	result.body = append(result.body, response.Body()...)
	w.traffic.count("report", result.responseBytes, len(request))
	if response.ConnectionClose() {
		h.closeConn()
	}
	return result
}

// appendRequest appends the HTTP request of a heartbeat to b.
func appendRequest(b []byte, host string, body []byte) []byte {
	b = append(b, "POST /v1/report HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nContent-Type: application/msgpack\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// countingReader counts the bytes that are read from its source.
type countingReader struct {
	source    io.Reader
	bytesRead int
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.bytesRead += n
	return n, err
}

// handleAnswer applies the outcome of a heartbeat to its worker as the worker protocol demands. The worker carries
// out the commands of a 200 response, follows a redirect, and otherwise tries the next controller. The outcome is
// dropped if the worker was removed meanwhile.
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
		h.worker.HandleHeartbeatResponse(heartbeat.Epoch, sent, message.FencingToken, w.applyMutation(h, message.Commands))
	case fasthttp.StatusMisdirectedRequest:
		w.redirect(h, wire.DecodeLeader(result.body))
	default:
		w.tryNextController(h)
	}
}

// recordOutcome counts the outcome of a heartbeat. The caller holds w.mu.
func (w *workers) recordOutcome(result *heartbeatResult, roundTrip time.Duration) {
	if result.dialed {
		w.counts.Dials++
	}
	switch result.status {
	case fasthttp.StatusOK:
		w.counts.Heartbeats++
		_ = w.roundTrips.RecordValue(min(roundTrip.Microseconds(), maxRoundTrip)) // never out of range
	case fasthttp.StatusMisdirectedRequest:
		w.counts.Redirects++
	case 0:
		w.counts.Failed++
	default:
		w.counts.Refused++
	}
	var netErr net.Error
	if result.err != nil && errors.As(result.err, &netErr) && netErr.Timeout() {
		w.counts.Late++
	}
}

// redirect makes a worker send its next heartbeat to the leader that a 421 response names. If the name is unknown, or
// names the controller that sent the response, the worker tries the next controller. The caller holds w.mu.
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

// tryNextController makes a worker send its next heartbeat to the next controller of its region. The caller holds
// w.mu.
func (w *workers) tryNextController(h *hollowWorker) {
	h.closeConn()
	h.controllerIndex = (h.controllerIndex + 1) % len(h.region.controllers)
	h.worker.Retry(nextControllerDelay)
}

// closeConn closes the worker's connection, if one is open. Only the owner of the connection may call it.
func (h *hollowWorker) closeConn() {
	if h.conn != nil {
		_ = h.conn.Close() // no data is pending that a failure to close could lose
		h.conn = nil
	}
}

// closeIdleConns closes the connections of all workers without a pending heartbeat. It is called after the last
// heartbeat was started.
func (w *workers) closeIdleConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byName {
		if !h.busy {
			h.closeConn()
		}
	}
}

// applyMutation returns the commands that a worker has received and is to carry out. Under the mutation LaunchTwice,
// another worker of the region carries out the launches among them, too. The caller holds w.mu.
func (w *workers) applyMutation(h *hollowWorker, commands []model.Command) []model.Command {
	if w.mutation != LaunchTwice {
		return commands
	}
	for _, other := range w.byRegion[h.region] {
		if other != h {
			other.worker.Execute(launchCommands(commands))
			break
		}
	}
	return commands
}

// launchCommands returns the launches among commands.
func launchCommands(commands []model.Command) (launches []model.Command) {
	for _, command := range commands {
		if command.Op == model.OpLaunch {
			launches = append(launches, command)
		}
	}
	return launches
}

// handle serves the requests that controllers send directly to workers: commands, and probes of the worker's status.
// The address that the controller connected to identifies the worker. The answer is 503 if the worker hangs or if no
// worker has the address, and 409 if the worker refuses the commands.
func (w *workers) handle(c *fasthttp.RequestCtx) {
	if !c.RemoteIP().IsLoopback() {
		c.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	host, _, _ := net.SplitHostPort(c.LocalAddr().String()) // a listener's address always has a port
	c.SetContentType("application/msgpack")
	isCommands := string(c.Path()) == "/commands"
	var message wire.CommandMessage
	if isCommands {
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
	if isCommands {
		w.counts.Commands++
		executed := w.applyMutation(h, message.Commands)
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
