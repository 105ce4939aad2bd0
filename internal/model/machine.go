package model

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
)

// MachineState is the state of a machine in the leader's view.
type MachineState uint8

// The states of a machine.
const (
	MachineBooting   MachineState = iota + 1 // it is provisioned, but its worker has not sent a heartbeat yet
	MachineInherited                         // an earlier leader used it; it may run tasks unknown to this leader
	MachineReady                             // all attempts on it are known, and tasks may be placed on it
	MachineDraining                          // no more tasks are placed on it; it is released when it is empty
	MachineReleasing                         // its release is being requested from the cloud
	MachineReleased                          // the cloud has released it
)

// String returns the state's name for logs and explanations, "none" for the zero value.
func (s MachineState) String() string {
	return [...]string{"none", "booting", "unsettled", "ready", "draining", "returning", "gone"}[s]
}

// machineTransitions lists the states that may follow each state of a machine.
var machineTransitions = map[MachineState][]MachineState{
	MachineBooting:   {MachineReady, MachineDraining, MachineReleasing},
	MachineInherited: {MachineReady, MachineDraining, MachineReleasing},
	MachineReady:     {MachineDraining, MachineReleasing},
	MachineDraining:  {MachineReleasing},
	MachineReleasing: {MachineReleased},
}

// Machine is a provisioned machine in the leader's view.
type Machine struct {
	Name, Addr, Zone string
	Type             *MachineType
	Spot             bool
	State            MachineState
	StateSince       time.Time
	StateReason      string // why it entered the state; "" if no reason was given
	RecordDurable    bool   // whether its record is durable

	// Unreconciled is true if earlier leaders may have started tasks on the machine that this leader does not know.
	// It is reset once that is excluded: when the machine sends a heartbeat with this leader's fencing token, or when
	// any lease from an earlier leader has certainly expired.
	Unreconciled bool
	RecordedInfo MachineInfo // the machine's record at the takeover; valid if Unreconciled is set

	liveness.Incarnation                   // numbers of the machine's messages
	Detector             liveness.Detector // failure detector: whether the machine receives this leader's messages
	// LeaseExpiry is the time at which the worker's lease has certainly expired, unless a heartbeat is answered
	// before.
	LeaseExpiry   time.Time
	LastHeartbeat time.Time // when its last heartbeat came; answers to commands do not count
	LastSeen      time.Time // when its last message of any kind came

	Attempts map[AttemptKey]*Attempt // all attempts that the worker may list, including ended ones
	machineAllocation

	EmptySince     time.Time            // start of the time for which it counts as idle; valid if ActiveCount is 0
	RequestedAt    time.Time            // when it was provisioned; zero if that is not known
	InterruptionAt time.Time            // when the cloud reclaims the spot machine; zero if there is no notice
	CachedImages   map[string]time.Time // images that it may hold, with the time of their last use by a task

	ErrorsByJob map[string]int // failed attempts on it, by job ID
	LastFailure time.Time      // when an attempt last failed on it
	// QuarantinedSince is when the machine was quarantined: tasks fail on it for an unknown reason, so no more tasks
	// are placed on it. It is zero if the machine is not quarantined.
	QuarantinedSince time.Time

	MachineCommands
}

// machineAllocation is what the active attempts on a machine hold. Attempt.Transition keeps it up to date.
type machineAllocation struct {
	Used           Resources  // sum of the demands of the active attempts
	ActiveCount    int        // number of active attempts
	activeAttempts []*Attempt // unordered
}

// MachineCommands is the state of the commands and probes that are sent directly to a machine, not in the response to
// a heartbeat.
type MachineCommands struct {
	UnansweredLaunches    UnansweredLaunches
	CommandInFlight       bool      // whether a direct command or probe is unanswered
	ProbedAt              time.Time // when it was last probed
	ProbeUnanswered       bool      // whether a probe has failed since the last message of the machine
	NoDirectCommandBefore time.Time // no direct command is sent before this time, since the last one was not answered
}

// Transition changes the machine's state if the change is allowed, and reports whether it is. The state must not be
// changed in any other way.
func (m *Machine) Transition(now time.Time, to MachineState, reason string) bool {
	if m.State != 0 && !slices.Contains(machineTransitions[m.State], to) {
		return false
	}
	m.State, m.StateSince, m.StateReason = to, now, reason
	return true
}

// ActiveAttempts returns the active attempts on the machine, in no particular order. Callers must not modify the
// slice. It is kept separately so that callers need not scan Attempts, which holds ended attempts as long as workers
// may list them.
func (m *Machine) ActiveAttempts() []*Attempt { return m.activeAttempts }

// Free returns the capacity that no active attempt holds.
func (m *Machine) Free() Resources { return m.Type.Capacity.Sub(m.Used) }

func (m *machineAllocation) addActive(attempt *Attempt) {
	m.Used = m.Used.Add(attempt.Demand)
	attempt.activeIndex = len(m.activeAttempts)
	m.activeAttempts = append(m.activeAttempts, attempt)
	m.ActiveCount++
}

func (m *machineAllocation) removeActive(attempt *Attempt) {
	m.Used = m.Used.Sub(attempt.Demand)
	last := len(m.activeAttempts) - 1
	m.activeAttempts[attempt.activeIndex] = m.activeAttempts[last]
	m.activeAttempts[attempt.activeIndex].activeIndex = attempt.activeIndex
	m.activeAttempts[last] = nil
	m.activeAttempts = m.activeAttempts[:last]
	if m.ActiveCount--; m.ActiveCount == 0 {
		m.Used = Resources{} // discard accumulated rounding errors
	}
}
