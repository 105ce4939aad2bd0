package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
)

// AttemptState is the state of an attempt in the leader's view.
type AttemptState uint8

// The states of an attempt. In the states from AttemptLaunching to AttemptStopping it is active: it counts towards
// the usage of its machine. See docs/safety.md, "Attempts on a machine".
const (
	AttemptLaunching AttemptState = iota + 1 // its launch may have been sent; no heartbeat has reported it yet
	AttemptPresent                           // a heartbeat has reported it on its machine
	AttemptStopping                          // its stop command was sent or is about to be sent
	AttemptEnded                             // a heartbeat has reported its exit; the worker still lists it
	AttemptDropped                           // it is certainly gone, or the worker has forgotten it on command
)

// String returns the state's name for logs and explanations, "none" for the zero value.
func (s AttemptState) String() string {
	return [...]string{"none", "launching", "present", "stopping", "ended", "dropped"}[s]
}

// attemptTransitions lists the states that may follow each state of an attempt.
var attemptTransitions = map[AttemptState][]AttemptState{
	AttemptLaunching: {AttemptPresent, AttemptStopping, AttemptEnded, AttemptDropped},
	AttemptPresent:   {AttemptStopping, AttemptEnded, AttemptDropped},
	AttemptStopping:  {AttemptEnded, AttemptDropped},
	AttemptEnded:     {AttemptDropped},
}

// AttemptKey identifies an attempt among those of a machine.
type AttemptKey struct {
	Task   TaskID
	Number uint64
}

// Attempt is one start of a task on one machine. The pair of Task and Number identifies it and is never reused.
type Attempt struct {
	Task    TaskID
	Number  uint64
	Job     *Job // nil if the job has ended or is unknown
	Machine *Machine
	Epoch   uint64 // the worker's epoch in which it was launched or adopted
	State   AttemptState
	Phase   Phase     // the last reported phase; 0 if none was reported
	Cause   ExitCause // why it exited; 0 before that
	Demand  Resources
	Team    string
	Usage   *Usage // the usage of its team, or the one shared by all attempts of unknown jobs

	LaunchedAt      time.Time // when this leader launched or adopted it
	RunningAt       time.Time // when it was first reported running
	StopRequestedAt time.Time
	EndedAt         time.Time     // when a heartbeat reported its exit
	GracePeriod     time.Duration // time that it has to save a checkpoint after a stop request
	Preempted       bool          // it was stopped to free capacity for other work

	AttemptDelivery
	AttemptCharge

	Choice Choice // why this leader placed it on its machine; zero if another leader placed it

	activeIndex int // index in Machine.activeAttempts, valid while it is active
}

// AttemptDelivery records which commands about an attempt were sent to the worker.
type AttemptDelivery struct {
	// CommandedState is the state that the last direct command conveyed. It is 0 if there was none or the grace period
	// has changed since. A direct command is due if State is AttemptLaunching or AttemptStopping and differs from
	// CommandedState.
	CommandedState   AttemptState
	LaunchedDirectly bool // whether its launch was ever sent as a direct command
	// SentInReplyTo is the number of the first heartbeat whose response conveyed the present state. Only heartbeats
	// from the worker itself count, not those relayed by another controller. It is zero if there is none.
	SentInReplyTo liveness.MessageNumber
}

// AttemptCharge is the period for which the ledger charges an attempt. It is zero until a message to this leader
// reports the attempt running.
type AttemptCharge struct {
	// ChargedFrom is the time of the first message to this leader that reported the attempt running. Once run time was
	// charged as wasted, it is the end of that run time.
	ChargedFrom  time.Time
	ChargedUntil time.Time // end of the charged run time
}

// Choice explains why the scheduler placed an attempt on its machine.
type Choice struct {
	FeasibleNodes int     // number of feasible machines, including the chosen one
	Efficiency    float64 // power efficiency of the machine with the task on it
	Preference    float64 // score of the machine by the job's own preferences
	ImageCached   bool    // whether the machine was known to hold the image
}

// Usage is the sum of the resources that the active attempts of one team hold. Attempt.Transition keeps it up to
// date, so that it never has to be recomputed.
type Usage struct {
	Allocated   Resources // held by all active attempts
	Stopping    Resources // the part of Allocated that is held by stopping attempts
	activeCount int
}

func (u *Usage) allocate(demand Resources) {
	u.Allocated = u.Allocated.Add(demand)
	u.activeCount++
}

func (u *Usage) free(demand Resources) {
	u.Allocated = u.Allocated.Sub(demand)
	if u.activeCount--; u.activeCount == 0 {
		u.Allocated, u.Stopping = Resources{}, Resources{} // discard accumulated rounding errors
	}
}

// Active reports whether the attempt counts towards the usage of its machine.
func (a *Attempt) Active() bool { return a.State >= AttemptLaunching && a.State <= AttemptStopping }

// Transition changes the attempt's state and updates the usage of its team and machine. The state must not be changed
// in any other way. A new attempt, whose state is 0, may enter any state. A transition to the present state has no
// effect. Transition panics if the change is not allowed, which is a programming error.
func (a *Attempt) Transition(to AttemptState) {
	if a.State == to {
		return
	}
	if a.State != 0 && !slices.Contains(attemptTransitions[a.State], to) {
		panic(fmt.Sprintf("illegal transition of task %v, attempt %d: from %v to %v", a.Task, a.Number, a.State, to))
	}
	wasActive, wasStopping := a.Active(), a.State == AttemptStopping
	a.State, a.SentInReplyTo = to, liveness.MessageNumber{}
	if to == AttemptStopping {
		a.Usage.Stopping = a.Usage.Stopping.Add(a.Demand)
	}
	if wasStopping {
		a.Usage.Stopping = a.Usage.Stopping.Sub(a.Demand)
	}
	switch isActive := a.Active(); {
	case isActive && !wasActive:
		a.Usage.allocate(a.Demand)
		a.Machine.addActive(a)
	case wasActive && !isActive:
		a.Usage.free(a.Demand)
		a.Machine.removeActive(a)
	}
}

// RequestStop marks an active attempt as stopping with a grace period, and reports whether that changed the attempt.
// A further request can shorten the grace period but not extend it.
func (a *Attempt) RequestStop(now time.Time, gracePeriod time.Duration) bool {
	if !a.Active() || a.State == AttemptStopping && a.GracePeriod <= gracePeriod {
		return false
	}
	if a.State != AttemptStopping {
		a.StopRequestedAt = now
	}
	a.GracePeriod = gracePeriod
	a.Transition(AttemptStopping)
	return true
}
