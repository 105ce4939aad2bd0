package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/courier"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/scheduler"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// numbered is how many tasks a numbered chunk of the finished-task record has. The
// first version went by the limit on a value: half of it, two digits for eight tasks.
func numbered(valueKB float64) int {
	return max(int(valueKB*1024/2)/2*8/64*64, 64)
}

// Control puts together what the core of a leader works by.
func Control(p *Platform, o *Operator) reconciler.Settings {
	d := &p.Deployment
	silent := o.Workers.SilentAfter.D()
	if silent == 0 {
		// Three reports missed, and time for one try at another controller.
		silent = Seconds(3*d.Workers.Report) + time.Second
	}
	return reconciler.Settings{
		Member: p.Member, Teams: p.Teams(), Aims: aims(d.Objectives),
		Report: Seconds(d.Workers.Report), Lease: Seconds(d.Workers.Lease), GangWait: Seconds(d.Workers.GangWait),
		GangPeer: Seconds(d.Workers.GangPeer), Cancel: Seconds(d.Workers.Cancel), ListLag: Seconds(d.Cloud.ListLag),
		Sched: scheduler.Settings{IdleShare: o.Scheduler.IdlePower, Overtake: o.Scheduler.Overtake.D(), OvertakeLate: o.Scheduler.OvertakeLate.D(), MaxPreempt: o.Scheduler.PreemptMost, StartMost: o.Scheduler.StartMost,
			MinRun: o.Scheduler.MinRun.D(), ImageFirst: o.Scheduler.ImageFirst, Tight: o.Scheduler.Tight.D(), Dear: o.Scheduler.Dear, FetchInTime: o.Scheduler.FetchInTime, Vacate: o.Scheduler.Vacate, BeginWithin: o.Scheduler.BeginWithin.D(), PreemptWithin: o.Scheduler.PreemptGuarantees},
		Fleet: autoscaler.Settings{KeepIdle: o.Fleet.KeepIdle.D(), KeepBoots: o.Fleet.KeepBoots, LeastPaid: o.Fleet.LeastPaid.D(), KeepSpot: o.Fleet.KeepSpot, BootFactor: o.Fleet.BootFactor,
			BootExtra: o.Fleet.BootExtra.D(), Refused: o.Fleet.Refused.D(), SoonBoots: o.Fleet.SoonBoots, MaxRent: 50},
		LeaseMargin: o.Workers.LeaseMargin.D(), Pass: o.Scheduler.Pass.D(), Flush: o.Scheduler.Flush.D(),
		ListEvery: o.Fleet.List.D(), CatalogEvery: o.Fleet.Catalog.D(),
		SilentAfter: silent, SilentShare: o.Workers.SilentShare,
		Backoff: o.Scheduler.Backoff.D(), BackoffMost: o.Scheduler.BackoffMost.D(), SickErrors: o.Workers.SickErrors,
		DirectHold: o.Workers.DirectHold.D(), Consolidate: o.Scheduler.Consolidate.D(), TxnOps: p.StateLimits().TxnOps, Numbered: numbered(p.valueKB()),
		Ledger: Accounting(p, o),
	}
}

// Accounting puts together what the accounting goes by; nil: no ledger is kept.
func Accounting(p *Platform, o *Operator) *reconciler.Ledger {
	if o.Ledger == nil {
		return nil
	}
	share := fairShare()
	if o.FairShare != nil {
		share = *o.FairShare
	}
	limits := p.StateLimits()
	most := min(int(limits.ValueKB*1024), mostPage)
	teams := p.Teams()
	l := &reconciler.Ledger{FairShare: o.FairShare != nil, Weights: map[string]float64{},
		Settings: ledger.Settings{Half: share.HalfLife.D(), Weights: ledger.Weights{GPU: share.GPUWeight, Mem: share.MemWeight}, Most: most,
			Keep: ledger.Retention{Hours: o.Ledger.KeepHours.D(), Days: o.Ledger.KeepDays.D()}, Seal: ledger.NewSeal(o.Ledger.Key),
			// Every team's account is one change. Guards against settlements that
			// take more than their part of the state service's changes.
			Settle: max(o.Ledger.Settle.D(), Seconds(float64(len(teams))/(changesPart*max(limits.WriteRPS, 1e-3))))},
		Day: func(now time.Time) time.Time { return now }}
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

// Agree checks what the operators' file says against the platform's.
func Agree(p *Platform, o *Operator) error {
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

// AdminServer puts together what the operators' interface works by.
func AdminServer(p *Platform, o *Operator) admin.Settings {
	s := admin.Settings{Token: o.Admin.Token, Orders: o.FairShare != nil, Rate: max(adminPart*p.StateLimits().RPS, 1)}
	if l := Accounting(p, o); l != nil {
		s.Ledger, s.Half, s.Weights, s.Seal = true, l.Half, l.Weights, l.Seal
	}
	return s
}

// adminPart is the part of the state service's requests that operators' reading takes at
// most, of the share that a controller has anyway.
const adminPart = 0.02

const (
	changesPart = 0.02     // of the changes that the state service takes, for settlements
	mostPage    = 12 << 10 // of a page: two of them go into one transaction
)

// Store puts together what the records are kept within.
func Store(p *Platform) store.Limits {
	l := p.StateLimits()
	return store.Limits{Value: int(l.ValueKB * 1024), Ops: l.TxnOps}
}

// Election puts together what the election works by.
func Election(p *Platform, o *Operator) election.Settings {
	s := election.Settings{Member: p.Member, Life: o.Leadership.Lease.D(), Margin: o.Leadership.Margin.D(),
		Look: o.Leadership.Look.D(), Retry: o.Leadership.Retry.D(), Can: featuregate.Can}
	for _, m := range p.Members {
		s.Others = append(s.Others, m.Member)
	}
	// A cancellation that the leader learns of only when its right has ended: workers'
	// leases, which it has kept alive until then, must run out in time.
	if w := p.Deployment.Workers; o.Promises != nil && Seconds(w.Lease)+s.Life+promiseSlack < Seconds(w.Cancel) {
		s.Promise = s.Life * 7 / 8
		// The same for a cancellation that somebody tells of right after such a promise.
		if s.Outage = min(o.Promises.Outage.D(), Seconds(w.Cancel)-Seconds(w.Lease)-promiseSlack); s.Outage <= s.Promise {
			s.Outage = 0
		}
	}
	return s
}

// Informed is how old a leader's knowledge of cancellations may be; ok is false where workers'
// leases are too long for any bound.
func Informed(p *Platform) (b staleness.Bound, ok bool) {
	w := p.Deployment.Workers
	return staleness.Within(Seconds(w.Cancel), Seconds(w.Lease))
}

// Routing puts together what users' requests are routed by; nil: they are answered where they
// come.
func Routing(p *Platform, o *Operator) *route.Settings {
	if o.Requests == nil {
		return nil
	}
	s := &route.Settings{Retries: o.Requests.Retries, Hedge: o.Requests.Hedge.D(), Most: o.Requests.Most}
	for _, m := range p.Members {
		s.Others = append(s.Others, m.Member)
	}
	return s
}

// Posting puts together what reports by way of the state service go by; nil: they don't go that way.
func Posting(p *Platform, o *Operator) *courier.Settings {
	if o.Courier == nil {
		return nil
	}
	// A batch is one change, and its answers are another one.
	every := Seconds(1 / (courierPart * max(p.StateLimits().WriteRPS, 1e-3)))
	return &courier.Settings{Every: min(max(every, 200*time.Millisecond), time.Second), Queue: 512, Bytes: 2 << 20, Out: 3, Patience: 3300 * time.Millisecond, Pause: 8 * time.Second}
}

// courierPart is the part of the state service's changes that one member's reports take at most,
// and as much their answers.
const courierPart = 0.05

// promiseSlack is for messages under way, margins and drift.
const promiseSlack = 3 * time.Second

// aims sorts out which objectives the order of waiting work depends on.
func aims(objectives []Objective) map[string][]reconciler.Aim {
	out := map[string][]reconciler.Aim{}
	for _, o := range objectives {
		var a reconciler.Aim
		switch o.Kind {
		case "wait":
			a.Start = Seconds(o.Within)
		case "finished":
			a.Finish = Seconds(o.Within)
		case "deadline":
			a.Times = o.Times
		}
		if o.Class != "" && a != (reconciler.Aim{}) {
			out[o.Class] = append(out[o.Class], a)
		}
	}
	return out
}
