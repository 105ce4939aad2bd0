// Package store is the client of the state service.
package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// The errors that callers tell apart. Any other error of Commit means that the
// outcome is unknown.
var (
	ErrNotExecuted  = errors.New("not executed")
	ErrRejected     = errors.New("rejected for good") // comes with ErrNotExecuted: too large, or malformed
	ErrCompacted    = errors.New("the changes since that revision are not kept any more")
	ErrLeaseExpired = errors.New("the lease is over")
	ErrRateLimited  = errors.New("the budget for requests is spent")
)

// Transport carries one request to the state service: the network, or a
// stand-in for it. It returns the body of a 200; any other answer is an
// *rpc.StatusError.
type Transport interface {
	Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error)
}

// Client talks to the state service within a budget of requests and of changes.
type Client struct {
	requests, watches             Transport
	requestLimiter, changeLimiter *rate.Limiter
	now                           func() time.Time
	sleep                         func(time.Duration)
	timeout                       time.Duration
	lastAnsweredAt                atomic.Pointer[time.Time] // when a request was answered last, by the steady clock; nil: never
	failingSince                  atomic.Int64              // when requests began to fail, in nanoseconds; 0: the last one was answered
}

// New makes a client; connections are made under a condition (rpc.New).
func New(addr string, timeout time.Duration, under func(rpc.DialFunc) rpc.DialFunc) *Client {
	return NewOver(rpc.New(addr, 48, under), rpc.New(addr, 8, under), timeout)
}

// NewOver makes a client over given transports, one of them for watches.
func NewOver(calls, watches Transport, timeout time.Duration) *Client {
	return &Client{requests: calls, watches: watches, timeout: timeout, now: time.Now, sleep: time.Sleep,
		requestLimiter: rate.NewLimiter(10, 10), changeLimiter: rate.NewLimiter(5, 5)}
}

// SetClock has the client go by another clock than the machine's, and pause as that says.
func (c *Client) SetClock(now func() time.Time, pause func(time.Duration)) {
	c.now, c.sleep = now, pause
}

// SetRateLimits sets this controller's share of the published limits.
func (c *Client) SetRateLimits(requests, changes float64) {
	c.requestLimiter.SetLimit(rate.Limit(requests))
	c.requestLimiter.SetBurst(max(4, int(requests/2)))
	c.changeLimiter.SetLimit(rate.Limit(changes))
	c.changeLimiter.SetBurst(max(12, int(changes/2)))
}

// MinReadInterval is how far apart reads that could be made all the time have to be, so that
// they take no more than half of the requests.
func (c *Client) MinReadInterval() time.Duration {
	return time.Duration(2 / float64(c.requestLimiter.Limit()) * float64(time.Second))
}

// waitForBudget waits until a request with n changes is within the budget.
func (c *Client) waitForBudget(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.requestLimiter.Wait(ctx)
	if err == nil && n > 0 {
		err = c.changeLimiter.WaitN(ctx, min(n, c.changeLimiter.Burst()))
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	}
	return nil
}

func (c *Client) call(method, uri string, body []byte) ([]byte, error) {
	out, err := c.requests.Call(method, uri, body, c.timeout)
	if err == nil || rpc.StatusCode(err) != 0 && rpc.StatusCode(err) != fasthttp.StatusServiceUnavailable {
		c.failingSince.Store(0)
		now := c.now()
		c.lastAnsweredAt.Store(&now)
	} else {
		c.failingSince.CompareAndSwap(0, c.now().UnixNano())
	}
	return out, err
}

// LastContact is when a request was answered last; zero: never.
func (c *Client) LastContact() time.Time {
	if at := c.lastAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// UnreachableFor tells for how long requests have failed; 0: the last one was answered.
func (c *Client) UnreachableFor(now time.Time) time.Duration {
	if at := c.failingSince.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

// Get reads one key; ok tells whether it exists.
func (c *Client) Get(ctx context.Context, key string) (e wire.Entry, ok bool, err error) {
	if err := c.waitForBudget(ctx, 0); err != nil {
		return e, false, err
	}
	out, err := c.call(fasthttp.MethodGet, "/keys/"+key, nil)
	if rpc.StatusCode(err) == fasthttp.StatusNotFound {
		return e, false, nil
	}
	if err != nil {
		return e, false, err
	}
	e, err = wire.DecodeEntry(out)
	return e, err == nil, err
}

// List reads all keys with a prefix, and the revision that the first page
// described: the changes after it make the list current.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var rev uint64
	after := ""
	for {
		p, err := c.readPage(ctx, prefix, after, 1000)
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = p.Revision
		}
		all = append(all, p.Entries...)
		if !p.More || len(p.Entries) == 0 {
			return all, rev, nil
		}
		after = p.Entries[len(p.Entries)-1].Key
	}
}

// Changes returns the changes of keys with a prefix after a revision, waiting
// for one up to the given time.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.Page, error) {
	if err := c.waitForBudget(ctx, 0); err != nil {
		return wire.Page{}, err
	}
	uri := "/changes?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	cl := c.requests
	if wait > 0 {
		cl = c.watches
	}
	out, err := cl.Call(fasthttp.MethodGet, uri, nil, wait+c.timeout)
	if rpc.StatusCode(err) == fasthttp.StatusGone {
		return wire.Page{}, ErrCompacted
	}
	if err != nil {
		return wire.Page{}, err
	}
	return wire.DecodePage(out)
}

// Commit carries out a transaction. ok is false where a condition failed. An
// error that is not ErrNotExecuted leaves open whether it was or will be
// carried out.
func (c *Client) Commit(ctx context.Context, t *wire.Txn, urgent bool) (rev uint64, ok bool, err error) {
	if urgent {
		c.requestLimiter.Allow()
	} else if err := c.waitForBudget(ctx, len(t.Changes)); err != nil {
		return 0, false, err
	}
	out, err := c.call(fasthttp.MethodPost, "/commit", t.Append(nil))
	switch {
	case err == nil:
		rev, err = wire.DecodeRevision(out)
		return rev, err == nil, err
	case rpc.StatusCode(err) == fasthttp.StatusConflict:
		return 0, false, nil
	case rpc.StatusCode(err) == fasthttp.StatusBadRequest:
		return 0, false, fmt.Errorf("%w: %w: %w", ErrNotExecuted, ErrRejected, err)
	case rpc.StatusCode(err) != 0, errors.Is(err, rpc.ErrNotSent):
		return 0, false, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return 0, false, err
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(life time.Duration) (uint64, error) {
	c.requestLimiter.Allow()
	out, err := c.call(fasthttp.MethodPost, "/grants", wire.AppendLeaseRequest(nil, uint64(life.Milliseconds())))
	if err != nil {
		return 0, err
	}
	return wire.DecodeLeaseID(out)
}

// RenewLease renews a lease. It never waits for the budget: the leader's right to
// act hangs on it.
func (c *Client) RenewLease(id uint64) error {
	c.requestLimiter.Allow()
	_, err := c.call(fasthttp.MethodPost, "/grants/"+strconv.FormatUint(id, 10)+"/touch", nil)
	if rpc.StatusCode(err) == fasthttp.StatusNotFound {
		return ErrLeaseExpired
	}
	return err
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(id uint64) error {
	c.requestLimiter.Allow()
	_, err := c.call(fasthttp.MethodDelete, "/grants/"+strconv.FormatUint(id, 10), nil)
	if rpc.StatusCode(err) == fasthttp.StatusNotFound {
		return nil
	}
	return err
}
