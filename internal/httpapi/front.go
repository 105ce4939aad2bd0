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

// Verdict is what became of a worker's report.
type Verdict struct {
	Act    bool // this controller answers for all; Token and Orders hold
	Leader string
	Token  uint64
	Orders []model.Command
	// Valid tells, at the moment of sending, whether the right to act still holds.
	Valid func() bool
}

// Backend is what the front needs of the controller behind it.
type Backend interface {
	// Report takes a worker's report.
	Report(ctx context.Context, r *model.Heartbeat) Verdict
	// Relay hands a worker's report to the leader, if the worker seems not to
	// reach it; ok is false where that did not work or is not needed.
	Relay(ctx context.Context, machine string, report []byte) (answer []byte, ok bool)
	// Progress tells how far an unfinished job is, for display.
	Progress(id string) (done, running int)
	// Types are the machine types; empty: not known yet.
	Types() []model.MachineType
	// Team finds a team.
	Team(name string) *model.Team
	// Short tells that there is no memory for more jobs.
	Short() bool
	// Hand hands a user's request to another member, and says what became of it.
	Hand(ctx context.Context, member string, q route.Request) route.Answer
	// Reached is when the state service has last answered anything.
	Reached() time.Time
	// Healthy tells whether this controller can take requests.
	Healthy() bool
}

// Settings are the front's.
type Settings struct {
	RetryAfter time.Duration
	Conns      int               // the most that the platform allows
	Sockets    *connquota.Budget // who may hold them
	Rules      bool              // submissions may carry rules
	RulesNow   func() bool       // and whether all members know rules by now; nil: they do
	Router     *route.Router     // decides where requests are answered; nil: here
}

// Server answers requests.
type Server struct {
	set     Settings
	jobs    Jobs
	back    Backend
	log     *slog.Logger
	now     func() time.Time
	httpSrv *fasthttp.Server

	badReports atomic.Uint64
	tellBad    rate.Sometimes
}

// New makes a server. now is the time of day.
func New(set Settings, jobs Jobs, back Backend, now func() time.Time, log *slog.Logger) *Server {
	s := &Server{set: set, jobs: jobs, back: back, log: log, now: now, tellBad: rate.Sometimes{Interval: 10 * time.Second}}
	s.httpSrv = &fasthttp.Server{
		Handler:                       s.Handle,
		ErrorHandler:                  s.malformed,
		Name:                          "glentiller",
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: false,
		MaxRequestBodySize:            wire.MaxBodyBytes + 1,
		ReadBufferSize:                4096,
		WriteBufferSize:               2048,
		Concurrency:                   set.Conns,
		IdleTimeout:                   90 * time.Second,
		ReadTimeout:                   requestTime,
		WriteTimeout:                  5 * time.Second,
		ReduceMemoryUsage:             true,
		CloseOnShutdown:               true,
		Logger:                        quiet{},
		ConnState:                     connState(now),
	}
	return s
}

// requestTime bounds how long a request may take to come in. Guards against connections that say
// something and never finish: as long as they are read from they count as busy, and hold the
// sockets of newcomers.
const requestTime = 15 * time.Second

// quiet drops the HTTP library's own log: broken connections are everyday.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if s.set.Sockets == nil {
		return s.httpSrv.Serve(l)
	}
	return s.httpSrv.Serve(&connquota.Listener{Listener: l, Budget: s.set.Sockets, Owner: connquota.Newcomers, Now: s.now, Refuse: s.refuse})
}

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.httpSrv.Shutdown() }

// malformed answers what is not HTTP, or too large.
func (s *Server) malformed(c *fasthttp.RequestCtx, err error) {
	s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, "malformed request"))
	c.SetConnectionClose()
}

const jobsPath = "/api/jobs"

// shortOfMemory is when to come back with a job that there was no memory for.
const shortOfMemory = 5 * time.Second

// userWait bounds how long a user's request may take; users give up after 5 s,
// polls after 2 s.
const (
	userWait = 3 * time.Second
	pollWait = 1500 * time.Millisecond
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
	socket := s.welcome(c, path)
	if !socket && (s.set.Router == nil || ownerOf(path) != connquota.Users) {
		s.unavailable(c, "no connection is free")
		return
	}
	switch {
	case path == "/v1/report":
		if s.method(c, fasthttp.MethodPost) {
			s.report(c)
		}
	case path == "/healthz":
		if s.method(c, fasthttp.MethodGet) {
			if s.back.Healthy() {
				s.reply(c, fasthttp.StatusOK, nil)
			} else {
				s.unavailable(c, "not ready")
			}
		}
	case path == jobsPath:
		if !s.method(c, fasthttp.MethodPost) {
			return
		}
		id, why := malformedBody(c.PostBody())
		if why != "" {
			s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, why))
			return
		}
		s.job(c, route.Request{Kind: route.Submit, ID: id, Body: c.PostBody()}, socket)
	case strings.HasPrefix(path, jobsPath+"/"):
		id := path[len(jobsPath)+1:]
		if rest, ok := strings.CutSuffix(id, "/withdraw"); ok {
			if s.method(c, fasthttp.MethodPost) {
				s.job(c, route.Request{Kind: route.Cancel, ID: rest}, socket)
			}
			return
		}
		if s.method(c, fasthttp.MethodGet) {
			s.job(c, route.Request{Kind: route.Poll, ID: id}, socket)
		}
	default:
		s.reply(c, fasthttp.StatusNotFound, wire.AppendError(nil, "no such path"))
	}
}

func (s *Server) method(c *fasthttp.RequestCtx, want string) bool {
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
	s.comeBack(c, s.set.RetryAfter)
	s.reply(c, fasthttp.StatusServiceUnavailable, wire.AppendError(nil, why))
}

// job answers a user's request about a job.
func (s *Server) job(c *fasthttp.RequestCtx, q route.Request, socket bool) {
	a := s.away(q, !socket)
	if a.After > 0 || a.Status == fasthttp.StatusServiceUnavailable {
		s.comeBack(c, max(a.After, s.set.RetryAfter))
	}
	s.reply(c, a.Status, a.Body)
}

// here answers a user's request by this controller's own means.
func (s *Server) here(ctx context.Context, q route.Request) route.Answer {
	switch q.Kind {
	case route.Submit:
		return s.submit(ctx, q)
	case route.Poll:
		return s.about(ctx, q.ID, s.jobs.Lookup, func(v store.JobRecord) []byte {
			st, done, running := s.state(q.ID, v)
			return wire.AppendJobStatus(nil, q.ID, st, done, running)
		})
	default:
		cancel := func(ctx context.Context, id string) (store.JobRecord, error) { return s.jobs.Cancel(ctx, id, s.now()) }
		return s.about(ctx, q.ID, cancel, func(v store.JobRecord) []byte { return wire.AppendJobState(nil, q.ID, v.State) })
	}
}

// final is an answer that holds whoever gives it.
func final(status int, body []byte) route.Answer { return route.Answer{Status: status, Body: body} }

// refused is the final answer to what can never be taken.
func refused(status int, why string) route.Answer { return final(status, wire.AppendError(nil, why)) }

// not is the answer that a request is not taken now.
func not(c route.Cause, why string) route.Answer {
	return route.Answer{Cause: c, Status: fasthttp.StatusServiceUnavailable, Body: wire.AppendError(nil, why)}
}

const unanswered = "the state service does not answer"

// failed is the answer where the state service could not be asked.
func failed(err error) route.Answer {
	if errors.Is(err, store.ErrRateLimited) {
		return not(route.Busy, unanswered)
	}
	return not(route.Down, unanswered)
}

// malformedBody tells what is wrong with a body before anything is known of the job.
func malformedBody(body []byte) (id, why string) {
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
func (s *Server) submit(ctx context.Context, q route.Request) route.Answer {
	id := q.ID
	if v := s.jobs.Peek(id); v.State.Ended() {
		return final(fasthttp.StatusOK, wire.AppendJobState(nil, id, v.State))
	}
	spec, err := wire.DecodeJob(q.Body)
	var stop *route.Answer
	doomed := false
	if err != nil {
		stop = answer(refused(fasthttp.StatusBadRequest, err.Error()))
	} else if types := s.back.Types(); len(types) == 0 {
		stop = answer(not(route.Unready, "the machine types are not known yet"))
	} else if ok, w := model.CheckFeasibility(spec, s.back.Team(spec.Team), types); !ok {
		stop = answer(refused(fasthttp.StatusUnprocessableEntity, w))
	} else if s.jobs.Peek(id).State == wire.StateUnknown {
		if stop = s.rules(ctx, spec, types); stop == nil {
			doomed, stop = s.resolve(ctx, spec)
		}
	}
	if stop != nil || s.jobs.Peek(id).State != wire.StateUnknown {
		// Never to be accepted, or known already: the present state decides.
		v, err := s.jobs.Lookup(ctx, id)
		switch {
		case err != nil:
			return failed(err)
		case v.State != wire.StateUnknown:
			return s.known(id, v)
		case stop != nil:
			return *stop
		default:
			return not(route.Unready, "try again")
		}
	}
	if s.back.Short() {
		a := refused(fasthttp.StatusTooManyRequests, "no memory for more jobs: try again")
		a.Cause, a.After = route.Short, shortOfMemory
		return a
	}
	created, v, err := s.jobs.Accept(ctx, spec, doomed, s.now())
	switch {
	case errors.Is(err, store.ErrRejected):
		// Guards against a submission that is retried into a wall.
		s.log.Error("submission not taken by the state service", "id", id, "err", err)
		return refused(fasthttp.StatusUnprocessableEntity, store.ErrTooLarge.Error())
	case err != nil:
		s.log.Debug("submission not accepted", "id", id, "err", err)
		return failed(err)
	case created:
		return final(fasthttp.StatusCreated, wire.AppendJobState(nil, id, wire.StateQueued))
	default:
		return s.known(id, v)
	}
}

func answer(a route.Answer) *route.Answer { return &a }

// resolve finds out how the jobs stand that a submission awaits, and whether the
// submission can be kept at all. Where it can't be taken it says why.
func (s *Server) resolve(ctx context.Context, spec *model.Spec) (doomed bool, stop *route.Answer) {
	doomed, err := s.jobs.ResolveDependencies(ctx, spec)
	switch {
	case errors.Is(err, store.ErrUnknownDependency), errors.Is(err, store.ErrServiceDependency):
		return false, answer(refused(fasthttp.StatusUnprocessableEntity, err.Error()))
	case err != nil:
		return false, answer(failed(err))
	}
	if err := s.jobs.CheckSize(spec); err != nil {
		return false, answer(refused(fasthttp.StatusUnprocessableEntity, err.Error()))
	}
	return doomed, nil
}

// known answers a repeated submission with the job's state.
func (s *Server) known(id string, v store.JobRecord) route.Answer {
	st, _, _ := s.state(id, v)
	return final(fasthttp.StatusOK, wire.AppendJobState(nil, id, st))
}

// state adds the progress to an unfinished job's state.
func (s *Server) state(id string, v store.JobRecord) (st wire.JobState, done, running int) {
	switch v.State {
	case wire.StateDone:
		return v.State, v.Tasks, 0
	case wire.StateQueued:
		done, running = s.back.Progress(id)
		if running > 0 {
			return wire.StateRunning, done, running
		}
	}
	return v.State, done, 0
}

// about answers a request about one job: ask finds its state out, text writes
// the body for a job that is known.
func (s *Server) about(ctx context.Context, id string, ask func(context.Context, string) (store.JobRecord, error),
	text func(v store.JobRecord) []byte) route.Answer {
	var v store.JobRecord
	if model.ValidJobID(id) {
		var err error
		if v, err = ask(ctx, id); err != nil {
			return failed(err)
		}
	}
	if v.State == wire.StateUnknown {
		return refused(fasthttp.StatusNotFound, "no such job")
	}
	return final(fasthttp.StatusOK, text(v))
}

// reportWait bounds how long a report may wait for its answer: its worker drops
// answers after 4 s.
const reportWait = 2 * time.Second

var errLate = errors.New("no answer in time")

func (s *Server) report(c *fasthttp.RequestCtx) {
	r, err := wire.DecodeHeartbeat(c.PostBody())
	if err != nil {
		s.badReports.Add(1)
		s.tellBad.Do(func() { s.log.Warn("malformed report", "err", err, "since_last_line", s.badReports.Swap(0)) })
		s.reply(c, fasthttp.StatusBadRequest, wire.AppendError(nil, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeoutCause(context.Background(), reportWait, errLate)
	defer cancel()
	v := s.back.Report(ctx, r)
	// The right to act is checked here, where the answer leaves, and not only
	// where it was worked out: docs/safety.md, "The right to act".
	if v.Act && v.Valid() {
		s.reply(c, fasthttp.StatusOK, wire.AppendHeartbeatResponse(nil, v.Token, v.Orders))
		return
	}
	if v.Act {
		s.unavailable(c, "the right to act has lapsed")
		return
	}
	if body, ok := s.back.Relay(ctx, r.Machine, c.PostBody()); ok {
		s.reply(c, fasthttp.StatusOK, body)
		return
	}
	s.reply(c, fasthttp.StatusMisdirectedRequest, wire.AppendLeader(nil, v.Leader))
}
