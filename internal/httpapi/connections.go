package httpapi

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
)

// trackConnState tells the budget when a connection waits for its next request.
func trackConnState(now func() time.Time) func(net.Conn, fasthttp.ConnState) {
	return func(c net.Conn, state fasthttp.ConnState) {
		held, ok := c.(*connquota.Conn)
		if !ok {
			return
		}
		switch state {
		case fasthttp.StateActive:
			held.MarkBusy()
		case fasthttp.StateIdle:
			held.MarkIdle(now())
		}
	}
}

// connClassOf tells what a request's connection is for.
func connClassOf(path string) connquota.Class {
	switch {
	case path == "/v1/report":
		return connquota.Heartbeats
	case path == "/healthz":
		return connquota.HealthChecks
	case path == jobsPath, strings.HasPrefix(path, jobsPath+"/"):
		return connquota.Users
	}
	return connquota.Unclassified
}

// classifyConnection enters what a connection is for, and tells whether it may be held for that. A request
// on one that may not is answered at once, with when to come back, or by another member.
func (s *Server) classifyConnection(c *fasthttp.RequestCtx, path string) bool {
	held, ok := c.Conn().(*connquota.Conn)
	if !ok {
		return true
	}
	if !held.Classify(connClassOf(path)) {
		c.SetConnectionClose()
		return false
	}
	if !held.KeepAlive() {
		c.SetConnectionClose()
	}
	return true
}

// setRetryAfter says when to come back: spread in time where sockets are what is short.
func (s *Server) setRetryAfter(c *fasthttp.RequestCtx, after time.Duration) {
	if s.settings.ConnQuotas != nil && s.settings.ConnQuotas.Occupancy() == connquota.Full {
		after = s.settings.ConnQuotas.RetryAfter(after)
	}
	c.Response.Header.Set("Retry-After", strconv.Itoa(max(1, int(after.Round(time.Second)/time.Second))))
}

// rejectConnection answers a connection that there is no socket for, without waiting for what it asks.
func (s *Server) rejectConnection(c net.Conn) {
	_ = c.SetWriteDeadline(s.now().Add(100 * time.Millisecond))
	after := int(s.settings.ConnQuotas.RetryAfter(max(s.settings.RetryAfter, time.Second)).Round(time.Second) / time.Second)
	_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(after) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}
