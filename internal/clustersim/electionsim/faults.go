package electionsim

import (
	"slices"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// FaultKind is a kind of event that can happen within a simulated second. Its text appears in Result.Trace.
type FaultKind string

// The faults that count towards Settings.MaxFaults.
const (
	StateServiceDown FaultKind = "down"  // an outage of the state service begins
	RaiseLevel       FaultKind = "raise" // an operator raises the feature level
	Crash            FaultKind = "crash" // a member crashes
	HoldMessages     FaultKind = "hold"  // the network holds back all messages of a member, including its claim
	StateUnreachable FaultKind = "cut"   // a member is partitioned from the state service
	PeersUnreachable FaultKind = "part"  // a member is partitioned from all other members
	AnswersLost      FaultKind = "mute"  // the state service's answers to a member are lost for this second
)

// The faults that Settings.InstantRestarts adds: a member crashes at a given step of the election and restarts at
// once. They count towards Settings.MaxFaults too.
const (
	RestartAfterGrant    FaultKind = "blink-granted"   // after the state service has granted its lease
	RestartAfterClaim    FaultKind = "blink-claimed"   // after the state service has processed its claim
	RestartClaimInFlight FaultKind = "blink-claiming"  // while the network holds back its claim
	RestartAfterVote     FaultKind = "blink-promised"  // after it has voted
	RestartAfterRelease  FaultKind = "blink-released"  // after it has released the votes of the other members
	RestartBeforeRelease FaultKind = "blink-releasing" // just before it would release them
)

// The events that do not count towards Settings.MaxFaults: the absence of a fault, the end of an earlier fault, and a
// late claim.
const (
	noFault             FaultKind = ""        // nothing happens
	stateServiceUp      FaultKind = "up"      // the outage of the state service ends
	releaseMessages     FaultKind = "release" // the network delivers the messages that it has held back
	restart             FaultKind = "restart" // a crashed member restarts
	restartOtherVersion FaultKind = "change"  // a crashed member restarts and gains or loses feature gates
	stateReachable      FaultKind = "join"    // the partition of a member from the state service ends
	peersReachable      FaultKind = "meet"    // the partition of a member from the other members ends
	lateClaim           FaultKind = "late"    // held claims reach the state service right before the claim of a member
)

// restartPoints lists the faults that Settings.InstantRestarts adds.
var restartPoints = []FaultKind{
	RestartAfterGrant,
	RestartAfterClaim,
	RestartClaimInFlight,
	RestartAfterVote,
	RestartAfterRelease,
	RestartBeforeRelease,
}

// limitedFaults lists the faults that count towards Settings.MaxFaults.
var limitedFaults = append([]FaultKind{
	StateServiceDown,
	RaiseLevel,
	Crash,
	HoldMessages,
	StateUnreachable,
	PeersUnreachable,
	AnswersLost,
}, restartPoints...)

// fault is an event within a simulated second and the index of the member that it affects. Events that affect no single
// member have index 0. The zero value means that nothing happens.
type fault struct {
	kind   FaultKind
	member int
}

// possibleFaults lists the events that may happen in the next second, beginning with the zero fault.
func (c *cluster) possibleFaults() []fault {
	possible := append([]fault{{}}, c.possibleServiceFaults()...)
	for i := range c.members {
		possible = append(possible, c.possibleRecoveries(i)...)
		if c.faultsLeft > 0 && c.members[i].up {
			possible = append(possible, c.possibleMemberFaults(i)...)
		}
	}
	if only := c.settings.OnlyFaults; len(only) > 0 {
		possible = slices.DeleteFunc(possible, func(f fault) bool {
			return slices.Contains(limitedFaults, f.kind) && !slices.Contains(only, f.kind)
		})
	}
	return possible
}

// possibleServiceFaults lists the events that may happen to the state service and the network.
func (c *cluster) possibleServiceFaults() (possible []fault) {
	if c.stateService.down {
		possible = append(possible, fault{stateServiceUp, 0})
	} else if c.faultsLeft > 0 {
		possible = append(possible, fault{StateServiceDown, 0})
	}
	if len(c.network.held) > 0 {
		possible = append(possible, fault{releaseMessages, 0})
	}
	isHeldClaim := func(m message) bool { return m.kind == heldClaim }
	if c.settings.InstantRestarts && slices.ContainsFunc(c.network.held, isHeldClaim) {
		for i := range c.members {
			possible = append(possible, fault{lateClaim, i})
		}
	}
	return possible
}

// possibleRecoveries lists the events that end a fault of a member.
func (c *cluster) possibleRecoveries(i int) (possible []fault) {
	m := &c.members[i]
	if !m.up {
		possible = append(possible, fault{restart, i})
		if c.settings.FeatureGates {
			possible = append(possible, fault{restartOtherVersion, i})
		}
	}
	if m.stateUnreachable {
		possible = append(possible, fault{stateReachable, i})
	}
	if m.peersUnreachable {
		possible = append(possible, fault{peersReachable, i})
	}
	return possible
}

// possibleMemberFaults lists the limited faults that may begin at a member that is up.
func (c *cluster) possibleMemberFaults(i int) (possible []fault) {
	m := &c.members[i]
	leads := m.stateMachine.State() == election.Leading
	if c.settings.FeatureGates && c.stateService.level == 0 && leads && !m.withoutFeatureGates {
		possible = append(possible, fault{RaiseLevel, i})
	}
	possible = append(possible, fault{Crash, i}, fault{HoldMessages, i})
	if c.settings.InstantRestarts {
		for _, point := range restartPoints {
			possible = append(possible, fault{point, i})
		}
	}
	if !m.peersUnreachable {
		possible = append(possible, fault{PeersUnreachable, i})
	}
	if !c.stateService.down && !m.stateUnreachable {
		possible = append(possible, fault{StateUnreachable, i}, fault{AnswersLost, i})
	}
	return possible
}

// applyFault begins or ends a fault. A kind without a case here takes effect later in the same second, when the member
// reaches the affected step.
func (c *cluster) applyFault(f fault) {
	if slices.Contains(limitedFaults, f.kind) {
		c.faultsLeft--
	}
	m := &c.members[f.member]
	switch f.kind {
	case stateServiceUp:
		c.stateService.endOutage()
	case StateServiceDown:
		c.stateService.down = true
	case releaseMessages:
		c.network.queue, c.network.held = append(c.network.queue, c.network.held...), nil
	case restart, restartOtherVersion:
		c.restartCrashed(f)
	case Crash:
		m.up = false
		m.incarnation++
	case stateReachable, StateUnreachable:
		m.stateUnreachable = f.kind == StateUnreachable
	case peersReachable, PeersUnreachable:
		m.peersUnreachable = f.kind == PeersUnreachable
	case RaiseLevel:
		c.raiseLevel(f.member)
	}
}

// restartCrashed restarts a crashed member. With the mutation ForgottenVotes, the member behaves as if all others had
// replied that they do not lead, and so ignores the votes that it may have cast before the crash.
func (c *cluster) restartCrashed(f fault) {
	m := &c.members[f.member]
	if f.kind == restartOtherVersion {
		m.withoutFeatureGates = !m.withoutFeatureGates
	}
	m.up = true
	c.restart(f.member)
	if c.settings.Mutation != ForgottenVotes {
		return
	}
	for peer := range c.members {
		if peer != f.member {
			m.stateMachine.Step(c.now, election.NotLeadingReceived{Member: memberNames[peer], Sent: c.now})
		}
	}
}

// restartIfInjected crashes and restarts a member if the fault of this second is a restart of that member at the given
// point. It reports whether it did.
func (c *cluster) restartIfInjected(i int, point FaultKind) bool {
	if c.currentFault != (fault{point, i}) {
		return false
	}
	c.currentFault = fault{} // the fault happens only once
	c.restart(i)
	return true
}

// raiseLevel proposes the highest supported level to all members with feature gates. The leader steps down, so that
// the next claim records the level. With the mutation SeparateRaise, the state service raises the level on its own.
func (c *cluster) raiseLevel(leader int) {
	if c.settings.Mutation == SeparateRaise {
		if served, _ := c.reachable(leader); served {
			c.stateService.raiseLevel()
		}
		return
	}
	for i := range c.members {
		if c.members[i].withoutFeatureGates {
			continue
		}
		c.stepMember(i, c.now, election.ProposeLevel{Level: featuregate.Supported, StepDown: i == leader})
	}
}
