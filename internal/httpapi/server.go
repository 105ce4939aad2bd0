// Package httpapi serves the HTTP interface of a controller: submissions, polls
// and cancellations of users, heartbeats of workers, and health checks of the
// load balancer.
//
// New takes the job records (Jobs) and the controller behind the interface
// (Backend); Serve answers requests until its listener is closed. Requests of
// users go through route.Router, which decides whether this controller answers
// or forwards them. HandleForwarded answers what other members forward to this
// one.
package httpapi

import (
	"context"
	"log/slog"
	"net"
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

// Jobs gives access to the job records.
type Jobs interface {
	// Peek returns what is cached of a job, without a request to the state service.
	Peek(id string) store.JobRecord
	// Lookup returns a job's present record.
	Lookup(ctx context.Context, id string) (store.JobRecord, error)
	// ResolveDependencies drops completed jobs from the dependencies of spec. It reports
	// whether one of them was cancelled, so that the job can never run. With
	// store.ErrUnknownDependency and store.ErrServiceDependency no repetition can succeed.
	ResolveDependencies(ctx context.Context, spec *model.Spec) (dependencyCancelled bool, err error)
	// CheckSize returns an error if spec is too large for the state service.
	CheckSize(spec *model.Spec) error
	// Accept writes the record of a new job. It reports whether this call created
	// the record, and returns the job's record either way.
	Accept(ctx context.Context, spec *model.Spec, dependencyCancelled bool, now time.Time) (bool, store.JobRecord, error)
	// Cancel cancels a job and returns its record.
	Cancel(ctx context.Context, id string, now time.Time) (store.JobRecord, error)
}

// Backend is the controller behind the interface.
type Backend interface {
	// HandleHeartbeat processes a worker's heartbeat.
	HandleHeartbeat(ctx context.Context, heartbeat *model.Heartbeat) HeartbeatResult
	// RelayHeartbeat relays an encoded heartbeat to the leader if its worker seems
	// not to reach the leader itself. ok is false if the heartbeat was not relayed.
	RelayHeartbeat(ctx context.Context, machine string, heartbeat []byte) (response []byte, ok bool)
	// Progress returns how many tasks of an unfinished job are done and running.
	Progress(id string) (done, running int)
	// MachineTypes returns the machine types of the cloud; none: not known yet.
	MachineTypes() []model.MachineType
	// Team returns the team with a name, or nil.
	Team(name string) *model.Team
	// UnderMemoryPressure reports that there is no memory for more jobs.
	UnderMemoryPressure() bool
	// Forward has another member answer a user's request.
	Forward(ctx context.Context, member string, request route.Request) route.Response
	// LastStateResponse returns when the state service last answered any request.
	LastStateResponse() time.Time
	// Healthy reports whether this controller can take requests.
	Healthy() bool
}

// Settings configure a Server.
type Settings struct {
	RetryAfter time.Duration     // lower bound of Retry-After in responses
	MaxConns   int               // the most that the platform allows
	ConnQuotas *connquota.Quotas // limits connections by class; nil: no limits
	// ConstraintsEnabled lets submissions carry placement constraints.
	ConstraintsEnabled bool
	// ConstraintsInForce reports whether all members know constraints by now;
	// nil: they do.
	ConstraintsInForce func() bool
	Router             *route.Router // decides which member answers; nil: this one
}

// Server answers HTTP requests.
type Server struct {
	settings   Settings
	jobs       Jobs
	backend    Backend
	log        *slog.Logger
	now        func() time.Time
	httpServer *fasthttp.Server

	malformedHeartbeats atomic.Uint64 // since the last log line about them
	malformedLogLimit   rate.Sometimes
}

// Limits of connections and requests.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 2048
	idleTimeout      = 90 * time.Second
	writeTimeout     = 5 * time.Second

	// requestReadTimeout bounds how long a request may take to arrive. A connection
	// counts as busy while it is read from, so one whose request never ends would
	// hold a socket that a new connection needs.
	requestReadTimeout = 15 * time.Second
)

// malformedLogInterval is the least time between log lines about malformed heartbeats.
const malformedLogInterval = 10 * time.Second

// New returns a server. now returns the present time.
func New(settings Settings, jobs Jobs, backend Backend, now func() time.Time, log *slog.Logger) *Server {
	s := &Server{
		settings:          settings,
		jobs:              jobs,
		backend:           backend,
		log:               log,
		now:               now,
		malformedLogLimit: rate.Sometimes{Interval: malformedLogInterval},
	}
	s.httpServer = &fasthttp.Server{
		Handler:                       s.Handle,
		ErrorHandler:                  s.handleParseError,
		Name:                          "glentiller",
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: false,
		MaxRequestBodySize:            wire.MaxBodyBytes + 1, // one more than validateSubmission accepts
		ReadBufferSize:                readBufferBytes,
		WriteBufferSize:               writeBufferBytes,
		Concurrency:                   settings.MaxConns,
		IdleTimeout:                   idleTimeout,
		ReadTimeout:                   requestReadTimeout,
		WriteTimeout:                  writeTimeout,
		ReduceMemoryUsage:             true,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
		ConnState:                     trackConnState(now),
	}
	return s
}

// discardLogger drops the HTTP library's own log: broken connections are routine.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	if s.settings.ConnQuotas == nil {
		return s.httpServer.Serve(listener)
	}
	return s.httpServer.Serve(&connquota.Listener{
		Listener: listener,
		Quotas:   s.settings.ConnQuotas,
		Class:    connquota.Unclassified,
		Now:      s.now,
		Reject:   s.rejectConnection,
	})
}

// Shutdown closes the listener and waits until all connections are idle.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }
