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
type Event interface{ controlEvent() }

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
		Spec    *model.Spec
		At      time.Time
		Version uint64
		Parts   []string // keys that hold the rest of what it awaits
	}
	// JobEnded: the state service holds that the job is done or cancelled. With an
	// unknown end, a view that has missed changes only tells that it is over.
	JobEnded struct {
		ID  string
		End model.Outcome
		At  time.Time // zero: before any job was submitted that awaits another
	}
	// EndsIn: how jobs that others await have ended, of those where that could be
	// found out.
	EndsIn struct{ Ends []JobEnded }
	// ReportIn: a worker's report has come; Answer is its effect.
	ReportIn struct {
		Report *model.Heartbeat
		Handed bool // by another member
	}
	// CommandBack: a direct command was answered, or not. Report is the
	// worker's report after it, where one came.
	CommandBack struct {
		Machine string
		Session uint64
		Orders  []model.Command
		Outcome Outcome
		Report  *model.Heartbeat
	}
	// CatalogIn: the machine types.
	CatalogIn struct{ Types []model.MachineType }
	// ListIn: the machine list, asked for at Asked.
	ListIn struct {
		Machines []model.MachineInfo
		Asked    time.Time
	}
	// RentBack: a rental request was answered, or not.
	RentBack struct {
		Rental   model.Provisioning
		Outcome  Outcome
		Machines []string
	}
	// ReturnBack: machines are gone (OK), or the outcome is unknown.
	ReturnBack struct {
		Machines []string
		Outcome  Outcome
	}
	// SaveBack: records were saved, or not. Failed names the jobs whose
	// conditions failed.
	SaveBack struct {
		Saves   []Save
		Outcome Outcome
		Version uint64 // OK: of the records that were written
	}
	// FenceBack: what this leader has sent before and was not answered is never carried out
	// any more (OK), or that is not known yet.
	FenceBack struct{ Outcome Outcome }
	// AccountsIn: accounts whose settlement is in doubt, as they are on record; of
	// those that could be read.
	AccountsIn struct{ Accounts map[string]ledger.OnRecord }
	// PagesIn: the oldest closed pages of a team's account, in order; none where they
	// could not be read.
	PagesIn struct {
		Team  string
		Pages []ledger.Stored
	}
)

func (Tick) controlEvent()        {}
func (JobAdded) controlEvent()    {}
func (JobEnded) controlEvent()    {}
func (EndsIn) controlEvent()      {}
func (ReportIn) controlEvent()    {}
func (CommandBack) controlEvent() {}
func (CatalogIn) controlEvent()   {}
func (ListIn) controlEvent()      {}
func (RentBack) controlEvent()    {}
func (ReturnBack) controlEvent()  {}
func (SaveBack) controlEvent()    {}
func (FenceBack) controlEvent()   {}
func (AccountsIn) controlEvent()  {}
func (PagesIn) controlEvent()     {}

// SaveKind says what a Save writes.
type SaveKind uint8

// The kinds of a Save.
const (
	SaveMachine SaveKind = iota + 1 // a machine may hold tasks from now on
	DropMachine                     // it holds none any more, for good
	SaveTasks                       // a chunk of a job's finished-task record
	DropTasks                       // a chunk of an ended job
	EndJob                          // all tasks of the job are done
	SaveNeed                        // a GPU request that was seen
	SaveLayout                      // how many tasks a numbered chunk has
	EndDoomed                       // the job awaits a cancelled one
	DropAwaits                      // a part of the list of what an ended job awaited
	SaveUse                         // a settlement of a team's account
	SaveStretch                     // a stretch of time that is not accounted
	FoldUse                         // closed pages of an account that become one
)

// alone tells that a save has a condition of its own, so it goes alone: its failure
// must not keep others back.
func (s *Save) alone() bool {
	return s.Solo || s.Kind == EndJob || s.Kind == EndDoomed || s.Kind == DropAwaits || s.Kind == SaveUse || s.Kind == FoldUse
}

// Save is one change of the leader's records.
type Save struct {
	Kind    SaveKind
	Machine model.MachineInfo // SaveMachine, DropMachine (its name)
	Job     string            // SaveTasks, DropTasks, EndJob, EndDoomed, DropAwaits
	Version uint64            // EndJob, EndDoomed: of the job's record
	Tasks   int               // EndJob, EndDoomed: how many it has; SaveLayout
	At      time.Time         // EndJob, EndDoomed
	Chunk   model.Chunk       // SaveTasks, DropTasks
	Bits    []byte            // SaveTasks
	Need    model.Resources   // SaveNeed
	Key     string            // DropAwaits
	Solo    bool              // goes alone: it was in a transaction that was rejected

	Team    string             // SaveUse
	Use     *ledger.Settlement // SaveUse; made when its transaction leaves
	Stretch *ledger.Stretch    // SaveStretch
	Fold    *Fold              // FoldUse
}

// Fold makes one closed page of several.
type Fold struct {
	From []ledger.Stored // in order; the first one's record becomes the new page's
	Into *ledger.Page
}

// Effect is what a leader wants done.
type Effect interface{ controlEffect() }

// The effects. All but Answer are answered by an event.
type (
	// Answer is the answer to the report of this Step. It is refused where its worker certainly
	// waits for no answer, or its machine is gone.
	Answer struct {
		Orders  []model.Command
		Refused bool
	}
	// Command sends commands straight to a worker.
	Command struct {
		Machine, Addr string
		Session       uint64
		Orders        []model.Command
		Urgent        bool // a launch of high or production rank is among them
	}
	// Rent asks the cloud for machines. After an unknown outcome it is repeated
	// under its own name only.
	Rent struct{ Rental model.Provisioning }
	// Return gives machines back.
	Return struct{ Machines []string }
	// List asks for the machine list.
	List struct{}
	// Catalog asks for the machine types.
	Catalog struct{}
	// LookUp asks how jobs that others await have ended.
	LookUp struct{ IDs []string }
	// Commit saves records in one transaction.
	Commit struct{ Saves []Save }
	// Fence has nothing carried out any more that was sent before and not answered.
	Fence struct{}
	// ReadAccounts asks for accounts as they are on record.
	ReadAccounts struct{ Teams []string }
	// ReadPages asks for the oldest closed pages of a team's account.
	ReadPages struct{ Team string }
)

func (Answer) controlEffect()  {}
func (Command) controlEffect() {}
func (Rent) controlEffect()    {}
func (Return) controlEffect()  {}
func (List) controlEffect()    {}
func (Catalog) controlEffect() {}
func (LookUp) controlEffect()  {}
func (Commit) controlEffect()  {}
func (Fence) controlEffect()   {}

func (ReadAccounts) controlEffect() {}
func (ReadPages) controlEffect()    {}
