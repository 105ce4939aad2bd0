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

	"github.com/glentiller/glentiller/internal/budget"
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
}

// unused is when a worker that nothing was sent to is forgotten: machines come
// and go, and their addresses with them.
const unused = 2 * time.Minute

// New makes a client; connections are made under a condition (rpc.New).
func New(timeout time.Duration, under func(rpc.Dial) rpc.Dial) *Client {
	c := &Client{timeout: timeout, byAddr: map[string]*list.Element{}, order: list.New()}
	c.under = func(dial rpc.Dial) rpc.Dial {
		if under != nil {
			dial = under(dial)
		}
		return func(addr string) (net.Conn, error) {
			conn, err := dial(addr)
			if errors.Is(err, budget.ErrFull) && c.yield() {
				conn, err = dial(addr)
			}
			return conn, err
		}
	}
	return c
}

// yield closes the connections to the workers that were sent nothing for longest, so that
// others can be sent something. It is false where there are none to close.
func (c *Client) yield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for e := c.order.Front(); e != nil && n < yields && time.Since(e.Value.(*conn).used) > c.timeout; e = c.order.Front() {
		c.forget(e)
		n++
	}
	return n > 0
}

// yields is how many workers' connections are closed at once.
const yields = 16

// forget closes the connections to a worker. The lock is held.
func (c *Client) forget(e *list.Element) {
	old := c.order.Remove(e).(*conn)
	old.client.Close()
	delete(c.byAddr, old.addr)
}

func (c *Client) client(addr string, now time.Time) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		for o := c.order.Front(); o != nil && now.Sub(o.Value.(*conn).used) > unused; o = c.order.Front() {
			c.forget(o)
		}
		e = c.order.PushBack(&conn{addr: addr, client: rpc.New(addr, 2, c.under)})
		c.byAddr[addr] = e
	}
	c.order.MoveToBack(e)
	w := e.Value.(*conn)
	w.used = now
	return w.client
}

// Reply is what became of commands.
type Reply struct {
	Executed bool          // the commands were executed
	Report   *model.Report // the worker's report after them; nil where none came
	NotSent  bool          // the commands did not reach the worker and never will
	Err      error
}

// Commands sends commands. The caller checks its right to act right before.
func (c *Client) Commands(addr string, token, session uint64, orders []model.Order) Reply {
	out, err := c.client(addr, time.Now()).Call(fasthttp.MethodPost, "/commands", wire.AppendCommands(nil, token, session, orders), c.timeout)
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
