// Package election implements leader election among the controllers. It is a pure state machine: the caller passes
// each event to StateMachine.Step together with the current time, performs the effects that Step returns, and reports
// their outcomes as further events. The caller also passes a Tick at the time that NextTick returns. Before it acts as
// the leader, the caller checks LeadershipValid.
//
// A leader holds a lease at the state service. While the state service is unreachable, votes of all other members keep
// the leadership valid: each vote is a promise not to claim the leadership for a limited time. The safety argument is
// in docs/safety.md, "Single leader".
package election

import (
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
)

// State is the state of a controller in the election.
type State uint8

// The states of a controller.
const (
	Following      State = iota // this controller neither leads nor tries to become the leader
	ReadingLeader               // it is reading the leader's keys
	AcquiringLease              // it has requested a lease
	Claiming                    // it is trying to write the leader's key with that lease
	Leading                     // it holds the leader's key; LeadershipValid reports whether it may act
)

// String returns the name of the state that log records and Status show.
func (s State) String() string {
	return [...]string{"following", "looking", "granting", "claiming", "leading"}[s]
}

// Settings configure an election.
type Settings struct {
	Member        string        // the name of this controller
	Peers         []string      // the names of the other members
	LeaseDuration time.Duration // the duration of the leader's lease
	SafetyMargin  time.Duration // how long before the earliest expiry of its lease a leadership ends
	PollInterval  time.Duration // the time between reads of the leader's keys while another member leads
	RetryInterval time.Duration // the delay after a failed request

	VoteDuration       time.Duration // how long a member's vote for a leader lasts; zero disables votes
	OutageVoteDuration time.Duration // how long a vote lasts while the state service is unreachable, if that is longer

	MaxLevel featuregate.Level // the highest feature level that this program supports
}

// clockDriftDivisor bounds the drift between the monotonic clocks of two machines: their measurements of the same
// duration differ by at most the duration divided by this number.
const clockDriftDivisor = 1000

// shortenForDrift returns a shorter duration that, measured on one machine, ends no later than d does when measured on
// another machine.
func shortenForDrift(d time.Duration) time.Duration { return d - d/clockDriftDivisor }

// extendForDrift returns a longer duration that, measured on one machine, ends no earlier than d does when measured on
// another machine.
func extendForDrift(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// Record is the content of the leader's keys.
type Record struct {
	Held         bool              // a controller holds the leader's key
	Leader       string            // the name of that controller
	LeaseID      uint64            // the lease that the leader's key is attached to
	FencingToken uint64            // the last fencing token that was issued
	TokenVersion uint64            // the version of the fencing token's record
	Level        featuregate.Level // the feature level in force; zero if there is no record of it
	LevelVersion uint64            // the version of that record
}

// StateMachine is the state of one controller in the election. It is not safe for concurrent use, except for
// RenewalValidUntil.
type StateMachine struct {
	settings Settings
	log      *slog.Logger

	state         State
	nextActionAt  time.Time // when a Tick next reads the leader's keys, renews the lease or retries
	leader        string    // the name of the last known leader; empty if unknown
	noClaimBefore time.Time // the end of the pause in claims that follows a resignation

	lease leaderLease
	level levelState
	votes votes
}

// leaderLease is the lease and the fencing token of this controller's leadership. Before this controller leads, the
// token is the last one that it has read.
type leaderLease struct {
	id            uint64
	renewalSentAt time.Time // when the request for the lease, or its last successful renewal, was sent
	renewing      bool      // a renewal is in flight
	fencingToken  uint64
	tokenVersion  uint64
}

// levelState holds what this controller knows about the feature level in force.
type levelState struct {
	inForce  featuregate.Level // the highest level that was ever read or written; it never falls
	recorded featuregate.Level // the level in the record that was read last
	version  uint64            // the version of that record
	proposed featuregate.Level // the level to which the next claim may raise the deployment
	claimed  featuregate.Level // the level that the claim in progress writes; zero if it writes none
}

// New returns the state machine of a controller whose process starts at now and remembers nothing from its earlier
// incarnations.
func New(now time.Time, settings Settings, log *slog.Logger) *StateMachine {
	m := &StateMachine{settings: settings, log: log}
	m.votes.startRecovery(now, &m.settings)
	return m
}

// State returns this controller's state.
func (m *StateMachine) State() State { return m.state }

// Leader returns the name of the last known leader, or the empty string if it is unknown.
func (m *StateMachine) Leader() string { return m.leader }

// FencingToken returns the fencing token of this controller's leadership. It is meaningful only while this controller
// leads.
func (m *StateMachine) FencingToken() uint64 { return m.lease.fencingToken }

// TokenVersion returns the version of the fencing token's record. It is meaningful only while this controller leads.
func (m *StateMachine) TokenVersion() uint64 { return m.lease.tokenVersion }

// LeaseID returns the lease of this controller's leadership. It is zero while this controller follows.
func (m *StateMachine) LeaseID() uint64 { return m.lease.id }

// LeaseDuration returns the configured duration of the leader's lease.
func (m *StateMachine) LeaseDuration() time.Duration { return m.settings.LeaseDuration }

// Level returns the highest feature level that this controller has read or written. It never falls.
func (m *StateMachine) Level() featuregate.Level { return m.level.inForce }

// NextTick returns when the caller has to pass the next Tick.
func (m *StateMachine) NextTick() time.Time {
	queriesPeers := m.votes.state == voteRecovering && m.state <= ReadingLeader
	if queriesPeers && m.votes.nextRequestAt.Before(m.nextActionAt) {
		return m.votes.nextRequestAt
	}
	return m.nextActionAt
}

// transition is the only method that changes the state.
func (m *StateMachine) transition(to State, nextActionAt time.Time) {
	if m.state != to && (to == Leading || m.state == Leading) {
		m.log.Info("leadership changed", "from", m.state.String(), "to", to.String(), "fencing_token", m.lease.fencingToken)
	}
	m.state, m.nextActionAt = to, nextActionAt
}
