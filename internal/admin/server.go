// Package admin implements the operators' interface of a controller and its client. The interface serves JSON over
// HTTP on a listener of its own and requires a bearer token. It is off by default. docs/operators.md lists the paths.
//
// New creates a Server, which reads from the state service (Records) and from its own controller (Controller). Serve
// answers requests until its listener is closed. Any controller can answer, leader or not. The command line
// uses Client.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/wire"
)

// The paths of the operators' interface.
const (
	LedgerPath     = "/v1/ledger"
	VerifyPath     = "/v1/ledger/verify"
	IntervalsPath  = "/v1/ledger/stretches"
	FairSharesPath = "/v1/shares"
	MemberPath     = "/v1/member"
	JobsPath       = "/v1/jobs/" // followed by a job ID and explainSuffix
	explainSuffix  = "/explain"
)

// The query parameters of requests.
const (
	cursorParameter = "cursor"
	teamParameter   = "team"
	classParameter  = "class"
	fromParameter   = "from"
	toParameter     = "to"
)

// ledgerParameters lists the permitted query parameters of each path that reads the ledger.
var ledgerParameters = map[string][]string{
	LedgerPath:     {teamParameter, classParameter, fromParameter, toParameter, cursorParameter},
	VerifyPath:     {cursorParameter},
	IntervalsPath:  {cursorParameter},
	FairSharesPath: nil,
}

// Records reads the ledger's records from the state service.
type Records interface {
	// Accounts returns the accounts of all teams, in any order. An account whose record cannot be decoded has its
	// Err set.
	Accounts(ctx context.Context) ([]ledger.StoredAccount, error)
	// Segments returns up to limit closed segments of a team whose First is greater than after, in ascending order. more
	// reports whether further segments follow.
	Segments(ctx context.Context, team string, after uint64, limit int) (
		segments []ledger.StoredSegment, more bool, err error)
	// Intervals returns up to limit unaccounted intervals whose FencingToken is greater than after, in ascending order.
	// more reports whether further intervals follow.
	Intervals(ctx context.Context, after uint64, limit int) (intervals []ledger.UnaccountedInterval, more bool, err error)
}

// Controller answers the requests that do not concern the ledger.
type Controller interface {
	// Explain returns the leader's explanation of why tasks of a job are waiting: a reconciler.Explanation as JSON. The
	// result is empty if the job is not among the leader's unfinished jobs.
	Explain(ctx context.Context, id string) ([]byte, error)
	// MemberStatus returns the status of this controller.
	MemberStatus(ctx context.Context) (*MemberStatus, error)
	// JobState returns the recorded state of a job, which is wire.StateUnknown if there is no such job.
	JobState(ctx context.Context, id string) (wire.JobState, error)
}

// Settings configures a Server.
type Settings struct {
	BearerToken      []byte                // token that requests must carry; if it is empty, all requests are rejected
	LedgerEnabled    bool                  // if it is false, requests for the ledger are answered with 404 Not Found
	FairShareEnabled bool                  // fair share orders the work beyond guarantees
	HalfLife         time.Duration         // half-life of usage in fair share
	Weights          map[string]float64    // fair-share weights by team
	Hasher           *ledger.SegmentHasher // verifies the hashes of segments
	ReadsPerSecond   float64               // rate limit for reads from the state service
}

// Server handles the requests of operators. It is safe for concurrent use.
type Server struct {
	settings   Settings
	records    Records
	controller Controller
	log        *slog.Logger
	limiter    *rate.Limiter
	httpServer *fasthttp.Server
}

const (
	maxConns         = 16
	maxBodyBytes     = 4096
	readBufferBytes  = 4096 // also bounds the size of a request's header
	idleTimeout      = time.Minute
	readWriteTimeout = 10 * time.Second // bounds reading a request, and writing a response
	requestTimeout   = 5 * time.Second  // bounds the handling of one request
	readBurst        = 4                // reads from the state service that are allowed without a delay
	segmentPageSize  = 60               // closed segments in one response
	intervalPageSize = 4 * segmentPageSize
)

// New returns a server that reads from records and controller.
func New(settings Settings, records Records, controller Controller, log *slog.Logger) *Server {
	s := &Server{
		settings:   settings,
		records:    records,
		controller: controller,
		log:        log,
		limiter:    rate.NewLimiter(rate.Limit(settings.ReadsPerSecond), readBurst),
	}
	s.httpServer = &fasthttp.Server{
		Handler:               s.Handle,
		Name:                  "glentiller",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        readBufferBytes,
		Concurrency:           maxConns,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readWriteTimeout,
		WriteTimeout:          readWriteTimeout,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger discards the log messages of the HTTP library.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until the listener is closed or Shutdown is called.
func (s *Server) Serve(listener net.Listener) error { return s.httpServer.Serve(listener) }

// Shutdown closes the listener and waits for the requests in progress.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }

// Errors that replyError maps to a status code of their own.
var (
	errBadRequest        = errors.New("malformed request")
	errNotFound          = errors.New("not found")
	errSegmentsCompacted = errors.New("pages were folded meanwhile: begin again without a cursor")

	errMalformedCursor = fmt.Errorf("%w: not a cursor", errBadRequest)
)

// ErrorResponse is the body of every response with a status other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Handle authorizes and answers one request.
func (s *Server) Handle(reqCtx *fasthttp.RequestCtx) {
	if !s.authorized(reqCtx) {
		reqCtx.Response.Header.Set("WWW-Authenticate", "Bearer")
		s.reply(reqCtx, fasthttp.StatusUnauthorized, ErrorResponse{"a bearer token is needed"})
		return
	}
	if !reqCtx.IsGet() {
		reqCtx.Response.Header.Set("Allow", fasthttp.MethodGet)
		s.reply(reqCtx, fasthttp.StatusMethodNotAllowed, ErrorResponse{"method not allowed"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	path := string(reqCtx.Path())
	body, err := s.answer(ctx, path, reqCtx.QueryArgs())
	if err != nil {
		s.replyError(reqCtx, path, err)
		return
	}
	s.reply(reqCtx, fasthttp.StatusOK, body)
}

// authorized reports whether the request carries the bearer token. It compares in constant time, so that response
// times do not reveal the token.
func (s *Server) authorized(reqCtx *fasthttp.RequestCtx) bool {
	header := string(reqCtx.Request.Header.Peek("Authorization"))
	token, ok := strings.CutPrefix(header, "Bearer ")
	return ok && len(s.settings.BearerToken) > 0 &&
		subtle.ConstantTimeCompare([]byte(token), s.settings.BearerToken) == 1
}

func (s *Server) reply(reqCtx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil { // a value that JSON cannot represent, such as an infinite number
		status, encoded = fasthttp.StatusInternalServerError, []byte(`{"error":"internal error"}`)
	}
	reqCtx.SetStatusCode(status)
	reqCtx.SetContentType("application/json")
	reqCtx.SetBody(encoded)
}

func (s *Server) replyError(reqCtx *fasthttp.RequestCtx, path string, err error) {
	switch {
	case errors.Is(err, errBadRequest):
		s.reply(reqCtx, fasthttp.StatusBadRequest, ErrorResponse{err.Error()})
	case errors.Is(err, errNotFound):
		s.reply(reqCtx, fasthttp.StatusNotFound, ErrorResponse{err.Error()})
	case errors.Is(err, errSegmentsCompacted):
		s.reply(reqCtx, fasthttp.StatusConflict, ErrorResponse{err.Error()})
	default:
		s.log.Info("request to the operators' interface failed", "path", path, "err", err)
		reqCtx.Response.Header.Set("Retry-After", "1")
		message := "the records cannot be read now: " + err.Error()
		s.reply(reqCtx, fasthttp.StatusServiceUnavailable, ErrorResponse{message})
	}
}

// answer returns the response to a request as a value to be encoded as JSON.
func (s *Server) answer(ctx context.Context, path string, args *fasthttp.Args) (any, error) {
	if id, ok := strings.CutPrefix(path, JobsPath); ok && strings.HasSuffix(id, explainSuffix) {
		return s.explain(ctx, strings.TrimSuffix(id, explainSuffix))
	}
	if path == MemberPath {
		return s.controller.MemberStatus(ctx)
	}
	parameters, ok := ledgerParameters[path]
	if !ok {
		return nil, fmt.Errorf("%w: no such path", errNotFound)
	}
	if !s.settings.LedgerEnabled {
		return nil, fmt.Errorf("%w: no ledger is kept; <ledger> in the operators' settings turns it on", errNotFound)
	}
	for parameter := range args.All() {
		if !slices.Contains(parameters, string(parameter)) {
			return nil, fmt.Errorf("%w: there is no parameter %q", errBadRequest, parameter)
		}
	}
	switch path {
	case LedgerPath:
		return s.ledgerEntries(ctx, args)
	case VerifyPath:
		return s.verifyTeam(ctx, string(args.Peek(cursorParameter)))
	case IntervalsPath:
		return s.intervals(ctx, string(args.Peek(cursorParameter)))
	}
	return s.fairShares(ctx)
}
