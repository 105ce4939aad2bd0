// Package store is the client of the state service: a consensus-backed key-value store with
// versions, leases, conditional transactions and watches. Client maps the controllers' records to
// its requests; JobCache keeps an up-to-date copy of the job records. The caller sets the client's
// share of the service's rate limits with SetRateLimits, and runs JobCache.Run in a goroutine.
package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Transport carries one request to the state service: the network, or a stand-in for it. It returns
// the body of a 200; any other answer is an *rpc.StatusError.
type Transport interface {
	Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error)
}

// Client sends requests to the state service, within limits on requests and on changes. It may be
// used from several goroutines once its clock is set. Reads fail with ErrRateLimited where the
// limits do not admit them within the timeout, and else with the wrapped error of the Transport or
// of the decoder. For writes see Commit.
type Client struct {
	requests, watches Transport
	timeout           time.Duration // of a request, and of the wait until the limits admit it
	now               func() time.Time
	sleep             func(time.Duration)

	requestLimiter, changeLimiter *rate.Limiter

	lastAnsweredAt atomic.Pointer[time.Time] // with its monotonic clock reading; nil: never
	failingSince   atomic.Int64              // Unix time in ns; 0: the last request was answered
}

// The numbers of connections to the state service.
const (
	requestConns = 48
	watchConns   = 8
)

// The limits that hold until SetRateLimits sets them: a second, and in one burst.
const (
	defaultRequestRate  = 10
	defaultRequestBurst = 10
	defaultChangeRate   = 5
	defaultChangeBurst  = 5
)

// The least bursts that SetRateLimits sets.
const (
	minRequestBurst = 4
	minChangeBurst  = 12
)

// New returns a client of the service at an address. wrapDial may put the making of connections
// under a condition, see rpc.New; nil: there is none. timeout bounds each request, and the wait
// until the limits admit it.
func New(addr string, timeout time.Duration, wrapDial func(rpc.DialFunc) rpc.DialFunc) *Client {
	return NewOver(rpc.New(addr, requestConns, wrapDial), rpc.New(addr, watchConns, wrapDial), timeout)
}

// NewOver returns a client over given transports.
func NewOver(requests, watches Transport, timeout time.Duration) *Client {
	return &Client{
		requests:       requests,
		watches:        watches,
		timeout:        timeout,
		now:            time.Now,
		sleep:          time.Sleep,
		requestLimiter: rate.NewLimiter(defaultRequestRate, defaultRequestBurst),
		changeLimiter:  rate.NewLimiter(defaultChangeRate, defaultChangeBurst),
	}
}

// SetClock replaces the machine's clock.
func (c *Client) SetClock(now func() time.Time, sleep func(time.Duration)) {
	c.now, c.sleep = now, sleep
}

// SetRateLimits sets this controller's share of the published limits, in requests and in changes a
// second.
func (c *Client) SetRateLimits(requests, changes float64) {
	c.requestLimiter.SetLimit(rate.Limit(requests))
	c.requestLimiter.SetBurst(max(minRequestBurst, int(requests/2)))
	c.changeLimiter.SetLimit(rate.Limit(changes))
	c.changeLimiter.SetBurst(max(minChangeBurst, int(changes/2)))
}

// MinReadInterval returns how far apart reads that could be repeated without end have to be, so that
// they take no more than half of the requests.
func (c *Client) MinReadInterval() time.Duration {
	return time.Duration(2 / float64(c.requestLimiter.Limit()) * float64(time.Second))
}

// waitForBudget waits until the limits admit a request with this many changes.
func (c *Client) waitForBudget(ctx context.Context, changes int) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.requestLimiter.Wait(ctx)
	if err == nil && changes > 0 {
		err = c.changeLimiter.WaitN(ctx, min(changes, c.changeLimiter.Burst()))
	}
	if err != nil {
		return ErrRateLimited
	}
	return nil
}

// call sends a request, and notes whether the service answers.
func (c *Client) call(method, uri string, body []byte) ([]byte, error) {
	out, err := c.requests.Call(method, uri, body, c.timeout)
	status := rpc.StatusCode(err)
	if err == nil || status != 0 && status != fasthttp.StatusServiceUnavailable {
		c.failingSince.Store(0)
		now := c.now()
		c.lastAnsweredAt.Store(&now)
	} else {
		c.failingSince.CompareAndSwap(0, c.now().UnixNano())
	}
	return out, err
}

// LastContact returns when a request was answered last; zero: never.
func (c *Client) LastContact() time.Time {
	if at := c.lastAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// UnreachableFor returns for how long requests have failed; 0: the last one was answered.
func (c *Client) UnreachableFor(now time.Time) time.Duration {
	if at := c.failingSince.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

// Sleep pauses for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
