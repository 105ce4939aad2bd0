package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
)

// AttemptState is the state of one start of a task, as the leader knows it.
type AttemptState uint8

// The states of an attempt. It is active, which means that it counts as being
// on its machine, from AttemptLaunching to AttemptStopping: docs/safety.md,
// "Attempts on a machine".
const (
	AttemptLaunching AttemptState = iota + 1 // the launch may have been sent; no heartbeat has shown it yet
	AttemptPresent                           // a heartbeat has shown it on its machine
	AttemptStopping                          // its stop was sent, or is about to be
	AttemptEnded                             // a heartbeat has shown its exit; the worker still lists it
	AttemptDropped                           // certainly not on the machine, or the worker was commanded to forget it
)

// String returns the state's name for logs and explanations.
func (s AttemptState) String() string {
	return [...]string{"none", "launching", "present", "stopping", "ended", "dropped"}[s]
}

// attemptTransitions holds the allowed changes of an attempt's state.
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

// Attempt is one start of a task on one machine. Its (Task, Number) is never
// used again.
type Attempt struct {
	Task    TaskID
	Number  uint64
	Job     *Job // nil: the job has ended or is unknown
	Machine *Machine
	Epoch   uint64 // of the worker
	State   AttemptState
	Phase   Phase // as last reported
	Cause   ExitCause
	Demand  Resources
	Team    string
	Usage   *Usage // of its team, or of attempts whose job is unknown

	LaunchedAt      time.Time
	RunningAt       time.Time // when it was first seen running
	StopRequestedAt time.Time
	EndedAt         time.Time // when a heartbeat showed its exit
	GracePeriod     time.Duration
	Preempted       bool // it was stopped to free capacity for other work

	AttemptDelivery
	AttemptCharge

	Choice Choice // why it is on its machine; zero where another leader chose

	activeIndex int // its index in Machine.activeAttempts
}

// AttemptDelivery is how far the worker is known to be informed of the attempt's state.
type AttemptDelivery struct {
	CommandedState   AttemptState // the state that the last direct command has conveyed
	LaunchedDirectly bool         // its launch was sent as a direct command
	// SentInReplyTo is the direct heartbeat whose answer first conveyed the
	// present state; zero: none.
	SentInReplyTo liveness.MessageNumber
}

// AttemptCharge is the time for which an attempt is charged in the ledger. It is
// zero while no message to this leader has shown the attempt running.
type AttemptCharge struct {
	ChargedFrom  time.Time // the first message to this leader that showed it running
	ChargedUntil time.Time
}

// Choice explains where the scheduler placed an attempt.
type Choice struct {
	FeasibleNodes int     // machines that fitted, the chosen one included
	Efficiency    float64 // of the machine with the task on it
	Preference    float64 // score of the job's own preferences for the machine
	ImageCached   bool    // the machine was known to hold the image
}

// Usage sums up what active attempts of one team hold. Transitions of the
// attempts keep it up to date, so that it never has to be counted.
type Usage struct {
	Allocated   Resources // of all active attempts
	Stopping    Resources // the part of Allocated that belongs to stopping attempts
	activeCount int
}

func (u *Usage) allocate(demand Resources) {
	u.Allocated = u.Allocated.Add(demand)
	u.activeCount++
}

func (u *Usage) free(demand Resources) {
	u.Allocated = u.Allocated.Sub(demand)
	if u.activeCount--; u.activeCount == 0 {
		u.Allocated, u.Stopping = Resources{}, Resources{} // drop accumulated rounding errors
	}
}

// Active reports whether the attempt counts as being on its machine.
func (a *Attempt) Active() bool { return a.State >= AttemptLaunching && a.State <= AttemptStopping }

// Transition changes the attempt's state and the sums of its team and machine
// that depend on it; nothing else changes the state. A transition that is not
// allowed is a programming error and panics.
func (a *Attempt) Transition(to AttemptState) {
	if a.State == to {
		return
	}
	if a.State != 0 && !slices.Contains(attemptTransitions[a.State], to) {
		panic(fmt.Sprintf("attempt %v/%d: %v -> %v", a.Task, a.Number, a.State, to))
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

// RequestStop marks the attempt as stopping, and reports whether that changes
// anything. A later request may shorten the grace period, never extend it.
func (a *Attempt) RequestStop(now time.Time, grace time.Duration) bool {
	if !a.Active() || a.State == AttemptStopping && a.GracePeriod <= grace {
		return false
	}
	if a.State != AttemptStopping {
		a.StopRequestedAt = now
	}
	a.GracePeriod = grace
	a.Transition(AttemptStopping)
	return true
}
