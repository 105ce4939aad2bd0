package httpapi

import (
	"context"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// checkConstraints validates the placement constraints of a submission: they must parse, the jobs that they name must
// have been accepted at some time, and some set of machines must be able to satisfy them. It returns the response
// that refuses the job, or nil if the constraints are valid. If constraints are not enabled, it clears spec.Rules.
func (s *Server) checkConstraints(
	ctx context.Context, spec *model.Spec, types []model.MachineType,
) *route.Response {
	if !s.settings.ConstraintsEnabled {
		spec.Rules = "" // ignored like any unknown field
	}
	switch spec.Rules {
	case "":
		return nil
	case wire.MalformedRules:
		return malformedResponse("rules: not a text")
	}
	if s.settings.ConstraintsInForce != nil && !s.settings.ConstraintsInForce() {
		// A leader that runs an older version would ignore the constraints when it places the job.
		return new(unavailableResponse(route.NotReady, "rules: not every controller knows them yet"))
	}
	set, err := constraint.Parse(spec.Rules)
	if err != nil {
		return malformedResponse(err.Error())
	}
	zones, refusal := s.affinityZones(ctx, spec, set.Affinities, types)
	if refusal != nil {
		return refusal
	}
	jobZones := func(job string) ([]string, bool) {
		names, ok := zones[job]
		return names, ok
	}
	if err := constraint.Check(set, spec, constraint.Environment{Types: types, JobZones: jobZones}); err != nil {
		return infeasibleResponse(err.Error())
	}
	return nil
}

// affinityZones returns, for each unfinished job that affinities name, the zones in which its tasks may run. Ended
// jobs have no entry. If an affinity names the submitted job itself or a job that was never accepted, or if a job
// record cannot be read, affinityZones returns the response that refuses the submission instead.
func (s *Server) affinityZones(
	ctx context.Context, spec *model.Spec, affinities []constraint.Affinity, types []model.MachineType,
) (map[string][]string, *route.Response) {
	zones := map[string][]string{}
	for _, affinity := range affinities {
		if affinity.JobID == spec.ID {
			return nil, infeasibleResponse("rules: " + affinity.Clause.String() + " names the job itself")
		}
		record := s.jobs.Peek(affinity.JobID)
		if record.State == wire.StateUnknown {
			var err error
			if record, err = s.jobs.Lookup(ctx, affinity.JobID); err != nil {
				return nil, new(stateServiceErrorResponse(err))
			}
		}
		if record.State == wire.StateUnknown {
			return nil, infeasibleResponse("rules: " + affinity.Clause.String() + " names a job that was never accepted")
		}
		if record.Spec != nil {
			zones[affinity.JobID] = constraint.FeasibleZones(record.Spec, types)
		}
	}
	return zones, nil
}
