package reconciler

import (
	"github.com/glentiller/glentiller/internal/model"

	"github.com/glentiller/glentiller/internal/record"
)

// Effect is an action that the caller of Core.Step has to perform.
type Effect interface{ isEffect() }

// The effects. Each of them except HeartbeatResponse is answered by an event.
type (
	// HeartbeatResponse answers the heartbeat of this Step. The heartbeat is refused if it is certain that its worker
	// no longer waits for the answer, if it is of another machine with the same name, or if its machine has been
	// released.
	HeartbeatResponse struct {
		Commands []model.Command
		Refused  bool
	}
	// SendCommands sends commands directly to a worker. Without commands it is a probe, which the worker answers with
	// its state.
	SendCommands struct {
		Machine, Addr string
		Epoch         uint64
		Commands      []model.Command
		Urgent        bool // Commands contains a launch of high or production priority
	}
	// Provision requests machines from the cloud. If its outcome is unknown, it is only repeated under the same name.
	Provision struct{ Provisioning model.Provisioning }
	// Release returns machines to the cloud.
	Release struct{ Machines []string }
	// ListMachines requests the cloud's list of machines.
	ListMachines struct{}
	// FetchCatalog requests the cloud's catalog of machine types.
	FetchCatalog struct{}
	// LookUpJobEnds requests the recorded ends of jobs that other jobs depend on.
	LookUpJobEnds struct{ IDs []string }
	// Commit writes changes in one transaction.
	Commit struct{ Changes []record.Change }
	// Fence ensures that unanswered transactions, which may still be on their way, are not executed any more.
	Fence struct{}
	// ReadAccounts requests the stored accounts of teams.
	ReadAccounts struct{ Teams []string }
	// ReadSegments requests the oldest closed segments of a team's account.
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
func (ReadAccounts) isEffect()      {}
func (ReadSegments) isEffect()      {}
