package record

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

// ChangeKind says which record a Change writes.
type ChangeKind uint8

// The kinds of a Change.
const (
	PutMachine         ChangeKind = iota + 1 // a machine may hold tasks from now on
	DeleteMachine                            // it holds none any more, for good
	PutTasks                                 // a chunk of a job's finished-task record
	DeleteTasks                              // a chunk of an ended job
	CompleteJob                              // all tasks of the job are done
	PutGPUDemand                             // a demand for GPUs that was seen
	PutChunkLayout                           // how many tasks a numbered chunk has
	CancelDependent                          // a job that the job depends on is cancelled
	DeleteDependencies                       // a part of the dependency list of an ended job
	SettleAccount                            // a settlement of a team's account
	PutUnaccounted                           // an interval that is not accounted
	CompactAccount                           // closed segments of an account that become one
)

// Change is one change of the leader's records. The fields after Kind are used by the kinds that they name.
type Change struct {
	Kind         ChangeKind
	Machine      model.MachineInfo // PutMachine; DeleteMachine: its name
	Job          string            // PutTasks, DeleteTasks, CompleteJob, CancelDependent, DeleteDependencies
	Version      uint64            // CompleteJob, CancelDependent: of the job's record
	Tasks        int               // CompleteJob, CancelDependent: of the job; PutChunkLayout
	At           time.Time         // CompleteJob, CancelDependent
	Chunk        model.Chunk       // PutTasks, DeleteTasks
	FinishedBits []byte            // PutTasks
	GPUDemand    model.Resources   // PutGPUDemand
	Key          string            // DeleteDependencies
	CommitAlone  bool              // it was in a transaction that was rejected

	Team        string             // SettleAccount
	Settlement  *ledger.Settlement // SettleAccount; made when its transaction leaves
	Unaccounted *ledger.Interval   // PutUnaccounted
	Compaction  *Compaction        // CompactAccount
}

// Compaction replaces several closed segments by one.
type Compaction struct {
	Sources []ledger.StoredSegment // in order; the record of the first one becomes that of the result
	Result  *ledger.Segment
}
