package model

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
)

// MachineState is the state of a machine, as the leader knows it.
type MachineState uint8

// The states of a machine.
const (
	MachineBooting   MachineState = iota + 1 // provisioned; its worker has sent no heartbeat
	MachineInherited                         // from before the failover; may run tasks that this leader does not know
	MachineReady                             // what runs on it is known
	MachineDraining                          // nothing more is placed on it
	MachineReleasing                         // its release was requested from the cloud
	MachineReleased                          // the cloud has released it
)

// String returns the state's name for logs and explanations.
func (s MachineState) String() string {
	return [...]string{"none", "booting", "unsettled", "ready", "draining", "returning", "gone"}[s]
}

// machineTransitions holds the allowed changes of a machine's state.
var machineTransitions = map[MachineState][]MachineState{
	MachineBooting:   {MachineReady, MachineDraining, MachineReleasing},
	MachineInherited: {MachineReady, MachineDraining, MachineReleasing},
	MachineReady:     {MachineDraining, MachineReleasing},
	MachineDraining:  {MachineReleasing},
	MachineReleasing: {MachineReleased},
}

// Machine is a machine that the cloud has provisioned.
type Machine struct {
	Name, Addr, Zone string
	Type             *MachineType
	Spot             bool
	State            MachineState
	StateSince       time.Time
	StateReason      string // why it drains
	Registered       bool   // its record is durable

	// Unreconciled machines are from before the failover: neither has a
	// heartbeat with this leader's fencing token come, nor has the worker's
	// lease certainly expired.
	Unreconciled bool
	Record       MachineInfo // what the record of an unreconciled machine says

	liveness.Incarnation                   // the numbers of its messages
	Detector             liveness.Detector // whether it receives what this leader sends
	// LeaseExpiry is when its worker's lease has certainly expired, unless a
	// heartbeat is answered before.
	LeaseExpiry   time.Time
	LastHeartbeat time.Time // answers to commands do not count
	LastSeen      time.Time // its last message of any kind

	Attempts map[AttemptKey]*Attempt // all that its worker may list, ended ones included
	machineAllocation

	EmptySince     time.Time
	RequestedAt    time.Time // when it was provisioned, as far as is known
	InterruptionAt time.Time // when the cloud takes the spot machine away; zero: no notice
	CachedImages   map[string]time.Time

	ErrorsByJob      map[string]int
	LastFailure      time.Time // when a task last failed on it
	QuarantinedSince time.Time // nothing is placed on it, as tasks fail for unknown reasons; zero: it is not quarantined

	MachineCommands
}

// machineAllocation is what active attempts hold of a machine. Their transitions
// keep it up to date.
type machineAllocation struct {
	Used           Resources
	ActiveCount    int
	activeAttempts []*Attempt
}

// MachineCommands is the state of the direct commands to a machine.
type MachineCommands struct {
	UnansweredLaunches    UnansweredLaunches
	CommandInFlight       bool
	ProbedAt              time.Time // when a new leader last probed it
	ProbeUnanswered       bool
	NoDirectCommandBefore time.Time
}

// Transition changes the machine's state; nothing else does. It reports whether
// the change is allowed.
func (m *Machine) Transition(now time.Time, to MachineState, reason string) bool {
	if m.State != 0 && !slices.Contains(machineTransitions[m.State], to) {
		return false
	}
	m.State, m.StateSince, m.StateReason = to, now, reason
	return true
}

// ActiveAttempts lists the active attempts on the machine, in no order. Callers
// must not change the list. It spares scans of Attempts, which keeps ended
// attempts for as long as workers may list them.
func (m *Machine) ActiveAttempts() []*Attempt { return m.activeAttempts }

// Free is the capacity that no active attempt holds.
func (m *Machine) Free() Resources { return m.Type.Capacity.Sub(m.Used) }

func (m *machineAllocation) addActive(a *Attempt) {
	m.Used = m.Used.Add(a.Demand)
	a.activeIndex = len(m.activeAttempts)
	m.activeAttempts = append(m.activeAttempts, a)
	m.ActiveCount++
}

func (m *machineAllocation) removeActive(a *Attempt) {
	m.Used = m.Used.Sub(a.Demand)
	last := len(m.activeAttempts) - 1
	m.activeAttempts[a.activeIndex] = m.activeAttempts[last]
	m.activeAttempts[a.activeIndex].activeIndex = a.activeIndex
	m.activeAttempts[last] = nil
	m.activeAttempts = m.activeAttempts[:last]
	if m.ActiveCount--; m.ActiveCount == 0 {
		m.Used = Resources{} // drop accumulated rounding errors
	}
}
