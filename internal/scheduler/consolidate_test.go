package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestLoneReplicaMovesToBusierMachine(t *testing.T) {
	source, target := newNode("b", "a", cpuType, 4), newNode("a", "a", cpuType, 4)
	for _, node := range []*Node{source, target} {
		node.Machine.Used, node.Machine.ActiveCount = model.Resources{CPU: 4, MemGB: 4}, 1
		node.Machine.CachedImages["img"] = time.Unix(1, 0)
	}
	job := newRequest("s", 2, func(s *model.Spec) { s.Shape = model.Service }).Job
	replica := func(node *Node, index int) *model.Attempt {
		attempt := &model.Attempt{
			Task:    model.TaskID{Job: "s", Index: index},
			Machine: node.Machine,
			State:   model.AttemptPresent,
			Phase:   model.PhaseRunning,
		}
		job.ActiveAttempts[index] = attempt
		return attempt
	}
	stayingReplica, movingReplica := replica(target, 0), replica(source, 1)
	snapshot := newSnapshot([]*Node{source, target})
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != movingReplica {
		t.Errorf("moved %v, want %v, which is alone on the second machine", got, movingReplica)
	}
	movingReplica.RunningAt = longAfterStart.Add(-time.Second)
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != nil {
		t.Errorf("moved %v while a replica has run for less than MinRuntime, want none", got)
	}
	movingReplica.RunningAt = stayingReplica.RunningAt
	job.Spec.Spread = true
	target.Machine.Zone, source.Machine.Zone = "a", "b"
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != nil {
		t.Errorf("moved %v, want none: both replicas of a spread service would be in one zone", got)
	}
	job.Spec.Spread = false
	target.Machine.Type = gpuType
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != stayingReplica {
		t.Errorf("moved %v, want %v, which is on the more expensive machine", got, stayingReplica)
	}
}

func TestReplicaMovesOffExpensiveMachine(t *testing.T) {
	source, target := newNode("gpu", "a", gpuType, 4), newNode("eight", "a", cpuType, 0)
	job := newRequest("s", 1, func(s *model.Spec) { s.Shape = model.Service }).Job
	attempt := &model.Attempt{
		Task:    model.TaskID{Job: "s"},
		Machine: source.Machine,
		State:   model.AttemptPresent,
		Phase:   model.PhaseRunning,
	}
	job.ActiveAttempts[0] = attempt
	snapshot := newSnapshot([]*Node{source, target})
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != nil {
		t.Errorf("moved %v to a machine that would have to fetch its image, want none", got)
	}
	target.Machine.CachedImages["img"] = time.Unix(1, 0)
	snapshot = newSnapshot([]*Node{source, target}) // a snapshot builds its image index only once
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != attempt {
		t.Errorf("moved %v, want %v", got, attempt)
	}
	target.Free.CPU = 2
	if got := Consolidate(testSettings, longAfterStart, snapshot, job); got != nil {
		t.Errorf("moved %v although the target has no capacity, want none", got)
	}
}

// addReplicas adds the replicas of n services of one task each to a node, and marks their image as cached there.
func addReplicas(node *Node, n int) {
	for range n {
		job := model.NewJob(&model.Spec{
			ID:     fmt.Sprintf("%s-%d", node.Machine.Name, node.Machine.ActiveCount),
			Shape:  model.Service,
			Tasks:  1,
			Demand: model.Resources{CPU: 1, MemGB: 1},
			Image:  "img",
		}, time.Unix(0, 0), 1)
		attempt := &model.Attempt{
			Task:      model.TaskID{Job: job.Spec.ID},
			Job:       job,
			Machine:   node.Machine,
			Demand:    job.Spec.Demand,
			Usage:     &model.Usage{},
			Phase:     model.PhaseRunning,
			RunningAt: time.Unix(1, 0),
		}
		attempt.Transition(model.AttemptPresent)
		job.ActiveAttempts[0] = attempt
		if node.Machine.Attempts == nil {
			node.Machine.Attempts = map[model.AttemptKey]*model.Attempt{}
		}
		node.Machine.Attempts[model.AttemptKey{Task: attempt.Task}] = attempt
		node.Free = node.Free.Sub(attempt.Demand)
	}
	node.Machine.CachedImages["img"] = time.Unix(1, 0)
}

// Replicas on a machine that can be drained move to machines with a higher utilization, one at a time. They move only
// if all of them fit on machines that hold their images, in zones that may take them. Two machines of equal
// utilization do not swap replicas.
func TestDrainMovesReplicasToBusierMachines(t *testing.T) {
	replica := func(node *Node) *model.Attempt {
		return node.Machine.Attempts[model.AttemptKey{Task: model.TaskID{Job: "source-1"}}]
	}
	for name, c := range map[string]struct {
		want   string
		change func(source, target, other *Node)
	}{
		"capacity for all":      {"source-0", func(_, _, _ *Node) {}},
		"capacity for two only": {"", func(_, _, other *Node) { other.Free = model.Resources{} }},
		"image not cached":      {"", func(_, target, _ *Node) { clear(target.Machine.CachedImages) }},
		"target is more expensive": {"", func(_, target, _ *Node) {
			expensive := *cpuType
			expensive.PricePerHour = 3
			target.Machine.Type = &expensive
		}},
		"one replica has run for less than MinRuntime": {"", func(source, _, _ *Node) {
			replica(source).RunningAt = longAfterStart
		}},
		"array task on the machine": {"", func(source, _, _ *Node) {
			replica(source).Job.Spec.Shape = model.Array
		}},
		"no other machine has a higher utilization": {"", func(source, target, other *Node) {
			for _, node := range []*Node{target, other} {
				node.Machine.Used = source.Machine.Used
			}
		}},
	} {
		nodes := newNodes("source", "target", "other")
		addReplicas(nodes[0], 3)
		addReplicas(nodes[1], 6)
		addReplicas(nodes[2], 7)
		c.change(nodes[0], nodes[1], nodes[2])
		got := ""
		if attempt := Drain(testSettings, longAfterStart, newSnapshot(nodes)); attempt != nil {
			got = attempt.Task.Job
		}
		if got != c.want {
			t.Errorf("%s: moved %q, want %q", name, got, c.want)
		}
	}
}
