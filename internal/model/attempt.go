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
	Launching AttemptState = iota + 1 // its launch may have been sent; no report has shown it yet
	Present                           // a report has shown it on its machine
	Stopping                          // it was told to stop, or is about to be
	Ended                             // a report has shown its exit; its row is still on the machine
	Dropped                           // it is certainly not on the machine, or its row was forgotten
)

func (s AttemptState) String() string {
	return [...]string{"none", "launching", "present", "stopping", "ended", "dropped"}[s]
}

// attemptMoves holds the allowed changes of an attempt's state.
var attemptMoves = map[AttemptState][]AttemptState{
	Launching: {Present, Stopping, Ended, Dropped},
	Present:   {Stopping, Ended, Dropped},
	Stopping:  {Ended, Dropped},
	Ended:     {Dropped},
}

// Attempt is one start of a task on one machine. Its (Task, Try) never comes
// again.
type Attempt struct {
	Task    TaskID
	Try     uint64
	Job     *Job // nil: the job has ended or is unknown
	Machine *Machine
	Session uint64 // of the worker
	State   AttemptState
	Phase   Phase // as last reported
	Cause   Cause
	Need    Resources
	Team    string
	Use     *Usage // the account of its team, or of what is on machines and nobody knows

	LaunchedAt time.Time
	RunningAt  time.Time // first seen running
	StopAt     time.Time // when it was told to stop
	Grace      time.Duration
	Yields     bool          // was stopped to make room
	Told       AttemptState  // the state that a direct command has told the worker of
	Straight   bool          // its launch went straight to the worker
	EndedAt    time.Time     // when a report showed its exit
	Carried    liveness.Mark // the straight report whose answer first told the worker of the present state; zero: none

	Choice Choice // why it is on its machine; zero where another leader chose

	slot int // its place among the attempts that count as being on its machine

	// For the ledger; zero while no message has shown it running.
	Ran     time.Time // the first message to this leader that showed it running
	Charged time.Time // up to here its run time is charged
}

// Choice is what decided where an attempt was placed.
type Choice struct {
	Of         int     // machines that fitted, this one among them
	Efficiency float64 // of the machine with the task on it
	Wish       float64 // what the job's wishes added to it
	Image      bool    // the machine is known to have held the image
}

// Usage is the account of what a team's attempts hold. It is kept as attempts
// change, so that nobody has to count them.
type Usage struct {
	Held    Resources // of all attempts that count as being on machines
	Leaving Resources // the part of that which was told to stop
	holding int
}

// Holds tells whether the attempt counts as being on its machine.
func (a *Attempt) Holds() bool { return a.State >= Launching && a.State <= Stopping }

// Set changes the attempt's state; it is the only place that does. The
// machine's and the job's accounts follow.
func (a *Attempt) Set(s AttemptState) {
	if a.State == s {
		return
	}
	ok := a.State == 0
	for _, to := range attemptMoves[a.State] {
		ok = ok || to == s
	}
	if !ok {
		panic(fmt.Sprintf("attempt %v/%d: %v -> %v", a.Task, a.Try, a.State, s))
	}
	held, leaving := a.Holds(), a.State == Stopping
	a.State, a.Carried = s, liveness.Mark{}
	if s == Stopping {
		a.Use.Leaving = a.Use.Leaving.Add(a.Need)
	}
	if leaving {
		a.Use.Leaving = a.Use.Leaving.Sub(a.Need)
	}
	if held == a.Holds() {
		return
	}
	if a.Holds() {
		a.Use.Held = a.Use.Held.Add(a.Need)
		a.Use.holding++
		a.Machine.Used = a.Machine.Used.Add(a.Need)
		a.Machine.hold(a)
	} else {
		a.Use.Held = a.Use.Held.Sub(a.Need)
		if a.Use.holding--; a.Use.holding == 0 {
			a.Use.Held, a.Use.Leaving = Resources{}, Resources{} // no rounding is left behind
		}
		a.Machine.Used = a.Machine.Used.Sub(a.Need)
		a.Machine.release(a)
		if a.Machine.Holding == 0 {
			a.Machine.Used = Resources{}
		}
	}
}

// Stop marks the attempt as told to stop, and tells whether that is news. A
// later stop may shorten the grace, never extend it.
func (a *Attempt) Stop(now time.Time, grace time.Duration) bool {
	if !a.Holds() || a.State == Stopping && a.Grace <= grace {
		return false
	}
	if a.State != Stopping {
		a.StopAt = now
	}
	a.Grace = grace
	a.Set(Stopping)
	return true
}

// MachineState is where a machine stands, as the leader knows it.
type MachineState uint8

// The states of a machine.
const (
	Booting   MachineState = iota + 1 // rented; its worker has not reported
	Unsettled                         // from before the takeover; may hold tasks that nobody here knows
	Ready                             // what is on it is known
	Draining                          // nothing more is placed on it
	Returning                         // the cloud was asked to take it back
	Gone                              // the cloud has taken it back
)

func (s MachineState) String() string {
	return [...]string{"none", "booting", "unsettled", "ready", "draining", "returning", "gone"}[s]
}

var machineMoves = map[MachineState][]MachineState{
	Booting:   {Ready, Draining, Returning},
	Unsettled: {Ready, Draining, Returning},
	Ready:     {Draining, Returning},
	Draining:  {Returning},
	Returning: {Gone},
}

// AttemptKey names an attempt on a machine.
type AttemptKey struct {
	Task TaskID
	Try  uint64
}

// Machine is a rented machine.
type Machine struct {
	Name, Addr, Zone string
	Type             *MachineType
	Spot             bool
	State            MachineState
	Since            time.Time // when this state began
	Why              string    // why it drains
	Registered       bool      // its record is durable

	// Unsure: it is from before the takeover, and neither a report with this
	// leader's token has come nor has its lease certainly run out.
	Unsure   bool
	Recorded Listed // where it is unsure: what its record says of it

	liveness.Incarnation                   // the numbers of its messages
	Detector             liveness.Detector // whether it hears this leader
	Deadline             time.Time         // by then its worker's lease has certainly run out unless a report is answered
	LastReport           time.Time         // the last report; an answer to a command is none
	LastSeen             time.Time         // its last message of any kind

	Used    Resources
	Holding int // attempts that count as being on it
	Rows    map[AttemptKey]*Attempt
	held    []*Attempt // those of the rows that count as being on it

	EmptySince time.Time
	Rented     time.Time // when it was asked for, as far as is known
	Notice     time.Time // when the cloud takes it; zero: no notice
	Images     map[string]time.Time

	Copies      Copies         // of launches that were sent straight to it
	Errors      map[string]int // errors by job
	FailedAt    time.Time      // when a task failed there last
	Suspect     time.Time      // since when it is left alone: jobs fail on it, nobody knows why; zero: it is not
	Direct      bool           // a direct command is in flight
	Asked       time.Time      // when a new leader last asked it whether it is there
	Unanswering bool           // it did not answer that
	HoldOff     time.Time      // no direct command before this
}

// Set changes the machine's state; it is the only place that does. It tells
// whether the change is allowed and new.
func (m *Machine) Set(now time.Time, s MachineState, why string) bool {
	ok := m.State == 0
	for _, to := range machineMoves[m.State] {
		ok = ok || to == s
	}
	if !ok {
		return false
	}
	m.State, m.Since, m.Why = s, now, why
	return true
}

// Held lists the attempts that count as being on the machine, in no order. It is kept as attempts change, and is
// not to be changed by others. Guards against looks at all that runs that go through the rows of ended attempts
// too, which stay for leases.
func (m *Machine) Held() []*Attempt { return m.held }

func (m *Machine) hold(a *Attempt) {
	a.slot = len(m.held)
	m.held = append(m.held, a)
	m.Holding++
}

func (m *Machine) release(a *Attempt) {
	last := len(m.held) - 1
	m.held[a.slot] = m.held[last]
	m.held[a.slot].slot = a.slot
	m.held[last] = nil
	m.held = m.held[:last]
	m.Holding--
}

// Free is what is not taken.
func (m *Machine) Free() Resources { return m.Type.Cap.Sub(m.Used) }
