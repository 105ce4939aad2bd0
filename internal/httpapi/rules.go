package httpapi

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// rules checks the rules of a submission: whether they can be read, whether the jobs that
// they name were ever accepted, and whether anything could ever run it. Where it can't be
// taken it says why.
func (s *Server) rules(ctx context.Context, spec *model.Spec, types []model.MachineType) *route.Answer {
	if !s.set.Rules {
		spec.Rules = "" // an unknown field, as far as this deployment is concerned
	}
	switch spec.Rules {
	case "":
		return nil
	case wire.MalformedRules:
		return answer(refused(fasthttp.StatusBadRequest, "rules: not a text"))
	}
	if s.set.RulesNow != nil && !s.set.RulesNow() {
		// A member whose program is older would place the job anywhere.
		return answer(not(route.Unready, "rules: not every controller knows them yet"))
	}
	set, err := constraint.Parse(spec.Rules)
	if err != nil {
		return answer(refused(fasthttp.StatusBadRequest, err.Error()))
	}
	zones := map[string][]string{}
	for _, k := range set.Kin {
		if k.Job == spec.ID {
			return answer(refused(fasthttp.StatusUnprocessableEntity, "rules: "+k.Clause.String()+" names the job itself"))
		}
		v := s.jobs.Peek(k.Job)
		if v.State == wire.StateUnknown {
			if v, err = s.jobs.Lookup(ctx, k.Job); err != nil {
				return answer(failed(err))
			}
		}
		if v.State == wire.StateUnknown {
			return answer(refused(fasthttp.StatusUnprocessableEntity, "rules: "+k.Clause.String()+" names a job that was never accepted"))
		}
		if v.Spec != nil {
			zones[k.Job] = constraint.ZonesOf(v.Spec, types)
		}
	}
	err = constraint.Check(set, spec, constraint.World{Types: types, Zones: func(job string) ([]string, bool) {
		z, ok := zones[job]
		return z, ok
	}})
	if err != nil {
		return answer(refused(fasthttp.StatusUnprocessableEntity, err.Error()))
	}
	return nil
}
