package httpapi

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
)

// rejectWriteTimeout bounds the time to write the response to a rejected connection. The write is done by the
// goroutine that accepts connections, so no other connection is accepted meanwhile.
const rejectWriteTimeout = 100 * time.Millisecond

// trackConnState returns a connection state hook for fasthttp.Server, which tells the connection quotas when a
// connection becomes busy or idle. Idle connections may be closed to make room for new ones.
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

// connClassForPath returns the class of a connection on which path is requested.
func connClassForPath(path string) connquota.Class {
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

// classifyConnection assigns the connection of a request to the class of the requested path, and reports
// whether it is within the quota of that class. A connection that exceeds the quota, or that is not to be kept
// alive, is closed after the response.
func (s *Server) classifyConnection(ctx *fasthttp.RequestCtx, path string) bool {
	conn, ok := ctx.Conn().(*connquota.Conn)
	if !ok {
		return true
	}
	if !conn.Classify(connClassForPath(path)) {
		ctx.SetConnectionClose()
		return false
	}
	if !conn.KeepAlive() {
		ctx.SetConnectionClose()
	}
	return true
}

// setRetryAfter sets the Retry-After header to retryAfter, rounded to whole seconds and at least 1 s. While the
// occupancy of the connection quotas is connquota.OccupancyFull, the header varies from response to response, so that
// clients do not all return at the same time.
func (s *Server) setRetryAfter(ctx *fasthttp.RequestCtx, retryAfter time.Duration) {
	if s.settings.ConnQuotas != nil && s.settings.ConnQuotas.Occupancy() == connquota.OccupancyFull {
		retryAfter = s.settings.ConnQuotas.RetryAfter(retryAfter)
	}
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(max(1, roundToSeconds(retryAfter))))
}

// rejectConnection writes a 503 response to a connection that exceeds the quotas, without reading a request from
// it. The caller closes the connection.
func (s *Server) rejectConnection(conn net.Conn) {
	_ = conn.SetWriteDeadline(s.now().Add(rejectWriteTimeout)) // if this fails, so does the write
	retryAfter := roundToSeconds(s.settings.ConnQuotas.RetryAfter(max(s.settings.RetryAfter, time.Second)))
	// The error is ignored, since the connection is closed either way.
	_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n" +
		"Retry-After: " + strconv.Itoa(retryAfter) + "\r\n" +
		"Content-Length: 0\r\n" +
		"Connection: close\r\n\r\n"))
}

// roundToSeconds returns d as a number of seconds, rounded to the nearest whole one.
func roundToSeconds(d time.Duration) int { return int(d.Round(time.Second) / time.Second) }
