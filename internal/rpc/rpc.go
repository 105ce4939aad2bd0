// Package rpc implements what the clients of the state service, the cloud and the workers have in common: sending one
// HTTP request with a MessagePack body and a timeout.
//
// The error of a request tells its outcome. ErrNotSent means that the request was not executed and never will be. A
// *StatusError means that the server has responded with a status other than 200. After any other error the request
// may have been executed, or may still be.
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
	connWaitTimeout = 500 * time.Millisecond // bounds the wait for a free connection if all are in use
)

// ErrNotSent means that a request has not reached the server and never will, because there was no connection to send
// it on. A connection attempt that was given up does not succeed later.
var ErrNotSent = errors.New("request not sent")

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int    // HTTP status code
	Body   []byte // body of the response
}

// Error returns the status code as text.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// StatusCode returns the HTTP status code of a StatusError in the chain of err, or 0 if there is none.
func StatusCode(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status
	}
	return 0
}

// DialFunc connects to an address (host:port).
type DialFunc func(addr string) (net.Conn, error)

// DialWrapper wraps a DialFunc in one that makes connections only under a condition, such as a quota of sockets.
type DialWrapper func(DialFunc) DialFunc

// Client sends requests to one address. It is safe for concurrent use.
type Client struct {
	http *fasthttp.HostClient
}

// New returns a client for an address (host:port) that opens up to maxConns connections. It never retries a request.
// wrapDial may be nil.
func New(addr string, maxConns int, wrapDial DialWrapper) *Client {
	dial := DialFunc(dialTCP)
	if wrapDial != nil {
		dial = wrapDial(dial)
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
			conn, err := dial(addr)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
	}}
}

func dialTCP(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// Close closes the idle connections. Requests in progress continue, and the client remains usable.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a request and returns the body of a 200 response, which the caller may keep and modify. uri is the path
// with the query. If body is nil, the request has none. timeout bounds the whole call, including the wait for a
// connection. Call returns a *StatusError for a response with another status. The package comment describes the
// other errors.
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
	responseBody := append([]byte(nil), response.Body()...)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{Status: response.StatusCode(), Body: responseBody}
	}
	return responseBody, nil
}
