package model

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
)

// AttemptState is where one start of a task stands, as the leader knows it.
type AttemptState uint8

// The states of an attempt. From Launching to Stopping it counts as being on
// its machine; see docs/safety.md, "What is on a machine".
const (
	AttemptLaunching AttemptState = iota + 1 // its launch may have been sent; no report has shown it yet
	AttemptPresent                           // a report has shown it on its machine
	AttemptStopping                          // it was told to stop, or is about to be
	AttemptEnded                             // a report has shown its exit; its row is still on the machine
	AttemptDropped                           // it is certainly not on the machine, or its row was forgotten
)

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

// Attempt is one start of a task on one machine. Its (Task, Try) never comes
// again.
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
	Usage   *Usage // the account of its team, or of what is on machines and nobody knows

	LaunchedAt       time.Time
	RunningAt        time.Time // first seen running
	StopRequestedAt  time.Time // when it was told to stop
	GracePeriod      time.Duration
	Preempted        bool                   // was stopped to make room
	CommandedState   AttemptState           // the state that a direct command has told the worker of
	LaunchedDirectly bool                   // its launch went straight to the worker
	EndedAt          time.Time              // when a report showed its exit
	SentInReplyTo    liveness.MessageNumber // the straight report whose answer first told the worker of the present state; zero: none

	Choice Choice // why it is on its machine; zero where another leader chose

	activeIndex int // its place among the attempts that count as being on its machine

	// For the ledger; zero while no message has shown it running.
	ChargedFrom  time.Time // the first message to this leader that showed it running
	ChargedUntil time.Time // up to here its run time is charged
}

// Choice is what decided where an attempt was placed.
type Choice struct {
	FeasibleNodes int     // machines that fitted, this one among them
	Efficiency    float64 // of the machine with the task on it
	Preference    float64 // what the job's wishes added to it
	ImageCached   bool    // the machine is known to have held the image
}

// Usage is the account of what a team's attempts hold. It is kept as attempts
// change, so that nobody has to count them.
type Usage struct {
	Allocated   Resources // of all attempts that count as being on machines
	Stopping    Resources // the part of that which was told to stop
	activeCount int
}

// Active tells whether the attempt counts as being on its machine.
func (a *Attempt) Active() bool { return a.State >= AttemptLaunching && a.State <= AttemptStopping }

// Transition changes the attempt's state; it is the only place that does. The
// machine's and the job's accounts follow.
func (a *Attempt) Transition(s AttemptState) {
	if a.State == s {
		return
	}
	ok := a.State == 0
	for _, to := range attemptTransitions[a.State] {
		ok = ok || to == s
	}
	if !ok {
		panic(fmt.Sprintf("attempt %v/%d: %v -> %v", a.Task, a.Number, a.State, s))
	}
	held, leaving := a.Active(), a.State == AttemptStopping
	a.State, a.SentInReplyTo = s, liveness.MessageNumber{}
	if s == AttemptStopping {
		a.Usage.Stopping = a.Usage.Stopping.Add(a.Demand)
	}
	if leaving {
		a.Usage.Stopping = a.Usage.Stopping.Sub(a.Demand)
	}
	if held == a.Active() {
		return
	}
	if a.Active() {
		a.Usage.Allocated = a.Usage.Allocated.Add(a.Demand)
		a.Usage.activeCount++
		a.Machine.Used = a.Machine.Used.Add(a.Demand)
		a.Machine.addActive(a)
	} else {
		a.Usage.Allocated = a.Usage.Allocated.Sub(a.Demand)
		if a.Usage.activeCount--; a.Usage.activeCount == 0 {
			a.Usage.Allocated, a.Usage.Stopping = Resources{}, Resources{} // no rounding is left behind
		}
		a.Machine.Used = a.Machine.Used.Sub(a.Demand)
		a.Machine.removeActive(a)
		if a.Machine.ActiveCount == 0 {
			a.Machine.Used = Resources{}
		}
	}
}

// RequestStop marks the attempt as told to stop, and tells whether that is news. A
// later stop may shorten the grace, never extend it.
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

// MachineState is where a machine stands, as the leader knows it.
type MachineState uint8

// The states of a machine.
const (
	MachineBooting   MachineState = iota + 1 // rented; its worker has not reported
	MachineInherited                         // from before the takeover; may hold tasks that nobody here knows
	MachineReady                             // what is on it is known
	MachineDraining                          // nothing more is placed on it
	MachineReleasing                         // the cloud was asked to take it back
	MachineReleased                          // the cloud has taken it back
)

func (s MachineState) String() string {
	return [...]string{"none", "booting", "unsettled", "ready", "draining", "returning", "gone"}[s]
}

var machineTransitions = map[MachineState][]MachineState{
	MachineBooting:   {MachineReady, MachineDraining, MachineReleasing},
	MachineInherited: {MachineReady, MachineDraining, MachineReleasing},
	MachineReady:     {MachineDraining, MachineReleasing},
	MachineDraining:  {MachineReleasing},
	MachineReleasing: {MachineReleased},
}

// AttemptKey names an attempt on a machine.
type AttemptKey struct {
	Task   TaskID
	Number uint64
}

// Machine is a rented machine.
type Machine struct {
	Name, Addr, Zone string
	Type             *MachineType
	Spot             bool
	State            MachineState
	StateSince       time.Time // when this state began
	StateReason      string    // why it drains
	Registered       bool      // its record is durable

	// Unreconciled: it is from before the takeover, and neither a report with this
	// leader's token has come nor has its lease certainly run out.
	Unreconciled bool
	Record       MachineInfo // where it is unsure: what its record says of it

	liveness.Incarnation                   // the numbers of its messages
	Detector             liveness.Detector // whether it hears this leader
	LeaseExpiry          time.Time         // by then its worker's lease has certainly run out unless a report is answered
	LastHeartbeat        time.Time         // the last report; an answer to a command is none
	LastSeen             time.Time         // its last message of any kind

	Used           Resources
	ActiveCount    int // attempts that count as being on it
	Attempts       map[AttemptKey]*Attempt
	activeAttempts []*Attempt // those of the rows that count as being on it

	EmptySince     time.Time
	RequestedAt    time.Time // when it was asked for, as far as is known
	InterruptionAt time.Time // when the cloud takes it; zero: no notice
	CachedImages   map[string]time.Time

	UnansweredLaunches    UnansweredLaunches // of launches that were sent straight to it
	ErrorsByJob           map[string]int     // errors by job
	LastFailure           time.Time          // when a task failed there last
	QuarantinedSince      time.Time          // since when it is left alone: jobs fail on it, nobody knows why; zero: it is not
	CommandInFlight       bool               // a direct command is in flight
	ProbedAt              time.Time          // when a new leader last asked it whether it is there
	ProbeUnanswered       bool               // it did not answer that
	NoDirectCommandBefore time.Time          // no direct command before this
}

// Transition changes the machine's state; it is the only place that does. It tells
// whether the change is allowed and new.
func (m *Machine) Transition(now time.Time, s MachineState, why string) bool {
	ok := m.State == 0
	for _, to := range machineTransitions[m.State] {
		ok = ok || to == s
	}
	if !ok {
		return false
	}
	m.State, m.StateSince, m.StateReason = s, now, why
	return true
}

// ActiveAttempts lists the attempts that count as being on the machine, in no order. It is kept as attempts change, and is
// not to be changed by others. Guards against looks at all that runs that go through the rows of ended attempts
// too, which stay for leases.
func (m *Machine) ActiveAttempts() []*Attempt { return m.activeAttempts }

func (m *Machine) addActive(a *Attempt) {
	a.activeIndex = len(m.activeAttempts)
	m.activeAttempts = append(m.activeAttempts, a)
	m.ActiveCount++
}

func (m *Machine) removeActive(a *Attempt) {
	last := len(m.activeAttempts) - 1
	m.activeAttempts[a.activeIndex] = m.activeAttempts[last]
	m.activeAttempts[a.activeIndex].activeIndex = a.activeIndex
	m.activeAttempts[last] = nil
	m.activeAttempts = m.activeAttempts[:last]
	m.ActiveCount--
}

// Free is what is not taken.
func (m *Machine) Free() Resources { return m.Type.Capacity.Sub(m.Used) }
