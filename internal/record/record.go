// Package record holds the records of a leader that both the reconciler and the client of the state service use: what
// a new leader reads, and the changes that it commits. Package store knows their keys and encodings; package
// reconciler decides what is written and when. Neither depends on the other.
package record

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

// Job is an unfinished job on record.
type Job struct {
	Spec           *model.Spec
	SubmittedAt    time.Time
	Version        uint64
	DependencyKeys []string // keys of the records that hold the rest of its dependencies
}

// JobEnd is the end of a job on record. The outcome is unknown where a view that has missed changes only shows that
// the job is over.
type JobEnd struct {
	ID      string
	Outcome model.Outcome
	EndedAt time.Time // zero: before any job was submitted that depends on another
}

// JobUpdate is what has become of a job: it was added or has ended.
type JobUpdate struct {
	Added *Job
	Ended JobEnd // unless Added is set
}

// Snapshot is what the state service held when a leader took over.
type Snapshot struct {
	Revision             uint64
	Jobs                 []Job
	FinishedTasks        map[string]map[model.Chunk][]byte // a bit a task, by job
	NumberedChunkTasks   int                               // tasks in a numbered chunk; 0: not on record
	OrphanedDependencies []Change                          // delete the dependency lists whose job has ended
	Machines             []model.MachineInfo
	GPUDemands           []model.Resources      // demands for GPUs that were seen
	Accounts             []ledger.StoredAccount // of the teams; empty without a ledger
}
