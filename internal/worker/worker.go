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
	timeout time.Duration
	under   func(rpc.Dial) rpc.Dial

	mu     sync.Mutex
	byAddr map[string]*list.Element
	order  *list.List // of *conn, those that were used last at the back
}

type conn struct {
	addr   string
	client *rpc.Client
	used   time.Time
	calls  int  // that are under way
	urgent bool // the last one is
}

// unused is when a worker that nothing was sent to is forgotten: machines come
// and go, and their addresses with them.
const unused = 2 * time.Minute

// New makes a client; connections are made under a condition (rpc.New).
func New(timeout time.Duration, under func(rpc.Dial) rpc.Dial) *Client {
	return &Client{timeout: timeout, under: under, byAddr: map[string]*list.Element{}, order: list.New()}
}

// dial puts the making of a connection to a worker under the client's condition. Where there is no socket for it,
// others make room.
func (c *Client) dial(w *conn) func(rpc.Dial) rpc.Dial {
	return func(dial rpc.Dial) rpc.Dial {
		if c.under != nil {
			dial = c.under(dial)
		}
		return func(addr string) (net.Conn, error) {
			made, err := dial(addr)
			if errors.Is(err, connquota.ErrFull) && c.yield(w) {
				made, err = dial(addr)
			}
			return made, err
		}
	}
}

// yield closes connections on which nothing is under way, of the workers that were sent nothing for longest, so that
// another one can be sent something. It is false where there are none to close: for what is not urgent those that were
// used lately stay, and the launch goes in the answer to its worker's next report, which costs nothing. Guards against
// urgent launches that wait for such a report, for seconds, and against connections that are made and closed for each
// of thousands of launches a second.
func (c *Client) yield(to *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	e := c.order.Front()
	for range yieldsAmong {
		if e == nil || n == yields {
			break
		}
		next := e.Next()
		if w := e.Value.(*conn); w.calls == 0 && (to.urgent || time.Since(w.used) > c.timeout) {
			c.forget(e)
			n++
		}
		e = next
	}
	return n > 0
}

const (
	yields      = 16  // workers whose connections are closed at once
	yieldsAmong = 128 // that were sent nothing for longest
)

// forget closes the connections to a worker. The lock is held.
func (c *Client) forget(e *list.Element) {
	old := c.order.Remove(e).(*conn)
	old.client.Close()
	delete(c.byAddr, old.addr)
}

// take finds the connection to a worker for a call; give says that it is over.
func (c *Client) take(addr string, urgent bool, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		for o := c.order.Front(); o != nil && now.Sub(o.Value.(*conn).used) > unused; o = c.order.Front() {
			c.forget(o)
		}
		w := &conn{addr: addr}
		w.client = rpc.New(addr, 2, c.dial(w))
		e = c.order.PushBack(w)
		c.byAddr[addr] = e
	}
	c.order.MoveToBack(e)
	w := e.Value.(*conn)
	w.used, w.urgent = now, urgent
	w.calls++
	return w
}

func (c *Client) give(w *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.calls--
}

// Reply is what became of commands.
type Reply struct {
	Executed bool          // the commands were executed
	Report   *model.Report // the worker's report after them; nil where none came
	NotSent  bool          // the commands did not reach the worker and never will
	Err      error
}

// Commands sends commands. The caller checks its right to act right before.
func (c *Client) Commands(addr string, token, session uint64, orders []model.Order, urgent bool) Reply {
	w := c.take(addr, urgent, time.Now())
	defer c.give(w)
	out, err := w.client.Call(
		fasthttp.MethodPost,
		"/commands",
		wire.AppendCommands(nil, token, session, orders),
		c.timeout,
	)
	var s *rpc.StatusError
	switch {
	case err == nil:
		r, err := wire.DecodeReport(out)
		if err != nil {
			r = nil
		}
		return Reply{Executed: true, Report: r, Err: err}
	case errors.As(err, &s):
		r, derr := wire.DecodeReport(s.Body)
		if derr != nil {
			r = nil
		}
		return Reply{Report: r, NotSent: true, Err: err}
	}
	return Reply{NotSent: errors.Is(err, rpc.ErrNotSent), Err: err}
}
