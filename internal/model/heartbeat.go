package model

import "time"

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string // job ID
	Index int    // from 0 to the job's number of tasks - 1
}

// Phase is the stage of an attempt on its machine, as reported by the worker.
type Phase uint8

// The phases of an attempt, in the order in which it goes through them. An attempt may skip phases.
const (
	PhaseFetching      Phase = iota + 1 // its image is being fetched
	PhaseWaiting                        // it waits until all tasks of its gang can run
	PhaseRunning                        // its task is running
	PhaseCheckpointing                  // it saves a checkpoint before it stops
	PhaseExited                         // it has exited; its ExitCause says why
)

// String returns the phase's name for logs and explanations, "none" for the zero value.
func (p Phase) String() string {
	return [...]string{"none", "fetching", "waiting", "running", "saving", "exited"}[p]
}

// ExitCause is the reason for which an attempt exited.
type ExitCause uint8

// The exit causes.
const (
	CauseDone            ExitCause = iota + 1 // the task completed
	CauseStopped                              // the attempt was stopped by a command
	CauseGangMemberLost                       // another task of its gang exited or was lost
	CauseGangIncomplete                       // not all tasks of its gang were started in time
	CauseError                                // the task failed
	CauseNoCapacity                           // the worker refused the launch: it lacks free resources
	CauseAttemptConflict                      // the worker refused the launch: it runs another attempt of the task
	CauseUnknownJob                           // the worker refused the launch: it does not know the job
)

// String returns the cause's name for logs and explanations, "none" for the zero value.
func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers", "alone", "error", "no_room", "busy", "unknown"}[c]
}

// TaskStatus is the status of one attempt in a worker's heartbeat.
type TaskStatus struct {
	Task         TaskID
	Attempt      uint64 // attempt number
	Phase        Phase
	Cause        ExitCause // 0 unless the phase is PhaseExited
	Checkpointed bool      // whether it saved a checkpoint before it exited
}

// Heartbeat is a worker's heartbeat. It reports the state of the machine and of the attempts that the worker lists:
// it lists an attempt from its launch until it is commanded to forget it.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	// Epoch and Seq order the messages of one incarnation of the worker. The worker begins a new epoch when its lease
	// has expired. FencingToken is the highest fencing token that the worker has received.
	Epoch, Seq, FencingToken uint64
	InterruptionNotice       bool          // whether the cloud has announced that it reclaims the spot machine
	InterruptionIn           time.Duration // time until then; valid if InterruptionNotice is set
	Tasks                    []TaskStatus
}

// CommandOp is the operation of a command.
type CommandOp uint8

// The operations of commands to workers.
const (
	OpLaunch CommandOp = iota + 1 // start an attempt
	OpStop                        // stop an attempt, after a checkpoint if the grace period is long enough
	OpForget                      // stop listing an attempt that has exited
)

// Command is one command to a worker.
type Command struct {
	Op          CommandOp
	Task        TaskID
	Attempt     uint64        // attempt number
	GracePeriod time.Duration // for OpStop: time to save a checkpoint; 0 means to stop immediately
}
