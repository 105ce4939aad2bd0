package electionsim

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"time"

	"lukechampine.com/blake3"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// startTime is when an exploration begins.
var startTime = time.Unix(1000, 0)

// leaseSeconds is for how many full seconds a lease in the state service lasts.
const leaseSeconds = 4

// names are those of the members.
var names = [maxMembers]string{"a", "b", "c", "d", "e"}

// member is a controller.
type member struct {
	machine             *election.StateMachine
	up                  bool
	stateUnreachable    bool // it is cut off from the state service
	peersUnreachable    bool // it is cut off from the other members
	incarnation         int
	withoutFeatureGates bool // its program is from before feature gates
}

// state is a state of the deployment.
type state struct {
	settings *Settings
	result   *Result

	now        time.Time
	members    []member
	held       []message // delayed by the network
	faultsLeft int
	trace      string // the faults that led here
	stateService

	// While a second is played.
	queue []message
	fault fault
}

// stateService is what the state service holds.
type stateService struct {
	stateDown      bool
	holder         uint64 // the lease that holds the leader's key; 0: none
	owner          int    // the member that claimed it last
	token, version uint64
	leases         map[uint64]int // seconds left
	lastLease      uint64
	level          featuregate.Level // in force
	levelVersion   uint64
	highestToken   uint64 // that a member has acted with
}

// newState is a deployment whose members have just started.
func newState(settings *Settings, result *Result) *state {
	s := &state{
		settings:     settings,
		result:       result,
		now:          startTime,
		members:      make([]member, settings.Members),
		faultsLeft:   settings.MaxFaults,
		stateService: stateService{leases: map[uint64]int{}},
	}
	for i := range s.members {
		m := &s.members[i]
		m.up = true
		m.withoutFeatureGates = settings.FeatureGates && i == len(s.members)-1 && settings.Members > minMembers
		m.machine = s.newMachine(i)
	}
	return s
}

// newMachine is the election of a member without memory.
func (s *state) newMachine(i int) *election.StateMachine {
	settings := election.Settings{
		Member:             names[i],
		LeaseDuration:      leaseSeconds * second,
		SafetyMargin:       200 * time.Millisecond,
		PollInterval:       2 * second,
		RetryInterval:      second,
		VoteDuration:       3500 * time.Millisecond,
		OutageVoteDuration: 7 * second,
	}
	if s.settings.FeatureGates && !s.members[i].withoutFeatureGates {
		settings.MaxLevel = featuregate.Supported
	}
	for peer := range s.members {
		if peer != i {
			settings.Peers = append(settings.Peers, names[peer])
		}
	}
	return election.New(s.now, settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// restart has a member begin without memory.
func (s *state) restart(i int) {
	m := &s.members[i]
	m.machine = s.newMachine(i)
	m.incarnation++
}

// clone copies a state.
func (s *state) clone() *state {
	out := *s
	out.members = append([]member(nil), s.members...)
	for i := range out.members {
		if out.members[i].up {
			out.members[i].machine = out.members[i].machine.Clone()
		}
	}
	out.held = append([]message(nil), s.held...)
	out.leases = make(map[uint64]int, len(s.leases))
	for id, left := range s.leases {
		out.leases[id] = left
	}
	return &out
}

// fingerprint is a hash of all that the further course of a state depends on.
func (s *state) fingerprint() [32]byte {
	b := make([]byte, 0, 512)
	for i := range s.members {
		m := &s.members[i]
		b = appendFlags(b, m.up, m.stateUnreachable, m.peersUnreachable, m.withoutFeatureGates)
		if m.up {
			b = m.machine.AppendKey(b, s.now)
		}
	}
	b = appendFlags(b, s.stateDown)
	b = append(b, byte(s.faultsLeft), byte(s.owner))
	numbers := [...]uint64{
		s.holder,
		s.token,
		s.version,
		s.lastLease,
		s.highestToken,
		uint64(s.level),
		s.levelVersion,
	}
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if left, ok := s.leases[id]; ok {
			b = append(b, byte(id), byte(left+100))
		}
	}
	for _, m := range s.held {
		outdated := s.members[m.to].incarnation != m.receiverIncarnation ||
			s.members[m.from].incarnation != m.senderIncarnation
		b = appendFlags(b, outdated)
		b = append(b, byte(m.kind), byte(m.from), byte(m.to))
		b = binary.AppendVarint(b, int64(s.now.Sub(m.sentAt)))
		b = fmt.Appendf(b, "%v %v %v", m.request, m.duration, m.claim)
	}
	return blake3.Sum256(b)
}

// appendFlags appends a byte for each flag.
func appendFlags(b []byte, flags ...bool) []byte {
	for _, flag := range flags {
		if flag {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

// findings are what a check of a state has found.
type findings struct {
	acting    bool // a member may act
	byVotes   bool // a member may act by votes alone
	violation string
}

// check looks who may act, now and until the next step.
func (s *state) check() findings {
	var found findings
	for _, after := range []time.Duration{0, 350 * time.Millisecond, 900 * time.Millisecond} {
		now, acting := s.now.Add(after), 0
		for i := range s.members {
			m := &s.members[i]
			if !m.up || !m.machine.LeadershipValid(now) {
				continue
			}
			acting++
			if violation := s.checkActing(i); violation != "" {
				return findings{acting: true, violation: violation}
			}
			s.highestToken = m.machine.FencingToken()
			found.byVotes = found.byVotes || !now.Before(m.machine.LeaseValidUntil())
		}
		found.acting = found.acting || acting > 0
		if acting > 1 {
			found.violation = fmt.Sprintf("%d members may act", acting)
			return found
		}
	}
	return found
}

// checkActing returns what is wrong with a member that may act.
func (s *state) checkActing(i int) (violation string) {
	m := &s.members[i]
	switch {
	case !s.settings.FeatureGates:
	case m.withoutFeatureGates && s.level > 0:
		return fmt.Sprintf("%s may act under level %d with a program from before levels", names[i], s.level)
	case !m.withoutFeatureGates && m.machine.Level() != s.level:
		return fmt.Sprintf("%s may act by level %d, in force is %d", names[i], m.machine.Level(), s.level)
	}
	if token := m.machine.FencingToken(); token < s.highestToken {
		return fmt.Sprintf("%s may act with token %d, after %d", names[i], token, s.highestToken)
	}
	return ""
}
