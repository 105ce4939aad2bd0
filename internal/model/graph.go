package model

import "time"

// End is how a job has ended.
type End uint8

// The ends of a job.
const (
	EndUnknown End = iota // not ended, or not known
	EndDone
	EndCancelled
)

// LinkState is where a job stands among the jobs that it needs and that need it.
type LinkState uint8

// The states of a job in the graph. Only the durable end of a job moves the jobs
// behind it: docs/safety.md, "Pipelines".
const (
	LinkNamed   LinkState = iota + 1 // named by a job that needs it; nothing else is known of it
	LinkWaiting                      // needs jobs that are not known to be done
	LinkFree                         // all that it needs is done
	LinkDoomed                       // a job that it needs, directly or through others, is cancelled
	LinkOver                         // has ended
)

func (s LinkState) String() string {
	return [...]string{"none", "named", "waiting", "free", "doomed", "over"}[s]
}

var linkMoves = map[LinkState][]LinkState{
	0:           {LinkNamed, LinkWaiting},
	LinkNamed:   {LinkWaiting, LinkOver},
	LinkWaiting: {LinkFree, LinkDoomed, LinkOver},
	LinkFree:    {LinkOver},
	LinkDoomed:  {LinkOver},
}

// Link is a job's place in the graph.
type Link struct {
	ID    string
	State LinkState
	Freed time.Time        // when the last of what it needs was done, or it was submitted
	Needs map[string]*Link // what it needs and is not known to be done
	Feeds map[string]*Link // the unfinished jobs that need it
	By    string           // doomed: the cancelled job; free: the job that was done last
}

// set changes the link's state; it is the only place that does. It tells whether
// the change is allowed.
func (l *Link) set(s LinkState) bool {
	for _, to := range linkMoves[l.State] {
		if to == s {
			l.State = s
			return true
		}
	}
	return false
}

// Graph holds which unfinished jobs need which. It knows nothing of jobs that have
// ended: their end has been passed on to the jobs behind them, so its size and the
// cost of a change do not grow with history.
type Graph struct {
	links map[string]*Link
	named int // links of which nothing but the name is known
}

// NewGraph makes an empty graph.
func NewGraph() *Graph { return &Graph{links: map[string]*Link{}} }

// Link finds an unfinished job, or one that is only named; nil: it is neither.
func (g *Graph) Link(id string) *Link { return g.links[id] }

func (g *Graph) at(id string) *Link {
	l := g.links[id]
	if l == nil {
		l = &Link{ID: id}
		g.links[id] = l
	}
	return l
}

// Add enters an unfinished job. It is free at once if it needs nothing.
func (g *Graph) Add(id string, needs []string, at time.Time) *Link {
	l := g.at(id)
	if l.State == LinkNamed {
		g.named--
	}
	if !l.set(LinkWaiting) {
		return l // known already
	}
	l.Freed = at
	for _, n := range needs {
		need := g.at(n)
		if need.set(LinkNamed) {
			g.named++
		}
		link(need, l)
		if need.State == LinkDoomed {
			g.doom(l, need.By, nil)
		}
	}
	if len(l.Needs) == 0 {
		l.set(LinkFree)
	}
	return l
}

func link(need, l *Link) {
	if l.Needs == nil {
		l.Needs = map[string]*Link{}
	}
	if need.Feeds == nil {
		need.Feeds = map[string]*Link{}
	}
	l.Needs[need.ID], need.Feeds[l.ID] = need, l
}

// End takes the durable end of a job out of the graph and passes it on: it returns
// the jobs that it has freed, or the ones that it has doomed, directly or through
// others.
func (g *Graph) End(id string, end End, at time.Time) (freed, doomed []*Link) {
	l := g.links[id]
	if l == nil || end == EndUnknown {
		return nil, nil
	}
	if l.State == LinkNamed {
		g.named--
	}
	l.set(LinkOver)
	delete(g.links, id)
	for _, need := range l.Needs {
		g.unlink(need, l)
	}
	for _, next := range l.Feeds {
		delete(next.Needs, id)
		if end == EndCancelled {
			doomed = g.doom(next, id, doomed)
			continue
		}
		if at.After(next.Freed) {
			next.Freed = at
		}
		if len(next.Needs) == 0 && next.set(LinkFree) {
			next.By = id
			freed = append(freed, next)
		}
	}
	return freed, doomed
}

// unlink lets go of a job that was needed. Of one that is only named, the name goes
// with the last job that needs it.
func (g *Graph) unlink(need, l *Link) {
	delete(need.Feeds, l.ID)
	if need.State == LinkNamed && len(need.Feeds) == 0 {
		g.named--
		delete(g.links, need.ID)
	}
}

// doom marks a job and all behind it. It goes by a list of its own: pipelines may be
// deep.
func (g *Graph) doom(l *Link, by string, doomed []*Link) []*Link {
	for todo := []*Link{l}; len(todo) > 0; {
		l, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if !l.set(LinkDoomed) {
			continue
		}
		l.By = by
		doomed = append(doomed, l)
		for _, next := range l.Feeds {
			todo = append(todo, next)
		}
	}
	return doomed
}

// Forget takes back that a job is known to be unfinished: a view that has missed
// changes cannot tell how it ended. What needs it waits.
func (g *Graph) Forget(id string) {
	l := g.links[id]
	if l == nil || l.State == LinkNamed {
		return
	}
	delete(g.links, id)
	for _, need := range l.Needs {
		g.unlink(need, l)
	}
	if len(l.Feeds) == 0 {
		return
	}
	named := g.at(id)
	named.set(LinkNamed)
	g.named++
	for _, next := range l.Feeds {
		link(named, next)
	}
}

// Named lists jobs of which nothing but the name is known.
func (g *Graph) Named() []string {
	if g.named == 0 {
		return nil
	}
	var out []string
	for id, l := range g.links {
		if l.State == LinkNamed {
			out = append(out, id)
		}
	}
	return out
}

// NamedBefore lists the jobs of which nothing but the name is known and on whose end
// a job hangs, directly or through others.
func (g *Graph) NamedBefore(id string) []string {
	l := g.links[id]
	if g.named == 0 || l == nil {
		return nil
	}
	var out []string
	seen := map[*Link]bool{l: true}
	for todo := []*Link{l}; len(todo) > 0; {
		l, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if l.State == LinkNamed {
			out = append(out, l.ID)
		}
		for _, need := range l.Needs {
			if !seen[need] {
				seen[need] = true
				todo = append(todo, need)
			}
		}
	}
	return out
}
