// Package admin serves the operators' interface of a controller: JSON over HTTP on a
// listener of its own, off by default, with a bearer token. docs/operators.md lists the
// paths.
//
// New takes what the interface reads (Records, Controller); Serve answers requests
// until its listener is closed. Any controller answers, from the records of the state
// service. Client is the other end, for the command line.
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

// Paths of the interface.
const (
	LedgerPath     = "/v1/ledger"
	VerifyPath     = "/v1/ledger/verify"
	IntervalsPath  = "/v1/ledger/stretches"
	FairSharesPath = "/v1/shares"
	MemberPath     = "/v1/member"
	JobsPath       = "/v1/jobs/" // followed by an id and explainSuffix
	explainSuffix  = "/explain"
)

// Parameters of requests.
const (
	cursorParameter = "cursor"
	teamParameter   = "team"
	classParameter  = "class"
	fromParameter   = "from"
	toParameter     = "to"
)

// ledgerParameters are the parameters of each path that reads the ledger.
var ledgerParameters = map[string][]string{
	LedgerPath:     {teamParameter, classParameter, fromParameter, toParameter, cursorParameter},
	VerifyPath:     {cursorParameter},
	IntervalsPath:  {cursorParameter},
	FairSharesPath: nil,
}

// Records are the ledger's records in the state service.
type Records interface {
	// Accounts returns the accounts of all teams.
	Accounts(ctx context.Context) ([]ledger.StoredAccount, error)
	// Segments returns up to limit closed segments of a team behind the one that
	// begins with number after, in order; more reports that others follow.
	Segments(ctx context.Context, team string, after uint64, limit int) (
		segments []ledger.StoredSegment, more bool, err error)
	// Intervals returns up to limit intervals that no leader accounted for, behind the
	// one with fencing token after, in order; more reports that others follow.
	Intervals(ctx context.Context, after uint64, limit int) (intervals []ledger.Interval, more bool, err error)
}

// Controller is the controller behind the interface.
type Controller interface {
	// Explain returns as JSON why the leader starts no tasks of a job; empty: the job
	// is not unfinished.
	Explain(ctx context.Context, id string) ([]byte, error)
	// MemberStatus returns the status of this controller.
	MemberStatus(ctx context.Context) (*MemberStatus, error)
	// JobState returns a job's state.
	JobState(ctx context.Context, id string) (wire.JobState, error)
}

// Settings configure a Server.
type Settings struct {
	BearerToken      []byte
	LedgerEnabled    bool
	FairShareEnabled bool
	HalfLife         time.Duration      // of usage in fair share
	Weights          map[string]float64 // in fair share, by team
	Seal             *ledger.Seal
	ReadsPerSecond   float64 // upper bound of requests to the state service
}

// Server answers operators' requests.
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
	readBufferBytes  = 4096
	idleTimeout      = time.Minute
	transferTimeout  = 10 * time.Second // to read a request, or to write a response
	requestTimeout   = 5 * time.Second
	readBurst        = 4  // reads of the state service at once
	segmentsPerRead  = 60 // in one response
	intervalsPerRead = 4 * segmentsPerRead
)

// New returns a server.
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
		ReadTimeout:           transferTimeout,
		WriteTimeout:          transferTimeout,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops the HTTP library's own log.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(listener net.Listener) error { return s.httpServer.Serve(listener) }

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }

// Errors that have a status code of their own.
var (
	errBadRequest     = errors.New("malformed request")
	errNotFound       = errors.New("not found")
	errSegmentsFolded = errors.New("pages were folded meanwhile: begin again without a cursor")

	errMalformedCursor = fmt.Errorf("%w: not a cursor", errBadRequest)
)

// ErrorResponse is the body of every response whose status is not 200.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Handle answers one request.
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

// authorized reports whether the request carries the token.
func (s *Server) authorized(reqCtx *fasthttp.RequestCtx) bool {
	header := string(reqCtx.Request.Header.Peek("Authorization"))
	token, ok := strings.CutPrefix(header, "Bearer ")
	return ok && len(s.settings.BearerToken) > 0 &&
		subtle.ConstantTimeCompare([]byte(token), s.settings.BearerToken) == 1
}

func (s *Server) reply(reqCtx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil { // a value that JSON cannot hold, such as an infinite number
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
	case errors.Is(err, errSegmentsFolded):
		s.reply(reqCtx, fasthttp.StatusConflict, ErrorResponse{err.Error()})
	default:
		s.log.Info("admin request not answered", "path", path, "err", err)
		reqCtx.Response.Header.Set("Retry-After", "1")
		message := "the records cannot be read now: " + err.Error()
		s.reply(reqCtx, fasthttp.StatusServiceUnavailable, ErrorResponse{message})
	}
}

// answer returns the body of the response to a request.
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
		return s.verifyNextTeam(ctx, string(args.Peek(cursorParameter)))
	case IntervalsPath:
		return s.intervals(ctx, string(args.Peek(cursorParameter)))
	}
	return s.fairShares(ctx)
}
