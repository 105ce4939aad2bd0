package electionsim

import (
	"fmt"
	"slices"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// fault is what happens within a second: to a member, or to the state service or the network. The zero value is none.
type fault struct {
	kind   faultKind
	member int
}

// faultKind is what happens. The names are published in traces and in Settings.OnlyFaults.
type faultKind string

// What ends a fault, or happens without counting as one.
const (
	faultNone          faultKind = ""
	faultStateUp       faultKind = "up"      // the outage of the state service ends
	faultDeliverHeld   faultKind = "release" // the network delivers the messages that it has delayed
	faultLateClaim     faultKind = "late"    // delayed claims are carried out right before the member's own
	faultRestart       faultKind = "restart" // the member comes back
	faultChangeProgram faultKind = "change"  // it comes back with another program
	faultRejoinState   faultKind = "join"    // it reaches the state service again
	faultRejoinPeers   faultKind = "meet"    // it reaches the other members again
)

// The faults that count.
const (
	faultStateDown   faultKind = "down"  // the state service is out for all
	faultRaiseLevel  faultKind = "raise" // the feature level is raised
	faultCrash       faultKind = "crash"
	faultDelay       faultKind = "hold" // the member's messages and its claim are delayed
	faultCutState    faultKind = "cut"  // the member is cut off from the state service
	faultPartition   faultKind = "part" // the member is cut off from the other members
	faultLoseAnswers faultKind = "mute" // the state service's answers to the member are lost
)

// The steps at which a member restarts at once.
const (
	restartAfterGrant    faultKind = "blink-granted"   // it has asked for its lease
	restartAfterClaim    faultKind = "blink-claimed"   // its claim was carried out
	restartDuringClaim   faultKind = "blink-claiming"  // its claim is on its way, and carried out later
	restartAfterVote     faultKind = "blink-promised"  // it has just voted
	restartAfterRelease  faultKind = "blink-released"  // it has told the others that it does not lead any more
	restartBeforeRelease faultKind = "blink-releasing" // it has not told them yet
)

// restartPoints are the steps at which a member restarts at once.
var restartPoints = []faultKind{
	restartAfterGrant,
	restartAfterClaim,
	restartDuringClaim,
	restartAfterVote,
	restartAfterRelease,
	restartBeforeRelease,
}

// countedFaults are the faults of which a sequence has few.
var countedFaults = append([]faultKind{
	faultStateDown,
	faultRaiseLevel,
	faultCrash,
	faultDelay,
	faultCutState,
	faultPartition,
	faultLoseAnswers,
}, restartPoints...)

// possibleFaults lists what may happen next.
func (s *state) possibleFaults() []fault {
	faults := []fault{{}}
	if s.stateDown {
		faults = append(faults, fault{faultStateUp, 0})
	} else if s.faultsLeft > 0 {
		faults = append(faults, fault{faultStateDown, 0})
	}
	if len(s.held) > 0 {
		faults = append(faults, fault{faultDeliverHeld, 0})
	}
	isClaim := func(m message) bool { return m.kind == messageClaim }
	if s.settings.InstantRestarts && slices.ContainsFunc(s.held, isClaim) {
		for i := range s.members {
			faults = append(faults, fault{faultLateClaim, i})
		}
	}
	for i := range s.members {
		faults = s.appendMemberFaults(faults, i)
	}
	if only := s.settings.OnlyFaults; len(only) > 0 {
		faults = slices.DeleteFunc(faults, func(f fault) bool {
			return slices.Contains(countedFaults, f.kind) && !slices.Contains(only, string(f.kind))
		})
	}
	return faults
}

// appendMemberFaults appends what may happen to a member.
func (s *state) appendMemberFaults(faults []fault, i int) []fault {
	m := &s.members[i]
	if !m.up {
		faults = append(faults, fault{faultRestart, i})
		if s.settings.FeatureGates {
			faults = append(faults, fault{faultChangeProgram, i})
		}
	}
	if m.stateUnreachable {
		faults = append(faults, fault{faultRejoinState, i})
	}
	if m.peersUnreachable {
		faults = append(faults, fault{faultRejoinPeers, i})
	}
	if s.faultsLeft == 0 || !m.up {
		return faults
	}
	mayRaise := s.settings.FeatureGates && s.level == 0 && !m.withoutFeatureGates
	if mayRaise && m.machine.State() == election.Leading {
		faults = append(faults, fault{faultRaiseLevel, i})
	}
	faults = append(faults, fault{faultCrash, i}, fault{faultDelay, i})
	if s.settings.InstantRestarts {
		for _, point := range restartPoints {
			faults = append(faults, fault{point, i})
		}
	}
	if !m.peersUnreachable {
		faults = append(faults, fault{faultPartition, i})
	}
	if !s.stateDown && !m.stateUnreachable {
		faults = append(faults, fault{faultCutState, i}, fault{faultLoseAnswers, i})
	}
	return faults
}

// step plays one second with a fault in it.
func (s *state) step(f fault) {
	s.now = s.now.Add(second)
	if !s.stateDown {
		for id := range s.leases {
			if s.leases[id]--; s.leases[id] < 0 {
				s.endLease(id)
			}
		}
	}
	s.fault = f
	if slices.Contains(countedFaults, f.kind) {
		s.faultsLeft--
	}
	s.apply(f)
	s.deliver()
	for i := range s.members {
		s.stepMember(i, s.now, election.Tick{})
		s.deliver()
	}
	if f.kind != faultNone {
		s.trace += fmt.Sprintf(" %ds:%s %s", s.now.Sub(startTime)/second, f.kind, names[f.member])
	}
}

// apply has a fault begin or end. Those that are not here take effect while the second is played.
func (s *state) apply(f fault) {
	m := &s.members[f.member]
	switch f.kind {
	case faultStateUp:
		s.stateDown = false
		for id := range s.leases {
			s.leases[id] = leaseSeconds
		}
	case faultDeliverHeld:
		s.queue, s.held = append(s.queue, s.held...), nil
	case faultRestart, faultChangeProgram:
		s.comeBack(f)
	case faultRejoinState:
		m.stateUnreachable = false
	case faultRejoinPeers:
		m.peersUnreachable = false
	case faultStateDown:
		s.stateDown = true
	case faultRaiseLevel:
		s.raiseLevel(f.member)
	case faultCrash:
		m.up = false
		m.incarnation++
	case faultCutState:
		m.stateUnreachable = true
	case faultPartition:
		m.peersUnreachable = true
	}
}

// comeBack starts a member that had crashed, perhaps with another program.
func (s *state) comeBack(f fault) {
	m := &s.members[f.member]
	if f.kind == faultChangeProgram {
		m.withoutFeatureGates = !m.withoutFeatureGates
	}
	m.up = true
	s.restart(f.member)
	if s.settings.Mutation != ForgottenVotes {
		return
	}
	for i := range s.members {
		if i != f.member {
			m.machine.Step(s.now, election.NotLeadingReceived{Member: names[i], Sent: s.now})
		}
	}
}

// restartAt tells whether a member restarts at this point, and has it back without memory.
func (s *state) restartAt(i int, point faultKind) bool {
	if s.fault != (fault{point, i}) {
		return false
	}
	s.fault = fault{} // it restarts once
	s.restart(i)
	return true
}

// raiseLevel opens the feature gate at all members that know of it; the leader is elected anew for it.
func (s *state) raiseLevel(leader int) {
	if s.settings.Mutation == SeparateRaise {
		if served, _ := s.reachable(leader); served {
			s.level++
			s.levelVersion++
		}
		return
	}
	for i := range s.members {
		if !s.members[i].withoutFeatureGates {
			s.stepMember(i, s.now, election.ProposeLevel{Level: featuregate.Supported, StepDown: i == leader})
		}
	}
}
