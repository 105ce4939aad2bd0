// Package worker is the client of the workers: it sends direct commands to their
// addresses.
//
// There may be thousands of workers and few sockets. The client keeps connections to
// the workers that it used most recently, and closes idle ones where the quota of
// sockets does not allow a new one.
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
	commandsPath      = "/commands" // published
	maxConnsPerWorker = 2

	// idleTimeout is after which time without a command a worker is removed:
	// machines come and go, and their addresses with them.
	idleTimeout = 2 * time.Minute

	maxClosedAtOnce  = 16  // workers whose connections are closed for one new connection
	maxIdleInspected = 128 // the least recently used workers that are considered for that
)

// Client sends commands to workers. It may be used from several goroutines.
type Client struct {
	timeout  time.Duration
	wrapDial rpc.DialWrapper

	mu           sync.Mutex // guards the fields below and those of all connections
	byAddr       map[string]*list.Element
	recentlyUsed *list.List // of *connection, the least recently used first
}

// connection holds the connections to one worker. The client's mutex guards it.
type connection struct {
	addr          string
	client        *rpc.Client
	lastUsed      time.Time
	callsInFlight int
	lastUrgent    bool // the last call is urgent
}

// New returns a client. timeout bounds each request; wrapDial may put the making of
// connections under a condition, and may be nil.
func New(timeout time.Duration, wrapDial rpc.DialWrapper) *Client {
	return &Client{
		timeout:      timeout,
		wrapDial:     wrapDial,
		byAddr:       map[string]*list.Element{},
		recentlyUsed: list.New(),
	}
}

// dialFor returns the wrapper for connections to one worker: it applies the client's
// own, and where the quota of sockets is used up closes idle connections and dials
// once more.
func (c *Client) dialFor(worker *connection) rpc.DialWrapper {
	return func(dial rpc.DialFunc) rpc.DialFunc {
		if c.wrapDial != nil {
			dial = c.wrapDial(dial)
		}
		return func(addr string) (net.Conn, error) {
			conn, err := dial(addr)
			if errors.Is(err, connquota.ErrFull) && c.closeIdle(worker) {
				conn, err = dial(addr)
			}
			return conn, err
		}
	}
}

// closeIdle closes idle connections of the least recently used workers, and reports
// whether there were any. An urgent call may close any of them: it would otherwise
// wait for its worker's next heartbeat, for seconds. Other calls close only those that
// were not used within the timeout, so that thousands of launches a second don't make
// and close a connection each; their commands go in the answer to the next heartbeat,
// which costs nothing.
func (c *Client) closeIdle(caller *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	e := c.recentlyUsed.Front()
	for range maxIdleInspected {
		if e == nil || closed == maxClosedAtOnce {
			break
		}
		next := e.Next()
		w := e.Value.(*connection)
		if w.callsInFlight == 0 && (caller.lastUrgent || time.Since(w.lastUsed) > c.timeout) {
			c.remove(e)
			closed++
		}
		e = next
	}
	return closed > 0
}

// remove removes a worker and closes the connections to it. The mutex is held.
func (c *Client) remove(e *list.Element) {
	w := c.recentlyUsed.Remove(e).(*connection)
	w.client.Close()
	delete(c.byAddr, w.addr)
}

// removeExpired removes the workers that were not used for idleTimeout. The mutex is
// held.
func (c *Client) removeExpired(now time.Time) {
	for {
		e := c.recentlyUsed.Front()
		if e == nil || now.Sub(e.Value.(*connection).lastUsed) <= idleTimeout {
			return
		}
		c.remove(e)
	}
}

// acquire returns the connection to a worker for one call; release ends the call.
func (c *Client) acquire(addr string, urgent bool, now time.Time) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		c.removeExpired(now)
		w := &connection{addr: addr}
		w.client = rpc.New(addr, maxConnsPerWorker, c.dialFor(w))
		e = c.recentlyUsed.PushBack(w)
		c.byAddr[addr] = e
	}
	c.recentlyUsed.MoveToBack(e)
	w := e.Value.(*connection)
	w.lastUsed, w.lastUrgent = now, urgent
	w.callsInFlight++
	return w
}

func (c *Client) release(w *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.callsInFlight--
}

// Reply is the outcome of a request with commands.
type Reply struct {
	Executed  bool             // the commands were executed
	Heartbeat *model.Heartbeat // the worker's heartbeat after them; nil where none came
	NotSent   bool             // the commands were not executed and never will be
	Err       error            // why the commands were not executed, or their heartbeat cannot be read
}

// Send sends commands to the worker at addr (host:port) and waits for its reply;
// without commands it is a probe. An urgent call may close idle connections to other
// workers to get a socket. The caller checks its leadership lease right before.
func (c *Client) Send(addr string, fencingToken, epoch uint64, commands []model.Command, urgent bool) Reply {
	w := c.acquire(addr, urgent, time.Now())
	defer c.release(w)
	request := wire.AppendCommands(nil, fencingToken, epoch, commands)
	body, err := w.client.Call(fasthttp.MethodPost, commandsPath, request, c.timeout)
	var status *rpc.StatusError
	switch {
	case err == nil:
		heartbeat, err := decodeHeartbeat(body)
		return Reply{Executed: true, Heartbeat: heartbeat, Err: err}
	case errors.As(err, &status):
		// A refusal may come without a heartbeat, so it is no error if there is none.
		heartbeat, _ := decodeHeartbeat(status.Body)
		return Reply{Heartbeat: heartbeat, NotSent: true, Err: err}
	}
	return Reply{NotSent: errors.Is(err, rpc.ErrNotSent), Err: err}
}

// decodeHeartbeat reads the heartbeat in an answer, or returns nil and an error.
func decodeHeartbeat(body []byte) (*model.Heartbeat, error) {
	h, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return nil, err
	}
	return h, nil
}
