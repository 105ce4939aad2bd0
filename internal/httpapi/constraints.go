package httpapi

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// checkConstraints checks the rules of a submission: whether they can be read, whether the jobs that
// they name were ever accepted, and whether anything could ever run it. Where it can't be
// taken it says why.
func (s *Server) checkConstraints(ctx context.Context, spec *model.Spec, types []model.MachineType) *route.Response {
	if !s.settings.ConstraintsEnabled {
		spec.Rules = "" // an unknown field, as far as this deployment is concerned
	}
	switch spec.Rules {
	case "":
		return nil
	case wire.MalformedRules:
		return responsePointer(rejected(fasthttp.StatusBadRequest, "rules: not a text"))
	}
	if s.settings.ConstraintsInForce != nil && !s.settings.ConstraintsInForce() {
		// A member whose program is older would place the job anywhere.
		return responsePointer(notTaken(route.NotReady, "rules: not every controller knows them yet"))
	}
	set, err := constraint.Parse(spec.Rules)
	if err != nil {
		return responsePointer(rejected(fasthttp.StatusBadRequest, err.Error()))
	}
	zones := map[string][]string{}
	for _, k := range set.Affinities {
		if k.Job == spec.ID {
			return responsePointer(rejected(fasthttp.StatusUnprocessableEntity, "rules: "+k.Clause.String()+" names the job itself"))
		}
		v := s.jobs.Peek(k.Job)
		if v.State == wire.StateUnknown {
			if v, err = s.jobs.Lookup(ctx, k.Job); err != nil {
				return responsePointer(stateServiceFailure(err))
			}
		}
		if v.State == wire.StateUnknown {
			return responsePointer(rejected(fasthttp.StatusUnprocessableEntity, "rules: "+k.Clause.String()+" names a job that was never accepted"))
		}
		if v.Spec != nil {
			zones[k.Job] = constraint.FeasibleZones(v.Spec, types)
		}
	}
	err = constraint.Check(set, spec, constraint.Environment{Types: types, JobZones: func(job string) ([]string, bool) {
		z, ok := zones[job]
		return z, ok
	}})
	if err != nil {
		return responsePointer(rejected(fasthttp.StatusUnprocessableEntity, err.Error()))
	}
	return nil
}
