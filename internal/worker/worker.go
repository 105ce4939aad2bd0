// Package worker implements the client that sends commands to the addresses of workers directly, instead of in the
// responses to their heartbeats.
//
// There may be thousands of workers, but only few sockets. The client keeps the connections to the workers that it
// used most recently. If the quota of sockets does not allow a new connection, it closes idle connections to
// other workers.
package worker

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

const (
	commandsPath      = "/commands" // path of the workers' published API
	maxConnsPerWorker = 2

	// idleTimeout is the time without a call after which a worker is removed from the client. Machines come and go, and
	// the addresses of released ones would accumulate otherwise.
	idleTimeout = 2 * time.Minute

	// maxEvictionsPerDial bounds the workers whose connections are closed to make one new connection.
	maxEvictionsPerDial = 16
	// maxEvictionCandidates bounds the workers, least recently used first, that are considered for eviction.
	maxEvictionCandidates = 128
)

// Client sends commands to workers. It is safe for concurrent use.
type Client struct {
	timeout  time.Duration
	wrapDial rpc.DialWrapper

	mu        sync.Mutex               // guards the fields below and the mutable fields of each workerClient
	byAddr    map[string]*list.Element // elements of byLastUse by the worker's address
	byLastUse *list.List               // of *workerClient, least recently used first
}

// workerClient is the client of one worker. addr and rpcClient do not change; Client.mu guards the other fields.
type workerClient struct {
	addr           string // host:port
	rpcClient      *rpc.Client
	lastUsed       time.Time // start of the last call
	callsInFlight  int
	lastCallUrgent bool // the last call was urgent
}

// New returns a client. timeout bounds each request. wrapDial wraps the function that opens connections, for example
// to enforce a quota of sockets; it may be nil.
func New(timeout time.Duration, wrapDial rpc.DialWrapper) *Client {
	return &Client{
		timeout:   timeout,
		wrapDial:  wrapDial,
		byAddr:    map[string]*list.Element{},
		byLastUse: list.New(),
	}
}

// wrapWorkerDial returns the wrapper for dialing one worker. It applies the wrapper of the client. If the quota of
// sockets is used up, it closes idle connections to other workers and dials once more.
func (c *Client) wrapWorkerDial(worker *workerClient) rpc.DialWrapper {
	return func(dial rpc.DialFunc) rpc.DialFunc {
		if c.wrapDial != nil {
			dial = c.wrapDial(dial)
		}
		return func(addr string) (net.Conn, error) {
			conn, err := dial(addr)
			if errors.Is(err, connquota.ErrQuotaExhausted) && c.evictIdle(worker) {
				conn, err = dial(addr)
			}
			return conn, err
		}
	}
}

// evictIdle closes the connections to some of the least recently used workers that have no call in flight. It reports
// whether it evicted any. For an urgent call it may evict any of them: without a connection the urgent command would
// wait for its worker's next heartbeat, for seconds. For other calls it evicts only workers that have not been used
// within the request timeout. Otherwise, thousands of launches per second would each open and close a connection.
// Commands without a connection are sent in the response to the worker's next heartbeat, at no extra cost.
func (c *Client) evictIdle(caller *workerClient) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	evicted := 0
	e := c.byLastUse.Front()
	for range maxEvictionCandidates {
		if e == nil || evicted == maxEvictionsPerDial {
			break
		}
		next := e.Next()
		w := e.Value.(*workerClient)
		if w.callsInFlight == 0 && (caller.lastCallUrgent || time.Since(w.lastUsed) > c.timeout) {
			c.remove(e)
			evicted++
		}
		e = next
	}
	return evicted > 0
}

// remove removes a worker from the client and closes the idle connections to it. c.mu must be held.
func (c *Client) remove(e *list.Element) {
	w := c.byLastUse.Remove(e).(*workerClient)
	w.rpcClient.Close()
	delete(c.byAddr, w.addr)
}

// removeExpired removes the workers that have not been used for longer than idleTimeout. c.mu must be held.
func (c *Client) removeExpired(now time.Time) {
	for {
		e := c.byLastUse.Front()
		if e == nil || now.Sub(e.Value.(*workerClient).lastUsed) <= idleTimeout {
			return
		}
		c.remove(e)
	}
}

// acquire returns the client of a worker for one call, and creates it if necessary. The caller must call release at
// the end of the call.
func (c *Client) acquire(addr string, urgent bool, now time.Time) *workerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		c.removeExpired(now)
		w := &workerClient{addr: addr}
		w.rpcClient = rpc.New(addr, maxConnsPerWorker, c.wrapWorkerDial(w))
		e = c.byLastUse.PushBack(w)
		c.byAddr[addr] = e
	}
	c.byLastUse.MoveToBack(e)
	w := e.Value.(*workerClient)
	w.lastUsed, w.lastCallUrgent = now, urgent
	w.callsInFlight++
	return w
}

// release marks the end of a call that began with acquire.
func (c *Client) release(w *workerClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.callsInFlight--
}

// Reply is the outcome of a request with commands. If neither Executed nor NeverExecuted is true, the outcome is
// unknown.
type Reply struct {
	Executed      bool             // the commands were executed
	Heartbeat     *model.Heartbeat // status of the worker after the request; nil if the response contains none
	NeverExecuted bool             // the commands were not executed and never will be: not sent, or refused by the worker
	Err           error            // why the request failed, or why the heartbeat in the response cannot be decoded
}

// Send sends commands to the worker at addr (host:port) and waits for its reply. Without commands the request is a
// probe. An urgent call may close idle connections to other workers to get a socket. The caller must check its
// leadership lease right before the call.
func (c *Client) Send(addr string, fencingToken, epoch uint64, commands []model.Command, urgent bool) Reply {
	w := c.acquire(addr, urgent, time.Now())
	defer c.release(w)
	request := wire.AppendCommands(nil, fencingToken, epoch, commands)
	body, err := w.rpcClient.Call(fasthttp.MethodPost, commandsPath, request, c.timeout)
	var statusErr *rpc.StatusError
	switch {
	case err == nil:
		heartbeat, err := decodeHeartbeat(body)
		return Reply{Executed: true, Heartbeat: heartbeat, Err: err}
	case errors.As(err, &statusErr):
		// A worker may refuse commands without sending a heartbeat, so a missing one is not an error.
		heartbeat, _ := decodeHeartbeat(statusErr.Body)
		return Reply{Heartbeat: heartbeat, NeverExecuted: true, Err: err}
	}
	return Reply{NeverExecuted: errors.Is(err, rpc.ErrNotSent), Err: err}
}

// decodeHeartbeat decodes the heartbeat in the body of a response. It returns nil with an error.
func decodeHeartbeat(body []byte) (*model.Heartbeat, error) {
	h, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return nil, err
	}
	return h, nil
}
