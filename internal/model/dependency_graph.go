package model

import (
	"slices"
	"time"
)

// Outcome is the way in which a job has ended.
type Outcome uint8

// The outcomes of a job.
const (
	OutcomeUnknown Outcome = iota // the job has not ended, or its outcome is not known
	OutcomeDone                   // all tasks are done
	OutcomeCancelled
)

// DependencyState is the state of a job in the dependency graph.
type DependencyState uint8

// The states of a job in the dependency graph. The end of a job affects its downstream jobs only once it is durable.
// See docs/safety.md, "Pipelines".
const (
	DependencyReferenced DependencyState = iota + 1 // another job depends on it; the job itself was not added
	DependencyWaiting                               // it depends on jobs that are not known to be done
	DependencySatisfied                             // all jobs that it depends on are done
	DependencyFailed                                // a direct or transitive dependency was cancelled
	DependencyEnded                                 // it has ended and was removed from the graph
)

// String returns the state's name for logs and explanations, "none" for the zero value.
func (s DependencyState) String() string {
	return [...]string{"none", "named", "waiting", "free", "doomed", "over"}[s]
}

// dependencyTransitions lists the states that may follow each state of a job in the dependency graph.
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
	SatisfiedAt time.Time                  // the later of its submission and the last completion of a dependency
	Upstream    map[string]*DependencyNode // direct dependencies that are not known to be done, by job ID
	Downstream  map[string]*DependencyNode // unfinished jobs that directly depend on it, by job ID
	// DecidedBy is the ID of the cancelled job if the state is DependencyFailed. If the state is DependencySatisfied,
	// it is the ID of the dependency that was done last, or "" if there was none.
	DecidedBy string
}

// transition changes the node's state if the change is allowed, and reports whether it is. The state is not changed
// in any other way.
func (n *DependencyNode) transition(to DependencyState) bool {
	if !slices.Contains(dependencyTransitions[n.State], to) {
		return false
	}
	n.State = to
	return true
}

// DependencyGraph tracks the dependencies between unfinished jobs. A job that has ended is removed once its end is
// propagated to its downstream jobs, so the size of the graph and the cost of a change do not grow with the number of
// ended jobs. A graph is not safe for concurrent use.
type DependencyGraph struct {
	nodes           map[string]*DependencyNode
	referencedCount int // number of nodes in the state DependencyReferenced
}

// NewDependencyGraph returns an empty graph.
func NewDependencyGraph() *DependencyGraph {
	return &DependencyGraph{nodes: map[string]*DependencyNode{}}
}

// Node returns the node of a job that was added or that another job depends on, or nil if there is none.
func (g *DependencyGraph) Node(id string) *DependencyNode { return g.nodes[id] }

// getOrCreate returns the node of a job. It creates one without a state if there is none.
func (g *DependencyGraph) getOrCreate(id string) *DependencyNode {
	node := g.nodes[id]
	if node == nil {
		node = &DependencyNode{ID: id}
		g.nodes[id] = node
	}
	return node
}

// Add adds an unfinished job and its direct dependencies to the graph, and returns its node. A job without
// dependencies is satisfied immediately, and a job with a failed dependency fails immediately. If the job was added
// before, Add only returns its node.
func (g *DependencyGraph) Add(id string, dependencies []string, submittedAt time.Time) *DependencyNode {
	node := g.getOrCreate(id)
	if node.State == DependencyReferenced {
		g.referencedCount--
	}
	if !node.transition(DependencyWaiting) {
		return node // already added
	}
	node.SatisfiedAt = submittedAt
	for _, dependency := range dependencies {
		upstream := g.getOrCreate(dependency)
		if upstream.transition(DependencyReferenced) {
			g.referencedCount++
		}
		connect(upstream, node)
		if upstream.State == DependencyFailed {
			g.failDownstream(node, upstream.DecidedBy, nil)
		}
	}
	if len(node.Upstream) == 0 {
		node.transition(DependencySatisfied)
	}
	return node
}

// connect adds an edge, which makes downstream depend on upstream.
func connect(upstream, downstream *DependencyNode) {
	if downstream.Upstream == nil {
		downstream.Upstream = map[string]*DependencyNode{}
	}
	if upstream.Downstream == nil {
		upstream.Downstream = map[string]*DependencyNode{}
	}
	downstream.Upstream[upstream.ID], upstream.Downstream[downstream.ID] = upstream, downstream
}

// End removes a job whose end is durable, and propagates its outcome to its downstream jobs. If the job is done,
// satisfied holds the nodes whose last pending dependency it was. If the job was cancelled, failed holds the direct
// and transitive dependents that were not failed before. The call has no effect if the outcome is OutcomeUnknown or
// the job is not in the graph.
func (g *DependencyGraph) End(id string, outcome Outcome, endedAt time.Time) (satisfied, failed []*DependencyNode) {
	node := g.nodes[id]
	if node == nil || outcome == OutcomeUnknown {
		return nil, nil
	}
	if node.State == DependencyReferenced {
		g.referencedCount--
	}
	node.transition(DependencyEnded)
	delete(g.nodes, id)
	for _, upstream := range node.Upstream {
		g.disconnect(upstream, node)
	}
	for _, downstream := range node.Downstream {
		delete(downstream.Upstream, id)
		if outcome == OutcomeCancelled {
			failed = g.failDownstream(downstream, id, failed)
			continue
		}
		if endedAt.After(downstream.SatisfiedAt) {
			downstream.SatisfiedAt = endedAt
		}
		if len(downstream.Upstream) == 0 && downstream.transition(DependencySatisfied) {
			downstream.DecidedBy = id
			satisfied = append(satisfied, downstream)
		}
	}
	return satisfied, failed
}

// disconnect removes an edge. It also removes the upstream node if that is only referenced and this was its last
// edge.
func (g *DependencyGraph) disconnect(upstream, downstream *DependencyNode) {
	delete(upstream.Downstream, downstream.ID)
	if upstream.State == DependencyReferenced && len(upstream.Downstream) == 0 {
		g.referencedCount--
		delete(g.nodes, upstream.ID)
	}
}

// failDownstream puts a node and all its direct and transitive dependents into DependencyFailed, and appends the
// nodes that were not failed before to failed. cause is the ID of the cancelled job. The traversal is iterative,
// since dependency chains may be long.
func (g *DependencyGraph) failDownstream(
	node *DependencyNode, cause string, failed []*DependencyNode,
) []*DependencyNode {
	for stack := []*DependencyNode{node}; len(stack) > 0; {
		node, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if !node.transition(DependencyFailed) {
			continue
		}
		node.DecidedBy = cause
		failed = append(failed, node)
		for _, downstream := range node.Downstream {
			stack = append(stack, downstream)
		}
	}
	return failed
}

// Forget removes a job that is no longer known to be unfinished and whose outcome is unknown. This happens if the
// caller has missed changes. If other jobs depend on it, it stays in the graph as DependencyReferenced, and they wait
// until its end is known.
func (g *DependencyGraph) Forget(id string) {
	node := g.nodes[id]
	if node == nil || node.State == DependencyReferenced {
		return
	}
	delete(g.nodes, id)
	for _, upstream := range node.Upstream {
		g.disconnect(upstream, node)
	}
	if len(node.Downstream) == 0 {
		return
	}
	replacement := g.getOrCreate(id)
	replacement.transition(DependencyReferenced)
	g.referencedCount++
	for _, downstream := range node.Downstream {
		connect(replacement, downstream)
	}
}

// ReferencedJobs returns the IDs of the jobs in the state DependencyReferenced, in no particular order.
func (g *DependencyGraph) ReferencedJobs() []string {
	if g.referencedCount == 0 {
		return nil
	}
	var ids []string
	for id, node := range g.nodes {
		if node.State == DependencyReferenced {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReferencedUpstream returns the IDs of the direct and transitive dependencies of a job that are in the state
// DependencyReferenced, in no particular order. It returns nil if the job is not in the graph.
func (g *DependencyGraph) ReferencedUpstream(id string) []string {
	node := g.nodes[id]
	if g.referencedCount == 0 || node == nil {
		return nil
	}
	var ids []string
	seen := map[*DependencyNode]bool{node: true}
	for stack := []*DependencyNode{node}; len(stack) > 0; {
		node, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if node.State == DependencyReferenced {
			ids = append(ids, node.ID)
		}
		for _, upstream := range node.Upstream {
			if !seen[upstream] {
				seen[upstream] = true
				stack = append(stack, upstream)
			}
		}
	}
	return ids
}
