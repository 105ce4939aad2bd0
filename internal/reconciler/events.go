package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Event is something that happens to a leader. Core.Step takes it.
type Event interface{ isEvent() }

// Outcome is what became of a request to a worker, the cloud or the state service.
type Outcome uint8

// The outcomes. Only after Unknown the request may still be carried out.
const (
	OK       Outcome = iota + 1
	Refused          // it was answered with a refusal
	NotSent          // certainly not carried out, now or later
	Unknown          // may have been carried out, or may be carried out later
	Rejected         // never to be carried out as it stands: too large, or malformed
)

// The events.
type (
	// Tick is due at Core.NextTick.
	Tick struct{}
	// JobAdded says that a job was accepted.
	JobAdded record.Job
	// JobEnded says that the state service holds the end of a job.
	JobEnded record.JobEnd
	// JobEndsReceived answers LookUpJobEnds with the ends that could be found out.
	JobEndsReceived struct{ Ends []record.JobEnd }
	// HeartbeatReceived is a heartbeat of a worker; HeartbeatResponse is its effect.
	HeartbeatReceived struct {
		Heartbeat *model.Heartbeat
		Relayed   bool // by another member
	}
	// CommandCompleted answers SendCommands. Heartbeat is the worker's state after the commands, where it sent it.
	CommandCompleted struct {
		Machine   string
		Epoch     uint64
		Commands  []model.Command
		Outcome   Outcome
		Heartbeat *model.Heartbeat
	}
	// CatalogReceived answers FetchCatalog; without types the request failed.
	CatalogReceived struct{ Types []model.MachineType }
	// MachineListReceived answers ListMachines.
	MachineListReceived struct {
		Machines    []model.MachineInfo
		RequestedAt time.Time
	}
	// ProvisionCompleted answers Provision with the names of the machines that are coming up.
	ProvisionCompleted struct {
		Provisioning model.Provisioning
		Outcome      Outcome
		Machines     []string
	}
	// ReleaseCompleted answers Release: the machines are gone, or the outcome is unknown.
	ReleaseCompleted struct {
		Machines []string
		Outcome  Outcome
	}
	// CommitCompleted answers Commit.
	CommitCompleted struct {
		Changes []record.Change
		Outcome Outcome
		Version uint64 // OK: of the records that were written
	}
	// FenceCompleted answers Fence. OK: no transaction that was sent before will be carried out any more.
	FenceCompleted struct{ Outcome Outcome }
	// AccountsReceived answers ReadAccounts with the accounts that could be read.
	AccountsReceived struct {
		Accounts map[string]ledger.StoredAccount
	}
	// SegmentsReceived answers ReadSegments with the oldest closed segments, in order; none: they could not be read.
	SegmentsReceived struct {
		Team     string
		Segments []ledger.StoredSegment
	}
)

// JobUpdated returns the event for what has become of a job.
func JobUpdated(update record.JobUpdate) Event {
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
