package reconciler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Explanation says why a job's tasks wait, and why those that run are where they are.
type Explanation struct {
	Job         string            `json:"job"`
	Class       string            `json:"class"`
	Team        string            `json:"team"`
	Priority    string            `json:"rank"`
	Constraints []string          `json:"rules,omitempty"`
	Tasks       int               `json:"tasks"`
	Done        int               `json:"done"`
	OnMachines  int               `json:"on_machines"`
	Waiting     int               `json:"waiting"`
	Reasons     []string          `json:"why,omitempty"`      // in words, what keeps its tasks waiting
	Machines    []MachineCount    `json:"machines,omitempty"` // how many machines do not take one more task, and why
	Coming      []string          `json:"coming,omitempty"`   // what is being rented or boots that could take it
	Remedies    []string          `json:"change,omitempty"`   // what would have to change
	Placements  []PlacementReason `json:"placed,omitempty"`   // at most mostPlaced
}

// MachineCount counts machines that do not take a task for the same reason.
type MachineCount struct {
	Reason string `json:"why"`
	Count  int    `json:"count"`
}

// PlacementReason says why a task is on its machine.
type PlacementReason struct {
	Task    int    `json:"task"`
	Machine string `json:"machine"`
	Class   string `json:"class"`
	Reason  string `json:"why"`
}

// maxPlacements bounds an explanation of a large array.
const maxPlacements = 20

// Explain says why a job's tasks wait. It plays a pass without carrying it out and asks
// the functions that decide, so it says what the next pass would find; nil: the job is
// not among the unfinished ones.
func (c *Core) Explain(now time.Time, id string) *Explanation {
	j := c.jobs[id]
	if j == nil {
		return nil
	}
	s := j.Spec
	e := &Explanation{Job: id, Class: s.Class, Team: s.Team, Priority: j.EffectivePriority.String(), Tasks: s.Tasks, Done: j.Count(model.TaskDone), OnMachines: len(j.ActiveAttempts), Waiting: j.Waiting()}
	r := c.constraints[j]
	if r != nil && r.set != nil {
		e.Constraints = r.set.ClauseTexts()
	}
	for _, i := range slices.Sorted(maps.Keys(j.ActiveAttempts)) {
		if len(e.Placements) < maxPlacements {
			e.Placements = append(e.Placements, explainPlacement(j.ActiveAttempts[i]))
		}
	}
	say := func(list *[]string, format string, args ...any) { *list = append(*list, fmt.Sprintf(format, args...)) }
	switch {
	case e.Waiting == 0:
	case j.State != model.JobActive:
		say(&e.Reasons, "its end is being written")
	case j.Dependency.State == model.DependencyWaiting:
		say(&e.Reasons, "it awaits %v", slices.Sorted(maps.Keys(j.Dependency.Upstream)))
		say(&e.Remedies, "those jobs have to be done")
	case j.Dependency.State == model.DependencyFailed:
		say(&e.Reasons, "it awaits %s, which is cancelled", j.Dependency.DecidedBy)
	case r != nil && r.set == nil:
		say(&e.Reasons, "its rules cannot be read by this version: %v", r.err)
		say(&e.Remedies, "a version that reads them has to lead, or it has to be cancelled")
	case now.Before(j.RetryNotBefore):
		say(&e.Reasons, "its tasks failed or were refused; they are tried again in %v", j.RetryNotBefore.Sub(now).Round(time.Second))
	case c.mayAlreadyRun(j):
		say(&e.Reasons, "the new leader does not know yet what runs on %d machines, and a task of it might", c.unreconciled)
	case s.Shape == model.Gang && len(j.ActiveAttempts) > 0:
		say(&e.Reasons, "%d tasks of the attempt before are not gone yet", len(j.ActiveAttempts))
	default:
		c.explainWaiting(now, j, e, say)
	}
	return e
}

// explainWaiting plays a pass and says what it finds.
func (c *Core) explainWaiting(now time.Time, j *model.Job, e *Explanation, say func(list *[]string, format string, args ...any)) {
	s := j.Spec
	p := c.schedulerInput(now)
	i := slices.IndexFunc(p.Requests, func(w *scheduler.Request) bool { return w.Job == j })
	if i < 0 {
		return
	}
	w := p.Requests[i]
	ahead := 0
	plan := scheduler.MakePlan(&c.settings.Scheduler, p) // of a picture of its own: nothing is done
	for _, o := range p.Requests {
		if o == w {
			break
		}
		ahead++
	}
	n := 0
	for _, pl := range plan.Placements {
		if pl.Request.Job == j {
			n++
		}
	}
	if n > 0 {
		say(&e.Reasons, "%d tasks are placed with the next pass", n)
	}
	if k := slices.IndexFunc(plan.Shortages, func(l scheduler.Shortage) bool { return l.Request.Job == j }); k >= 0 {
		team, use := c.teams[s.Team], p.Used[s.Team]
		switch l := plan.Shortages[k]; l.Reason {
		case scheduler.WaitQuota:
			say(&e.Reasons, "team %s is at its limit: %s are in use", s.Team, team.Quota.FormatUsage(use))
			say(&e.Remedies, "tasks of the team have to end, or its limit has to be raised")
		case scheduler.WaitGuarantee:
			say(&e.Reasons, "production and what other teams' guarantees cover goes first")
		case scheduler.WaitFairShare:
			say(&e.Reasons, "teams that have used less of their share go first (band %d)", w.FairShareBand)
		case scheduler.WaitCapacity:
			say(&e.Reasons, "no machine that fits has room for %d tasks", l.Count)
		}
	} else if n < e.Waiting && c.hasQuota(j) {
		say(&e.Reasons, "team %s has room for no more of its tasks under its limit", s.Team)
		say(&e.Remedies, "tasks of the team have to end, or its limit has to be raised")
	}
	if ahead > 0 {
		say(&e.Reasons, "%d others stand before it in the order", ahead)
	}
	c.explainMachines(now, j, w, p, e)
	c.explainIncoming(now, j, w, e, say)
	r := c.constraints[j]
	set := &constraint.Set{}
	if r != nil {
		set = r.set
	}
	if err := constraint.Check(set, s, constraint.Environment{Types: c.machineTypes}); err != nil && len(c.machineTypes) > 0 {
		say(&e.Remedies, "nothing in the catalogue takes it now: %v", err)
	}
}

// explainMachines counts why machines do not take one more task.
func (c *Core) explainMachines(now time.Time, j *model.Job, w *scheduler.Request, p *scheduler.Snapshot, e *Explanation) {
	counts := map[string]int{}
	for _, m := range c.machines {
		if why := c.placementObstacle(now, m); why != "" {
			if m.StateReason != "" {
				why += ": " + m.StateReason
			}
			counts[why]++
		}
	}
	for _, nd := range p.Nodes {
		why := nd.Feasibility(w, "")
		text := why.String()
		if why == scheduler.RulesNotMet {
			m := nd.Machine
			if by, ok := c.constraints[j].set.Allows(constraint.Class{Type: m.Type, Zone: m.Zone, Spot: m.Spot}); !ok {
				text = "refused by " + by.String()
			}
		}
		if why == scheduler.Feasible {
			text = "would take one"
		}
		counts[text]++
	}
	for why, n := range counts {
		e.Machines = append(e.Machines, MachineCount{why, n})
	}
	slices.SortFunc(e.Machines, func(a, b MachineCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
}

// explainIncoming tells what is rented or boots that could take a task, and what the cloud
// has refused.
func (c *Core) explainIncoming(now time.Time, j *model.Job, w *scheduler.Request, e *Explanation, say func(list *[]string, format string, args ...any)) {
	s := j.Spec
	useful := func(t *model.MachineType, zone string, spot bool) bool {
		return constraint.SpecAllows(s, constraint.Class{Type: t, Zone: zone, Spot: spot}) && w.Rules.AcceptsOffer(t, zone, spot) && (s.Demand.GPU > 0 || j.MayUseGPUMachines || !c.keptForGPU(t, spot))
	}
	coming := map[string]int{}
	for _, m := range c.machines {
		if m.State == model.MachineBooting && useful(m.Type, m.Zone, m.Spot) {
			coming["booting "+constraint.Class{Type: m.Type, Zone: m.Zone, Spot: m.Spot}.String()]++
		}
	}
	for _, r := range c.provisioning {
		if t := c.machineTypeNamed(r.Type); useful(t, r.Zone, r.Spot) {
			coming["asked for "+constraint.Class{Type: t, Zone: r.Zone, Spot: r.Spot}.String()] += r.Count
		}
	}
	for what, n := range coming {
		e.Coming = append(e.Coming, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(e.Coming)
	var refused []string
	for o, until := range c.refusedOffers {
		if t := c.machineTypeNamed(o.Type); now.Before(until) && useful(t, o.Zone, o.Spot) {
			refused = append(refused, constraint.Class{Type: t, Zone: o.Zone, Spot: o.Spot}.String())
		}
	}
	if len(refused) > 0 {
		slices.Sort(refused)
		say(&e.Reasons, "the cloud has just refused %v; it is asked again soon", refused)
	}
}

// explainPlacement says why an attempt is on its machine.
func explainPlacement(a *model.Attempt) PlacementReason {
	m := a.Machine
	p := PlacementReason{Task: a.Task.Index, Machine: m.Name, Class: constraint.Class{Type: m.Type, Zone: m.Zone, Spot: m.Spot}.String()}
	switch ch := a.Choice; {
	case ch.FeasibleNodes == 0:
		p.Reason = "an earlier leader placed it"
	case ch.Preference != 0:
		p.Reason = fmt.Sprintf("of %d that fitted: efficiency %.2f, and %+.2f for wishes", ch.FeasibleNodes, ch.Efficiency, ch.Preference)
	default:
		p.Reason = fmt.Sprintf("of %d that fitted the most efficient: %.2f", ch.FeasibleNodes, ch.Efficiency)
	}
	if a.Choice.ImageCached {
		p.Reason += "; it held the image"
	}
	return p
}
