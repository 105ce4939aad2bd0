package record

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

// ChangeKind selects the record that a Change writes or deletes.
type ChangeKind uint8

// The kinds of a Change.
const (
	PutMachine         ChangeKind = iota + 1 // adds a machine, on which tasks may be placed from then on
	DeleteMachine                            // deletes a machine that will never run tasks again
	PutTasks                                 // writes a chunk of a job's finished-task bitmap
	DeleteTasks                              // deletes a chunk of an ended job's finished-task bitmap
	CompleteJob                              // ends a job as done, because all its tasks have finished
	PutGPUDemand                             // writes the resources per task of a job that needs GPUs
	PutChunkLayout                           // writes the number of tasks in a numbered chunk
	CancelDependent                          // ends a job as cancelled, because a job upstream of it was cancelled
	DeleteDependencies                       // deletes a part of an ended job's dependency list
	SettleAccount                            // writes a settlement of a team's account
	PutUnaccounted                           // writes an interval that no leader has accounted for
	CompactAccount                           // replaces closed segments of a team's account by a single one
)

// Change is a change of one of the leader's records. The comment of each field says which kinds use it; Kind and
// CommitAlone are used by all.
type Change struct {
	Kind          ChangeKind
	Machine       model.MachineInfo // machine to add or delete, for PutMachine and DeleteMachine, which uses only the name
	Job           string            // job ID for PutTasks, DeleteTasks, CompleteJob, CancelDependent, DeleteDependencies
	Version       uint64            // version of the job's record, for CompleteJob and CancelDependent
	Tasks         int               // number of tasks of the job (CompleteJob, CancelDependent) or chunk (PutChunkLayout)
	EndedAt       time.Time         // time at which the job ended, for CompleteJob and CancelDependent
	Chunk         model.Chunk       // chunk of the finished-task bitmap, for PutTasks and DeleteTasks
	FinishedBits  []byte            // one bit for each task of the chunk, for PutTasks
	GPUDemand     model.Resources   // resources per task, for PutGPUDemand
	DependencyKey string            // key of the dependency list part, for DeleteDependencies
	CommitAlone   bool              // the change failed together with others, and needs a transaction of its own

	Team        string                      // team whose account is settled, for SettleAccount
	Settlement  *ledger.Settlement          // for SettleAccount; nil until the change is put into a transaction
	Unaccounted *ledger.UnaccountedInterval // for PutUnaccounted
	Compaction  *Compaction                 // for CompactAccount
}

// Compaction replaces consecutive closed segments of a team's account by a single segment.
type Compaction struct {
	Sources []ledger.StoredSegment // in the order of the chain; the result overwrites the first one's record
	Result  *ledger.Segment
}
