// Package httpapi answers users, workers and the load balancer's probes over
// HTTP.
package httpapi

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// Jobs is what the front needs of the job records.
type Jobs interface {
	Peek(id string) store.JobRecord
	Lookup(ctx context.Context, id string) (store.JobRecord, error)
	ResolveDependencies(ctx context.Context, s *model.Spec) (doomed bool, err error)
	CheckSize(s *model.Spec) error
	Accept(ctx context.Context, s *model.Spec, doomed bool, now time.Time) (bool, store.JobRecord, error)
	Cancel(ctx context.Context, id string, now time.Time) (store.JobRecord, error)
}

// HeartbeatResult is what became of a worker's report.
type HeartbeatResult struct {
	Leading      bool // this controller answers for all; Token and Orders hold
	Leader       string
	FencingToken uint64
	Commands     []model.Command
	// LeaseValid tells, at the moment of sending, whether the right to act still holds.
	LeaseValid func() bool
}

// Backend is what the front needs of the controller behind it.
type Backend interface {
	// HandleHeartbeat takes a worker's report.
	HandleHeartbeat(ctx context.Context, r *model.Heartbeat) HeartbeatResult
	// RelayHeartbeat hands a worker's report to the leader, if the worker seems not to
	// reach it; ok is false where that did not work or is not needed.
	RelayHeartbeat(ctx context.Context, machine string, report []byte) (answer []byte, ok bool)
	// Progress tells how far an unfinished job is, for display.
	Progress(id string) (done, running int)
	// MachineTypes are the machine types; empty: not known yet.
	MachineTypes() []model.MachineType
	// Team finds a team.
	Team(name string) *model.Team
	// UnderMemoryPressure tells that there is no memory for more jobs.
	UnderMemoryPressure() bool
	// Forward hands a user's request to another member, and says what became of it.
	Forward(ctx context.Context, member string, q route.Request) route.Response
	// LastStateResponse is when the state service has last answered anything.
	LastStateResponse() time.Time
	// Healthy tells whether this controller can take requests.
	Healthy() bool
}

// Settings are the front's.
type Settings struct {
	RetryAfter         time.Duration
	MaxConns           int               // the most that the platform allows
	ConnQuotas         *connquota.Quotas // who may hold them
	ConstraintsEnabled bool              // submissions may carry rules
	ConstraintsInForce func() bool       // and whether all members know rules by now; nil: they do
	Router             *route.Router     // decides where requests are answered; nil: here
}

// Server answers requests.
type Server struct {
	settings   Settings
	jobs       Jobs
	backend    Backend
	log        *slog.Logger
	now        func() time.Time
	httpServer *fasthttp.Server

	malformedHeartbeats atomic.Uint64
	malformedLogLimit   rate.Sometimes
}

// New makes a server. now is the time of day.
func New(set Settings, jobs Jobs, back Backend, now func() time.Time, log *slog.Logger) *Server {
	s := &Server{settings: set, jobs: jobs, backend: back, log: log, now: now, malformedLogLimit: rate.Sometimes{Interval: 10 * time.Second}}
	s.httpServer = &fasthttp.Server{
		Handler:                       s.Handle,
		ErrorHandler:                  s.handleParseError,
		Name:                          "glentiller",
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: false,
		MaxRequestBodySize:            wire.MaxBodyBytes + 1,
		ReadBufferSize:                4096,
		WriteBufferSize:               2048,
		Concurrency:                   set.MaxConns,
		IdleTimeout:                   90 * time.Second,
		ReadTimeout:                   requestReadTimeout,
		WriteTimeout:                  5 * time.Second,
		ReduceMemoryUsage:             true,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
		ConnState:                     trackConnState(now),
	}
	return s
}

// requestReadTimeout bounds how long a request may take to come in. Guards against connections that say
// something and never finish: as long as they are read from they count as busy, and hold the
// sockets of newcomers.
const requestReadTimeout = 15 * time.Second

// discardLogger drops the HTTP library's own log: broken connections are everyday.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if s.settings.ConnQuotas == nil {
		return s.httpServer.Serve(l)
	}
	return s.httpServer.Serve(&connquota.Listener{Listener: l, Quotas: s.settings.ConnQuotas, Class: connquota.Unclassified, Now: s.now, Reject: s.rejectConnection})
}

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }

// handleParseError answers what is not HTTP, or too large.
func (s *Server) handleParseError(c *fasthttp.RequestCtx, err error) {
	s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, "malformed request"))
	c.SetConnectionClose()
}

const jobsPath = "/api/jobs"

// memoryRetryAfter is when to come back with a job that there was no memory for.
const memoryRetryAfter = 5 * time.Second

// userWait bounds how long a user's request may take; users give up after 5 s,
// polls after 2 s.
const (
	userTimeout = 3 * time.Second
	pollTimeout = 1500 * time.Millisecond
)

// Handle answers one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	defer func() {
		// A request that trips over a mistake of ours must not take the
		// controller, and every other user's requests, with it.
		if r := recover(); r != nil {
			s.log.Error("request failed", "path", string(c.Path()), "panic", r, "stack", string(debug.Stack()))
			s.unavailable(c, "internal error")
		}
	}()
	path := string(c.URI().PathOriginal())
	socket := s.classifyConnection(c, path)
	if !socket && (s.settings.Router == nil || connClassOf(path) != connquota.Users) {
		s.unavailable(c, "no connection is free")
		return
	}
	switch {
	case path == "/v1/report":
		if s.requireMethod(c, fasthttp.MethodPost) {
			s.handleHeartbeat(c)
		}
	case path == "/healthz":
		if s.requireMethod(c, fasthttp.MethodGet) {
			if s.backend.Healthy() {
				s.reply(c, fasthttp.StatusOK, nil)
			} else {
				s.unavailable(c, "not ready")
			}
		}
	case path == jobsPath:
		if !s.requireMethod(c, fasthttp.MethodPost) {
			return
		}
		id, why := validateBody(c.PostBody())
		if why != "" {
			s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, why))
			return
		}
		s.handleJobRequest(c, route.Request{Kind: route.Submit, ID: id, Body: c.PostBody()}, socket)
	case strings.HasPrefix(path, jobsPath+"/"):
		id := path[len(jobsPath)+1:]
		if rest, ok := strings.CutSuffix(id, "/withdraw"); ok {
			if s.requireMethod(c, fasthttp.MethodPost) {
				s.handleJobRequest(c, route.Request{Kind: route.Cancel, ID: rest}, socket)
			}
			return
		}
		if s.requireMethod(c, fasthttp.MethodGet) {
			s.handleJobRequest(c, route.Request{Kind: route.Poll, ID: id}, socket)
		}
	default:
		s.reply(c, fasthttp.StatusNotFound, wire.AppendError(nil, "no such path"))
	}
}

func (s *Server) requireMethod(c *fasthttp.RequestCtx, want string) bool {
	if string(c.Method()) == want {
		return true
	}
	c.Response.Header.Set("Allow", want)
	s.reply(c, fasthttp.StatusMethodNotAllowed, wire.AppendError(nil, "method not allowed"))
	return false
}

func (s *Server) reply(c *fasthttp.RequestCtx, status int, body []byte) {
	c.SetStatusCode(status)
	c.SetContentType("application/msgpack")
	c.SetBody(body)
}

// unavailable tells the other side to come back.
func (s *Server) unavailable(c *fasthttp.RequestCtx, why string) {
	s.setRetryAfter(c, s.settings.RetryAfter)
	s.reply(c, fasthttp.StatusServiceUnavailable, wire.AppendError(nil, why))
}

// handleJobRequest answers a user's request about a job.
func (s *Server) handleJobRequest(c *fasthttp.RequestCtx, q route.Request, socket bool) {
	a := s.routeRequest(q, !socket)
	if a.RetryAfter > 0 || a.Status == fasthttp.StatusServiceUnavailable {
		s.setRetryAfter(c, max(a.RetryAfter, s.settings.RetryAfter))
	}
	s.reply(c, a.Status, a.Body)
}

// answerLocally answers a user's request by this controller's own means.
func (s *Server) answerLocally(ctx context.Context, q route.Request) route.Response {
	switch q.Kind {
	case route.Submit:
		return s.submit(ctx, q)
	case route.Poll:
		return s.answerAboutJob(ctx, q.ID, s.jobs.Lookup, func(v store.JobRecord) []byte {
			st, done, running := s.jobStatus(q.ID, v)
			return wire.AppendJobStatus(nil, q.ID, st, done, running)
		})
	default:
		cancel := func(ctx context.Context, id string) (store.JobRecord, error) { return s.jobs.Cancel(ctx, id, s.now()) }
		return s.answerAboutJob(ctx, q.ID, cancel, func(v store.JobRecord) []byte { return wire.AppendJobState(nil, q.ID, v.State) })
	}
}

// finalResponse is an answer that holds whoever gives it.
func finalResponse(status int, body []byte) route.Response {
	return route.Response{Status: status, Body: body}
}

// rejected is the final answer to what can never be taken.
func rejected(status int, why string) route.Response {
	return finalResponse(status, wire.AppendError(nil, why))
}

// notTaken is the answer that a request is not taken now.
func notTaken(c route.Outcome, why string) route.Response {
	return route.Response{Outcome: c, Status: fasthttp.StatusServiceUnavailable, Body: wire.AppendError(nil, why)}
}

const stateServiceSilent = "the state service does not answer"

// stateServiceFailure is the answer where the state service could not be asked.
func stateServiceFailure(err error) route.Response {
	if errors.Is(err, store.ErrRateLimited) {
		return notTaken(route.Overloaded, stateServiceSilent)
	}
	return notTaken(route.StateUnavailable, stateServiceSilent)
}

// validateBody tells what is wrong with a body before anything is known of the job.
func validateBody(body []byte) (id, why string) {
	if len(body) > wire.MaxBodyBytes {
		return "", "the body is too large"
	}
	if err := wire.Validate(body); err != nil {
		return "", err.Error()
	}
	id, err := wire.DecodeJobID(body)
	if err != nil {
		return "", err.Error()
	}
	return id, ""
}

// submit takes a job. A known id is answered before anything is validated; an
// answer that the job was accepted is given only after its record is durable.
func (s *Server) submit(ctx context.Context, q route.Request) route.Response {
	id := q.ID
	if v := s.jobs.Peek(id); v.State.Ended() {
		return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, v.State))
	}
	spec, err := wire.DecodeJob(q.Body)
	var stop *route.Response
	doomed := false
	if err != nil {
		stop = responsePointer(rejected(fasthttp.StatusBadRequest, err.Error()))
	} else if types := s.backend.MachineTypes(); len(types) == 0 {
		stop = responsePointer(notTaken(route.NotReady, "the machine types are not known yet"))
	} else if ok, w := model.CheckFeasibility(spec, s.backend.Team(spec.Team), types); !ok {
		stop = responsePointer(rejected(fasthttp.StatusUnprocessableEntity, w))
	} else if s.jobs.Peek(id).State == wire.StateUnknown {
		if stop = s.checkConstraints(ctx, spec, types); stop == nil {
			doomed, stop = s.resolveDependencies(ctx, spec)
		}
	}
	if stop != nil || s.jobs.Peek(id).State != wire.StateUnknown {
		// Never to be accepted, or known already: the present state decides.
		v, err := s.jobs.Lookup(ctx, id)
		switch {
		case err != nil:
			return stateServiceFailure(err)
		case v.State != wire.StateUnknown:
			return s.answerKnownJob(id, v)
		case stop != nil:
			return *stop
		default:
			return notTaken(route.NotReady, "try again")
		}
	}
	if s.backend.UnderMemoryPressure() {
		a := rejected(fasthttp.StatusTooManyRequests, "no memory for more jobs: try again")
		a.Outcome, a.RetryAfter = route.OutOfMemory, memoryRetryAfter
		return a
	}
	created, v, err := s.jobs.Accept(ctx, spec, doomed, s.now())
	switch {
	case errors.Is(err, store.ErrRejected):
		// Guards against a submission that is retried into a wall.
		s.log.Error("submission not taken by the state service", "id", id, "err", err)
		return rejected(fasthttp.StatusUnprocessableEntity, store.ErrTooLarge.Error())
	case err != nil:
		s.log.Debug("submission not accepted", "id", id, "err", err)
		return stateServiceFailure(err)
	case created:
		return finalResponse(fasthttp.StatusCreated, wire.AppendJobState(nil, id, wire.StateQueued))
	default:
		return s.answerKnownJob(id, v)
	}
}

func responsePointer(a route.Response) *route.Response { return &a }

// resolveDependencies finds out how the jobs stand that a submission awaits, and whether the
// submission can be kept at all. Where it can't be taken it says why.
func (s *Server) resolveDependencies(ctx context.Context, spec *model.Spec) (doomed bool, stop *route.Response) {
	doomed, err := s.jobs.ResolveDependencies(ctx, spec)
	switch {
	case errors.Is(err, store.ErrUnknownDependency), errors.Is(err, store.ErrServiceDependency):
		return false, responsePointer(rejected(fasthttp.StatusUnprocessableEntity, err.Error()))
	case err != nil:
		return false, responsePointer(stateServiceFailure(err))
	}
	if err := s.jobs.CheckSize(spec); err != nil {
		return false, responsePointer(rejected(fasthttp.StatusUnprocessableEntity, err.Error()))
	}
	return doomed, nil
}

// answerKnownJob answers a repeated submission with the job's state.
func (s *Server) answerKnownJob(id string, v store.JobRecord) route.Response {
	st, _, _ := s.jobStatus(id, v)
	return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, st))
}

// jobStatus adds the progress to an unfinished job's state.
func (s *Server) jobStatus(id string, v store.JobRecord) (st wire.JobState, done, running int) {
	switch v.State {
	case wire.StateDone:
		return v.State, v.Tasks, 0
	case wire.StateQueued:
		done, running = s.backend.Progress(id)
		if running > 0 {
			return wire.StateRunning, done, running
		}
	}
	return v.State, done, 0
}

// answerAboutJob answers a request about one job: ask finds its state out, text writes
// the body for a job that is known.
func (s *Server) answerAboutJob(ctx context.Context, id string, ask func(context.Context, string) (store.JobRecord, error),
	text func(v store.JobRecord) []byte) route.Response {
	var v store.JobRecord
	if model.ValidJobID(id) {
		var err error
		if v, err = ask(ctx, id); err != nil {
			return stateServiceFailure(err)
		}
	}
	if v.State == wire.StateUnknown {
		return rejected(fasthttp.StatusNotFound, "no such job")
	}
	return finalResponse(fasthttp.StatusOK, text(v))
}

// heartbeatTimeout bounds how long a report may wait for its answer: its worker drops
// answers after 4 s.
const heartbeatTimeout = 2 * time.Second

var errHeartbeatTimeout = errors.New("no answer in time")

func (s *Server) handleHeartbeat(c *fasthttp.RequestCtx) {
	r, err := wire.DecodeHeartbeat(c.PostBody())
	if err != nil {
		s.malformedHeartbeats.Add(1)
		s.malformedLogLimit.Do(func() { s.log.Warn("malformed report", "err", err, "since_last_line", s.malformedHeartbeats.Swap(0)) })
		s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeoutCause(context.Background(), heartbeatTimeout, errHeartbeatTimeout)
	defer cancel()
	v := s.backend.HandleHeartbeat(ctx, r)
	// The right to act is checked here, where the answer leaves, and not only
	// where it was worked out: docs/safety.md, "The right to act".
	if v.Leading && v.LeaseValid() {
		s.reply(c, fasthttp.StatusOK, wire.AppendHeartbeatResponse(nil, v.FencingToken, v.Commands))
		return
	}
	if v.Leading {
		s.unavailable(c, "the right to act has lapsed")
		return
	}
	if body, ok := s.backend.RelayHeartbeat(ctx, r.Machine, c.PostBody()); ok {
		s.reply(c, fasthttp.StatusOK, body)
		return
	}
	s.reply(c, fasthttp.StatusMisdirectedRequest, wire.AppendLeader(nil, v.Leader))
}
