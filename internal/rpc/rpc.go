// Package rpc is the common part of the clients of the outside services: one request
// over HTTP with a MessagePack body and a timeout.
//
// Its errors tell what has become of a request: with ErrNotSent it is certainly not
// executed, with a *StatusError the service has answered it, and after any other error
// it may still be executed.
package rpc

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout     = time.Second
	connIdleTimeout = 20 * time.Second
	connWaitTimeout = 500 * time.Millisecond // for a connection that is in use to become free
)

// ErrNotSent marks a request that did not reach the other side and never will:
// a connection attempt that was given up does not complete afterwards.
var ErrNotSent = errors.New("not sent")

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// StatusCode returns the status of an answer other than 200, or 0.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// DialFunc makes a connection.
type DialFunc func(addr string) (net.Conn, error)

// DialWrapper puts the making of connections under a condition, such as a quota of
// sockets.
type DialWrapper func(DialFunc) DialFunc

// Client sends requests to one address. It may be used from several goroutines.
type Client struct {
	http *fasthttp.HostClient
}

// New returns a client for an address with up to maxConns connections. The wrapper
// may be nil.
func New(addr string, maxConns int, wrap DialWrapper) *Client {
	open := DialFunc(dial)
	if wrap != nil {
		open = wrap(open)
	}
	return &Client{http: &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           connIdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		MaxConnWaitTimeout:            connWaitTimeout,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := open(addr)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
	}}
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a request and returns the body of a 200, which belongs to the caller. Any
// other answer is a *StatusError; for other errors see the package comment.
func (c *Client) Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI("http://" + c.http.Addr + uri)
	if body != nil {
		request.Header.SetContentType("application/msgpack")
		request.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	answer := append([]byte(nil), response.Body()...)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{Status: response.StatusCode(), Body: answer}
	}
	return answer, nil
}
