package httpapi

import (
	"context"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// checkConstraints checks a submission's placement constraints: whether they can be
// parsed, whether the jobs that they name were ever accepted, and whether any machine
// could satisfy them. It returns why the job cannot be accepted, or nil.
func (s *Server) checkConstraints(
	ctx context.Context, spec *model.Spec, types []model.MachineType,
) *route.Response {
	if !s.settings.ConstraintsEnabled {
		spec.Rules = "" // ignored, as any unknown field
	}
	switch spec.Rules {
	case "":
		return nil
	case wire.MalformedRules:
		return malformed("rules: not a text")
	}
	if s.settings.ConstraintsInForce != nil && !s.settings.ConstraintsInForce() {
		// A leader of an older version would place the job anywhere.
		return new(declined(route.NotReady, "rules: not every controller knows them yet"))
	}
	set, err := constraint.Parse(spec.Rules)
	if err != nil {
		return malformed(err.Error())
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
		return infeasible(err.Error())
	}
	return nil
}

// affinityZones returns the feasible zones of each unfinished job that affinities
// name, or why the submission cannot be accepted.
func (s *Server) affinityZones(
	ctx context.Context, spec *model.Spec, affinities []constraint.Affinity, types []model.MachineType,
) (map[string][]string, *route.Response) {
	zones := map[string][]string{}
	for _, affinity := range affinities {
		if affinity.Job == spec.ID {
			return nil, infeasible("rules: " + affinity.Clause.String() + " names the job itself")
		}
		record := s.jobs.Peek(affinity.Job)
		if record.State == wire.StateUnknown {
			var err error
			if record, err = s.jobs.Lookup(ctx, affinity.Job); err != nil {
				return nil, new(stateServiceFailure(err))
			}
		}
		if record.State == wire.StateUnknown {
			return nil, infeasible("rules: " + affinity.Clause.String() + " names a job that was never accepted")
		}
		if record.Spec != nil {
			zones[affinity.Job] = constraint.FeasibleZones(record.Spec, types)
		}
	}
	return zones, nil
}
