package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Event is an input to Core.Step: a message, the outcome of an effect, or the passage of time.
type Event interface{ isEvent() }

// Outcome is the result of a request to a worker, the cloud or the state service.
type Outcome uint8

// The outcomes. Only after OutcomeUnknown may the request still be executed.
const (
	OutcomeOK       Outcome = iota + 1
	OutcomeRefused          // answered with a refusal
	OutcomeNotSent          // not executed, and never will be
	OutcomeUnknown          // may have been executed, or may be executed later
	OutcomeRejected         // can never be executed as it stands: too large, or malformed
)

// The events.
type (
	// Tick triggers the periodic work. It is due at Core.NextTick.
	Tick struct{}
	// JobAdded reports that a job was accepted.
	JobAdded record.Job
	// JobEnded reports that the end of a job is recorded in the state service.
	JobEnded record.JobEnd
	// JobEndsReceived answers LookUpJobEnds. It holds the ends that could be determined.
	JobEndsReceived struct{ Ends []record.JobEnd }
	// HeartbeatReceived is a worker's heartbeat. Its Step returns a HeartbeatResponse.
	HeartbeatReceived struct {
		Heartbeat *model.Heartbeat
		Relayed   bool // true if another member forwarded it
	}
	// CommandCompleted answers SendCommands. Heartbeat is the worker's state after the commands, or nil if the worker
	// sent none.
	CommandCompleted struct {
		Machine   string
		Epoch     uint64
		Commands  []model.Command
		Outcome   Outcome
		Heartbeat *model.Heartbeat
	}
	// CatalogReceived answers FetchCatalog. Types is empty if the request failed.
	CatalogReceived struct{ Types []model.MachineType }
	// MachineListReceived answers ListMachines.
	MachineListReceived struct {
		Machines    []model.MachineInfo
		RequestedAt time.Time
	}
	// ProvisionCompleted answers Provision with the names of the machines that are booting.
	ProvisionCompleted struct {
		Provisioning model.Provisioning
		Outcome      Outcome
		Machines     []string
	}
	// ReleaseCompleted answers Release. The machines are gone if Outcome is OutcomeOK.
	ReleaseCompleted struct {
		Machines []string
		Outcome  Outcome
	}
	// CommitCompleted answers Commit.
	CommitCompleted struct {
		Changes []record.Change
		Outcome Outcome
		Version uint64 // of the written records, if Outcome is OutcomeOK
	}
	// FenceCompleted answers Fence. If Outcome is OutcomeOK, no transaction that was sent before the fence will be
	// executed.
	FenceCompleted struct{ Outcome Outcome }
	// AccountsReceived answers ReadAccounts with the accounts that could be read.
	AccountsReceived struct {
		Accounts map[string]ledger.StoredAccount
	}
	// SegmentsReceived answers ReadSegments with the oldest closed segments, in order. Segments is empty if they
	// could not be read.
	SegmentsReceived struct {
		Team     string
		Segments []ledger.StoredSegment
	}
)

// JobUpdateEvent returns the event that reports an update of a job's records: JobAdded or JobEnded.
func JobUpdateEvent(update record.JobUpdate) Event {
	if update.Added != nil {
		return JobAdded(*update.Added)
	}
	return JobEnded(update.Ended)
}

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
