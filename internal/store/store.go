// Package store is the client of the state service, a consensus-backed key-value store with versions, leases,
// conditional transactions and watches. Client maps the controllers' records to requests. JobCache keeps an
// up-to-date copy of the job records. The caller sets the client's share of the service's rate limits with
// SetRateLimits, and runs JobCache.Run in a goroutine.
package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Transport sends requests to the state service, over the network or to a fake of it. Call returns the body of a
// response with status 200; a response with any other status is an *rpc.StatusError.
type Transport interface {
	Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error)
}

// Client sends requests to the state service, within rate limits for requests and for changes. Its methods, except
// SetClock, are safe for concurrent use. Reads return an error that wraps ErrRateLimited if the rate limits do not
// admit the request within the timeout; other errors wrap the error of the Transport or of the decoder. Commit
// describes the errors of writes.
type Client struct {
	requestTransport, watchTransport Transport
	timeout                          time.Duration // of a request, and of the wait for the rate limits before it
	now                              func() time.Time
	sleep                            func(time.Duration)

	requestLimiter, changeLimiter *rate.Limiter

	lastAnsweredAt atomic.Pointer[time.Time] // includes the monotonic clock reading; nil before the first answer
	failingSince   atomic.Int64              // Unix time in ns of the first failure since the last answer, or 0
}

// Maximum numbers of connections to the state service. Watches have connections of their own, since each occupies
// one until a change occurs or its timeout has passed.
const (
	requestConns = 48
	watchConns   = 8
)

// Rate limits, in requests and changes per second, and sizes of bursts that apply until SetRateLimits is called.
const (
	defaultRequestRate  = 10
	defaultRequestBurst = 10
	defaultChangeRate   = 5
	defaultChangeBurst  = 5
)

// Minimum sizes of the bursts that SetRateLimits sets.
const (
	minRequestBurst = 4
	minChangeBurst  = 12
)

// New returns a client of the state service at an address. If wrapDial is not nil, it wraps the function that opens
// connections, for example to enforce a quota: see rpc.New. timeout bounds each request, and also the wait for the
// rate limits before it.
func New(addr string, timeout time.Duration, wrapDial func(rpc.DialFunc) rpc.DialFunc) *Client {
	return NewWithTransports(rpc.New(addr, requestConns, wrapDial), rpc.New(addr, watchConns, wrapDial), timeout)
}

// NewWithTransports returns a client that sends watches over a transport of their own, and all other requests over the
// first one.
func NewWithTransports(requests, watches Transport, timeout time.Duration) *Client {
	return &Client{
		requestTransport: requests,
		watchTransport:   watches,
		timeout:          timeout,
		now:              time.Now,
		sleep:            time.Sleep,
		requestLimiter:   rate.NewLimiter(defaultRequestRate, defaultRequestBurst),
		changeLimiter:    rate.NewLimiter(defaultChangeRate, defaultChangeBurst),
	}
}

// SetClock replaces the system clock, for tests. It must be called before any other method.
func (c *Client) SetClock(now func() time.Time, sleep func(time.Duration)) {
	c.now, c.sleep = now, sleep
}

// SetRateLimits sets this controller's share of the state service's rate limits, in requests and changes per second.
func (c *Client) SetRateLimits(requests, changes float64) {
	c.requestLimiter.SetLimit(rate.Limit(requests))
	c.requestLimiter.SetBurst(max(minRequestBurst, int(requests/2)))
	c.changeLimiter.SetLimit(rate.Limit(changes))
	c.changeLimiter.SetBurst(max(minChangeBurst, int(changes/2)))
}

// MinReadInterval returns the interval to keep between reads that users can cause without limit, so that these
// reads use at most half of the requests that the rate limit allows.
func (c *Client) MinReadInterval() time.Duration {
	return time.Duration(2 / float64(c.requestLimiter.Limit()) * float64(time.Second))
}

// waitForRateLimit waits until the rate limits admit a request with the given number of changes. It returns
// ErrRateLimited if they do not within the timeout, or if the context ends.
func (c *Client) waitForRateLimit(ctx context.Context, changes int) error {
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

// call sends a request, and records for LastContact and UnreachableFor whether the service has answered it. A
// status 503 does not count as an answer.
func (c *Client) call(method, uri string, body []byte) ([]byte, error) {
	response, err := c.requestTransport.Call(method, uri, body, c.timeout)
	status := rpc.StatusCode(err)
	if err == nil || status != 0 && status != fasthttp.StatusServiceUnavailable {
		c.failingSince.Store(0)
		now := c.now()
		c.lastAnsweredAt.Store(&now)
	} else {
		c.failingSince.CompareAndSwap(0, c.now().UnixNano())
	}
	return response, err
}

// LastContact returns when a request was last answered, or the zero time if none was.
func (c *Client) LastContact() time.Time {
	if at := c.lastAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// UnreachableFor returns the time since the first failure after the last answered request, or 0 if the last request
// was answered.
func (c *Client) UnreachableFor(now time.Time) time.Duration {
	if at := c.failingSince.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

// Sleep pauses for the given time or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
