package electionsim

import (
	"slices"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// FaultKind is what can happen within a second. Result.Trace names the kinds by their text.
type FaultKind string

// The faults that Settings.MaxFaults limits.
const (
	StateServiceDown FaultKind = "down"
	RaiseLevel       FaultKind = "raise" // operators raise the feature level
	Crash            FaultKind = "crash"
	HoldMessages     FaultKind = "hold" // the network holds what a member sends, its claim too
	StateUnreachable FaultKind = "cut"  // a member is partitioned from the state service
	PeersUnreachable FaultKind = "part" // a member is partitioned from the others
	AnswersLost      FaultKind = "mute" // a member gets no answers of the state service for this second
)

// The faults of Settings.InstantRestarts: the steps at which a member crashes and restarts at once.
const (
	RestartAfterGrant    FaultKind = "blink-granted"   // its lease is granted
	RestartAfterClaim    FaultKind = "blink-claimed"   // its claim is committed
	RestartClaimInFlight FaultKind = "blink-claiming"  // its claim is sent and held by the network
	RestartAfterVote     FaultKind = "blink-promised"  // it has voted
	RestartAfterRelease  FaultKind = "blink-released"  // it has released the others' votes
	RestartBeforeRelease FaultKind = "blink-releasing" // it was about to release them
)

// What else happens: the end of faults, at any time and without a limit.
const (
	noFault         FaultKind = ""
	stateServiceUp  FaultKind = "up"
	releaseMessages FaultKind = "release" // the network delivers what it holds
	restart         FaultKind = "restart" // of a member that crashed
	restartChanged  FaultKind = "change"  // the same with another program
	stateReachable  FaultKind = "join"
	peersReachable  FaultKind = "meet"
	lateClaim       FaultKind = "late" // a held claim is committed right before a member's own
)

var restartPoints = []FaultKind{
	RestartAfterGrant,
	RestartAfterClaim,
	RestartClaimInFlight,
	RestartAfterVote,
	RestartAfterRelease,
	RestartBeforeRelease,
}

// limitedFaults are those that Settings.MaxFaults limits.
var limitedFaults = append([]FaultKind{
	StateServiceDown,
	RaiseLevel,
	Crash,
	HoldMessages,
	StateUnreachable,
	PeersUnreachable,
	AnswersLost,
}, restartPoints...)

// fault is what happens within a second, and to which member. The zero value is nothing.
type fault struct {
	kind   FaultKind
	member int
}

// possibleFaults lists what may happen in the next second; nothing comes first.
func (c *cluster) possibleFaults() []fault {
	possible := append([]fault{{}}, c.possibleForAll()...)
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

// possibleForAll lists what may happen to the state service and the network.
func (c *cluster) possibleForAll() (possible []fault) {
	if c.state.down {
		possible = append(possible, fault{stateServiceUp, 0})
	} else if c.faultsLeft > 0 {
		possible = append(possible, fault{StateServiceDown, 0})
	}
	if len(c.network.held) > 0 {
		possible = append(possible, fault{releaseMessages, 0})
	}
	isClaim := func(m message) bool { return m.kind == heldClaim }
	if c.settings.InstantRestarts && slices.ContainsFunc(c.network.held, isClaim) {
		for i := range c.members {
			possible = append(possible, fault{lateClaim, i})
		}
	}
	return possible
}

// possibleRecoveries lists which faults of a member may end.
func (c *cluster) possibleRecoveries(i int) (possible []fault) {
	m := &c.members[i]
	if !m.up {
		possible = append(possible, fault{restart, i})
		if c.settings.FeatureGates {
			possible = append(possible, fault{restartChanged, i})
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

// possibleMemberFaults lists which faults a member that is up may have.
func (c *cluster) possibleMemberFaults(i int) (possible []fault) {
	m := &c.members[i]
	leads := m.machine.State() == election.Leading
	if c.settings.FeatureGates && c.state.level == 0 && leads && !m.withoutFeatureGates {
		possible = append(possible, fault{RaiseLevel, i})
	}
	possible = append(possible, fault{Crash, i}, fault{HoldMessages, i})
	if c.settings.InstantRestarts {
		for _, at := range restartPoints {
			possible = append(possible, fault{at, i})
		}
	}
	if !m.peersUnreachable {
		possible = append(possible, fault{PeersUnreachable, i})
	}
	if !c.state.down && !m.stateUnreachable {
		possible = append(possible, fault{StateUnreachable, i}, fault{AnswersLost, i})
	}
	return possible
}

// apply begins or ends a fault. The kinds without a case take effect where their event happens in this second.
func (c *cluster) apply(f fault) {
	if slices.Contains(limitedFaults, f.kind) {
		c.faultsLeft--
	}
	m := &c.members[f.member]
	switch f.kind {
	case stateServiceUp:
		c.state.recover()
	case StateServiceDown:
		c.state.down = true
	case releaseMessages:
		c.network.queue, c.network.held = append(c.network.queue, c.network.held...), nil
	case restart, restartChanged:
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

// restartCrashed starts a member that crashed. With the mutation ForgottenVotes it takes for granted that none
// of the others leads.
func (c *cluster) restartCrashed(f fault) {
	m := &c.members[f.member]
	if f.kind == restartChanged {
		m.withoutFeatureGates = !m.withoutFeatureGates
	}
	m.up = true
	c.restart(f.member)
	if c.settings.Mutation != ForgottenVotes {
		return
	}
	for peer := range c.members {
		if peer != f.member {
			m.machine.Step(c.now, election.NotLeadingReceived{Member: memberNames[peer], Sent: c.now})
		}
	}
}

// restartIf crashes and restarts a member if that is the fault of this second.
func (c *cluster) restartIf(i int, at FaultKind) bool {
	if c.fault != (fault{at, i}) {
		return false
	}
	c.fault = fault{} // only once
	c.restart(i)
	return true
}

// raiseLevel proposes the supported level to all members with feature gates; the leader steps down for it.
func (c *cluster) raiseLevel(leader int) {
	if c.settings.Mutation == SeparateRaise {
		if served, _ := c.reachable(leader); served {
			c.state.raise()
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
