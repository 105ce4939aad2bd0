package model

import (
	"slices"
	"time"
)

// Outcome is how a job has ended.
type Outcome uint8

// The outcomes of a job.
const (
	OutcomeUnknown Outcome = iota // not ended, or not known
	OutcomeDone
	OutcomeCancelled
)

// DependencyState is the state of a job in the dependency graph.
type DependencyState uint8

// The states of a job in the graph. Only the durable end of a job changes the
// states of the jobs downstream of it: docs/safety.md, "Pipelines".
const (
	DependencyReferenced DependencyState = iota + 1 // a job depends on it; nothing else is known of it
	DependencyWaiting                               // depends on jobs that are not known to be done
	DependencySatisfied                             // all jobs that it depends on are done
	DependencyFailed                                // a job upstream of it, at any distance, is cancelled
	DependencyEnded
)

// String returns the state's name for logs and explanations.
func (s DependencyState) String() string {
	return [...]string{"none", "named", "waiting", "free", "doomed", "over"}[s]
}

// dependencyTransitions holds the allowed changes of a job's state in the graph.
var dependencyTransitions = map[DependencyState][]DependencyState{
	0:                    {DependencyReferenced, DependencyWaiting},
	DependencyReferenced: {DependencyWaiting, DependencyEnded},
	DependencyWaiting:    {DependencySatisfied, DependencyFailed, DependencyEnded},
	DependencySatisfied:  {DependencyEnded},
	DependencyFailed:     {DependencyEnded},
}

// DependencyNode is a job in the dependency graph.
type DependencyNode struct {
	ID          string
	State       DependencyState
	SatisfiedAt time.Time                  // when its last dependency was done, or it was submitted
	Upstream    map[string]*DependencyNode // the jobs that it depends on and that are not known to be done
	Downstream  map[string]*DependencyNode // the unfinished jobs that depend on it
	DecidedBy   string                     // failed: the cancelled job; satisfied: the job that was done last
}

// transition changes the node's state; nothing else does. It reports whether the
// change is allowed.
func (n *DependencyNode) transition(to DependencyState) bool {
	if !slices.Contains(dependencyTransitions[n.State], to) {
		return false
	}
	n.State = to
	return true
}

// DependencyGraph holds which unfinished jobs depend on which. It forgets jobs
// that have ended, once their end is propagated downstream, so that its size and
// the cost of a change do not grow with history.
type DependencyGraph struct {
	nodes           map[string]*DependencyNode
	referencedCount int // nodes in the state DependencyReferenced
}

// NewDependencyGraph returns an empty graph.
func NewDependencyGraph() *DependencyGraph {
	return &DependencyGraph{nodes: map[string]*DependencyNode{}}
}

// Node returns the node of a job that is unfinished or referenced, or nil.
func (g *DependencyGraph) Node(id string) *DependencyNode { return g.nodes[id] }

// nodeFor returns the node of a job, and creates it if need be.
func (g *DependencyGraph) getOrCreate(id string) *DependencyNode {
	n := g.nodes[id]
	if n == nil {
		n = &DependencyNode{ID: id}
		g.nodes[id] = n
	}
	return n
}

// Add enters an unfinished job. It is satisfied at once if it depends on nothing.
func (g *DependencyGraph) Add(id string, dependencies []string, submitted time.Time) *DependencyNode {
	n := g.getOrCreate(id)
	if n.State == DependencyReferenced {
		g.referencedCount--
	}
	if !n.transition(DependencyWaiting) {
		return n // known already
	}
	n.SatisfiedAt = submitted
	for _, dependency := range dependencies {
		upstream := g.getOrCreate(dependency)
		if upstream.transition(DependencyReferenced) {
			g.referencedCount++
		}
		connect(upstream, n)
		if upstream.State == DependencyFailed {
			g.failDownstream(n, upstream.DecidedBy, nil)
		}
	}
	if len(n.Upstream) == 0 {
		n.transition(DependencySatisfied)
	}
	return n
}

// connect makes one node depend on another.
func connect(upstream, downstream *DependencyNode) {
	if downstream.Upstream == nil {
		downstream.Upstream = map[string]*DependencyNode{}
	}
	if upstream.Downstream == nil {
		upstream.Downstream = map[string]*DependencyNode{}
	}
	downstream.Upstream[upstream.ID], upstream.Downstream[downstream.ID] = upstream, downstream
}

// End removes a job whose end is durable, and propagates the end. It returns the
// jobs whose dependencies it has satisfied, or those that it has failed, at any
// distance downstream.
func (g *DependencyGraph) End(id string, outcome Outcome, at time.Time) (satisfied, failed []*DependencyNode) {
	n := g.nodes[id]
	if n == nil || outcome == OutcomeUnknown {
		return nil, nil
	}
	if n.State == DependencyReferenced {
		g.referencedCount--
	}
	n.transition(DependencyEnded)
	delete(g.nodes, id)
	for _, upstream := range n.Upstream {
		g.disconnect(upstream, n)
	}
	for _, downstream := range n.Downstream {
		delete(downstream.Upstream, id)
		if outcome == OutcomeCancelled {
			failed = g.failDownstream(downstream, id, failed)
			continue
		}
		if at.After(downstream.SatisfiedAt) {
			downstream.SatisfiedAt = at
		}
		if len(downstream.Upstream) == 0 && downstream.transition(DependencySatisfied) {
			downstream.DecidedBy = id
			satisfied = append(satisfied, downstream)
		}
	}
	return satisfied, failed
}

// disconnect removes the edge from a node to one downstream of it. A node that is
// only referenced goes with its last edge.
func (g *DependencyGraph) disconnect(upstream, downstream *DependencyNode) {
	delete(upstream.Downstream, downstream.ID)
	if upstream.State == DependencyReferenced && len(upstream.Downstream) == 0 {
		g.referencedCount--
		delete(g.nodes, upstream.ID)
	}
}

// failDownstream fails a node and all that are downstream of it, and appends them
// to failed. It does not recurse, since chains of jobs may be long.
func (g *DependencyGraph) failDownstream(n *DependencyNode, cause string, failed []*DependencyNode) []*DependencyNode {
	for stack := []*DependencyNode{n}; len(stack) > 0; {
		n, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if !n.transition(DependencyFailed) {
			continue
		}
		n.DecidedBy = cause
		failed = append(failed, n)
		for _, downstream := range n.Downstream {
			stack = append(stack, downstream)
		}
	}
	return failed
}

// Forget takes back that a job is known to be unfinished: a view that has missed
// changes cannot tell how it ended. Jobs that depend on it wait.
func (g *DependencyGraph) Forget(id string) {
	n := g.nodes[id]
	if n == nil || n.State == DependencyReferenced {
		return
	}
	delete(g.nodes, id)
	for _, upstream := range n.Upstream {
		g.disconnect(upstream, n)
	}
	if len(n.Downstream) == 0 {
		return
	}
	replacement := g.getOrCreate(id)
	replacement.transition(DependencyReferenced)
	g.referencedCount++
	for _, downstream := range n.Downstream {
		connect(replacement, downstream)
	}
}

// Referenced lists the jobs in the state DependencyReferenced.
func (g *DependencyGraph) Referenced() []string {
	if g.referencedCount == 0 {
		return nil
	}
	var ids []string
	for id, n := range g.nodes {
		if n.State == DependencyReferenced {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReferencedUpstream lists the jobs in the state DependencyReferenced that are
// upstream of a job, at any distance.
func (g *DependencyGraph) ReferencedUpstream(id string) []string {
	n := g.nodes[id]
	if g.referencedCount == 0 || n == nil {
		return nil
	}
	var ids []string
	seen := map[*DependencyNode]bool{n: true}
	for stack := []*DependencyNode{n}; len(stack) > 0; {
		n, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if n.State == DependencyReferenced {
			ids = append(ids, n.ID)
		}
		for _, upstream := range n.Upstream {
			if !seen[upstream] {
				seen[upstream] = true
				stack = append(stack, upstream)
			}
		}
	}
	return ids
}
