package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// randomCluster is a randomly generated cluster. Its machines are nearly filled with attempts of every priority and
// team, and some of its requests may preempt these attempts. All snapshots of a cluster are equal but share no nodes.
type randomCluster struct {
	teams      map[string]*model.Team
	usedByTeam map[string]model.Resources
	machines   []randomMachine
	requests   []randomRequest
}

// randomMachine is a machine together with the resources and preemption candidates of its attempts.
type randomMachine struct {
	machine    *model.Machine
	free       model.Resources
	releasing  model.Resources
	candidates []PreemptionCandidate
}

// randomRequest is a request without its job. Each snapshot creates a new job from spec.
type randomRequest struct {
	spec    *model.Spec
	request Request
}

var randomMachineTypes = []*model.MachineType{
	{
		Name:             "small",
		Capacity:         model.Resources{CPU: 4, MemGB: 16},
		FetchGBPerS:      1,
		PricePerHour:     0.17,
		SpotPricePerHour: 0.05,
	},
	{
		Name:             "cards",
		Capacity:         model.Resources{CPU: 48, GPU: 4, MemGB: 384},
		FetchGBPerS:      0.3,
		PricePerHour:     9.7,
		SpotPricePerHour: 2.7,
	},
	{
		Name:             "large",
		Capacity:         model.Resources{CPU: 16, MemGB: 64},
		FetchGBPerS:      2,
		PricePerHour:     0.9,
		SpotPricePerHour: 0.2,
	},
}

var randomTeams = []string{"red", "blue", "green"}

// drawInt draws an integer from least to most, both included.
func drawInt(t *rapid.T, least, most int, label string) int {
	return rapid.IntRange(least, most).Draw(t, label)
}

// oneIn draws a boolean that is true with a probability of about 1/n.
func oneIn(t *rapid.T, n int, label string) bool { return drawInt(t, 0, n-1, label) == 0 }

// drawSeconds draws a duration of least to most whole seconds, both included.
func drawSeconds(t *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(drawInt(t, least, most, label)) * time.Second
}

// drawImage draws one of three image names.
func drawImage(t *rapid.T, label string) string { return fmt.Sprint("img", drawInt(t, 0, 2, label)) }

func drawCluster(t *rapid.T) *randomCluster {
	cluster := &randomCluster{teams: map[string]*model.Team{}, usedByTeam: map[string]model.Resources{}}
	for _, name := range randomTeams {
		quota := model.NewQuota(float64(drawInt(t, 0, 3, "quota")*40), 0)
		cluster.teams[name] = &model.Team{Name: name, Quota: quota}
		cluster.usedByTeam[name] = model.Resources{CPU: float64(drawInt(t, 0, 60, "used cpus"))}
	}
	for i := range drawInt(t, 1, 30, "machines") {
		cluster.machines = append(cluster.machines, drawMachine(t, fmt.Sprint("m", i)))
	}
	for i := range drawInt(t, 1, 8, "requests") {
		cluster.requests = append(cluster.requests, drawRequest(t, fmt.Sprint("wk-", i)))
	}
	return cluster
}

func drawMachine(t *rapid.T, name string) randomMachine {
	machine := &model.Machine{
		Name:         name,
		Zone:         rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
		Spot:         oneIn(t, 3, "spot"),
		Type:         randomMachineTypes[drawInt(t, 0, 2, "type")],
		CachedImages: map[string]time.Time{drawImage(t, "image"): {}},
	}
	m := randomMachine{machine: machine, free: machine.Type.Capacity}
	for i := range drawInt(t, 0, 5, "attempts") {
		demand := model.Resources{CPU: float64(drawInt(t, 1, 4, "cpus")), MemGB: 2}
		if !demand.Fits(m.free) {
			continue
		}
		m.free = m.free.Sub(demand)
		if oneIn(t, 6, "stopping") {
			m.releasing = m.releasing.Add(demand)
			continue
		}
		attempt := &model.Attempt{
			Task:    model.TaskID{Job: fmt.Sprintf("%s-%d", name, i)},
			Team:    rapid.SampledFrom(randomTeams).Draw(t, "team"),
			Demand:  demand,
			Machine: machine,
		}
		m.candidates = append(m.candidates, drawCandidate(t, attempt))
	}
	return m
}

func drawCandidate(t *rapid.T, attempt *model.Attempt) PreemptionCandidate {
	return PreemptionCandidate{
		Attempt:         attempt,
		Priority:        model.Priority(drawInt(t, 1, 4, "priority")),
		BeyondGuarantee: oneIn(t, 2, "beyond guarantee"),
		LostWork:        drawSeconds(t, 0, 90, "lost work"),
		CheckpointTime:  4 * drawSeconds(t, 0, 1, "checkpoint time"),
		RecentlyStarted: oneIn(t, 4, "recently started"),
		HasDeadline:     oneIn(t, 2, "has deadline"),
		Slack:           drawSeconds(t, -20, 200, "slack"),
		Gang:            oneIn(t, 10, "gang"),
		FairShareBand:   drawInt(t, 0, 1, "band"),
	}
}

func drawRequest(t *rapid.T, id string) randomRequest {
	spec := &model.Spec{
		ID:         id,
		Team:       rapid.SampledFrom(randomTeams).Draw(t, "own team"),
		Shape:      model.Shape(drawInt(t, 1, 3, "shape")),
		Tasks:      drawInt(t, 1, 6, "tasks"),
		Priority:   model.Priority(drawInt(t, 1, 4, "own priority")),
		Demand:     model.Resources{CPU: float64(drawInt(t, 1, 8, "demanded cpus")), MemGB: 1},
		AllowSpot:  oneIn(t, 2, "allow spot"),
		Image:      drawImage(t, "own image"),
		ImageGB:    1,
		SingleZone: oneIn(t, 5, "single zone"),
		Spread:     oneIn(t, 6, "spread"),
	}
	request := Request{
		PendingTasks:  spec.Tasks,
		MaxStarts:     spec.Tasks,
		HasDeadline:   oneIn(t, 2, "own deadline"),
		Slack:         drawSeconds(t, -20, 200, "own slack"),
		Waited:        drawSeconds(t, 0, 100, "waited"),
		Guaranteed:    oneIn(t, 2, "guaranteed"),
		Starving:      oneIn(t, 6, "starving"),
		FairShareBand: drawInt(t, 0, 1, "own band"),
	}
	return randomRequest{spec: spec, request: request}
}

// snapshot returns a new snapshot of the cluster. It loads the candidates of a node on demand.
func (c *randomCluster) snapshot() *Snapshot {
	snapshot := &Snapshot{Teams: c.teams, Used: map[string]model.Resources{}, Releasing: map[string]model.Resources{}}
	for team, used := range c.usedByTeam {
		snapshot.Used[team] = used
	}
	byNode := map[*Node]*randomMachine{}
	for i := range c.machines {
		m := &c.machines[i]
		node := &Node{Machine: m.machine, Free: m.free}
		byNode[node] = m
		snapshot.Nodes = append(snapshot.Nodes, node)
	}
	for _, r := range c.requests {
		request := r.request
		request.Job, request.TasksByZone = model.NewJob(r.spec, time.Unix(0, 0), 1), map[string]int{}
		snapshot.Requests = append(snapshot.Requests, &request)
	}
	snapshot.LoadCandidates = func(node *Node) {
		m := byNode[node]
		node.Candidates, node.Releasing = slices.Clone(m.candidates), m.releasing
	}
	return snapshot
}

// loadedSnapshot returns a new snapshot in which the candidates of all nodes are loaded. The preemptible summary of
// each node rules nothing out, so that a pass checks every candidate for each request.
func (c *randomCluster) loadedSnapshot() *Snapshot {
	snapshot := c.snapshot()
	for _, node := range snapshot.Nodes {
		snapshot.loadCandidates(node)
		node.preemptible = preemptibleSummary{
			nonEmpty:           true,
			anyBeyondGuarantee: true,
			lastPosition:       position{qosClass: 99},
		}
	}
	return snapshot
}

// describePlan formats all decisions of a plan, so that tests can compare two plans.
func describePlan(plan *Plan) string {
	var lines []string
	for _, p := range plan.Placements {
		lines = append(lines, fmt.Sprintf("%s on %s", p.Request.Job.Spec.ID, p.Node.Machine.Name))
	}
	for _, p := range plan.Preemptions {
		lines = append(lines, fmt.Sprintf("preempt %v for %s, immediately: %v",
			p.Attempt.Task, p.Preemptor.Job.Spec.ID, p.Immediate))
	}
	for _, s := range plan.Shortages {
		lines = append(lines, fmt.Sprintf("%s is short of capacity for %d tasks, over quota: %v, reason %v",
			s.Request.Job.Spec.ID, s.Count, s.OverQuota, s.Reason))
	}
	return fmt.Sprint(lines, plan.Truncated)
}
