package reconciler

import (
	"github.com/glentiller/glentiller/internal/model"

	"github.com/glentiller/glentiller/internal/record"
)

// Effect is something that a leader wants done. Core.Step returns it.
type Effect interface{ isEffect() }

// The effects. All but HeartbeatResponse are answered by an event.
type (
	// HeartbeatResponse answers the heartbeat of this Step. It is refused where the worker certainly waits for no
	// answer, or its machine is gone.
	HeartbeatResponse struct {
		Commands []model.Command
		Refused  bool
	}
	// SendCommands sends commands directly to a worker. Without commands it is a probe: the worker answers with its
	// state.
	SendCommands struct {
		Machine, Addr string
		Epoch         uint64
		Commands      []model.Command
		Urgent        bool // a launch of high or production priority is among them
	}
	// Provision requests machines from the cloud. After an unknown outcome it is repeated under the same name only.
	Provision struct{ Provisioning model.Provisioning }
	// Release releases machines to the cloud.
	Release struct{ Machines []string }
	// ListMachines requests the machine list.
	ListMachines struct{}
	// FetchCatalog requests the machine types.
	FetchCatalog struct{}
	// LookUpJobEnds requests the ends of jobs that others depend on.
	LookUpJobEnds struct{ IDs []string }
	// Commit writes changes in one transaction.
	Commit struct{ Changes []record.Change }
	// Fence makes sure that no transaction is carried out any more that was sent before and not answered.
	Fence struct{}
	// ReadAccounts requests accounts as they are on record.
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
