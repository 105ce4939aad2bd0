package httpapi

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// answerLocally answers a user's request on this member, without forwarding it.
func (s *Server) answerLocally(ctx context.Context, request route.Request) route.Response {
	switch request.Kind {
	case route.Submit:
		return s.submit(ctx, request)
	case route.Poll:
		return s.poll(ctx, request.ID)
	default:
		return s.cancel(ctx, request.ID)
	}
}

// poll answers with the state of a job and the numbers of its tasks that are done and running.
func (s *Server) poll(ctx context.Context, id string) route.Response {
	encode := func(record store.JobRecord) []byte {
		state, done, running := s.jobStatus(id, record)
		return wire.AppendJobStatus(nil, id, state, done, running)
	}
	return answerAboutJob(ctx, id, s.jobs.Lookup, encode)
}

// cancel cancels a job and answers with its resulting state. A job that has ended before keeps its state.
func (s *Server) cancel(ctx context.Context, id string) route.Response {
	cancel := func(ctx context.Context, id string) (store.JobRecord, error) {
		return s.jobs.Cancel(ctx, id, s.now())
	}
	encode := func(record store.JobRecord) []byte { return wire.AppendJobState(nil, id, record.State) }
	return answerAboutJob(ctx, id, cancel, encode)
}

// answerAboutJob answers a request about the job with the given ID. fetch returns the job's record, and
// encode returns the response body for a known job. If the ID is not valid or the job is unknown, the
// response has status 404.
func answerAboutJob(
	ctx context.Context,
	id string,
	fetch func(context.Context, string) (store.JobRecord, error),
	encode func(store.JobRecord) []byte,
) route.Response {
	var record store.JobRecord
	if model.ValidJobID(id) {
		var err error
		if record, err = fetch(ctx, id); err != nil {
			return stateServiceErrorResponse(err)
		}
	}
	if record.State == wire.StateUnknown {
		return rejectedResponse(fasthttp.StatusNotFound, "no such job")
	}
	return finalResponse(fasthttp.StatusOK, encode(record))
}

// jobStatus returns the state of a job as users see it, and the numbers of its tasks that are done and running. In
// its record every unfinished job is queued. Users see it as running while any of its tasks is running.
func (s *Server) jobStatus(id string, record store.JobRecord) (state wire.JobState, done, running int) {
	switch record.State {
	case wire.StateDone:
		return record.State, record.Tasks, 0
	case wire.StateQueued:
		done, running = s.backend.Progress(id)
		if running > 0 {
			return wire.StateRunning, done, running
		}
	}
	return record.State, done, 0
}
