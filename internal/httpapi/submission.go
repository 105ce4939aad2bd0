package httpapi

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// memoryRetryAfter is the least Retry-After of a job that there was no memory for.
const memoryRetryAfter = 5 * time.Second

var errBodyTooLarge = errors.New("the body is too large")

// validateSubmission checks a submission's body as far as that needs no knowledge of
// the job, and returns the job's id.
func validateSubmission(body []byte) (id string, err error) {
	if len(body) > wire.MaxBodyBytes {
		return "", errBodyTooLarge
	}
	if err := wire.Validate(body); err != nil {
		return "", err
	}
	return wire.DecodeJobID(body)
}

// submit accepts a job. A known id is answered whatever the rest of the submission
// says, so that a repeated one is idempotent. That a job was accepted is answered
// only after its record is durable.
func (s *Server) submit(ctx context.Context, request route.Request) route.Response {
	id := request.ID
	if record := s.jobs.Peek(id); record.State.Ended() {
		return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, record.State))
	}
	spec, dependencyCancelled, refusal := s.checkSubmission(ctx, request)
	if refusal != nil || s.jobs.Peek(id).State != wire.StateUnknown {
		return s.answerRefused(ctx, id, refusal)
	}
	if s.backend.UnderMemoryPressure() {
		response := rejected(fasthttp.StatusTooManyRequests, "no memory for more jobs: try again")
		response.Outcome, response.RetryAfter = route.OutOfMemory, memoryRetryAfter
		return response
	}
	return s.accept(ctx, id, spec, dependencyCancelled)
}

// checkSubmission decodes a submission and checks whether its job could ever run. A job that
// is known already is checked no further. refusal, if not nil, says why the job cannot be
// accepted.
func (s *Server) checkSubmission(ctx context.Context, request route.Request) (
	spec *model.Spec, dependencyCancelled bool, refusal *route.Response,
) {
	spec, err := wire.DecodeJob(request.Body)
	if err != nil {
		return nil, false, malformed(err.Error())
	}
	types := s.backend.MachineTypes()
	if len(types) == 0 {
		return nil, false, new(declined(route.NotReady, "the machine types are not known yet"))
	}
	if ok, reason := model.CheckFeasibility(spec, s.backend.Team(spec.Team), types); !ok {
		return nil, false, infeasible(reason)
	}
	if s.jobs.Peek(request.ID).State != wire.StateUnknown {
		return spec, false, nil
	}
	if refusal = s.checkConstraints(ctx, spec, types); refusal != nil {
		return nil, false, refusal
	}
	dependencyCancelled, refusal = s.resolveDependencies(ctx, spec)
	return spec, dependencyCancelled, refusal
}

// answerRefused answers a submission that is not to be accepted, since it was
// refused or since its job became known meanwhile. The job's present record, if
// there is one, decides.
func (s *Server) answerRefused(ctx context.Context, id string, refusal *route.Response) route.Response {
	record, err := s.jobs.Lookup(ctx, id)
	switch {
	case err != nil:
		return stateServiceFailure(err)
	case record.State != wire.StateUnknown:
		return s.answerKnownJob(id, record)
	case refusal != nil:
		return *refusal
	default:
		return declined(route.NotReady, "try again")
	}
}

// accept writes the job's record and answers the submission.
func (s *Server) accept(ctx context.Context, id string, spec *model.Spec, dependencyCancelled bool) route.Response {
	created, record, err := s.jobs.Accept(ctx, spec, dependencyCancelled, s.now())
	switch {
	case errors.Is(err, store.ErrRejected):
		// A final response: the state service would reject each retry as well.
		s.log.Error("submission rejected by the state service", "id", id, "err", err)
		return rejected(fasthttp.StatusUnprocessableEntity, store.ErrTooLarge.Error())
	case err != nil:
		s.log.Debug("submission not accepted", "id", id, "err", err)
		return stateServiceFailure(err)
	case created:
		return finalResponse(fasthttp.StatusCreated, wire.AppendJobState(nil, id, wire.StateQueued))
	default:
		return s.answerKnownJob(id, record)
	}
}

// resolveDependencies looks up the jobs that a submission depends on, and checks
// whether its record fits into the state service. refusal, if not nil, says why the
// job cannot be accepted.
func (s *Server) resolveDependencies(ctx context.Context, spec *model.Spec) (
	dependencyCancelled bool, refusal *route.Response,
) {
	dependencyCancelled, err := s.jobs.ResolveDependencies(ctx, spec)
	switch {
	case errors.Is(err, store.ErrUnknownDependency), errors.Is(err, store.ErrServiceDependency):
		return false, infeasible(err.Error())
	case err != nil:
		return false, new(stateServiceFailure(err))
	}
	if err := s.jobs.CheckSize(spec); err != nil {
		return false, infeasible(err.Error())
	}
	return dependencyCancelled, nil
}

// answerKnownJob answers a repeated submission with the job's state.
func (s *Server) answerKnownJob(id string, record store.JobRecord) route.Response {
	state, _, _ := s.jobStatus(id, record)
	return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, state))
}
