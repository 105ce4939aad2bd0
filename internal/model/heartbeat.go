package model

import "time"

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string
	Index int
}

// Phase is how far an attempt is on its machine, as the worker reports it.
type Phase uint8

// The phases that a worker reports.
const (
	PhaseFetching Phase = iota + 1 // fetches its image
	PhaseWaiting                   // a gang's task, waits for the others
	PhaseRunning
	PhaseCheckpointing // saves a checkpoint before it stops
	PhaseExited
)

// String returns the phase's name for logs and explanations.
func (p Phase) String() string {
	return [...]string{"none", "fetching", "waiting", "running", "saving", "exited"}[p]
}

// ExitCause is why an attempt exited.
type ExitCause uint8

// The causes of an exit.
const (
	CauseDone           ExitCause = iota + 1
	CauseStopped                  // by command
	CauseGangMemberLost           // another task of the gang is gone
	CauseGangIncomplete           // the gang was not complete in time
	CauseError
	CauseNoCapacity      // the worker refused the launch for want of resources
	CauseAttemptConflict // the worker refused the launch: it runs another attempt
	CauseUnknownJob      // the worker refused the launch: it does not know the job
)

// String returns the cause's name for logs and explanations.
func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers", "alone", "error", "no_room", "busy", "unknown"}[c]
}

// TaskStatus is the status of one attempt in a worker's heartbeat.
type TaskStatus struct {
	Task         TaskID
	Attempt      uint64
	Phase        Phase
	Cause        ExitCause
	Checkpointed bool
}

// Heartbeat is a worker's heartbeat, with the status of its machine and attempts.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Epoch, Seq, FencingToken  uint64
	InterruptionNotice        bool          // the cloud takes the machine away
	InterruptionIn            time.Duration // after this time
	Tasks                     []TaskStatus
}

// Op is what a command does.
type Op uint8

// The commands to workers.
const (
	OpLaunch Op = iota + 1
	OpStop
	OpForget
)

// Command is one command to a worker.
type Command struct {
	Op          Op
	Task        TaskID
	Attempt     uint64
	GracePeriod time.Duration // of OpStop
}
