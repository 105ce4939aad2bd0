package ledgersim

import (
	"math"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Sum is an amount of run time: CPU-, GPU- and GB-microseconds.
type Sum struct{ CPU, GPU, Mem uint64 }

func (s *Sum) add(o Sum) { s.CPU, s.GPU, s.Mem = s.CPU+o.CPU, s.GPU+o.GPU, s.Mem+o.Mem }

// audit is the account that the stand-ins keep by themselves. It knows the definition of
// run time in docs/ledger.md and nothing of package ledger: it hears which messages of
// workers a leader takes and what they show, and sees when a leader's settlement leaves
// for the state service and when that carries it out. It never looks at an amount in
// one.
type audit struct {
	w       *fake.World
	leaders map[uint64]*heard  // by token
	sent    map[settlement]Sum // not carried out (yet)
	known   map[settlement]bool
	total   map[string]Sum // by team: what has to be in the ledger
	ended   map[string]uint64
	settled int // settlements that were carried out
	useOps  int // changes of the ledger's records
	allOps  int
}

// heard is what one leader has heard of workers.
type heard struct {
	machines map[string]*message
	pending  map[string]Sum // by team, since its last settlement
}

// message is the newest one of a machine that a leader has taken.
type message struct {
	session, seq uint64
	at           time.Time
	running      map[model.AttemptKey]bool
}

type settlement struct {
	team         string
	token, count uint64
}

func newAudit(w *fake.World) *audit {
	a := &audit{w: w, leaders: map[uint64]*heard{}, sent: map[settlement]Sum{}, known: map[settlement]bool{}, total: map[string]Sum{}, ended: map[string]uint64{}}
	w.Observer, w.State.Carried = a, a.carried
	return a
}

// triesOf is the token under which an attempt was launched: the upper part of its number.
func triesOf(try uint64) uint64 { return try >> 24 }

// Taken: a leader takes a message. What the message before showed running, and this one
// still shows, has run in between.
func (a *audit) Taken(c *fake.Controller, token uint64, r *model.Heartbeat) {
	l := a.leaders[token]
	if l == nil {
		l = &heard{machines: map[string]*message{}, pending: map[string]Sum{}}
		a.leaders[token] = l
	}
	last := l.machines[r.Machine]
	if last != nil && (r.Epoch < last.session || r.Epoch == last.session && r.Seq <= last.seq) {
		return // overtaken on the way
	}
	next := &message{session: r.Epoch, seq: r.Seq, at: a.w.Now(), running: map[model.AttemptKey]bool{}}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		key := model.AttemptKey{Task: t.Task, Number: t.Attempt}
		before := last != nil && last.session == r.Epoch && last.running[key]
		if before {
			s := a.w.Specs[t.Task.Job]
			p := l.pending[s.Team]
			p.add(during(s.Demand, next.at.Sub(last.at)))
			l.pending[s.Team] = p
		}
		if t.Phase != model.PhaseRunning && t.Phase != model.PhaseCheckpointing {
			continue
		}
		// Of a job whose end a leader has read before it sees the attempt, it knows
		// neither team nor request; that is not run time.
		end, over := a.ended[t.Task.Job]
		if before || triesOf(t.Attempt) == token || !over || end > c.Seen {
			next.running[key] = true
		}
	}
	l.machines[r.Machine] = next
}

// during is what a request uses in some time.
func during(need model.Resources, d time.Duration) Sum {
	of := func(v float64) uint64 { return uint64(math.Round(v*1000)) * uint64(d.Milliseconds()) }
	return Sum{of(need.CPU), of(need.GPU), of(need.MemGB)}
}

// settlements finds the settlements among the changes of a transaction.
func settlements(ops []any) (out []settlement) {
	for _, o := range ops {
		m := o.(map[string]any)
		key, _ := m["write"].(string)
		if v, ok := m["value"].(map[string]any); ok && strings.HasPrefix(key, "use/o/") {
			team, _ := v["team"].(string)
			out = append(out, settlement{team, fake.Number(v["token"]), fake.Number(v["settled"])})
		}
	}
	return out
}

// Sent: a transaction leaves a controller. The first time that a settlement does, it is
// about all that its leader has heard by now.
func (a *audit) Sent(ops []any) {
	for _, s := range settlements(ops) {
		if a.known[s] {
			continue
		}
		a.known[s] = true
		if l := a.leaders[s.token]; l != nil {
			a.sent[s] = l.pending[s.team]
			delete(l.pending, s.team)
		}
	}
}

// carried: the state service carries a transaction out. What its settlements are about
// is on record from now on.
func (a *audit) carried(ops []any) {
	a.allOps += len(ops)
	for _, s := range settlements(ops) {
		t := a.total[s.team]
		t.add(a.sent[s])
		a.total[s.team] = t
		delete(a.sent, s)
		a.settled++
	}
	for _, o := range ops {
		key, _ := o.(map[string]any)["write"].(string)
		gone, _ := o.(map[string]any)["remove"].(string)
		if strings.HasPrefix(key, "use/") || strings.HasPrefix(gone, "use/") {
			a.useOps++
		}
		if id, ok := strings.CutPrefix(key, "job/e/"); ok {
			a.ended[id] = a.w.State.Revision()
		}
	}
}
