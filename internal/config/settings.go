package config

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/scheduler"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	// missedHeartbeats is the number of missed heartbeats after which a worker counts as unresponsive if the
	// operators have not set a time. heartbeatRetryTime is added to let the worker try one more controller.
	missedHeartbeats   = 3
	heartbeatRetryTime = time.Second
	// maxMachinesPerRequest bounds the machines that one request to the cloud provisions.
	maxMachinesPerRequest = 50
)

// ReconcilerSettings returns the settings of the reconciler that a controller runs while it leads.
func ReconcilerSettings(p *Platform, o *Operator) reconciler.Settings {
	d := &p.Deployment
	return reconciler.Settings{
		Member:     p.Member,
		Teams:      p.Teams(),
		Objectives: classObjectives(d.Objectives),

		HeartbeatInterval: seconds(d.Workers.HeartbeatSeconds),
		WorkerLease:       seconds(d.Workers.LeaseSeconds),
		GangWait:          seconds(d.Workers.GangWaitSeconds),
		GangPeer:          seconds(d.Workers.GangPeerSeconds),
		CancelWithin:      seconds(d.Workers.CancelSeconds),
		MachineListLag:    seconds(d.Cloud.ListLagSeconds),

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
		PromoteDeadlineAfter: s.PromoteDeadlineAfter.Std(),
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
		IdleTimeout:        a.IdleTimeout.Std(),
		IdleBootFactor:     a.IdleBootFactor,
		MinBilledTime:      a.MinBilledTime.Std(),
		SpotIdleFactor:     a.SpotIdleFactor,
		BootTimeoutFactor:  a.BootTimeoutFactor,
		BootTimeoutExtra:   a.BootTimeoutExtra.Std(),
		RefusalBackoff:     a.RefusalBackoff.Std(),
		LookaheadBootTimes: a.LookaheadBootTimes,
		MaxPerRequest:      maxMachinesPerRequest,
	}
}

// unresponsiveAfter returns the time without a heartbeat after which a worker counts as unresponsive.
func unresponsiveAfter(p *Platform, o *Operator) time.Duration {
	if after := o.Workers.UnresponsiveAfter.Std(); after != 0 {
		return after
	}
	return seconds(missedHeartbeats*p.Deployment.Workers.HeartbeatSeconds) + heartbeatRetryTime
}

// numberedChunkTasks returns the number of tasks in a numbered chunk of the finished-task record, the layout of the
// first program version. That version derived the number from the limit on the size of a value: a chunk took half
// of a value, encoded eight tasks in two digits, and held a multiple of 64 tasks.
func numberedChunkTasks(valueKB float64) int {
	const step = 64
	chunkBytes := int(valueKB * bytesPerKB / 2)
	return max(chunkBytes/2*8/step*step, step)
}

// classObjectives returns, by job class, the objectives that affect the order of pending tasks.
func classObjectives(objectives []Objective) map[string][]reconciler.Objective {
	byClass := map[string][]reconciler.Objective{}
	for _, objective := range objectives {
		var target reconciler.Objective
		switch objective.Kind {
		case "wait":
			target.StartWithin = seconds(objective.WithinSeconds)
		case "finished":
			target.FinishWithin = seconds(objective.WithinSeconds)
		case "deadline":
			target.DeadlineMultiple = objective.DeadlineMultiple
		}
		if objective.Class != "" && target != (reconciler.Objective{}) {
			byClass[objective.Class] = append(byClass[objective.Class], target)
		}
	}
	return byClass
}

// StoreLimits returns the limits that every record and transaction must observe.
func StoreLimits(p *Platform) store.Limits {
	l := p.StateLimits()
	return store.Limits{MaxValueBytes: int(l.ValueKB * bytesPerKB), MaxChanges: l.TxnOps}
}
