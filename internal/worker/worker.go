// Package worker is the client of the workers: commands straight to their
// addresses.
package worker

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// Client sends commands to workers, over few connections a worker.
type Client struct {
	timeout time.Duration
	mu      sync.Mutex
	byAddr  map[string]*conn
}

type conn struct {
	client *rpc.Client
	used   time.Time
}

// unused is when a worker that nothing was sent to is forgotten: machines come
// and go, and their addresses with them.
const unused = 2 * time.Minute

// New makes a client.
func New(timeout time.Duration) *Client {
	return &Client{timeout: timeout, byAddr: map[string]*conn{}}
}

func (c *Client) client(addr string, now time.Time) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byAddr[addr]
	if e == nil {
		for a, old := range c.byAddr {
			if now.Sub(old.used) > unused {
				old.client.Close()
				delete(c.byAddr, a)
			}
		}
		e = &conn{client: rpc.New(addr, 2)}
		c.byAddr[addr] = e
	}
	e.used = now
	return e.client
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
