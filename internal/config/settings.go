package config

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/scheduler"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	// missedHeartbeats is how many missed heartbeats make a worker unresponsive,
	// where the operators don't say after which time it is; extraHeartbeatTime is
	// added for one try at another controller.
	missedHeartbeats   = 3
	extraHeartbeatTime = time.Second
	// machinesPerRequest bounds a request to the cloud.
	machinesPerRequest = 50
)

// ReconcilerSettings returns the settings of a leader's reconciler.
func ReconcilerSettings(p *Platform, o *Operator) reconciler.Settings {
	d := &p.Deployment
	return reconciler.Settings{
		Member:     p.Member,
		Teams:      p.Teams(),
		Objectives: classObjectives(d.Objectives),

		HeartbeatInterval: Seconds(d.Workers.Heartbeat),
		WorkerLease:       Seconds(d.Workers.Lease),
		GangWait:          Seconds(d.Workers.GangWait),
		GangPeer:          Seconds(d.Workers.GangPeer),
		CancelWithin:      Seconds(d.Workers.Cancel),
		MachineListLag:    Seconds(d.Cloud.ListLag),

		Scheduler:  schedulerSettings(&o.Scheduler),
		Autoscaler: autoscalerSettings(&o.Autoscaler),

		LeaseMargin:          o.Workers.LeaseMargin.Std(),
		PassInterval:         o.Scheduler.PassInterval.Std(),
		FlushInterval:        o.Scheduler.FlushInterval.Std(),
		MachineListInterval:  o.Autoscaler.ListInterval.Std(),
		CatalogInterval:      o.Autoscaler.CatalogInterval.Std(),
		UnresponsiveAfter:    unresponsiveAfter(p, o),
		MaxUnresponsiveShare: o.Workers.MaxUnresponsiveShare,
		Backoff:              o.Scheduler.Backoff.Std(),
		MaxBackoff:           o.Scheduler.MaxBackoff.Std(),
		MachineFaultErrors:   o.Workers.MachineFaultErrors,
		CommandHoldOff:       o.Workers.CommandHoldOff.Std(),
		ConsolidateInterval:  o.Scheduler.ConsolidateInterval.Std(),
		MaxTxnOps:            p.StateLimits().TxnOps,
		NumberedChunkTasks:   numberedChunkTasks(p.valueKB()),

		Ledger: LedgerSettings(p, o),
	}
}

func schedulerSettings(s *Scheduler) scheduler.Settings {
	return scheduler.Settings{
		IdlePowerFraction:    s.IdlePowerFraction,
		PromoteAfter:         s.PromoteAfter.Std(),
		PromoteLateAfter:     s.PromoteLateAfter.Std(),
		MaxPreemptions:       s.MaxPreemptions,
		MaxStarts:            s.MaxStarts,
		MinRuntime:           s.MinRuntime.Std(),
		ExpensiveFactor:      s.ExpensiveFactor,
		ImageFirst:           s.ImageFirst,
		TightSlack:           s.TightSlack.Std(),
		FetchByDeadline:      s.FetchByDeadline,
		Drain:                s.Drain,
		StarvationBound:      s.StarvationBound.Std(),
		PreemptForGuarantees: s.PreemptForGuarantees,
	}
}

func autoscalerSettings(a *Autoscaler) autoscaler.Settings {
	return autoscaler.Settings{
		IdleTimeout:       a.IdleTimeout.Std(),
		IdleBootFactor:    a.IdleBootFactor,
		MinBilledTime:     a.MinBilledTime.Std(),
		SpotIdleFactor:    a.SpotIdleFactor,
		BootTimeoutFactor: a.BootTimeoutFactor,
		BootTimeoutExtra:  a.BootTimeoutExtra.Std(),
		RefusalBackoff:    a.RefusalBackoff.Std(),
		LookaheadBoots:    a.LookaheadBoots,
		MaxPerRequest:     machinesPerRequest,
	}
}

// unresponsiveAfter returns after which time without a heartbeat a worker is
// unresponsive.
func unresponsiveAfter(p *Platform, o *Operator) time.Duration {
	if after := o.Workers.UnresponsiveAfter.Std(); after != 0 {
		return after
	}
	return Seconds(missedHeartbeats*p.Deployment.Workers.Heartbeat) + extraHeartbeatTime
}

// numberedChunkTasks returns how many tasks a numbered chunk of the finished-task
// record has. The first version derived that from the limit on a value: a chunk took
// half of it, at two digits for eight tasks, in multiples of 64 tasks.
func numberedChunkTasks(valueKB float64) int {
	const step = 64
	chunkBytes := int(valueKB * bytesPerKB / 2)
	return max(chunkBytes/2*8/step*step, step)
}

// classObjectives returns, by class, the objectives that the order of pending tasks
// depends on.
func classObjectives(objectives []Objective) map[string][]reconciler.Objective {
	byClass := map[string][]reconciler.Objective{}
	for _, o := range objectives {
		var target reconciler.Objective
		switch o.Kind {
		case "wait":
			target.StartWithin = Seconds(o.Within)
		case "finished":
			target.FinishWithin = Seconds(o.Within)
		case "deadline":
			target.DeadlineMultiple = o.Times
		}
		if o.Class != "" && target != (reconciler.Objective{}) {
			byClass[o.Class] = append(byClass[o.Class], target)
		}
	}
	return byClass
}

// StoreLimits returns the limits that records are kept within.
func StoreLimits(p *Platform) store.Limits {
	l := p.StateLimits()
	return store.Limits{MaxValueBytes: int(l.ValueKB * bytesPerKB), MaxChanges: l.TxnOps}
}
