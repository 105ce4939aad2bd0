package ledgersim

import (
	"math"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Amount is an amount of run time: CPU-, GPU- and GB-microseconds.
type Amount struct{ CPU, GPU, Mem uint64 }

func (s *Amount) add(o Amount) { s.CPU, s.GPU, s.Mem = s.CPU+o.CPU, s.GPU+o.GPU, s.Mem+o.Mem }

// audit is the account that the stand-ins keep by themselves. It knows the definition of
// run time in docs/ledger.md and nothing of package ledger: it hears which messages of
// workers a leader takes and what they show, and sees when a leader's settlement leaves
// for the state service and when that carries it out. It never looks at an amount in
// one.
type audit struct {
	world           *fake.World
	leaders         map[uint64]*leaderView // by token
	inFlight        map[settlement]Amount  // not carried out (yet)
	seen            map[settlement]bool
	settledByTeam   map[string]Amount // by team: what has to be in the ledger
	endRevisions    map[string]uint64
	settlementCount int // settlements that were carried out
	ledgerOps       int // changes of the ledger's records
	allOps          int
}

// leaderView is what one leader has heard of workers.
type leaderView struct {
	machines map[string]*observation
	pending  map[string]Amount // by team, since its last settlement
}

// observation is the newest one of a machine that a leader has taken.
type observation struct {
	epoch, seq uint64
	receivedAt time.Time
	running    map[model.AttemptKey]bool
}

type settlement struct {
	team         string
	token, count uint64
}

func newAudit(w *fake.World) *audit {
	a := &audit{world: w, leaders: map[uint64]*leaderView{}, inFlight: map[settlement]Amount{}, seen: map[settlement]bool{}, settledByTeam: map[string]Amount{}, endRevisions: map[string]uint64{}}
	w.Observer, w.State.OnCommit = a, a.committed
	return a
}

// launchToken is the token under which an attempt was launched: the upper part of its number.
func launchToken(try uint64) uint64 { return try >> 24 }

// HeartbeatAccepted: a leader takes a message. What the message before showed running, and this one
// still shows, has run in between.
func (a *audit) HeartbeatAccepted(c *fake.Controller, token uint64, r *model.Heartbeat) {
	l := a.leaders[token]
	if l == nil {
		l = &leaderView{machines: map[string]*observation{}, pending: map[string]Amount{}}
		a.leaders[token] = l
	}
	last := l.machines[r.Machine]
	if last != nil && (r.Epoch < last.epoch || r.Epoch == last.epoch && r.Seq <= last.seq) {
		return // overtaken on the way
	}
	next := &observation{epoch: r.Epoch, seq: r.Seq, receivedAt: a.world.Now(), running: map[model.AttemptKey]bool{}}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		key := model.AttemptKey{Task: t.Task, Number: t.Attempt}
		before := last != nil && last.epoch == r.Epoch && last.running[key]
		if before {
			s := a.world.Specs[t.Task.Job]
			p := l.pending[s.Team]
			p.add(usageOver(s.Demand, next.receivedAt.Sub(last.receivedAt)))
			l.pending[s.Team] = p
		}
		if t.Phase != model.PhaseRunning && t.Phase != model.PhaseCheckpointing {
			continue
		}
		// Of a job whose end a leader has read before it sees the attempt, it knows
		// neither team nor request; that is not run time.
		end, over := a.endRevisions[t.Task.Job]
		if before || launchToken(t.Attempt) == token || !over || end > c.ReadRevision {
			next.running[key] = true
		}
	}
	l.machines[r.Machine] = next
}

// usageOver is what a request uses in some time.
func usageOver(need model.Resources, d time.Duration) Amount {
	of := func(v float64) uint64 { return uint64(math.Round(v*1000)) * uint64(d.Milliseconds()) }
	return Amount{of(need.CPU), of(need.GPU), of(need.MemGB)}
}

// settlements finds the settlements among the changes of a transaction.
func settlements(ops []fake.Operation) (out []settlement) {
	for _, op := range ops {
		if v, ok := op.Value.(map[string]any); ok && strings.HasPrefix(op.Write, "use/o/") {
			team, _ := v["team"].(string)
			out = append(out, settlement{team, fake.DecodeUint(v["token"]), fake.DecodeUint(v["settled"])})
		}
	}
	return out
}

// TransactionSent: a transaction leaves a controller. The first time that a settlement does, it is
// about all that its leader has heard by now.
func (a *audit) TransactionSent(ops []fake.Operation) {
	for _, s := range settlements(ops) {
		if a.seen[s] {
			continue
		}
		a.seen[s] = true
		if l := a.leaders[s.token]; l != nil {
			a.inFlight[s] = l.pending[s.team]
			delete(l.pending, s.team)
		}
	}
}

// committed: the state service carries a transaction out. What its settlements are about
// is on record from now on.
func (a *audit) committed(ops []fake.Operation) {
	a.allOps += len(ops)
	for _, s := range settlements(ops) {
		t := a.settledByTeam[s.team]
		t.add(a.inFlight[s])
		a.settledByTeam[s.team] = t
		delete(a.inFlight, s)
		a.settlementCount++
	}
	for _, op := range ops {
		if strings.HasPrefix(op.Write, "use/") || strings.HasPrefix(op.Remove, "use/") {
			a.ledgerOps++
		}
		if id, ok := strings.CutPrefix(op.Write, "job/e/"); ok {
			a.endRevisions[id] = a.world.State.Revision()
		}
	}
}
