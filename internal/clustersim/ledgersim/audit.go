package ledgersim

import (
	"math"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// tokenBits is the place of the launching leader's fencing token in the number of an attempt.
const tokenBits = 24

// Amount is an amount of run time: CPU-, GPU- and GB-microseconds.
type Amount struct{ CPU, GPU, Mem uint64 }

// add adds another amount.
func (a *Amount) add(o Amount) { a.CPU, a.GPU, a.Mem = a.CPU+o.CPU, a.GPU+o.GPU, a.Mem+o.Mem }

// audit is the account that the stand-ins keep by themselves. It knows the definition of run time in docs/ledger.md and
// nothing of package ledger: it sees which heartbeats a leader accepts and what they show, when a leader's settlement
// leaves for the state service, and when that carries it out. It never looks at an amount in one.
type audit struct {
	world           *fake.World
	leaders         map[uint64]*leaderView // by fencing token
	inFlight        map[settlement]Amount  // settlements that were not carried out so far
	seen            map[settlement]bool
	settledByTeam   map[string]Amount // what has to be in the ledger
	endRevisions    map[string]uint64 // by job: the revision of its end
	settlementCount int               // that were carried out
	ledgerOps       int               // changes of the ledger's records
}

// leaderView is what one leader has seen of workers.
type leaderView struct {
	machines map[string]*observation
	pending  map[string]Amount // by team, since its last settlement
}

// observation is the newest heartbeat of a machine that a leader has accepted.
type observation struct {
	epoch, seq uint64
	receivedAt time.Time
	running    map[model.AttemptKey]bool
}

// settlement names a settlement of a leader.
type settlement struct {
	team         string
	token, count uint64
}

// newAudit begins an account of a world.
func newAudit(w *fake.World) *audit {
	a := &audit{
		world:         w,
		leaders:       map[uint64]*leaderView{},
		inFlight:      map[settlement]Amount{},
		seen:          map[settlement]bool{},
		settledByTeam: map[string]Amount{},
		endRevisions:  map[string]uint64{},
	}
	w.Observer, w.State.OnCommit = a, a.committed
	return a
}

// launchToken is the fencing token under which an attempt was launched.
func launchToken(attempt uint64) uint64 { return attempt >> tokenBits }

// HeartbeatAccepted counts the run time between two heartbeats of a machine: of an attempt that the one before showed
// running and that this one still shows.
func (a *audit) HeartbeatAccepted(c *fake.Controller, token uint64, heartbeat *model.Heartbeat) {
	view := a.leaders[token]
	if view == nil {
		view = &leaderView{machines: map[string]*observation{}, pending: map[string]Amount{}}
		a.leaders[token] = view
	}
	last := view.machines[heartbeat.Machine]
	if last != nil && !last.precedes(heartbeat) {
		return // it was overtaken on its way
	}
	next := &observation{
		epoch:      heartbeat.Epoch,
		seq:        heartbeat.Seq,
		receivedAt: a.world.Now(),
		running:    map[model.AttemptKey]bool{},
	}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		key := model.AttemptKey{Task: t.Task, Number: t.Attempt}
		ranBefore := last != nil && last.epoch == heartbeat.Epoch && last.running[key]
		if ranBefore {
			spec := a.world.Specs[t.Task.Job]
			pending := view.pending[spec.Team]
			pending.add(usageOver(spec.Demand, next.receivedAt.Sub(last.receivedAt)))
			view.pending[spec.Team] = pending
		}
		if t.Phase != model.PhaseRunning && t.Phase != model.PhaseCheckpointing {
			continue
		}
		if ranBefore || launchToken(t.Attempt) == token || !a.readEnd(c, t.Task.Job) {
			next.running[key] = true
		}
	}
	view.machines[heartbeat.Machine] = next
}

// precedes tells whether a heartbeat is newer than an observation.
func (o *observation) precedes(heartbeat *model.Heartbeat) bool {
	return heartbeat.Epoch > o.epoch || heartbeat.Epoch == o.epoch && heartbeat.Seq > o.seq
}

// readEnd tells whether a leader has read a job's end. Of an attempt that it sees only then it knows neither team nor
// demand: that is not run time.
func (a *audit) readEnd(c *fake.Controller, job string) bool {
	end, ended := a.endRevisions[job]
	return ended && end <= c.ReadRevision
}

// usageOver is what a demand uses in some time.
func usageOver(demand model.Resources, d time.Duration) Amount {
	over := func(v float64) uint64 { return uint64(math.Round(v*1000)) * uint64(d.Milliseconds()) }
	return Amount{over(demand.CPU), over(demand.GPU), over(demand.MemGB)}
}

// settlements finds the settlements among the changes of a transaction.
func settlements(ops []fake.Operation) (found []settlement) {
	for _, op := range ops {
		if record, ok := op.Value.(map[string]any); ok && strings.HasPrefix(op.Write, "use/o/") {
			team, _ := record["team"].(string)
			token, count := fake.DecodeUint(record["token"]), fake.DecodeUint(record["settled"])
			found = append(found, settlement{team, token, count})
		}
	}
	return found
}

// TransactionSent notes what a settlement is about when it is sent for the first time: all that its leader has seen by
// now.
func (a *audit) TransactionSent(ops []fake.Operation) {
	for _, s := range settlements(ops) {
		if a.seen[s] {
			continue
		}
		a.seen[s] = true
		if view := a.leaders[s.token]; view != nil {
			a.inFlight[s] = view.pending[s.team]
			delete(view.pending, s.team)
		}
	}
}

// committed notes a transaction that the state service carries out. What its settlements are about is on record from
// now on.
func (a *audit) committed(ops []fake.Operation) {
	for _, s := range settlements(ops) {
		settled := a.settledByTeam[s.team]
		settled.add(a.inFlight[s])
		a.settledByTeam[s.team] = settled
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
