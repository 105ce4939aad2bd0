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
	Fetching Phase = iota + 1 // waits for its image
	Waiting                   // gang task, waits for the others
	Running
	Saving // was told to stop and saves
	Exited
)

func (p Phase) String() string {
	return [...]string{"none", "fetching", "waiting", "running", "saving", "exited"}[p]
}

// Cause says why an attempt exited.
type Cause uint8

// The causes of an exit.
const (
	CauseDone    Cause = iota + 1
	CauseStopped       // by command
	CausePeers         // another task of the gang is gone
	CauseAlone         // the gang was not complete in time
	CauseError
	CauseNoRoom  // start refused
	CauseBusy    // start refused: another attempt is there
	CauseUnknown // start refused: the worker does not know the job
)

func (c Cause) String() string {
	return [...]string{"none", "done", "stopped", "peers", "alone", "error", "no_room", "busy", "unknown"}[c]
}

// TaskReport is one task of a worker's report.
type TaskReport struct {
	Task  TaskID
	Try   uint64
	Phase Phase
	Cause Cause
	Saved bool
}

// Report is what a worker says of itself.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	Notice                    bool          // the cloud takes the machine away
	NoticeIn                  time.Duration // in this time
	Tasks                     []TaskReport
}

// Op is what a command does.
type Op uint8

// The commands to workers.
const (
	OpLaunch Op = iota + 1
	OpStop
	OpForget
)

// Order is one command to a worker.
type Order struct {
	Op    Op
	Task  TaskID
	Try   uint64
	Grace time.Duration // of a stop
}

// Listed is a machine as the cloud lists it and as its record keeps it.
type Listed struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Booting, Failed           bool
	Age                       time.Duration
}

// Rental is a request for machines.
type Rental struct {
	Name       string
	Type, Zone string
	Spot       bool
	Count      int
}
