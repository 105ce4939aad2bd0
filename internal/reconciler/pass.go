package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// runPass places what waits, stops what makes room for it, and rents for the rest.
func (c *Core) runPass(now time.Time) {
	c.passNeeded, c.lastPassAt = false, now
	if len(c.machineTypes) == 0 {
		return
	}
	p := c.schedulerInput(now)
	c.logServicesRestored(now, p.Requests)
	if len(p.Requests) == 0 {
		c.chargeWaiting(now, nil)
		c.consolidate(now, p)
		return
	}
	plan := scheduler.MakePlan(&c.settings.Scheduler, p)
	var gang *scheduler.Request
	var try uint64
	for _, pl := range plan.Placements {
		if pl.Request.Rules != nil && !c.affinityHolds(pl, plan.Placements) {
			c.passNeeded = true // the next pass finds another place
			continue
		}
		if pl.Request.Job.Spec.Shape != model.Gang {
			c.launch(now, pl, c.nextAttemptNumber())
			continue
		}
		if pl.Request != gang {
			gang, try = pl.Request, c.nextAttemptNumber()
		}
		c.launch(now, pl, try)
	}
	for _, v := range plan.Preemptions {
		c.log.Info("preempting", "task", v.Attempt.Task, "machine", v.Attempt.Machine.Name, "rank", v.Priority.String(), "over", v.BeyondGuarantee,
			"loss", v.LostWork, "at_once", v.Immediate, "for", v.Preemptor.Job.Spec.ID, "rank_for", v.Preemptor.Job.EffectivePriority.String(), "guaranteed", v.Preemptor.Guaranteed, "slack", v.Preemptor.Slack)
		v.Attempt.Preempted = true
		if v.Immediate && !v.Gang {
			c.stopAttempt(now, v.Attempt, 0)
		} else {
			c.stopGracefully(now, v.Attempt)
		}
	}
	if plan.Truncated {
		// The rest comes with the next pass, right after what has come in meanwhile. What would be
		// lacking then is not known yet: nothing is rented for it.
		c.passNeeded = true
		return
	}
	c.chargeWaiting(now, plan.Shortages)
	c.scaleOut(now, p, plan.Shortages)
}

// logServicesRestored says once after a takeover when nothing of the highest rank waits any more.
func (c *Core) logServicesRestored(now time.Time, wants []*scheduler.Request) {
	if c.servicesRestored || c.unreconciled > 0 {
		return
	}
	for _, w := range wants {
		if w.Urgent() && w.Job.RecordVersion <= c.takeoverRevision {
			return
		}
	}
	c.servicesRestored = true
	c.log.Info("services are placed", "token", c.fencingToken, "after", now.Sub(c.startedAt))
}

// consolidate moves one replica off a machine that is dear, or that it has to itself.
func (c *Core) consolidate(now time.Time, p *scheduler.Snapshot) {
	if c.unreconciled > 0 || c.settings.ConsolidateInterval == 0 || now.Before(c.consolidateAt) {
		return
	}
	c.consolidateAt = now.Add(c.settings.ConsolidateInterval)
	for _, j := range c.jobsByAge {
		if a := scheduler.Consolidate(&c.settings.Scheduler, now, p, j); a != nil {
			c.log.Info("moving", "task", a.Task, "from", a.Machine.Name, "type", a.Machine.Type.Name)
			c.stopGracefully(now, a)
			return
		}
	}
	if !c.settings.Scheduler.Drain {
		return
	}
	if a := scheduler.Drain(&c.settings.Scheduler, now, p); a != nil {
		c.log.Info("vacating", "task", a.Task, "machine", a.Machine.Name, "type", a.Machine.Type.Name, "holding", a.Machine.ActiveCount)
		c.stopGracefully(now, a)
	}
}

// launch starts one task of a want. From here on it counts as being on the
// machine: see docs/safety.md, "What is on a machine".
func (c *Core) launch(now time.Time, pl scheduler.Placement, try uint64) {
	j, m := pl.Request.Job, pl.Node.Machine
	if !startable(j) {
		return
	}
	i, ok := j.TakePending(pl.Request.TaskState)
	if !ok || j.ActiveAttempts[i] != nil {
		return
	}
	a := &model.Attempt{Task: model.TaskID{Job: j.Spec.ID, Index: i}, Number: try, Job: j, Machine: m, Epoch: m.Epoch,
		Demand: j.Spec.Demand, Team: j.Spec.Team, Usage: c.usageOf(j.Spec.Team), LaunchedAt: now, Choice: pl.Choice}
	a.Transition(model.AttemptLaunching)
	m.Attempts[model.AttemptKey{Task: a.Task, Number: try}] = a
	j.ActiveAttempts[i] = a
	j.SetTask(i, model.TaskActive)
	if j.Spec.Shape == model.Gang {
		j.Gang = model.GangLaunched
	}
	m.CachedImages[j.Spec.Image] = now
	c.commandsPending[m] = true
	c.log.Debug("launch", "task", a.Task, "try", try, "machine", m.Name, "restart", pl.Request.Restart)
}

// placeable tells whether work may be placed on a machine now.
func (c *Core) placeable(now time.Time, m *model.Machine) bool {
	return c.placementObstacle(now, m) == ""
}

// placementObstacle says why nothing is placed on a machine now; "": it may be.
func (c *Core) placementObstacle(now time.Time, m *model.Machine) string {
	switch {
	case m.State == model.MachineBooting:
		return "booting"
	case !m.InterruptionAt.IsZero():
		return "the cloud has given notice"
	case m.State == model.MachineDraining || m.State == model.MachineReleasing:
		return "given back"
	case m.Unreconciled || m.State != model.MachineReady:
		return "not known yet what runs on it since the takeover"
	case !m.Registered:
		return "its record is not written yet"
	case m.Epoch <= m.ExpiredEpoch:
		return "its worker's lease has run out"
	case now.Sub(m.LastHeartbeat) > c.settings.UnresponsiveAfter/2:
		return "its worker is silent"
	case !m.QuarantinedSince.IsZero():
		return "several jobs have failed on it, and it is not known yet which of them is at fault"
	case !c.trustedAlive(m):
		return "it seems not to hear this controller: " + m.Detector.Reason
	}
	return ""
}

// schedulerInput shows the scheduler what there is. It looks at machines, not at what is
// on them: teams' accounts are kept as attempts change, and what could be stopped is
// looked for only when room is short. Guards against passes that grow with all that
// runs, so that at hundreds of machines reports wait behind them.
func (c *Core) schedulerInput(now time.Time) *scheduler.Snapshot {
	p := &scheduler.Snapshot{Used: make(map[string]model.Resources, len(c.usageByTeam)), Releasing: make(map[string]model.Resources, len(c.usageByTeam)),
		Teams: c.teams, Nodes: make([]*scheduler.Node, 0, len(c.machines))}
	clear(c.keptForGPUTypes)
	c.updateCriticalPaths(now)
	c.updateFairShares(now)
	guaranteed := c.guaranteedJobs()
	unknown := c.orphanUsage.Allocated // of attempts whose team is not known, and of unsettled machines
	nodes := make([]scheduler.Node, 0, len(c.machines))
	for _, m := range c.machines {
		if m.Unreconciled {
			unknown = unknown.Add(m.Type.Capacity) // its worst case
		} else if c.placeable(now, m) {
			nodes = append(nodes, scheduler.Node{Machine: m, Free: m.Free(), ReservedForGPU: c.keptForGPU(m.Type, m.Spot)})
			p.Nodes = append(p.Nodes, &nodes[len(nodes)-1])
		}
	}
	c.classifyNodes(p.Nodes)
	if len(c.constraints) > 0 {
		p.RulesOf = c.constraintsOf
	}
	for _, j := range c.jobsByAge {
		j.MayUseGPUMachines = len(c.gpuDemands) > 0 && c.mayFallBackToGPU(j)
		c.addPendingRequests(now, p, j, guaranteed[j])
	}
	for t, u := range c.usageByTeam {
		p.Used[t], p.Releasing[t] = u.Allocated.Add(unknown), u.Stopping
	}
	p.LoadCandidates = c.preemptionLister(now, guaranteed)
	return p
}

// incomingCapacity is the room that comes without renting.
func (c *Core) incomingCapacity(now time.Time) []*autoscaler.Incoming {
	var out []*autoscaler.Incoming
	for _, m := range c.machines {
		if m.State == model.MachineBooting {
			out = append(out, &autoscaler.Incoming{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
			continue
		}
		if !m.Unreconciled && m.ActiveCount > 0 && c.placeable(now, m) {
			out = append(out, &autoscaler.Incoming{Type: m.Type, Zone: m.Zone, Spot: m.Spot, FreeSoon: func() model.Resources { return c.freeSoon(now, m) }})
		}
	}
	for _, r := range c.provisioning {
		for n := 0; n < r.Count; n++ {
			out = append(out, &autoscaler.Incoming{Type: c.machineTypeNamed(r.Type), Zone: r.Zone, Spot: r.Spot})
		}
	}
	return out
}

// freeSoon is what is likely free on a machine within a boot time: none of it where nothing ends, since what is free now
// has been weighed already.
func (c *Core) freeSoon(now time.Time, m *model.Machine) model.Resources {
	var soon model.Resources
	for _, a := range m.ActiveAttempts() {
		if a.Job != nil && c.endsSoon(now, a) {
			soon = soon.Add(a.Demand)
		}
	}
	if soon == (model.Resources{}) {
		return soon
	}
	return soon.Add(m.Free())
}

// endsSoon tells whether an attempt has likely ended by the time that a machine
// like its own would be up.
func (c *Core) endsSoon(now time.Time, a *model.Attempt) bool {
	if a.State == model.AttemptStopping {
		return true
	}
	if a.Job.Spec.Shape == model.Service {
		return false
	}
	estimate := c.runTimes.estimate(a.Job.Spec)
	left := estimate - now.Sub(a.RunningAt)
	if a.RunningAt.IsZero() {
		left = estimate
		if r := a.Machine.Type.FetchGBPerS; r > 0 && a.Phase != model.PhaseWaiting {
			fetch := time.Duration(a.Job.Spec.ImageGB / r * float64(time.Second))
			left += max(0, fetch-now.Sub(a.LaunchedAt))
		}
	} else if left < 0 {
		left = estimate / 2 // it takes longer than its owner thought
	}
	return left < time.Duration(c.settings.Autoscaler.LookaheadBoots*float64(a.Machine.Type.BootTime))
}

// guaranteedJobs tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (c *Core) guaranteedJobs() map[*model.Job]bool {
	sum := map[string]model.Resources{}
	out := make(map[*model.Job]bool, len(c.jobsByAge))
	for _, j := range c.jobsByAge {
		s := j.Spec
		team := c.teams[s.Team]
		if team == nil || !startable(j) {
			continue // a job that waits for others holds no part of the guarantee
		}
		sum[s.Team] = sum[s.Team].Add(s.Demand.Times(j.Unfinished()))
		out[j] = team.WithinGuarantee(sum[s.Team])
	}
	return out
}

// addPendingRequests adds what waits of a job.
func (c *Core) addPendingRequests(now time.Time, p *scheduler.Snapshot, j *model.Job, guaranteed bool) {
	if !startable(j) || j.Waiting() == 0 || !c.constraintsReadable(j) {
		return
	}
	if c.mayAlreadyRun(j) || now.Before(j.RetryNotBefore) {
		return
	}
	s := j.Spec
	if s.Shape == model.Gang && len(j.ActiveAttempts) > 0 {
		return // the attempt before is not gone yet
	}
	rules := c.constraintsOf(j)
	zones := map[string]int{}
	for _, a := range j.ActiveAttempts {
		zones[a.Machine.Zone]++
	}
	if s.Shape == model.Gang {
		restart, from := j.Count(model.TaskRetry) > 0, model.TaskNew
		// All tasks of a gang start together, so they wait in one state.
		if restart {
			for i, ok := j.TakePending(model.TaskNew); ok; i, ok = j.TakePending(model.TaskNew) {
				j.SetTask(i, model.TaskRetry)
			}
			from = model.TaskRetry
		}
		n := j.Unfinished()
		slack, due := c.slack(now, j, restart, 0)
		p.Requests = append(p.Requests, &scheduler.Request{Job: j, TaskState: from, Restart: restart, Count: n, MaxTasks: n, Slack: slack, HasDeadline: due,
			Waited: now.Sub(j.WaitingSince), Guaranteed: guaranteed, TasksByZone: zones, Rules: rules, FairShareBand: c.fairShareClass(s.Team)})
		return
	}
	for _, st := range []model.TaskState{model.TaskRetry, model.TaskNew, model.TaskPreempted} {
		if n := j.Count(st); n > 0 {
			slack, due := c.slack(now, j, st != model.TaskNew, 0)
			p.Requests = append(p.Requests, &scheduler.Request{Job: j, TaskState: st, Restart: st == model.TaskRetry, Count: n, MaxTasks: n, Slack: slack, HasDeadline: due,
				Waited: now.Sub(j.WaitingSince), Guaranteed: guaranteed, TasksByZone: zones, Rules: rules, FairShareBand: c.fairShareClass(s.Team)})
		}
	}
}

// keptForGPU tells whether machines of a kind are kept for GPU work: such work was
// seen that fits them. Spot machines are not, since GPU work that may use them
// is rare, and they are the cheapest CPUs that there are.
func (c *Core) keptForGPU(t *model.MachineType, spot bool) bool {
	if spot || t.Capacity.GPU == 0 {
		return false
	}
	kept, known := c.keptForGPUTypes[t]
	if !known {
		for need := range c.gpuDemands {
			kept = kept || need.Fits(t.Capacity)
		}
		c.keptForGPUTypes[t] = kept
	}
	return kept
}

// mayFallBackToGPU tells whether a job that needs no GPU has nowhere to run but on machines that are kept
// for GPU work: none of the other types takes it as an ordinary machine. Spot machines don't
// count, as there may never be any. Guards against an accepted job that waits for ever for a
// kind of machine that does not exist.
func (c *Core) mayFallBackToGPU(j *model.Job) bool {
	s := j.Spec
	if s.Demand.GPU > 0 {
		return false
	}
	rules := c.constraintsOf(j)
	for i := range c.machineTypes {
		t := &c.machineTypes[i]
		if c.keptForGPU(t, false) || !s.AllowsType(t.Name) || !s.Demand.Fits(t.Capacity) {
			continue
		}
		for _, z := range t.Zones {
			if (s.Zone == "" || s.Zone == z) && rules.AcceptsOffer(t, z, false) {
				return false
			}
		}
	}
	return true
}

// scaleOut asks for machines for what fits nowhere.
func (c *Core) scaleOut(now time.Time, p *scheduler.Snapshot, lacking []scheduler.Shortage) {
	if len(lacking) == 0 || len(c.provisioning) >= maxProvisionsInFlight {
		return
	}
	if now.Before(c.scaledOutAt.Add(scaleOutInterval)) {
		c.passNeeded = true // thought over in a later pass
		return
	}
	c.scaledOutAt = now
	coming := c.incomingCapacity(now)
	v := &autoscaler.Snapshot{Types: c.machineTypes, Incoming: coming, RefusedUntil: c.refusedOffers, MachinesByZone: map[string]int{}, SuspectZones: c.partitionedZones(now), ReservedForGPU: c.keptForGPU, CapacityInZone: p.CapacityInZone}
	for _, m := range c.machines {
		v.MachinesByZone[m.Zone]++
	}
	for _, ask := range autoscaler.ScaleOut(&c.settings.Autoscaler, now, v, lacking) {
		if len(c.provisioning) >= maxProvisionsInFlight {
			break
		}
		r := model.Provisioning{Name: c.nextProvisionName(), Type: ask.Type, Zone: ask.Zone, Spot: ask.Spot, Count: ask.Count}
		c.provisioning[r.Name] = r
		c.log.Info("renting", "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "for", ask.JobClass)
		c.emit(Provision{r})
	}
}

const (
	maxProvisionsInFlight = 4                      // rental requests in flight: the cloud takes few a second
	scaleOutInterval      = 200 * time.Millisecond // between thoughts about renting
)
