package model

import "time"

// Outcome is how a job has ended.
type Outcome uint8

// The ends of a job.
const (
	OutcomeUnknown Outcome = iota // not ended, or not known
	OutcomeDone
	OutcomeCancelled
)

// DependencyState is where a job stands among the jobs that it needs and that need it.
type DependencyState uint8

// The states of a job in the graph. Only the durable end of a job moves the jobs
// behind it: docs/safety.md, "Pipelines".
const (
	DependencyReferenced DependencyState = iota + 1 // named by a job that needs it; nothing else is known of it
	DependencyWaiting                               // needs jobs that are not known to be done
	DependencySatisfied                             // all that it needs is done
	DependencyFailed                                // a job that it needs, directly or through others, is cancelled
	DependencyEnded                                 // has ended
)

func (s DependencyState) String() string {
	return [...]string{"none", "named", "waiting", "free", "doomed", "over"}[s]
}

var dependencyTransitions = map[DependencyState][]DependencyState{
	0:                    {DependencyReferenced, DependencyWaiting},
	DependencyReferenced: {DependencyWaiting, DependencyEnded},
	DependencyWaiting:    {DependencySatisfied, DependencyFailed, DependencyEnded},
	DependencySatisfied:  {DependencyEnded},
	DependencyFailed:     {DependencyEnded},
}

// DependencyNode is a job's place in the graph.
type DependencyNode struct {
	ID          string
	State       DependencyState
	SatisfiedAt time.Time                  // when the last of what it needs was done, or it was submitted
	Upstream    map[string]*DependencyNode // what it needs and is not known to be done
	Downstream  map[string]*DependencyNode // the unfinished jobs that need it
	DecidedBy   string                     // doomed: the cancelled job; free: the job that was done last
}

// transition changes the link's state; it is the only place that does. It tells whether
// the change is allowed.
func (l *DependencyNode) transition(s DependencyState) bool {
	for _, to := range dependencyTransitions[l.State] {
		if to == s {
			l.State = s
			return true
		}
	}
	return false
}

// DependencyGraph holds which unfinished jobs need which. It knows nothing of jobs that have
// ended: their end has been passed on to the jobs behind them, so its size and the
// cost of a change do not grow with history.
type DependencyGraph struct {
	nodes      map[string]*DependencyNode
	referenced int // links of which nothing but the name is known
}

// NewDependencyGraph makes an empty graph.
func NewDependencyGraph() *DependencyGraph {
	return &DependencyGraph{nodes: map[string]*DependencyNode{}}
}

// Node finds an unfinished job, or one that is only named; nil: it is neither.
func (g *DependencyGraph) Node(id string) *DependencyNode { return g.nodes[id] }

func (g *DependencyGraph) nodeFor(id string) *DependencyNode {
	l := g.nodes[id]
	if l == nil {
		l = &DependencyNode{ID: id}
		g.nodes[id] = l
	}
	return l
}

// Add enters an unfinished job. It is free at once if it needs nothing.
func (g *DependencyGraph) Add(id string, needs []string, at time.Time) *DependencyNode {
	l := g.nodeFor(id)
	if l.State == DependencyReferenced {
		g.referenced--
	}
	if !l.transition(DependencyWaiting) {
		return l // known already
	}
	l.SatisfiedAt = at
	for _, n := range needs {
		need := g.nodeFor(n)
		if need.transition(DependencyReferenced) {
			g.referenced++
		}
		connect(need, l)
		if need.State == DependencyFailed {
			g.failDownstream(l, need.DecidedBy, nil)
		}
	}
	if len(l.Upstream) == 0 {
		l.transition(DependencySatisfied)
	}
	return l
}

func connect(need, l *DependencyNode) {
	if l.Upstream == nil {
		l.Upstream = map[string]*DependencyNode{}
	}
	if need.Downstream == nil {
		need.Downstream = map[string]*DependencyNode{}
	}
	l.Upstream[need.ID], need.Downstream[l.ID] = need, l
}

// End takes the durable end of a job out of the graph and passes it on: it returns
// the jobs that it has freed, or the ones that it has doomed, directly or through
// others.
func (g *DependencyGraph) End(id string, end Outcome, at time.Time) (freed, doomed []*DependencyNode) {
	l := g.nodes[id]
	if l == nil || end == OutcomeUnknown {
		return nil, nil
	}
	if l.State == DependencyReferenced {
		g.referenced--
	}
	l.transition(DependencyEnded)
	delete(g.nodes, id)
	for _, need := range l.Upstream {
		g.disconnect(need, l)
	}
	for _, next := range l.Downstream {
		delete(next.Upstream, id)
		if end == OutcomeCancelled {
			doomed = g.failDownstream(next, id, doomed)
			continue
		}
		if at.After(next.SatisfiedAt) {
			next.SatisfiedAt = at
		}
		if len(next.Upstream) == 0 && next.transition(DependencySatisfied) {
			next.DecidedBy = id
			freed = append(freed, next)
		}
	}
	return freed, doomed
}

// disconnect lets go of a job that was needed. Of one that is only named, the name goes
// with the last job that needs it.
func (g *DependencyGraph) disconnect(need, l *DependencyNode) {
	delete(need.Downstream, l.ID)
	if need.State == DependencyReferenced && len(need.Downstream) == 0 {
		g.referenced--
		delete(g.nodes, need.ID)
	}
}

// failDownstream marks a job and all behind it. It goes by a list of its own: pipelines may be
// deep.
func (g *DependencyGraph) failDownstream(l *DependencyNode, by string, doomed []*DependencyNode) []*DependencyNode {
	for todo := []*DependencyNode{l}; len(todo) > 0; {
		l, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if !l.transition(DependencyFailed) {
			continue
		}
		l.DecidedBy = by
		doomed = append(doomed, l)
		for _, next := range l.Downstream {
			todo = append(todo, next)
		}
	}
	return doomed
}

// Forget takes back that a job is known to be unfinished: a view that has missed
// changes cannot tell how it ended. What needs it waits.
func (g *DependencyGraph) Forget(id string) {
	l := g.nodes[id]
	if l == nil || l.State == DependencyReferenced {
		return
	}
	delete(g.nodes, id)
	for _, need := range l.Upstream {
		g.disconnect(need, l)
	}
	if len(l.Downstream) == 0 {
		return
	}
	named := g.nodeFor(id)
	named.transition(DependencyReferenced)
	g.referenced++
	for _, next := range l.Downstream {
		connect(named, next)
	}
}

// Referenced lists jobs of which nothing but the name is known.
func (g *DependencyGraph) Referenced() []string {
	if g.referenced == 0 {
		return nil
	}
	var out []string
	for id, l := range g.nodes {
		if l.State == DependencyReferenced {
			out = append(out, id)
		}
	}
	return out
}

// ReferencedUpstream lists the jobs of which nothing but the name is known and on whose end
// a job hangs, directly or through others.
func (g *DependencyGraph) ReferencedUpstream(id string) []string {
	l := g.nodes[id]
	if g.referenced == 0 || l == nil {
		return nil
	}
	var out []string
	seen := map[*DependencyNode]bool{l: true}
	for todo := []*DependencyNode{l}; len(todo) > 0; {
		l, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if l.State == DependencyReferenced {
			out = append(out, l.ID)
		}
		for _, need := range l.Upstream {
			if !seen[need] {
				seen[need] = true
				todo = append(todo, need)
			}
		}
	}
	return out
}
