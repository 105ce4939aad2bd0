package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Settings configures a Core. Package config fills it in from the values of the platform and the operators.
type Settings struct {
	Member     string // name of this controller, which requests to the cloud carry
	Teams      []model.Team
	Objectives map[string][]Objective // by job class

	// The platform's guarantees about its workers. The Core itself uses the first two. The others are only carried
	// for the in-memory cluster of the tests.
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	GangWait          time.Duration // time for which a gang's task waits for the others
	GangPeer          time.Duration // timeout between the workers of a gang
	CancelWithin      time.Duration // maximum time from a job's cancellation to the end of its tasks

	MachineListLag time.Duration // maximum lag of the cloud's machine list

	Scheduler  scheduler.Settings
	Autoscaler autoscaler.Settings

	LeaseMargin          time.Duration // time after the end of a worker's lease until it counts as expired
	PassInterval         time.Duration // minimum time between scheduling passes
	FlushInterval        time.Duration // time between batches of finished tasks
	MachineListInterval  time.Duration // time between requests for the cloud's machine list
	CatalogInterval      time.Duration // time between requests for the catalog of machine types
	UnresponsiveAfter    time.Duration // a machine that sends no heartbeat for this long is released,
	MaxUnresponsiveShare float64       // unless more than this share of its zone or of all machines is unresponsive
	Backoff              time.Duration // delay of a job after failed tasks, which doubles with further failures
	MaxBackoff           time.Duration
	MachineFaultErrors   int           // failing jobs, or errors of one healthy job, that show that a machine is faulty
	CommandHoldOff       time.Duration // pause in direct commands to a machine that did not answer one
	ConsolidateInterval  time.Duration // time between moves off expensive machines; 0 disables them
	MaxTxnOps            int           // maximum number of changes in one transaction
	NumberedChunkTasks   int           // tasks in a numbered chunk, used if no record states the number

	Ledger *LedgerSettings // nil if no ledger is kept
}

// Objective is a service-level objective of a class of jobs, as far as it affects the order of waiting tasks. A zero
// field states no objective.
type Objective struct {
	StartWithin      time.Duration // from when a job becomes eligible until one of its tasks starts
	FinishWithin     time.Duration // from when a job becomes eligible until it ends
	DeadlineMultiple float64       // a job should end within this multiple of its deadline
}
