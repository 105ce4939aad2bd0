package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Settings are what a Core works by. The platform and the operators set them; package config fills them in.
type Settings struct {
	Member     string // the name of this controller; requests to the cloud carry it
	Teams      []model.Team
	Objectives map[string][]Objective // by job class

	// What the platform says of its workers. The Core itself uses the first two; the others are carried for the
	// in-memory cluster of the tests.
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	GangWait          time.Duration
	GangPeer          time.Duration
	CancelWithin      time.Duration

	MachineListLag time.Duration // how far the cloud's machine list may be behind

	Scheduler  scheduler.Settings
	Autoscaler autoscaler.Settings

	LeaseMargin          time.Duration // beyond a worker's lease before it counts as expired
	PassInterval         time.Duration // least time between scheduling passes
	FlushInterval        time.Duration // between batches of finished tasks
	MachineListInterval  time.Duration
	CatalogInterval      time.Duration
	UnresponsiveAfter    time.Duration // a machine without a heartbeat for this long is released
	MaxUnresponsiveShare float64       // unless more than this share of the machines has sent none
	Backoff              time.Duration // after a failed task, doubling
	MaxBackoff           time.Duration
	MachineFaultErrors   int           // so many jobs that fail on a machine show that it is faulty
	CommandHoldOff       time.Duration // without direct commands to a machine that did not answer one
	ConsolidateInterval  time.Duration // between moves off expensive machines; 0: none
	MaxTxnOps            int           // changes in one transaction
	NumberedChunkTasks   int           // tasks in a numbered chunk, where no record says how many

	Ledger *LedgerSettings // nil: no ledger is kept
}

// Objective is what users expect of a class of jobs, as far as the order of waiting tasks depends on it. A field that
// is zero states no objective.
type Objective struct {
	StartWithin      time.Duration // from becoming eligible to the start of a task
	FinishWithin     time.Duration // from becoming eligible to the end of the job
	DeadlineMultiple float64       // jobs end by this many times their deadline
}
