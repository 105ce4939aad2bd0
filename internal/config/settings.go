package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/scheduler"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// tasksPerNumberedChunk is how many tasks a numbered chunk of the finished-task record has. The
// first version went by the limit on a value: half of it, two digits for eight tasks.
func tasksPerNumberedChunk(valueKB float64) int {
	return max(int(valueKB*1024/2)/2*8/64*64, 64)
}

// ReconcilerSettings puts together what the core of a leader works by.
func ReconcilerSettings(p *Platform, o *Operator) reconciler.Settings {
	d := &p.Deployment
	silent := o.Workers.UnresponsiveAfter.Std()
	if silent == 0 {
		// Three reports missed, and time for one try at another controller.
		silent = Seconds(3*d.Workers.Report) + time.Second
	}
	return reconciler.Settings{
		Member: p.Member, Teams: p.Teams(), Objectives: classObjectives(d.Objectives),
		HeartbeatInterval: Seconds(d.Workers.Report), WorkerLease: Seconds(d.Workers.Lease), GangWait: Seconds(d.Workers.GangWait),
		GangPeer: Seconds(d.Workers.GangPeer), CancelWithin: Seconds(d.Workers.Cancel), MachineListLag: Seconds(d.Cloud.ListLag),
		Scheduler: scheduler.Settings{IdlePowerFraction: o.Scheduler.IdlePowerFraction, PromoteAfter: o.Scheduler.PromoteAfter.Std(), PromoteLateAfter: o.Scheduler.PromoteLateAfter.Std(), MaxPreemptions: o.Scheduler.MaxPreemptions, MaxStarts: o.Scheduler.MaxStarts,
			MinRuntime: o.Scheduler.MinRuntime.Std(), ImageFirst: o.Scheduler.ImageFirst, TightSlack: o.Scheduler.TightSlack.Std(), ExpensiveFactor: o.Scheduler.ExpensiveFactor, FetchByDeadline: o.Scheduler.FetchByDeadline, Drain: o.Scheduler.Drain, StarvationBound: o.Scheduler.StarvationBound.Std(), PreemptForGuarantees: o.Scheduler.PreemptForGuarantees},
		Autoscaler: autoscaler.Settings{IdleTimeout: o.Autoscaler.IdleTimeout.Std(), IdleBootFactor: o.Autoscaler.IdleBootFactor, MinBilledTime: o.Autoscaler.MinBilledTime.Std(), SpotIdleFactor: o.Autoscaler.SpotIdleFactor, BootTimeoutFactor: o.Autoscaler.BootTimeoutFactor,
			BootTimeoutExtra: o.Autoscaler.BootTimeoutExtra.Std(), RefusalBackoff: o.Autoscaler.RefusalBackoff.Std(), LookaheadBoots: o.Autoscaler.LookaheadBoots, MaxPerRequest: 50},
		LeaseMargin: o.Workers.LeaseMargin.Std(), PassInterval: o.Scheduler.PassInterval.Std(), FlushInterval: o.Scheduler.FlushInterval.Std(),
		MachineListInterval: o.Autoscaler.ListInterval.Std(), CatalogInterval: o.Autoscaler.CatalogInterval.Std(),
		UnresponsiveAfter: silent, MaxUnresponsiveShare: o.Workers.MaxUnresponsiveShare,
		Backoff: o.Scheduler.Backoff.Std(), MaxBackoff: o.Scheduler.MaxBackoff.Std(), MachineFaultErrors: o.Workers.MachineFaultErrors,
		CommandHoldOff: o.Workers.CommandHoldOff.Std(), ConsolidateInterval: o.Scheduler.ConsolidateInterval.Std(), MaxTxnOps: p.StateLimits().TxnOps, NumberedChunkTasks: tasksPerNumberedChunk(p.valueKB()),
		Ledger: LedgerSettings(p, o),
	}
}

// LedgerSettings puts together what the accounting goes by; nil: no ledger is kept.
func LedgerSettings(p *Platform, o *Operator) *reconciler.LedgerSettings {
	if o.Ledger == nil {
		return nil
	}
	share := defaultFairShare()
	if o.FairShare != nil {
		share = *o.FairShare
	}
	limits := p.StateLimits()
	most := min(int(limits.ValueKB*1024), maxLedgerRecordBytes)
	teams := p.Teams()
	l := &reconciler.LedgerSettings{FairShare: o.FairShare != nil, Weights: map[string]float64{},
		Settings: ledger.Settings{HalfLife: share.HalfLife.Std(), Weights: ledger.Weights{GPU: share.GPUWeight, Mem: share.MemoryWeight}, MaxRecordBytes: most,
			Retention: ledger.Retention{Hours: o.Ledger.KeepHours.Std(), Days: o.Ledger.KeepDays.Std()}, Seal: ledger.NewSeal(o.Ledger.Key),
			// Every team's account is one change. Guards against settlements that
			// take more than their part of the state service's changes.
			SettleInterval: max(o.Ledger.SettleInterval.Std(), Seconds(float64(len(teams))/(settlementChangeShare*max(limits.WriteRPS, 1e-3))))},
		TimeOfDay: func(now time.Time) time.Time { return now }}
	// By default what a team is guaranteed. One without a guarantee weighs as much as the
	// least of those that have one, and where nobody has one all weigh alike. Guards against
	// a team that was promised nothing and so counts for nothing beside the others.
	least := 0.0
	for _, t := range teams {
		if g := t.Guarantee.CPU + share.GPUWeight*t.Guarantee.GPU; g > 0 {
			l.Weights[t.Name] = max(g, 1)
			if least == 0 || l.Weights[t.Name] < least {
				least = l.Weights[t.Name]
			}
		}
	}
	for _, t := range teams {
		if _, ok := l.Weights[t.Name]; !ok {
			l.Weights[t.Name] = max(least, 1)
		}
	}
	for _, w := range share.Weights {
		l.Weights[w.Team] = w.Value
	}
	return l
}

// CheckConsistency checks what the operators' file says against the platform's.
func CheckConsistency(p *Platform, o *Operator) error {
	if o.FairShare == nil {
		return nil
	}
	for _, w := range o.FairShare.Weights {
		if !slices.ContainsFunc(p.Deployment.Teams, func(t team) bool { return t.Name == w.Team }) {
			return fmt.Errorf("fair-share: there is no team %q to have a weight", w.Team)
		}
	}
	return nil
}

// AdminSettings puts together what the operators' interface works by.
func AdminSettings(p *Platform, o *Operator) admin.Settings {
	s := admin.Settings{BearerToken: o.Admin.Token, FairShareEnabled: o.FairShare != nil, ReadsPerSecond: max(adminRequestShare*p.StateLimits().RPS, 1)}
	if l := LedgerSettings(p, o); l != nil {
		s.LedgerEnabled, s.HalfLife, s.Weights, s.Seal = true, l.HalfLife, l.Weights, l.Seal
	}
	return s
}

// adminRequestShare is the part of the state service's requests that operators' reading takes at
// most, of the share that a controller has anyway.
const adminRequestShare = 0.02

const (
	settlementChangeShare = 0.02     // of the changes that the state service takes, for settlements
	maxLedgerRecordBytes  = 12 << 10 // of a page: two of them go into one transaction
)

// StoreLimits puts together what the records are kept within.
func StoreLimits(p *Platform) store.Limits {
	l := p.StateLimits()
	return store.Limits{MaxValueBytes: int(l.ValueKB * 1024), MaxChanges: l.TxnOps}
}

// ElectionSettings puts together what the election works by.
func ElectionSettings(p *Platform, o *Operator) election.Settings {
	s := election.Settings{Member: p.Member, LeaseDuration: o.Leadership.Lease.Std(), SafetyMargin: o.Leadership.Margin.Std(),
		PollInterval: o.Leadership.PollInterval.Std(), RetryInterval: o.Leadership.RetryInterval.Std(), MaxLevel: featuregate.Supported}
	for _, m := range p.Members {
		s.Peers = append(s.Peers, m.Member)
	}
	// A cancellation that the leader learns of only when its right has ended: workers'
	// leases, which it has kept alive until then, must run out in time.
	if w := p.Deployment.Workers; o.Votes != nil && Seconds(w.Lease)+s.LeaseDuration+voteSlack < Seconds(w.Cancel) {
		s.VoteDuration = s.LeaseDuration * 7 / 8
		// The same for a cancellation that somebody tells of right after such a promise.
		if s.OutageVoteDuration = min(o.Votes.Outage.Std(), Seconds(w.Cancel)-Seconds(w.Lease)-voteSlack); s.OutageVoteDuration <= s.VoteDuration {
			s.OutageVoteDuration = 0
		}
	}
	return s
}

// StalenessBound is how old a leader's knowledge of cancellations may be; ok is false where workers'
// leases are too long for any bound.
func StalenessBound(p *Platform) (b staleness.Bound, ok bool) {
	w := p.Deployment.Workers
	return staleness.BoundFor(Seconds(w.Cancel), Seconds(w.Lease))
}

// RoutingSettings puts together what users' requests are routed by; nil: they are answered where they
// come.
func RoutingSettings(p *Platform, o *Operator) *route.Settings {
	if o.Routing == nil {
		return nil
	}
	s := &route.Settings{RetryRatio: o.Routing.RetryRatio, MinHedgeDelay: o.Routing.MinHedgeDelay.Std(), MaxConcurrent: o.Routing.MaxConcurrent}
	for _, m := range p.Members {
		s.OtherMembers = append(s.OtherMembers, m.Member)
	}
	return s
}

// RelaySettings puts together what reports by way of the state service go by; nil: they don't go that way.
func RelaySettings(p *Platform, o *Operator) *relay.Settings {
	if o.Relay == nil {
		return nil
	}
	// A batch is one change, and its answers are another one.
	every := Seconds(1 / (relayChangeShare * max(p.StateLimits().WriteRPS, 1e-3)))
	return &relay.Settings{BatchInterval: min(max(every, 200*time.Millisecond), time.Second), MaxQueued: 512, MaxQueuedBytes: 2 << 20, MaxInFlight: 3, HeartbeatTimeout: 3300 * time.Millisecond, RetryAfter: 8 * time.Second}
}

// relayChangeShare is the part of the state service's changes that one member's reports take at most,
// and as much their answers.
const relayChangeShare = 0.05

// voteSlack is for messages under way, margins and drift.
const voteSlack = 3 * time.Second

// classObjectives sorts out which objectives the order of waiting work depends on.
func classObjectives(objectives []Objective) map[string][]reconciler.Objective {
	out := map[string][]reconciler.Objective{}
	for _, o := range objectives {
		var a reconciler.Objective
		switch o.Kind {
		case "wait":
			a.StartWithin = Seconds(o.Within)
		case "finished":
			a.FinishWithin = Seconds(o.Within)
		case "deadline":
			a.DeadlineMultiple = o.Times
		}
		if o.Class != "" && a != (reconciler.Objective{}) {
			out[o.Class] = append(out[o.Class], a)
		}
	}
	return out
}
