package scheduler

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

var testSettings = &Settings{
	IdlePowerFraction:    0.7,
	PromoteAfter:         time.Minute,
	PromoteDeadlineAfter: 15 * time.Minute,
	MaxPreemptions:       8,
	MinRuntime:           30 * time.Second,
	ExpensiveFactor:      2,
	TightSlack:           30 * time.Second,
	ImageFirst:           true,
	PreemptForGuarantees: true,
}

var cpuType = &model.MachineType{
	Name:             "eight",
	Capacity:         model.Resources{CPU: 8, MemGB: 64},
	PricePerHour:     1,
	SpotPricePerHour: 0.3,
}

var gpuType = &model.MachineType{
	Name:             "gpu",
	Capacity:         model.Resources{CPU: 48, GPU: 4, MemGB: 384},
	PricePerHour:     60,
	SpotPricePerHour: 20,
}

// longAfterStart is a time at which every attempt of the tests has run for longer than MinRuntime.
var longAfterStart = time.Unix(1000, 0)

// newNode returns a node on which usedCPUs CPUs and the same number of GB of memory are used.
func newNode(name, zone string, machineType *model.MachineType, usedCPUs float64) *Node {
	machine := &model.Machine{Name: name, Zone: zone, Type: machineType, CachedImages: map[string]time.Time{}}
	used := model.Resources{CPU: usedCPUs, MemGB: usedCPUs}
	return &Node{Machine: machine, Free: machineType.Capacity.Sub(used)}
}

// newNodes returns empty nodes of cpuType in zone a.
func newNodes(names ...string) []*Node {
	var nodes []*Node
	for _, name := range names {
		nodes = append(nodes, newNode(name, "a", cpuType, 0))
	}
	return nodes
}

// newRequest returns a request of team red for tasks of four CPUs. A nil change leaves the specification as it is.
func newRequest(id string, tasks int, change func(*model.Spec)) *Request {
	spec := &model.Spec{
		ID:        id,
		Team:      "red",
		Shape:     model.Array,
		Priority:  model.PriorityNormal,
		Tasks:     tasks,
		Demand:    model.Resources{CPU: 4, MemGB: 4},
		Image:     "img",
		AllowSpot: true,
	}
	if change != nil {
		change(spec)
	}
	job := model.NewJob(spec, time.Unix(0, 0), 1)
	return &Request{Job: job, PendingTasks: tasks, MaxStarts: tasks, TasksByZone: map[string]int{}}
}

// newDeadlineRequest returns a request for one task that has a deadline and the given slack.
func newDeadlineRequest(id string, slack time.Duration) *Request {
	request := newRequest(id, 1, nil)
	request.HasDeadline, request.Slack = true, slack
	return request
}

// productionService changes a specification into that of a service with production priority.
func productionService(spec *model.Spec) {
	spec.Shape, spec.Priority = model.Service, model.PriorityProduction
}

// addRunning adds an attempt of four CPUs beyond its team's guarantee to a node's candidates, without changing the
// node's free resources. A nil change leaves the candidate as it is.
func addRunning(
	node *Node, team string, priority model.Priority, change func(*PreemptionCandidate),
) *model.Attempt {
	attempt := &model.Attempt{Team: team, Demand: model.Resources{CPU: 4, MemGB: 4}, Machine: node.Machine}
	candidate := PreemptionCandidate{Attempt: attempt, Priority: priority, BeyondGuarantee: true}
	if change != nil {
		change(&candidate)
	}
	node.Candidates = append(node.Candidates, candidate)
	return attempt
}

// newSnapshot returns a snapshot with the teams red and blue. Each has a guarantee of 8 CPUs and a quota of 100 CPUs
// and 8 GPUs.
func newSnapshot(nodes []*Node, requests ...*Request) *Snapshot {
	snapshot := &Snapshot{
		Nodes:     nodes,
		Requests:  requests,
		Used:      map[string]model.Resources{},
		Releasing: map[string]model.Resources{},
		Teams:     map[string]*model.Team{},
		Zones:     []string{"a", "b"},
	}
	for _, team := range []string{"red", "blue"} {
		snapshot.Teams[team] = &model.Team{
			Name:      team,
			Guarantee: model.Resources{CPU: 8},
			Quota:     model.NewQuota(100, 8),
		}
	}
	return snapshot
}

// makeTestPlan makes a plan for a new snapshot of the nodes and requests, with testSettings.
func makeTestPlan(nodes []*Node, requests ...*Request) *Plan {
	return MakePlan(testSettings, newSnapshot(nodes, requests...))
}

// formatPlacements formats the placements of a plan as "job@node ", in their order.
func formatPlacements(plan *Plan) string {
	list := ""
	for _, placement := range plan.Placements {
		list += fmt.Sprintf("%s@%s ", placement.Request.Job.Spec.ID, placement.Node.Machine.Name)
	}
	return list
}

// formatRequestIDs lists the job IDs of requests, each followed by a space.
func formatRequestIDs(requests []*Request) string {
	list := ""
	for _, request := range requests {
		list += request.Job.Spec.ID + " "
	}
	return list
}
