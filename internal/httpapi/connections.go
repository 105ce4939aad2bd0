package httpapi

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
)

// rejectWriteTimeout bounds the write of a response to a connection beyond the quotas.
const rejectWriteTimeout = 100 * time.Millisecond

// trackConnState returns a hook that informs the quotas when a connection becomes busy
// or idle.
func trackConnState(now func() time.Time) func(net.Conn, fasthttp.ConnState) {
	return func(c net.Conn, state fasthttp.ConnState) {
		conn, ok := c.(*connquota.Conn)
		if !ok {
			return
		}
		switch state {
		case fasthttp.StateActive:
			conn.MarkBusy()
		case fasthttp.StateIdle:
			conn.MarkIdle(now())
		}
	}
}

// connClassOf returns the class of a connection with a request to path.
func connClassOf(path string) connquota.Class {
	switch {
	case path == heartbeatPath:
		return connquota.Heartbeats
	case path == healthPath:
		return connquota.HealthChecks
	case path == jobsPath, strings.HasPrefix(path, jobsPath+"/"):
		return connquota.Users
	}
	return connquota.Unclassified
}

// classifyConnection assigns a request's connection to the class of its path, and
// reports whether it is within the class's quota. A connection beyond the quota, or
// one that is not to be kept alive, is closed after the response.
func (s *Server) classifyConnection(ctx *fasthttp.RequestCtx, path string) bool {
	conn, ok := ctx.Conn().(*connquota.Conn)
	if !ok {
		return true
	}
	if !conn.Classify(connClassOf(path)) {
		ctx.SetConnectionClose()
		return false
	}
	if !conn.KeepAlive() {
		ctx.SetConnectionClose()
	}
	return true
}

// setRetryAfter sets Retry-After, spread in time when connections are exhausted.
func (s *Server) setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	if s.settings.ConnQuotas != nil && s.settings.ConnQuotas.Occupancy() == connquota.Full {
		after = s.settings.ConnQuotas.RetryAfter(after)
	}
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(max(1, roundToSeconds(after))))
}

// rejectConnection answers a connection beyond the quotas without reading from it.
func (s *Server) rejectConnection(conn net.Conn) {
	_ = conn.SetWriteDeadline(s.now().Add(rejectWriteTimeout)) // on failure the write fails too
	after := roundToSeconds(s.settings.ConnQuotas.RetryAfter(max(s.settings.RetryAfter, time.Second)))
	// Best effort: the connection is closed next.
	_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n" +
		"Retry-After: " + strconv.Itoa(after) + "\r\n" +
		"Content-Length: 0\r\n" +
		"Connection: close\r\n\r\n"))
}

// roundToSeconds returns a duration in whole seconds.
func roundToSeconds(d time.Duration) int { return int(d.Round(time.Second) / time.Second) }
