package httpapi

import (
	"runtime/debug"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// Paths of the HTTP API. A job is polled at jobsPath, a slash and its ID, and cancelled at that path with
// cancelSuffix.
const (
	heartbeatPath = "/v1/report"
	healthPath    = "/healthz"
	jobsPath      = "/api/jobs"
	cancelSuffix  = "/withdraw"
)

// Handle answers an HTTP request from a user, a worker or a health check. It is safe for concurrent use. A panic is
// logged and answered with status 503.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		// A panic in one request must not end the process, and with it all other requests.
		if r := recover(); r != nil {
			s.log.Error("panic in HTTP handler", "path", string(ctx.Path()), "panic", r, "stack", string(debug.Stack()))
			s.replyUnavailable(ctx, "internal error")
		}
	}()
	path := string(ctx.URI().PathOriginal())
	// A user's request on a connection beyond the quota is not rejected if it can be forwarded to another member.
	withinQuota := s.classifyConnection(ctx, path)
	if !withinQuota && (s.settings.Router == nil || connClassForPath(path) != connquota.Users) {
		s.replyUnavailable(ctx, "no connection is free")
		return
	}
	switch {
	case path == heartbeatPath:
		if s.requireMethod(ctx, fasthttp.MethodPost) {
			s.handleHeartbeat(ctx)
		}
	case path == healthPath:
		if s.requireMethod(ctx, fasthttp.MethodGet) {
			s.handleHealthCheck(ctx)
		}
	case path == jobsPath:
		if s.requireMethod(ctx, fasthttp.MethodPost) {
			s.handleSubmission(ctx, withinQuota)
		}
	case strings.HasPrefix(path, jobsPath+"/"):
		s.handleJobPath(ctx, path[len(jobsPath)+1:], withinQuota)
	default:
		s.replyError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// handleParseError answers a request that is not valid HTTP or that exceeds a size limit, and closes its connection.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, _ error) {
	s.replyError(ctx, fasthttp.StatusBadRequest, "malformed request")
	ctx.SetConnectionClose()
}

func (s *Server) handleHealthCheck(ctx *fasthttp.RequestCtx) {
	if !s.backend.Healthy() {
		s.replyUnavailable(ctx, "not ready")
		return
	}
	s.reply(ctx, fasthttp.StatusOK, nil)
}

func (s *Server) handleSubmission(ctx *fasthttp.RequestCtx, withinQuota bool) {
	id, err := validateSubmission(ctx.PostBody())
	if err != nil {
		s.replyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.handleJobRequest(ctx, route.Request{Kind: route.Submit, ID: id, Body: ctx.PostBody()}, withinQuota)
}

// handleJobPath answers a poll or a cancellation. jobPath is the part of the path after jobsPath and a slash.
func (s *Server) handleJobPath(ctx *fasthttp.RequestCtx, jobPath string, withinQuota bool) {
	if id, ok := strings.CutSuffix(jobPath, cancelSuffix); ok {
		if s.requireMethod(ctx, fasthttp.MethodPost) {
			s.handleJobRequest(ctx, route.Request{Kind: route.Cancel, ID: id}, withinQuota)
		}
		return
	}
	if s.requireMethod(ctx, fasthttp.MethodGet) {
		s.handleJobRequest(ctx, route.Request{Kind: route.Poll, ID: jobPath}, withinQuota)
	}
}

// handleJobRequest answers a user's request about a job. withinQuota reports whether the request's connection is
// within the quota of users; if it is not, another member has to answer the request.
func (s *Server) handleJobRequest(ctx *fasthttp.RequestCtx, request route.Request, withinQuota bool) {
	response := s.routeRequest(request, !withinQuota)
	if response.RetryAfter > 0 || response.Status == fasthttp.StatusServiceUnavailable {
		s.setRetryAfter(ctx, max(response.RetryAfter, s.settings.RetryAfter))
	}
	s.reply(ctx, response.Status, response.Body)
}

// requireMethod reports whether the request has the given method. If not, it answers the request with status 405.
func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string) bool {
	if string(ctx.Method()) == method {
		return true
	}
	ctx.Response.Header.Set("Allow", method)
	s.replyError(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
	return false
}

func (s *Server) reply(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/msgpack")
	ctx.SetBody(body)
}

func (s *Server) replyError(ctx *fasthttp.RequestCtx, status int, reason string) {
	s.reply(ctx, status, wire.AppendError(nil, reason))
}

// replyUnavailable answers with status 503 and a Retry-After header.
func (s *Server) replyUnavailable(ctx *fasthttp.RequestCtx, reason string) {
	s.setRetryAfter(ctx, s.settings.RetryAfter)
	s.replyError(ctx, fasthttp.StatusServiceUnavailable, reason)
}
