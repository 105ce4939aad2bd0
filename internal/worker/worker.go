// Package worker is the client of the workers: commands straight to their
// addresses.
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

// Client sends commands to workers, over few connections a worker.
type Client struct {
	timeout  time.Duration
	wrapDial func(rpc.DialFunc) rpc.DialFunc

	mu           sync.Mutex
	byAddr       map[string]*list.Element
	recentlyUsed *list.List // of *conn, those that were used last at the back
}

type connection struct {
	addr          string
	client        *rpc.Client
	lastUsed      time.Time
	callsInFlight int  // that are under way
	lastUrgent    bool // the last one is
}

// idleTimeout is when a worker that nothing was sent to is forgotten: machines come
// and go, and their addresses with them.
const idleTimeout = 2 * time.Minute

// New makes a client; connections are made under a condition (rpc.New).
func New(timeout time.Duration, under func(rpc.DialFunc) rpc.DialFunc) *Client {
	return &Client{timeout: timeout, wrapDial: under, byAddr: map[string]*list.Element{}, recentlyUsed: list.New()}
}

// dialFor puts the making of a connection to a worker under the client's condition. Where there is no socket for it,
// others make room.
func (c *Client) dialFor(w *connection) func(rpc.DialFunc) rpc.DialFunc {
	return func(dial rpc.DialFunc) rpc.DialFunc {
		if c.wrapDial != nil {
			dial = c.wrapDial(dial)
		}
		return func(addr string) (net.Conn, error) {
			made, err := dial(addr)
			if errors.Is(err, connquota.ErrFull) && c.closeIdle(w) {
				made, err = dial(addr)
			}
			return made, err
		}
	}
}

// closeIdle closes connections on which nothing is under way, of the workers that were sent nothing for longest, so that
// another one can be sent something. It is false where there are none to close: for what is not urgent those that were
// used lately stay, and the launch goes in the answer to its worker's next report, which costs nothing. Guards against
// urgent launches that wait for such a report, for seconds, and against connections that are made and closed for each
// of thousands of launches a second.
func (c *Client) closeIdle(to *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	e := c.recentlyUsed.Front()
	for range maxIdleInspected {
		if e == nil || n == maxClosedAtOnce {
			break
		}
		next := e.Next()
		if w := e.Value.(*connection); w.callsInFlight == 0 && (to.lastUrgent || time.Since(w.lastUsed) > c.timeout) {
			c.remove(e)
			n++
		}
		e = next
	}
	return n > 0
}

const (
	maxClosedAtOnce  = 16  // workers whose connections are closed at once
	maxIdleInspected = 128 // that were sent nothing for longest
)

// remove closes the connections to a worker. The lock is held.
func (c *Client) remove(e *list.Element) {
	old := c.recentlyUsed.Remove(e).(*connection)
	old.client.Close()
	delete(c.byAddr, old.addr)
}

// acquire finds the connection to a worker for a call; give says that it is over.
func (c *Client) acquire(addr string, urgent bool, now time.Time) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		for o := c.recentlyUsed.Front(); o != nil && now.Sub(o.Value.(*connection).lastUsed) > idleTimeout; o = c.recentlyUsed.Front() {
			c.remove(o)
		}
		w := &connection{addr: addr}
		w.client = rpc.New(addr, 2, c.dialFor(w))
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

// Reply is what became of commands.
type Reply struct {
	Executed  bool             // the commands were executed
	Heartbeat *model.Heartbeat // the worker's report after them; nil where none came
	NotSent   bool             // the commands did not reach the worker and never will
	Err       error
}

// Send sends commands. The caller checks its right to act right before.
func (c *Client) Send(addr string, token, session uint64, orders []model.Command, urgent bool) Reply {
	w := c.acquire(addr, urgent, time.Now())
	defer c.release(w)
	out, err := w.client.Call(
		fasthttp.MethodPost,
		"/commands",
		wire.AppendCommands(nil, token, session, orders),
		c.timeout,
	)
	var s *rpc.StatusError
	switch {
	case err == nil:
		r, err := wire.DecodeHeartbeat(out)
		if err != nil {
			r = nil
		}
		return Reply{Executed: true, Heartbeat: r, Err: err}
	case errors.As(err, &s):
		r, derr := wire.DecodeHeartbeat(s.Body)
		if derr != nil {
			r = nil
		}
		return Reply{Heartbeat: r, NotSent: true, Err: err}
	}
	return Reply{NotSent: errors.Is(err, rpc.ErrNotSent), Err: err}
}
