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

// Explanation describes why tasks of a job are waiting, and why its running tasks were placed on their machines.
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
	Reasons     []string          `json:"why,omitempty"`      // human-readable reasons why tasks are waiting
	Machines    []MachineCount    `json:"machines,omitempty"` // whether machines can run one more task, and why not
	Incoming    []string          `json:"coming,omitempty"`   // booting or requested machines that could run a task
	Remedies    []string          `json:"change,omitempty"`   // human-readable changes that would let tasks start
	Placements  []PlacementReason `json:"placed,omitempty"`   // the first maxPlacements tasks that are on machines
}

// MachineCount is the number of machines that share a reason. The reason states that they can run one more task of the
// job, or why they cannot.
type MachineCount struct {
	Reason string `json:"why"`
	Count  int    `json:"count"`
}

// PlacementReason describes why a task was placed on its machine.
type PlacementReason struct {
	Task    int    `json:"task"`
	Machine string `json:"machine"`
	Class   string `json:"class"`
	Reason  string `json:"why"`
}

// maxPlacements bounds the placements in the explanation of a large job array.
const maxPlacements = 20

func (e *Explanation) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (e *Explanation) addRemedy(format string, args ...any) {
	e.Remedies = append(e.Remedies, fmt.Sprintf(format, args...))
}

// Explain returns an explanation of why tasks of a job are waiting, or nil if the job is not among the unfinished
// ones. It plans a scheduling pass without carrying it out, using the same functions as a real pass, so the
// explanation shows what the next pass would find.
func (c *Core) Explain(now time.Time, id string) *Explanation {
	job := c.jobs[id]
	if job == nil {
		return nil
	}
	spec := job.Spec
	explanation := &Explanation{
		Job: id, Class: spec.Class, Team: spec.Team, Priority: job.EffectivePriority.String(), Tasks: spec.Tasks,
		Done: job.Count(model.TaskDone), OnMachines: len(job.ActiveAttempts), Waiting: job.WaitingTasks(),
	}
	if constraints := c.constraints.byJob[job]; constraints != nil && constraints.set != nil {
		explanation.Constraints = constraints.set.ClauseTexts()
	}
	for _, index := range slices.Sorted(maps.Keys(job.ActiveAttempts)) {
		if len(explanation.Placements) < maxPlacements {
			explanation.Placements = append(explanation.Placements, explainPlacement(job.ActiveAttempts[index]))
		}
	}
	if explanation.Waiting > 0 && !c.explainBlocked(now, job, explanation) {
		c.explainWaiting(now, job, explanation)
	}
	return explanation
}

// explainBlocked adds the reason why scheduling passes skip the tasks of a job. It reports whether there is one.
func (c *Core) explainBlocked(now time.Time, job *model.Job, explanation *Explanation) bool {
	switch constraints := c.constraints.byJob[job]; {
	case job.State != model.JobActive:
		explanation.addReason("its end is being written")
	case job.Dependency.State == model.DependencyWaiting:
		explanation.addReason("it awaits %v", slices.Sorted(maps.Keys(job.Dependency.Upstream)))
		explanation.addRemedy("those jobs have to be done")
	case job.Dependency.State == model.DependencyFailed:
		explanation.addReason("it awaits %s, which is cancelled", job.Dependency.DecidedBy)
	case !c.constraints.readable(job):
		explanation.addReason("its rules cannot be read by this version: %v", constraints.err)
		explanation.addRemedy("a version that reads them has to lead, or it has to be cancelled")
	case now.Before(job.RetryNotBefore):
		explanation.addReason("its tasks failed or were refused; they are tried again in %v",
			job.RetryNotBefore.Sub(now).Round(time.Second))
	case c.mayAlreadyRun(job):
		explanation.addReason("the new leader does not know yet what runs on %d machines, and a task of it might",
			c.takeover.unreconciled)
	case job.Spec.Shape == model.Gang && len(job.ActiveAttempts) > 0:
		explanation.addReason("%d tasks of the attempt before are not gone yet", len(job.ActiveAttempts))
	default:
		return false
	}
	return true
}

// explainWaiting plans a pass and adds what it finds for the waiting tasks of a job.
func (c *Core) explainWaiting(now time.Time, job *model.Job, explanation *Explanation) {
	input := c.schedulerInput(now)
	isOfJob := func(request *scheduler.Request) bool { return request.Job == job }
	first := slices.IndexFunc(input.Requests, isOfJob)
	if first < 0 {
		return
	}
	request := input.Requests[first]
	plan := scheduler.MakePlan(&c.settings.Scheduler, input)
	// MakePlan has sorted the requests into the order in which it serves them.
	requestsAhead := slices.Index(input.Requests, request)
	c.explainPlan(job, request, input, plan, explanation)
	if requestsAhead > 0 {
		explanation.addReason("%d others stand before it in the order", requestsAhead)
	}
	c.explainMachines(now, request, input, explanation)
	c.explainIncoming(now, request, explanation)
	set := &constraint.Set{}
	if constraints := c.constraints.byJob[job]; constraints != nil {
		set = constraints.set
	}
	if len(c.machineTypes) == 0 {
		return
	}
	if err := constraint.Check(set, job.Spec, constraint.Environment{Types: c.machineTypes}); err != nil {
		explanation.addRemedy("nothing in the catalogue takes it now: %v", err)
	}
}

// explainPlan adds how many tasks the planned pass places, and why it does not place the others.
func (c *Core) explainPlan(
	job *model.Job, request *scheduler.Request, input *scheduler.Snapshot, plan *scheduler.Plan,
	explanation *Explanation,
) {
	placed := 0
	for _, placement := range plan.Placements {
		if placement.Request.Job == job {
			placed++
		}
	}
	if placed > 0 {
		explanation.addReason("%d tasks are placed with the next pass", placed)
	}
	team := job.Spec.Team
	i := slices.IndexFunc(plan.Shortages, func(s scheduler.Shortage) bool { return s.Request.Job == job })
	if i < 0 {
		if placed < explanation.Waiting && c.teamHasQuota(job) {
			explanation.addReason("team %s has room for no more of its tasks under its limit", team)
			explanation.addRemedy("tasks of the team have to end, or its limit has to be raised")
		}
		return
	}
	switch shortage := plan.Shortages[i]; shortage.Reason {
	case scheduler.WaitQuota:
		inUse := c.teams[team].Quota.FormatUsage(input.Used[team])
		explanation.addReason("team %s is at its limit: %s are in use", team, inUse)
		explanation.addRemedy("tasks of the team have to end, or its limit has to be raised")
	case scheduler.WaitGuarantee:
		explanation.addReason("production and what other teams' guarantees cover goes first")
	case scheduler.WaitFairShare:
		explanation.addReason("teams that have used less of their share go first (band %d)", request.FairShareBand)
	case scheduler.WaitCapacity:
		explanation.addReason("no machine that fits has room for %d tasks", shortage.Count)
	}
}

// explainMachines counts all machines by whether they can run one more task of a request and, if not, why.
func (c *Core) explainMachines(
	now time.Time, request *scheduler.Request, input *scheduler.Snapshot, explanation *Explanation,
) {
	counts := map[string]int{}
	for _, machine := range c.machines {
		if obstacle := c.placementObstacle(now, machine); obstacle != "" {
			if machine.StateReason != "" {
				obstacle += ": " + machine.StateReason
			}
			counts[obstacle]++
		}
	}
	for _, node := range input.Nodes {
		counts[c.explainNode(request, node)]++
	}
	for reason, count := range counts {
		explanation.Machines = append(explanation.Machines, MachineCount{reason, count})
	}
	slices.SortFunc(explanation.Machines, func(a, b MachineCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
}

// explainNode describes whether a node of the pass can run one more task of a request and, if not, why.
func (c *Core) explainNode(request *scheduler.Request, node *scheduler.Node) string {
	feasibility := node.Feasibility(request, "")
	switch feasibility {
	case scheduler.Feasible:
		return "would take one"
	case scheduler.RulesNotMet:
		if clause, ok := c.constraints.byJob[request.Job].set.Allows(classOf(node.Machine)); !ok {
			return "refused by " + clause.String()
		}
	}
	return feasibility.String()
}

// explainIncoming adds the booting and requested machines that could run a task of a request, and the machine classes
// that could but that the cloud has recently refused to provision.
func (c *Core) explainIncoming(now time.Time, request *scheduler.Request, explanation *Explanation) {
	job := request.Job
	canHostTask := func(class constraint.MachineClass) bool {
		return constraint.SpecAllows(job.Spec, class) &&
			request.Rules.AcceptsOffer(class.Type, class.Zone, class.Spot) &&
			(job.Spec.Demand.GPU > 0 || job.MayUseGPUMachines || !c.gpus.reserves(class.Type, class.Spot))
	}
	incoming := map[string]int{}
	for _, machine := range c.machines {
		if class := classOf(machine); machine.State == model.MachineBooting && canHostTask(class) {
			incoming["booting "+class.String()]++
		}
	}
	for _, pending := range c.provisioning.requests {
		if class := c.offerClass(pending.Type, pending.Zone, pending.Spot); canHostTask(class) {
			incoming["asked for "+class.String()] += pending.Count
		}
	}
	for description, count := range incoming {
		explanation.Incoming = append(explanation.Incoming, fmt.Sprintf("%d %s", count, description))
	}
	slices.Sort(explanation.Incoming)
	var refusedClasses []string
	for offer, until := range c.provisioning.refusedUntil {
		if class := c.offerClass(offer.Type, offer.Zone, offer.Spot); now.Before(until) && canHostTask(class) {
			refusedClasses = append(refusedClasses, class.String())
		}
	}
	if len(refusedClasses) > 0 {
		slices.Sort(refusedClasses)
		explanation.addReason("the cloud has just refused %v; it is asked again soon", refusedClasses)
	}
}

func (c *Core) offerClass(machineType, zone string, spot bool) constraint.MachineClass {
	return constraint.MachineClass{Type: c.machineType(machineType), Zone: zone, Spot: spot}
}

// explainPlacement describes why the scheduler chose the machine of an attempt.
func explainPlacement(attempt *model.Attempt) PlacementReason {
	placement := PlacementReason{
		Task: attempt.Task.Index, Machine: attempt.Machine.Name, Class: classOf(attempt.Machine).String(),
	}
	switch choice := attempt.Choice; {
	case choice.FeasibleNodes == 0:
		placement.Reason = "an earlier leader placed it"
	case choice.Preference != 0:
		placement.Reason = fmt.Sprintf("of %d that fitted: efficiency %.2f, and %+.2f for wishes",
			choice.FeasibleNodes, choice.Efficiency, choice.Preference)
	default:
		placement.Reason = fmt.Sprintf("of %d that fitted the most efficient: %.2f",
			choice.FeasibleNodes, choice.Efficiency)
	}
	if attempt.Choice.ImageCached {
		placement.Reason += "; it held the image"
	}
	return placement
}
