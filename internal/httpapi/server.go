// Package httpapi serves the HTTP API of a controller: submissions, polls and cancellations from users, heartbeats from
// workers, and health checks from the load balancer.
//
// New returns a Server, which reads and writes job records through Jobs and uses the rest of the controller
// through Backend. Serve answers requests until its listener is closed. If a route.Router is set, it decides
// whether this controller answers a user's request or forwards it to another member. HandleForwarded answers
// requests that other members forward to this one.
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

// Jobs reads and writes job records. Implementations must be safe for concurrent use.
type Jobs interface {
	// Peek returns the cached record of a job, without a request to the state service. The state is
	// wire.StateUnknown if nothing is cached.
	Peek(id string) store.JobRecord
	// Lookup returns the current record of a job. The state is wire.StateUnknown if the job was never accepted.
	Lookup(ctx context.Context, id string) (store.JobRecord, error)
	// ResolveDependencies removes the jobs that are done from the dependencies of spec. dependencyCancelled reports
	// that one of the dependencies was cancelled, so that the job can never run. If the error is
	// store.ErrUnknownDependency or store.ErrServiceDependency, a retry cannot succeed.
	ResolveDependencies(ctx context.Context, spec *model.Spec) (dependencyCancelled bool, err error)
	// CheckSize returns an error if the record of the job is too large for the state service.
	CheckSize(spec *model.Spec) error
	// Accept writes the record of a new job, unless the job has one already. It reports whether this call has created
	// the record, and returns the record of the job. If dependencyCancelled is set, the job is recorded as cancelled.
	Accept(ctx context.Context, spec *model.Spec, dependencyCancelled bool, now time.Time) (bool, store.JobRecord, error)
	// Cancel cancels a job, unless it has ended, and returns its record. The state is wire.StateUnknown
	// if the job was never accepted.
	Cancel(ctx context.Context, id string, now time.Time) (store.JobRecord, error)
}

// Backend is the rest of the controller that the Server belongs to. Implementations must be safe for concurrent use.
type Backend interface {
	// HandleHeartbeat processes a worker's heartbeat if this controller leads.
	HandleHeartbeat(ctx context.Context, heartbeat *model.Heartbeat) HeartbeatResult
	// RelayHeartbeat relays an encoded heartbeat to the leader if the worker appears unable to reach the leader
	// directly, and returns the leader's response. ok is false if the heartbeat was not relayed.
	RelayHeartbeat(ctx context.Context, machine string, heartbeat []byte) (response []byte, ok bool)
	// Progress returns how many tasks of an unfinished job are done and running.
	Progress(id string) (done, running int)
	// MachineTypes returns the machine types that the cloud offers. The slice is empty until they are known.
	MachineTypes() []model.MachineType
	// Team returns the team of the given name, or nil if there is none.
	Team(name string) *model.Team
	// UnderMemoryPressure reports whether new jobs are refused because memory is short.
	UnderMemoryPressure() bool
	// Forward sends a user's request to another member and returns its response. If the member does not answer, the
	// outcome of the response says why.
	Forward(ctx context.Context, member string, request route.Request) route.Response
	// LastStateServiceResponse returns the time at which the state service last answered any request of this member.
	LastStateServiceResponse() time.Time
	// Healthy reports whether the load balancer should send requests to this controller.
	Healthy() bool
}

// Settings configure a Server.
type Settings struct {
	RetryAfter time.Duration     // lower bound of Retry-After in responses
	MaxConns   int               // upper bound of the number of open connections
	ConnQuotas *connquota.Quotas // limits the connections of each class; nil means no limits
	// ConstraintsEnabled permits placement constraints in submissions. If it is false, they are ignored.
	ConstraintsEnabled bool
	// ConstraintsInForce reports whether all members support placement constraints. Until then, submissions with
	// constraints are refused. If it is nil, constraints are in force.
	ConstraintsInForce func() bool
	// Router decides which member answers a user's request. If it is nil, this member answers all requests.
	Router *route.Router
}

// Server answers HTTP requests from users, workers and health checks. It is safe for concurrent use.
type Server struct {
	settings   Settings
	jobs       Jobs
	backend    Backend
	log        *slog.Logger
	now        func() time.Time
	httpServer *fasthttp.Server

	malformedHeartbeats atomic.Uint64  // number received since the last log line about them
	malformedLogLimit   rate.Sometimes // limits how often malformed heartbeats are logged
}

// Buffer sizes and timeouts of connections.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 2048
	idleTimeout      = 90 * time.Second
	writeTimeout     = 5 * time.Second

	// requestReadTimeout bounds the time that a request takes to arrive. A connection counts as busy while a
	// request is read from it, and is not closed to make room. Without the timeout, a request that never ends would
	// hold a socket that a new connection needs.
	requestReadTimeout = 15 * time.Second
)

// malformedLogInterval is the minimum time between log lines about malformed heartbeats.
const malformedLogInterval = 10 * time.Second

// New returns a server, which does not listen until Serve is called. now returns the current time.
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
		MaxRequestBodySize:            wire.MaxBodyBytes + 1, // one byte more than validateSubmission accepts
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

// discardLogger discards the log messages of fasthttp. They report broken connections, which are routine.
type discardLogger struct{}

// Printf implements fasthttp.Logger and does nothing.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on listener, within the connection quotas if there are any, and answers their requests.
// It returns nil after the listener is closed, or the error if accepting a connection fails.
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

// Shutdown closes the listener and waits, without a time limit, until all connections are idle.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }
