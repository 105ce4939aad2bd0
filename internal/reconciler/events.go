// Package reconciler is the core of a leading controller. It holds the picture of
// jobs and machines, takes events and gives effects. It does no input or
// output, starts no goroutine and reads no clock; all of that is in package
// node.
package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

// Event is what happens to a leader.
type Event interface{ isEvent() }

// Outcome is what became of a request to the outside.
type Outcome uint8

// The outcomes.
const (
	OK       Outcome = iota + 1
	Refused          // carried out: no
	NotSent          // certainly not carried out, now or later
	Unknown          // may have been carried out, or may yet be
	Rejected         // never to be carried out as it stands: too large, or malformed
)

// The events.
type (
	// Tick is due at Core.Wake.
	Tick struct{}
	// JobAdded: a job was accepted.
	JobAdded struct {
		Spec           *model.Spec
		SubmittedAt    time.Time
		Version        uint64
		DependencyKeys []string // keys that hold the rest of what it awaits
	}
	// JobEnded: the state service holds that the job is done or cancelled. With an
	// unknown end, a view that has missed changes only tells that it is over.
	JobEnded struct {
		ID      string
		Outcome model.Outcome
		EndedAt time.Time // zero: before any job was submitted that awaits another
	}
	// JobEndsReceived: how jobs that others await have ended, of those where that could be
	// found out.
	JobEndsReceived struct{ Ends []JobEnded }
	// HeartbeatReceived: a worker's report has come; Answer is its effect.
	HeartbeatReceived struct {
		Heartbeat *model.Heartbeat
		Relayed   bool // by another member
	}
	// CommandCompleted: a direct command was answered, or not. Report is the
	// worker's report after it, where one came.
	CommandCompleted struct {
		Machine   string
		Epoch     uint64
		Commands  []model.Command
		Outcome   Outcome
		Heartbeat *model.Heartbeat
	}
	// CatalogReceived: the machine types.
	CatalogReceived struct{ Types []model.MachineType }
	// MachineListReceived: the machine list, asked for at Asked.
	MachineListReceived struct {
		Machines    []model.MachineInfo
		RequestedAt time.Time
	}
	// ProvisionCompleted: a rental request was answered, or not.
	ProvisionCompleted struct {
		Provisioning model.Provisioning
		Outcome      Outcome
		Machines     []string
	}
	// ReleaseCompleted: machines are gone (OK), or the outcome is unknown.
	ReleaseCompleted struct {
		Machines []string
		Outcome  Outcome
	}
	// CommitCompleted: records were saved, or not. Failed names the jobs whose
	// conditions failed.
	CommitCompleted struct {
		Changes []Change
		Outcome Outcome
		Version uint64 // OK: of the records that were written
	}
	// FenceCompleted: what this leader has sent before and was not answered is never carried out
	// any more (OK), or that is not known yet.
	FenceCompleted struct{ Outcome Outcome }
	// AccountsReceived: accounts whose settlement is in doubt, as they are on record; of
	// those that could be read.
	AccountsReceived struct {
		Accounts map[string]ledger.StoredAccount
	}
	// SegmentsReceived: the oldest closed pages of a team's account, in order; none where they
	// could not be read.
	SegmentsReceived struct {
		Team     string
		Segments []ledger.StoredSegment
	}
)

func (Tick) isEvent()                {}
func (JobAdded) isEvent()            {}
func (JobEnded) isEvent()            {}
func (JobEndsReceived) isEvent()     {}
func (HeartbeatReceived) isEvent()   {}
func (CommandCompleted) isEvent()    {}
func (CatalogReceived) isEvent()     {}
func (MachineListReceived) isEvent() {}
func (ProvisionCompleted) isEvent()  {}
func (ReleaseCompleted) isEvent()    {}
func (CommitCompleted) isEvent()     {}
func (FenceCompleted) isEvent()      {}
func (AccountsReceived) isEvent()    {}
func (SegmentsReceived) isEvent()    {}

// ChangeKind says what a Save writes.
type ChangeKind uint8

// The kinds of a Save.
const (
	PutMachine         ChangeKind = iota + 1 // a machine may hold tasks from now on
	DeleteMachine                            // it holds none any more, for good
	PutTasks                                 // a chunk of a job's finished-task record
	DeleteTasks                              // a chunk of an ended job
	CompleteJob                              // all tasks of the job are done
	PutGPUDemand                             // a GPU request that was seen
	PutChunkLayout                           // how many tasks a numbered chunk has
	CancelDependent                          // the job awaits a cancelled one
	DeleteDependencies                       // a part of the list of what an ended job awaited
	SettleAccount                            // a settlement of a team's account
	PutUnaccounted                           // a stretch of time that is not accounted
	CompactAccount                           // closed pages of an account that become one
)

// needsOwnCommit tells that a save has a condition of its own, so it goes alone: its failure
// must not keep others back.
func (s *Change) needsOwnCommit() bool {
	return s.CommitAlone || s.Kind == CompleteJob || s.Kind == CancelDependent || s.Kind == DeleteDependencies || s.Kind == SettleAccount || s.Kind == CompactAccount
}

// Change is one change of the leader's records.
type Change struct {
	Kind         ChangeKind
	Machine      model.MachineInfo // SaveMachine, DropMachine (its name)
	Job          string            // SaveTasks, DropTasks, EndJob, EndDoomed, DropAwaits
	Version      uint64            // EndJob, EndDoomed: of the job's record
	Tasks        int               // EndJob, EndDoomed: how many it has; SaveLayout
	At           time.Time         // EndJob, EndDoomed
	Chunk        model.Chunk       // SaveTasks, DropTasks
	FinishedBits []byte            // SaveTasks
	GPUDemand    model.Resources   // SaveNeed
	Key          string            // DropAwaits
	CommitAlone  bool              // goes alone: it was in a transaction that was rejected

	Team        string             // SaveUse
	Settlement  *ledger.Settlement // SaveUse; made when its transaction leaves
	Unaccounted *ledger.Interval   // SaveStretch
	Compaction  *Compaction        // FoldUse
}

// Compaction makes one closed page of several.
type Compaction struct {
	Sources []ledger.StoredSegment // in order; the first one's record becomes the new page's
	Result  *ledger.Segment
}

// Effect is what a leader wants done.
type Effect interface{ isEffect() }

// The effects. All but Answer are answered by an event.
type (
	// HeartbeatResponse is the answer to the report of this Step. It is refused where its worker certainly
	// waits for no answer, or its machine is gone.
	HeartbeatResponse struct {
		Commands []model.Command
		Refused  bool
	}
	// SendCommands sends commands straight to a worker.
	SendCommands struct {
		Machine, Addr string
		Epoch         uint64
		Commands      []model.Command
		Urgent        bool // a launch of high or production rank is among them
	}
	// Provision asks the cloud for machines. After an unknown outcome it is repeated
	// under its own name only.
	Provision struct{ Provisioning model.Provisioning }
	// Release gives machines back.
	Release struct{ Machines []string }
	// ListMachines asks for the machine list.
	ListMachines struct{}
	// FetchCatalog asks for the machine types.
	FetchCatalog struct{}
	// LookUpJobEnds asks how jobs that others await have ended.
	LookUpJobEnds struct{ IDs []string }
	// Commit saves records in one transaction.
	Commit struct{ Changes []Change }
	// Fence has nothing carried out any more that was sent before and not answered.
	Fence struct{}
	// ReadAccounts asks for accounts as they are on record.
	ReadAccounts struct{ Teams []string }
	// ReadSegments asks for the oldest closed pages of a team's account.
	ReadSegments struct{ Team string }
)

func (HeartbeatResponse) isEffect() {}
func (SendCommands) isEffect()      {}
func (Provision) isEffect()         {}
func (Release) isEffect()           {}
func (ListMachines) isEffect()      {}
func (FetchCatalog) isEffect()      {}
func (LookUpJobEnds) isEffect()     {}
func (Commit) isEffect()            {}
func (Fence) isEffect()             {}

func (ReadAccounts) isEffect() {}
func (ReadSegments) isEffect() {}
