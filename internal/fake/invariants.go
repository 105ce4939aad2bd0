package fake

import "github.com/glentiller/glentiller/internal/model"

// invariantCheck is one pass over all machines of a World.
type invariantCheck struct {
	*World
	machineOf  map[model.TaskID]string
	usedByTeam map[string]model.Resources
	zones      map[string]map[string]int // tasks by job and zone
}

// CheckInvariants looks for broken invariants: a task on two machines, one that started before its dependencies were
// done, that is on a machine where its job may not run, or that still is there after the deadline of its
// cancellation; a team over its quota; a job whose tasks are not in the zones that it allows.
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
				check.task(worker, t)
			}
		}
	}
	check.quotas()
	check.zoneSpread()
}

// task checks one task on a machine.
func (c *invariantCheck) task(worker *Worker, t *Task) {
	if other, ok := c.machineOf[t.ID]; ok {
		c.violated("ran_twice: %v on %s and %s", t.ID, other, worker.Name)
	}
	c.machineOf[t.ID] = worker.Name
	for _, dependency := range c.Dependencies[t.ID.Job] {
		if !c.AllCompleted(dependency) {
			c.violated("too_early: %v on %s before %s is done", t.ID, worker.Name, dependency)
		}
	}
	c.usedByTeam[t.Spec.Team] = c.usedByTeam[t.Spec.Team].Add(t.Spec.Demand)
	if c.zones[t.ID.Job] == nil {
		c.zones[t.ID.Job] = map[string]int{}
	}
	c.zones[t.ID.Job][worker.Zone]++
	if !t.Spec.AllowSpot && worker.Spot || !t.Spec.AllowsType(worker.Type) {
		c.violated("wrong_place: %v on %s", t.ID, worker.Name)
	}
	if at, ok := c.CancelledAt[t.ID.Job]; ok {
		since := c.now.Sub(at)
		c.LongestCancellation = max(c.LongestCancellation, since)
		if since > c.CancelDeadline {
			c.violated("ran_cancelled: %v on %s, told by %s", t.ID, worker.Name, c.CancelConfirmedBy[t.ID.Job])
		}
	}
}

// quotas checks what teams use.
func (c *invariantCheck) quotas() {
	for team, used := range c.usedByTeam {
		if !c.Teams[team].Quota.Allows(used) {
			c.violated("quota: %s uses %v", team, used)
		}
	}
}

// zoneSpread checks the zones of each job's tasks.
func (c *invariantCheck) zoneSpread() {
	for id, zones := range c.zones {
		spec := c.Specs[id]
		for zone, tasks := range zones {
			if spec.Spread && tasks > spec.MaxTasksPerZone() || spec.SingleZone && len(zones) > 1 {
				c.violated("wrong_place: %s has %d tasks in %s", id, tasks, zone)
			}
		}
	}
}
