package model

import "time"

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Index int
}

// Phase is where an attempt is on its machine, as the worker reports it.
type Phase uint8

// The phases that a worker reports.
const (
	PhaseFetching Phase = iota + 1 // waits for its image
	PhaseWaiting                   // gang task, waits for the others
	PhaseRunning
	PhaseCheckpointing // was told to stop and saves
	PhaseExited
)

func (p Phase) String() string {
	return [...]string{"none", "fetching", "waiting", "running", "saving", "exited"}[p]
}

// ExitCause says why an attempt exited.
type ExitCause uint8

// The causes of an exit.
const (
	CauseDone           ExitCause = iota + 1
	CauseStopped                  // by command
	CauseGangMemberLost           // another task of the gang is gone
	CauseGangIncomplete           // the gang was not complete in time
	CauseError
	CauseNoCapacity      // start refused
	CauseAttemptConflict // start refused: another attempt is there
	CauseUnknownJob      // start refused: the worker does not know the job
)

func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers", "alone", "error", "no_room", "busy", "unknown"}[c]
}

// TaskStatus is one task of a worker's report.
type TaskStatus struct {
	Task         TaskID
	Attempt      uint64
	Phase        Phase
	Cause        ExitCause
	Checkpointed bool
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Epoch, Seq, FencingToken  uint64
	InterruptionNotice        bool          // the cloud takes the machine away
	InterruptionIn            time.Duration // in this time
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
	GracePeriod time.Duration // of a stop
}

// MachineInfo is a machine as the cloud lists it and as its record keeps it.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Booting, Failed        bool
	Age                    time.Duration
}

// Provisioning is a request for machines.
type Provisioning struct {
	Name       string
	Type, Zone string
	Spot       bool
	Count      int
}
