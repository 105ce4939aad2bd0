// Package rpc is the common part of the clients of the outside services: one
// request over HTTP with a MessagePack body, within a time, with a clear word
// on whether a failed request can still be carried out.
package rpc

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNotSent marks a request that did not reach the other side and never will:
// a connection attempt that was given up does not complete afterwards.
var ErrNotSent = errors.New("not sent")

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// StatusCode returns the status of an answer other than 200, or 0.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// Client sends requests to one address.
type Client struct {
	http *fasthttp.HostClient
}

// dialTimeout bounds how long a connection may take to come about.
const dialTimeout = time.Second

// DialFunc makes a connection.
type DialFunc func(addr string) (net.Conn, error)

// New makes a client for an address with up to conns connections. under puts the making of
// connections under a condition, such as a budget of sockets; nil: there is none.
func New(addr string, conns int, under func(DialFunc) DialFunc) *Client {
	open := DialFunc(dial)
	if under != nil {
		open = under(open)
	}
	return &Client{http: &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      conns,
		MaxIdleConnDuration:           20 * time.Second,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		MaxConnWaitTimeout:            500 * time.Millisecond,
		Dial: func(addr string) (net.Conn, error) {
			c, err := open(addr)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return c, nil
		},
	}}
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a request and returns the body of a 200. Any other answer is a
// *StatusError.
func (c *Client) Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + c.http.Addr + uri)
	if body != nil {
		req.Header.SetContentType("application/msgpack")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(req, res, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	out := append([]byte(nil), res.Body()...)
	if res.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{res.StatusCode(), out}
	}
	return out, nil
}
