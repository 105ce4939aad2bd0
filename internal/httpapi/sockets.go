package httpapi

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
)

// connState tells the budget when a connection waits for its next request.
func connState(now func() time.Time) func(net.Conn, fasthttp.ConnState) {
	return func(c net.Conn, state fasthttp.ConnState) {
		held, ok := c.(*connquota.Conn)
		if !ok {
			return
		}
		switch state {
		case fasthttp.StateActive:
			held.Busy()
		case fasthttp.StateIdle:
			held.Idle(now())
		}
	}
}

// ownerOf tells what a request's connection is for.
func ownerOf(path string) connquota.Owner {
	switch {
	case path == "/v1/report":
		return connquota.Reports
	case path == "/healthz":
		return connquota.Health
	case path == jobsPath, strings.HasPrefix(path, jobsPath+"/"):
		return connquota.Users
	}
	return connquota.Newcomers
}

// welcome enters what a connection is for, and tells whether it may be held for that. A request
// on one that may not is answered at once, with when to come back, or by another member.
func (s *Server) welcome(c *fasthttp.RequestCtx, path string) bool {
	held, ok := c.Conn().(*connquota.Conn)
	if !ok {
		return true
	}
	if !held.Become(ownerOf(path)) {
		c.SetConnectionClose()
		return false
	}
	if !held.Keep() {
		c.SetConnectionClose()
	}
	return true
}

// comeBack says when to come back: spread in time where sockets are what is short.
func (s *Server) comeBack(c *fasthttp.RequestCtx, after time.Duration) {
	if s.set.Sockets != nil && s.set.Sockets.Level() == connquota.Full {
		after = s.set.Sockets.Later(after)
	}
	c.Response.Header.Set("Retry-After", strconv.Itoa(max(1, int(after.Round(time.Second)/time.Second))))
}

// refuse answers a connection that there is no socket for, without waiting for what it asks.
func (s *Server) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(s.now().Add(100 * time.Millisecond))
	after := int(s.set.Sockets.Later(max(s.set.RetryAfter, time.Second)).Round(time.Second) / time.Second)
	_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(after) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}
