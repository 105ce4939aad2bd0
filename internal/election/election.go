// Package election decides which controller leads. It is a pure state machine: the caller passes
// each event to StateMachine.Step together with the present time, performs the effects that Step
// returns, and passes their outcomes in as further events. Between events it sends a Tick whenever
// NextTick says so. Before anything is done in the name of the leader, the caller checks
// LeadershipValid.
//
// A leader holds a lease at the state service. Votes of all other members, each of which promises
// not to claim for a time, keep its leadership valid while the state service is unreachable. The
// safety argument is in docs/safety.md, "Single leader".
package election

import (
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
)

// State is a controller's state in the election.
type State uint8

// The states of a controller.
const (
	Following      State = iota // another controller leads, or none does
	ReadingLeader               // reading the leader's keys
	AcquiringLease              // waiting for a lease
	Claiming                    // trying to take the leader's key with that lease
	Leading                     // holds the leader's key; LeadershipValid reports whether it may act
)

// String returns the name that operators are shown.
func (s State) String() string {
	return [...]string{"following", "looking", "granting", "claiming", "leading"}[s]
}

// Settings configure an election.
type Settings struct {
	Member        string        // name of this controller
	Peers         []string      // names of the other members
	LeaseDuration time.Duration // of the leader's lease
	SafetyMargin  time.Duration // by which a leadership ends before its lease can
	PollInterval  time.Duration // between reads of the leader's keys while another member leads
	RetryInterval time.Duration // after a failed request

	VoteDuration       time.Duration // for which a member votes for a leader; 0: there are no votes
	OutageVoteDuration time.Duration // the same while the state service is unreachable; 0: no longer

	MaxLevel featuregate.Level // the highest feature level that this program supports
}

// clockDriftDivisor bounds the drift between the steady clocks of two machines: a duration that is
// measured on one differs on the other by at most this fraction.
const clockDriftDivisor = 1000

// withoutDrift shortens a duration so that, measured on one machine, it ends no later than the given
// one does on another.
func withoutDrift(d time.Duration) time.Duration { return d - d/clockDriftDivisor }

// withDrift lengthens a duration so that, measured on one machine, it ends no earlier than the given
// one does on another.
func withDrift(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// Record is the content of the leader's keys.
type Record struct {
	Held         bool // a controller holds the leader's key
	Leader       string
	LeaseID      uint64
	FencingToken uint64 // the last one issued
	TokenVersion uint64
	Level        featuregate.Level // in force; 0: not recorded
	LevelVersion uint64
}

// StateMachine is the election as one controller takes part in it. It belongs to one goroutine.
type StateMachine struct {
	settings Settings
	log      *slog.Logger

	state         State
	nextActionAt  time.Time // when a Tick reads, renews or retries next
	leader        string    // the leader as far as known; empty: unknown
	noClaimBefore time.Time // after a resignation

	lease leaderLease
	level levelRecord
	votes votes
}

// leaderLease is the lease and the fencing token of this controller's leadership. Before it leads,
// the token is the last one that was read.
type leaderLease struct {
	id            uint64
	renewalSentAt time.Time // when the request for the lease, or its last successful renewal, was sent
	renewing      bool      // a renewal has not been answered yet
	fencingToken  uint64
	tokenVersion  uint64
}

// levelRecord is what this controller knows of the feature level in force.
type levelRecord struct {
	inForce  featuregate.Level // the highest that was ever read or written: it never falls
	recorded featuregate.Level // in the record that was read last
	version  uint64            // of that record
	proposed featuregate.Level // to which the next claim may raise it
	claimed  featuregate.Level // written by the claim in progress; 0: none
}

// New returns the state machine of a controller that starts at now and remembers no earlier
// incarnation of its process.
func New(now time.Time, settings Settings, log *slog.Logger) *StateMachine {
	m := &StateMachine{settings: settings, log: log}
	m.votes.recover(now, &m.settings)
	return m
}

// State returns this controller's state.
func (m *StateMachine) State() State { return m.state }

// Leader returns the leader's name as far as this controller knows; empty: unknown.
func (m *StateMachine) Leader() string { return m.leader }

// FencingToken returns the fencing token of this controller's leadership.
func (m *StateMachine) FencingToken() uint64 { return m.lease.fencingToken }

// TokenVersion returns the version of the fencing token's record.
func (m *StateMachine) TokenVersion() uint64 { return m.lease.tokenVersion }

// LeaseID returns the lease that this controller's leadership depends on.
func (m *StateMachine) LeaseID() uint64 { return m.lease.id }

// LeaseDuration returns how long a leader's lease lasts.
func (m *StateMachine) LeaseDuration() time.Duration { return m.settings.LeaseDuration }

// Level returns the feature level in force as far as this controller knows. It never falls.
func (m *StateMachine) Level() featuregate.Level { return m.level.inForce }

// NextTick returns when the next Tick is due.
func (m *StateMachine) NextTick() time.Time {
	asking := m.votes.state == voteRecovering && m.state <= ReadingLeader
	if asking && m.votes.nextRequestAt.Before(m.nextActionAt) {
		return m.votes.nextRequestAt
	}
	return m.nextActionAt
}

// transition changes the state; nothing else does.
func (m *StateMachine) transition(to State, nextActionAt time.Time) {
	if m.state != to && (to == Leading || m.state == Leading) {
		m.log.Info("leadership changed", "from", m.state.String(), "to", to.String(), "fencing_token", m.lease.fencingToken)
	}
	m.state, m.nextActionAt = to, nextActionAt
}
