package fake

import "github.com/glentiller/glentiller/internal/model"

// invariantCheck is one check of the invariants over all machines of a World.
type invariantCheck struct {
	*World
	machineOf  map[model.TaskID]string    // the machines of the tasks that were checked so far
	usedByTeam map[string]model.Resources // resources of these tasks, by team
	zones      map[string]map[string]int  // number of these tasks, by job ID and zone
}

// CheckInvariants checks the tasks that are on machines now, and records each broken invariant as a violation:
// a task is on two machines, is on a machine before the dependencies of its job are done, is on a machine on which its
// job may not run, or is on a machine after the deadline of its job's cancellation; a team exceeds its quota; or the
// tasks of a job break the job's zone constraints.
func (w *World) CheckInvariants() {
	check := &invariantCheck{
		World:      w,
		machineOf:  map[model.TaskID]string{},
		usedByTeam: map[string]model.Resources{},
		zones:      map[string]map[string]int{},
	}
	for _, name := range w.WorkerNames() {
		worker := w.Workers[name]
		for _, t := range worker.Tasks {
			if t.OnMachine() {
				check.checkTask(worker, t)
			}
		}
	}
	check.checkQuotas()
	check.checkZones()
}

// checkTask checks a task that is on a machine, and counts it for the other checks.
func (c *invariantCheck) checkTask(worker *Worker, t *Task) {
	if other, ok := c.machineOf[t.ID]; ok {
		c.recordViolation("ran_twice: %v is on %s and on %s", t.ID, other, worker.Name)
	}
	c.machineOf[t.ID] = worker.Name
	for _, dependency := range c.Dependencies[t.ID.Job] {
		if !c.AllCompleted(dependency) {
			c.recordViolation("too_early: %v is on %s although its dependency %s is not done", t.ID, worker.Name, dependency)
		}
	}
	c.usedByTeam[t.Spec.Team] = c.usedByTeam[t.Spec.Team].Add(t.Spec.Demand)
	if c.zones[t.ID.Job] == nil {
		c.zones[t.ID.Job] = map[string]int{}
	}
	c.zones[t.ID.Job][worker.Zone]++
	if !t.Spec.AllowSpot && worker.Spot || !t.Spec.AllowsType(worker.Type) {
		c.recordViolation("wrong_place: %v is on %s, where its job may not run", t.ID, worker.Name)
	}
	if at, ok := c.CancelledAt[t.ID.Job]; ok {
		since := c.now.Sub(at)
		c.LongestCancellation = max(c.LongestCancellation, since)
		if since > c.CancelDeadline {
			c.recordViolation("ran_cancelled: %v is on %s after the deadline of a cancellation that %s has confirmed",
				t.ID, worker.Name, c.CancelConfirmedBy[t.ID.Job])
		}
	}
}

// checkQuotas checks that no team uses more than its quota.
func (c *invariantCheck) checkQuotas() {
	for team, used := range c.usedByTeam {
		if !c.Teams[team].Quota.Allows(used) {
			c.recordViolation("quota: team %s exceeds its quota with %v in use", team, used)
		}
	}
}

// checkZones checks that no zone has more tasks of a job than the job's spread allows, and that the tasks of a job that
// needs a single zone are in one zone.
func (c *invariantCheck) checkZones() {
	for id, zones := range c.zones {
		spec := c.Specs[id]
		for zone, tasks := range zones {
			if spec.Spread && tasks > spec.MaxTasksPerZone() || spec.SingleZone && len(zones) > 1 {
				c.recordViolation("wrong_place: %s has %d tasks in zone %s, which breaks its zone rules", id, tasks, zone)
			}
		}
	}
}
