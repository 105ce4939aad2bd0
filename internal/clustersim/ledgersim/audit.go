package ledgersim

import (
	"math"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Prefixes of the state service keys that the audit observes.
const (
	ledgerPrefix  = "use/"
	accountPrefix = "use/o/"
	jobEndPrefix  = "job/e/"
)

// milliUnitsPerUnit converts a demand into thousandths of a CPU, a GPU or a GB.
const milliUnitsPerUnit = 1000

// attemptTokenShift is the position of the lowest bit of the fencing token in an attempt's number.
const attemptTokenShift = 24

// ResourceTime is an amount of usage in CPU-, GPU- and GB-microseconds.
type ResourceTime struct{ CPU, GPU, Mem uint64 }

// add adds another amount to r.
func (r *ResourceTime) add(other ResourceTime) {
	r.CPU += other.CPU
	r.GPU += other.GPU
	r.Mem += other.Mem
}

// audit independently computes the usage that the ledger must contain. It follows the definition of run time in
// docs/ledger.md and shares no code with package ledger. It observes the heartbeats that leaders accept, when a leader
// sends a settlement, and when the state service commits the settlement. It never reads the amounts in a settlement.
// It implements fake.Observer.
type audit struct {
	world           *fake.World
	leaders         map[uint64]*leaderView      // by fencing token
	inFlight        map[settlement]ResourceTime // usage covered by settlements that were sent but not committed
	sent            map[settlement]bool         // settlements that were sent at least once
	committedByTeam map[string]ResourceTime     // usage that the ledger must contain
	endRevisions    map[string]uint64           // by job: the revision of the state service at which its end was committed
	settlementCount int                         // committed settlements
	ledgerWrites    int                         // committed operations on the records of the ledger
}

// leaderView is the information that one leader has received from workers.
type leaderView struct {
	machines map[string]*observation // the latest observation of each machine
	pending  map[string]ResourceTime // by team: usage since the last settlement that the leader has sent
}

// observation is the content of a heartbeat that a leader has accepted.
type observation struct {
	epoch, seq uint64
	receivedAt time.Time
	running    map[model.AttemptKey]bool // attempts that run and whose run time counts
}

// supersedes reports whether a heartbeat was sent before the observed one or is a duplicate of it.
func (o *observation) supersedes(heartbeat *model.Heartbeat) bool {
	return heartbeat.Epoch < o.epoch || heartbeat.Epoch == o.epoch && heartbeat.Seq <= o.seq
}

// shows reports whether the observation shows an attempt as running in an epoch of the worker. A nil observation shows
// no attempt.
func (o *observation) shows(epoch uint64, attempt model.AttemptKey) bool {
	return o != nil && o.epoch == epoch && o.running[attempt]
}

// settlement identifies a settlement: the count-th one of the team's account, made by the leader with the token.
type settlement struct {
	team         string
	token, count uint64
}

// newAudit returns an audit that observes a deployment from now on.
func newAudit(w *fake.World) *audit {
	a := &audit{
		world:           w,
		leaders:         map[uint64]*leaderView{},
		inFlight:        map[settlement]ResourceTime{},
		sent:            map[settlement]bool{},
		committedByTeam: map[string]ResourceTime{},
		endRevisions:    map[string]uint64{},
	}
	w.Observer, w.State.OnCommit = a, a.transactionCommitted
	return a
}

// leaderView returns the view of the leader with a fencing token. It creates the view if there is none.
func (a *audit) leaderView(token uint64) *leaderView {
	view := a.leaders[token]
	if view == nil {
		view = &leaderView{machines: map[string]*observation{}, pending: map[string]ResourceTime{}}
		a.leaders[token] = view
	}
	return view
}

// HeartbeatAccepted records a heartbeat that a leader has accepted. If an attempt was running in the previous heartbeat
// of the machine and is still listed in this one, it is charged for the time between the two.
func (a *audit) HeartbeatAccepted(c *fake.Controller, token uint64, heartbeat *model.Heartbeat) {
	view := a.leaderView(token)
	last := view.machines[heartbeat.Machine]
	if last != nil && last.supersedes(heartbeat) {
		return
	}
	next := &observation{
		epoch:      heartbeat.Epoch,
		seq:        heartbeat.Seq,
		receivedAt: a.world.Now(),
		running:    map[model.AttemptKey]bool{},
	}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		attempt := model.AttemptKey{Task: t.Task, Number: t.Attempt}
		ranBefore := last.shows(heartbeat.Epoch, attempt)
		if ranBefore {
			spec := a.world.Specs[t.Task.Job]
			usage := view.pending[spec.Team]
			usage.add(usageOver(spec.Demand, next.receivedAt.Sub(last.receivedAt)))
			view.pending[spec.Team] = usage
		}
		running := t.Phase == model.PhaseRunning || t.Phase == model.PhaseCheckpointing
		if running && (ranBefore || a.countsRunTime(c, token, attempt)) {
			next.running[attempt] = true
		}
	}
	view.machines[heartbeat.Machine] = next
}

// countsRunTime reports whether the run time of an attempt counts from the first heartbeat in which a leader sees the
// attempt running. It does not count if the leader had already read the end of the job, because the leader then knows
// neither the team nor the demand of the job. It always counts for attempts that the leader itself launched.
func (a *audit) countsRunTime(c *fake.Controller, token uint64, attempt model.AttemptKey) bool {
	end, ended := a.endRevisions[attempt.Task.Job]
	return launchToken(attempt.Number) == token || !ended || end > c.ReadRevision
}

// launchToken returns the fencing token under which an attempt was launched.
func launchToken(attempt uint64) uint64 { return attempt >> attemptTokenShift }

// usageOver returns the usage that results from a demand over a duration.
func usageOver(demand model.Resources, d time.Duration) ResourceTime {
	microseconds := func(v float64) uint64 { return uint64(math.Round(v*milliUnitsPerUnit)) * uint64(d.Milliseconds()) }
	return ResourceTime{CPU: microseconds(demand.CPU), GPU: microseconds(demand.GPU), Mem: microseconds(demand.MemGB)}
}

// settlements returns the settlements that a transaction contains.
func settlements(operations []fake.Operation) (found []settlement) {
	for _, operation := range operations {
		record, ok := operation.Value.(map[string]any)
		if !ok || !strings.HasPrefix(operation.Write, accountPrefix) {
			continue
		}
		team, _ := record["team"].(string)
		found = append(found, settlement{
			team:  team,
			token: fake.DecodeUint(record["token"]),
			count: fake.DecodeUint(record["settled"]),
		})
	}
	return found
}

// TransactionSent records that a controller has sent a transaction. A settlement that is sent for the first time covers
// all usage that its leader has observed and not settled before.
func (a *audit) TransactionSent(operations []fake.Operation) {
	for _, s := range settlements(operations) {
		if a.sent[s] {
			continue
		}
		a.sent[s] = true
		if view := a.leaders[s.token]; view != nil {
			a.inFlight[s] = view.pending[s.team]
			delete(view.pending, s.team)
		}
	}
}

// transactionCommitted records that the state service has committed a transaction. From then on, the ledger must
// contain the usage that the settlements in it cover.
func (a *audit) transactionCommitted(operations []fake.Operation) {
	for _, s := range settlements(operations) {
		total := a.committedByTeam[s.team]
		total.add(a.inFlight[s])
		a.committedByTeam[s.team] = total
		delete(a.inFlight, s)
		a.settlementCount++
	}
	for _, operation := range operations {
		if strings.HasPrefix(operation.Write, ledgerPrefix) || strings.HasPrefix(operation.Remove, ledgerPrefix) {
			a.ledgerWrites++
		}
		if id, ok := strings.CutPrefix(operation.Write, jobEndPrefix); ok {
			a.endRevisions[id] = a.world.State.Revision()
		}
	}
}
