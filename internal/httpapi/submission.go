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

// memoryPressureRetryAfter is the minimum Retry-After in the response to a job that was refused for lack of memory.
const memoryPressureRetryAfter = 5 * time.Second

var errBodyTooLarge = errors.New("the body is too large")

// validateSubmission checks the size and the encoding of a submission's body, and returns the ID of the job. The
// other fields are not checked, since they do not matter if the job is already known.
func validateSubmission(body []byte) (id string, err error) {
	if len(body) > wire.MaxBodyBytes {
		return "", errBodyTooLarge
	}
	if err := wire.Validate(body); err != nil {
		return "", err
	}
	return wire.DecodeJobID(body)
}

// submit accepts a job. If the job is already known, the response gives its state and the rest of the
// submission is ignored, so that repeated submissions are idempotent. The response says that a job was accepted
// only after the job's record is durable.
func (s *Server) submit(ctx context.Context, request route.Request) route.Response {
	id := request.ID
	if record := s.jobs.Peek(id); record.State.Ended() {
		return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, record.State))
	}
	spec, dependencyCancelled, refusal := s.checkSubmission(ctx, request)
	if refusal != nil || s.jobs.Peek(id).State != wire.StateUnknown {
		return s.answerWithoutAccepting(ctx, id, refusal)
	}
	if s.backend.UnderMemoryPressure() {
		response := rejectedResponse(fasthttp.StatusTooManyRequests, "no memory for more jobs: try again")
		response.Outcome, response.RetryAfter = route.OutOfMemory, memoryPressureRetryAfter
		return response
	}
	return s.accept(ctx, id, spec, dependencyCancelled)
}

// checkSubmission decodes a submission and checks whether its job could ever run. The constraints and
// dependencies of a job that is already known are not checked. If refusal is not nil, the job cannot be accepted
// and refusal is the response that says why.
func (s *Server) checkSubmission(ctx context.Context, request route.Request) (
	spec *model.Spec, dependencyCancelled bool, refusal *route.Response,
) {
	spec, err := wire.DecodeJob(request.Body)
	if err != nil {
		return nil, false, malformedResponse(err.Error())
	}
	types := s.backend.MachineTypes()
	if len(types) == 0 {
		return nil, false, new(unavailableResponse(route.NotReady, "the machine types are not known yet"))
	}
	if ok, reason := model.CheckFeasibility(spec, s.backend.Team(spec.Team), types); !ok {
		return nil, false, infeasibleResponse(reason)
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

// answerWithoutAccepting answers a submission that was refused, or whose job has become known in the meantime
// (refusal is nil). If the job has a record, the response gives its state, even if the submission was refused.
func (s *Server) answerWithoutAccepting(ctx context.Context, id string, refusal *route.Response) route.Response {
	record, err := s.jobs.Lookup(ctx, id)
	switch {
	case err != nil:
		return stateServiceErrorResponse(err)
	case record.State != wire.StateUnknown:
		return s.answerKnownJob(id, record)
	case refusal != nil:
		return *refusal
	default:
		return unavailableResponse(route.NotReady, "try again")
	}
}

// accept writes the record of a new job and answers the submission. If the job has a record by now, the
// response gives its state.
func (s *Server) accept(ctx context.Context, id string, spec *model.Spec, dependencyCancelled bool) route.Response {
	created, record, err := s.jobs.Accept(ctx, spec, dependencyCancelled, s.now())
	switch {
	case errors.Is(err, store.ErrRejected):
		// The response is final, since the state service would reject every retry as well.
		s.log.Error("submission rejected by the state service", "id", id, "err", err)
		return rejectedResponse(fasthttp.StatusUnprocessableEntity, store.ErrTooLarge.Error())
	case err != nil:
		s.log.Debug("submission not accepted", "id", id, "err", err)
		return stateServiceErrorResponse(err)
	case created:
		return finalResponse(fasthttp.StatusCreated, wire.AppendJobState(nil, id, wire.StateQueued))
	default:
		return s.answerKnownJob(id, record)
	}
}

// resolveDependencies looks up the jobs that a submission depends on, removes those that are done from
// spec, and checks whether the job's record fits into the state service. dependencyCancelled reports
// that one of the dependencies was cancelled. If refusal is not nil, the job cannot be accepted and
// refusal is the response that says why.
func (s *Server) resolveDependencies(ctx context.Context, spec *model.Spec) (
	dependencyCancelled bool, refusal *route.Response,
) {
	dependencyCancelled, err := s.jobs.ResolveDependencies(ctx, spec)
	switch {
	case errors.Is(err, store.ErrUnknownDependency), errors.Is(err, store.ErrServiceDependency):
		return false, infeasibleResponse(err.Error())
	case err != nil:
		return false, new(stateServiceErrorResponse(err))
	}
	if err := s.jobs.CheckSize(spec); err != nil {
		return false, infeasibleResponse(err.Error())
	}
	return dependencyCancelled, nil
}

// answerKnownJob answers a submission of a job that already has a record, with the state of the job.
func (s *Server) answerKnownJob(id string, record store.JobRecord) route.Response {
	state, _, _ := s.jobStatus(id, record)
	return finalResponse(fasthttp.StatusOK, wire.AppendJobState(nil, id, state))
}
