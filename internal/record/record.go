// Package record defines the leader's records as the reconciler and the client of the state service exchange them:
// the snapshot that a new leader reads, and the changes that it commits. Package store maps them to keys and
// encodings; package reconciler decides what is written and when. Neither of the two depends on the other.
package record

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

// Job is the stored record of an unfinished job.
type Job struct {
	Spec           *model.Spec
	SubmittedAt    time.Time
	Version        uint64   // version of the record
	DependencyKeys []string // keys of the records that hold the dependencies that do not fit into the job's record
}

// JobEnd says how and when a job ended. The outcome is unknown if a controller has missed changes and only finds
// that the job is no longer among the unfinished ones.
type JobEnd struct {
	ID      string
	Outcome model.Outcome
	EndedAt time.Time // zero if the outcome is unknown, or if the record predates the support for dependencies
}

// JobUpdate says that a job was added, if Added is set, or has ended.
type JobUpdate struct {
	Added *Job
	Ended JobEnd // unused if Added is set
}

// Snapshot is what the state service holds when a leader takes over.
type Snapshot struct {
	Revision             uint64 // revision of the state service up to which Jobs includes all changes
	Jobs                 []Job
	FinishedTasks        map[string]map[model.Chunk][]byte // one bit for each task, by job ID and chunk
	NumberedChunkTasks   int                               // tasks in a numbered chunk; 0 if it is not on record
	OrphanedDependencies []Change                          // deletions of the dependency lists of ended jobs
	Machines             []model.MachineInfo
	GPUDemands           []model.Resources      // resources per task of jobs that need GPUs, each distinct demand once
	Accounts             []ledger.StoredAccount // accounts of the teams; empty without a ledger
}
