// Package electionsim plays the election's own code through every course that some troubles can
// take, in steps of a second, and says where two members may act at once or one with a token of
// old.
package electionsim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"time"

	"lukechampine.com/blake3"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// Mutation leaves a part of the protocol out.
type Mutation string

// What can be left out.
const (
	NoMutation        Mutation = ""
	ShortVotes        Mutation = "cut-short" // members keep a promise for a third of the time
	ForgottenVotes    Mutation = "forgotten" // what a member has promised is counted on though it restarted without memory, and claims
	LateVotes         Mutation = "late"      // promises are taken after the right has lapsed
	MixedIncarnations Mutation = "lives"     // a member takes what is its former life's for its own: messages, and the leader's key

	// Of levels.
	ReadableLevel Mutation = "readable" // programs from before levels can read the record of the level
	SeparateRaise Mutation = "beside"   // a level is raised by a transaction of its own while somebody leads
)

// Settings say what is played.
type Settings struct {
	Members         int
	Seconds         int // from the moment on at which one leads by promises
	MaxFaults       int // at the most, in one course
	MaxStates       int // states; more are an error
	Mutation        Mutation
	FeatureGates    bool     // members' programs change, and a level is raised
	InstantRestarts bool     // members end at any step of an election and are back at once
	OnlyFaults      []string // faults that are played; none: all
}

// Result is what was found.
type Result struct {
	States    int    `json:"states"`  // that differ
	Acting    int    `json:"acting"`  // of these, with somebody who may act
	ByVotes   int    `json:"by_word"` // on promises alone
	Claims    int    `json:"claims"`  // made on the way
	Raised    int    `json:"raised"`  // of the states, with a level that was raised
	Violation string `json:"broken,omitempty"`
	Trace     string `json:"course,omitempty"` // that led there
}

// ErrTooManyStates says that there are more states than were allowed for.
var ErrTooManyStates = errors.New("more states than allowed")

const second = time.Second

var startTime = time.Unix(1000, 0)

type member struct {
	machine             *election.StateMachine
	up                  bool
	stateUnreachable    bool // from the state service
	peersUnreachable    bool // from the other members
	incarnation         int
	withoutFeatureGates bool // its program is from before levels
}

// message is on its way between members, or a claim to the state service.
type message struct {
	kind                byte // a question, a promise, u: who leads?, n: not this one, a release, a claim
	from, to            int
	receiverIncarnation int // of the receiver, which takes nothing that was meant for an earlier one
	senderIncarnation   int // of the sender
	sentAt              time.Time
	request             election.VoteRequest
	duration            time.Duration
	claim               election.Claim
}

type state struct {
	now        time.Time
	members    []member
	held       []message // by the network
	faultsLeft int       // left
	trace      string

	stateDown      bool
	holder         uint64 // lease that holds the leader's key; 0: nobody
	owner          int
	token, version uint64
	leases         map[uint64]int // seconds left
	lastLease      uint64
	level          featuregate.Level // in force
	levelVersion   uint64
	highestToken   uint64 // token that anybody was entitled with

	// While a second is played.
	queue    []message
	fault    fault
	settings *Settings
	result   *Result
}

// fault is what happens within a second. The zero value is none.
type fault struct {
	kind   string
	member int
}

func (s *state) memberNames() []string { return []string{"a", "b", "c", "d", "e"}[:len(s.members)] }

func (s *state) newMachine(i int) *election.StateMachine {
	set := election.Settings{Member: s.memberNames()[i], LeaseDuration: 4 * second, SafetyMargin: 200 * time.Millisecond, PollInterval: 2 * second, RetryInterval: second,
		VoteDuration: 3500 * time.Millisecond, OutageVoteDuration: 7 * second}
	if s.settings.FeatureGates && !s.members[i].withoutFeatureGates {
		set.MaxLevel = featuregate.Supported
	}
	for j, n := range s.memberNames() {
		if j != i {
			set.Peers = append(set.Peers, n)
		}
	}
	return election.New(s.now, set, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// clone is the same state, which goes its own way.
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

// fingerprint tells states apart whose further course may differ.
func (s *state) fingerprint() [32]byte {
	b := make([]byte, 0, 512)
	flags := func(fs ...bool) {
		for _, f := range fs {
			if f {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	for i := range s.members {
		k := &s.members[i]
		flags(k.up, k.stateUnreachable, k.peersUnreachable, k.withoutFeatureGates)
		if k.up {
			b = k.machine.AppendKey(b, s.now)
		}
	}
	flags(s.stateDown)
	b = append(b, byte(s.faultsLeft), byte(s.owner))
	for _, n := range []uint64{s.holder, s.token, s.version, s.lastLease, s.highestToken, uint64(s.level), s.levelVersion} {
		b = binary.AppendUvarint(b, n)
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if left, ok := s.leases[id]; ok {
			b = append(b, byte(id), byte(left+100))
		}
	}
	for _, m := range s.held {
		stale := s.members[m.to].incarnation != m.receiverIncarnation || s.members[m.from].incarnation != m.senderIncarnation
		flags(stale)
		b = append(b, m.kind, byte(m.from), byte(m.to))
		b = binary.AppendVarint(b, int64(s.now.Sub(m.sentAt)))
		b = fmt.Appendf(b, "%v %v %v", m.request, m.duration, m.claim)
	}
	return blake3.Sum256(b)
}

// possibleFaults lists what may happen next.
func (s *state) possibleFaults() []fault {
	out := []fault{{}}
	if s.stateDown {
		out = append(out, fault{"up", 0})
	} else if s.faultsLeft > 0 {
		out = append(out, fault{"down", 0})
	}
	if len(s.held) > 0 {
		out = append(out, fault{"release", 0})
	}
	if s.settings.InstantRestarts && slices.ContainsFunc(s.held, func(m message) bool { return m.kind == 'c' }) {
		for i := range s.members {
			out = append(out, fault{"late", i}) // a claim of before is carried out right before this one's
		}
	}
	for i := range s.members {
		k := &s.members[i]
		if !k.up {
			out = append(out, fault{"restart", i})
			if s.settings.FeatureGates {
				out = append(out, fault{"change", i}) // of its program
			}
		}
		if k.stateUnreachable {
			out = append(out, fault{"join", i})
		}
		if k.peersUnreachable {
			out = append(out, fault{"meet", i})
		}
		if s.faultsLeft == 0 || !k.up {
			continue
		}
		if s.settings.FeatureGates && s.level == 0 && k.machine.State() == election.Leading && !k.withoutFeatureGates {
			out = append(out, fault{"raise", i})
		}
		out = append(out, fault{"crash", i}, fault{"hold", i})
		if s.settings.InstantRestarts {
			for _, at := range restartPoints {
				out = append(out, fault{at, i})
			}
		}
		if !k.peersUnreachable {
			out = append(out, fault{"part", i})
		}
		if !s.stateDown && !k.stateUnreachable {
			out = append(out, fault{"cut", i}, fault{"mute", i})
		}
	}
	if only := s.settings.OnlyFaults; len(only) > 0 {
		out = slices.DeleteFunc(out, func(t fault) bool { return slices.Contains(countedFaults, t.kind) && !slices.Contains(only, t.kind) })
	}
	return out
}

// The steps at which a member ends and is back at once: when it has asked for its lease; when its claim was
// carried out; when it has sent its claim, which is carried out later; when it has just given a
// promise; when it has told the others that it leads no more, or before it could.
var restartPoints = []string{"blink-granted", "blink-claimed", "blink-claiming", "blink-promised", "blink-released", "blink-releasing"}

// countedFaults are the faults that a course has few of.
var countedFaults = append([]string{"down", "raise", "crash", "hold", "cut", "part", "mute"}, restartPoints...)

// restartAt tells whether a member ends now, and has it back without memory.
func (s *state) restartAt(i int, at string) bool {
	if s.fault != (fault{at, i}) {
		return false
	}
	s.fault = fault{} // once
	k := &s.members[i]
	k.machine = s.newMachine(i)
	k.incarnation++
	return true
}

// step plays one second with a trouble in it.
func (s *state) step(t fault) {
	s.now = s.now.Add(second)
	if !s.stateDown {
		for id := range s.leases {
			if s.leases[id]--; s.leases[id] < 0 {
				s.endLease(id)
			}
		}
	}
	s.fault = t
	switch t.kind {
	case "", "late":
	case "up":
		s.stateDown = false
		for id := range s.leases {
			s.leases[id] = 4 // in full again
		}
	case "release":
		s.queue, s.held = append(s.queue, s.held...), nil
	case "restart", "change":
		k := &s.members[t.member]
		k.withoutFeatureGates = k.withoutFeatureGates != (t.kind == "change")
		k.up, k.machine = true, s.newMachine(t.member)
		k.incarnation++
		if s.settings.Mutation == ForgottenVotes {
			for i, n := range s.memberNames() {
				if i != t.member {
					k.machine.Step(s.now, election.NotLeadingReceived{Member: n, Sent: s.now})
				}
			}
		}
	case "join":
		s.members[t.member].stateUnreachable = false
	case "meet":
		s.members[t.member].peersUnreachable = false
	default:
		s.faultsLeft--
		switch t.kind {
		case "down":
			s.stateDown = true
		case "raise":
			s.raiseLevel(t.member)
		case "crash":
			s.members[t.member].up = false
			s.members[t.member].incarnation++
		case "cut":
			s.members[t.member].stateUnreachable = true
		case "part":
			s.members[t.member].peersUnreachable = true
		}
	}
	s.deliver()
	for i := range s.members {
		s.stepMember(i, s.now, election.Tick{})
		s.deliver()
	}
	if t.kind != "" {
		s.trace += fmt.Sprintf(" %ds:%s %s", s.now.Sub(startTime)/second, t.kind, s.memberNames()[t.member])
	}
}

// raiseLevel has all that know levels see the gate open; the one that leads gives way for it.
func (s *state) raiseLevel(leader int) {
	if s.settings.Mutation == SeparateRaise {
		if served, _ := s.reachable(leader); served {
			s.level++
			s.levelVersion++
		}
		return
	}
	for i := range s.members {
		if k := &s.members[i]; !k.withoutFeatureGates {
			s.stepMember(i, s.now, election.ProposeLevel{Level: featuregate.Supported, StepDown: i == leader})
		}
	}
}

func (s *state) endLease(id uint64) {
	delete(s.leases, id)
	if s.holder == id {
		s.holder = 0
	}
}

// deliver carries what is on its way, unless the network holds or loses it.
func (s *state) deliver() {
	for n := 0; len(s.queue) > 0 && n < 1000; n++ {
		m := s.queue[0]
		s.queue = s.queue[1:]
		s.receive(m)
	}
	s.queue = nil
}

// send puts a message on its way.
func (s *state) send(m message) {
	m.receiverIncarnation, m.senderIncarnation = s.members[m.to].incarnation, s.members[m.from].incarnation
	switch {
	case m.kind != 'c' && (s.members[m.from].peersUnreachable || s.members[m.to].peersUnreachable):
		return
	case s.fault == fault{"hold", m.from}, s.fault == fault{"blink-claiming", m.from} && m.kind == 'c':
		if len(s.held) < 6 {
			s.held = append(s.held, m)
		}
		return
	}
	s.queue = append(s.queue, m)
}

func (s *state) receive(m message) {
	k := &s.members[m.to]
	if m.kind == 'c' {
		s.claim(m.from, m.claim) // given up by its sender: nobody hears of it
		return
	}
	told := s.settings.Mutation != MixedIncarnations
	if !k.up || told && k.incarnation != m.receiverIncarnation {
		return
	}
	answer := message{from: m.to, to: m.from, sentAt: m.sentAt, request: m.request}
	reply := func(kind byte) {
		if !told || s.members[m.from].incarnation == m.senderIncarnation {
			answer.kind = kind
			s.send(answer)
		}
	}
	switch m.kind {
	case 'a':
		q := m.request
		if s.settings.Mutation == ShortVotes {
			q.Duration /= 3
		}
		if answer.duration = k.machine.HandleVoteRequest(s.now, q); answer.duration > 0 {
			if s.settings.Mutation == ShortVotes {
				answer.duration *= 3
			}
			reply('p')
			s.restartAt(m.to, "blink-promised")
		}
	case 'p':
		now := s.now
		if s.settings.Mutation == LateVotes {
			now = startTime
		}
		s.stepMember(m.to, now, election.VoteReceived{Member: s.memberNames()[m.from], FencingToken: m.request.FencingToken, Sent: m.sentAt, Seq: m.request.Seq, Duration: m.duration})
	case 'u':
		if st := k.machine.State(); st != election.Leading && st != election.Claiming {
			reply('n')
		}
	case 'n':
		s.stepMember(m.to, s.now, election.NotLeadingReceived{Member: s.memberNames()[m.from], Sent: m.sentAt})
	case 'r':
		k.machine.HandleVoteRelease(m.request.FencingToken)
	}
}

// stepMember hands an event to a member, and carries out what it wants done.
func (s *state) stepMember(i int, now time.Time, ev election.Event) {
	k := &s.members[i]
	if !k.up {
		return
	}
	life := k.incarnation
	for _, e := range k.machine.Step(now, ev) {
		if k.incarnation != life {
			return // it has ended meanwhile
		}
		s.execute(i, e)
	}
}

// reachable tells whether a request of a member to the state service is served, and answered.
func (s *state) reachable(i int) (served, answered bool) {
	served = !s.stateDown && !s.members[i].stateUnreachable
	return served, served && s.fault != fault{"mute", i}
}

func (s *state) execute(i int, e election.Effect) {
	served, answered := s.reachable(i)
	var err error
	if !answered {
		err = io.EOF
	}
	switch e := e.(type) {
	case election.ReadRecord:
		r := election.Record{Held: s.holder != 0, Leader: s.memberNames()[s.owner], LeaseID: s.holder, FencingToken: s.token, TokenVersion: s.version}
		if s.members[i].withoutFeatureGates && s.level > 0 && s.settings.Mutation != ReadableLevel {
			err = errors.New("not a token's record")
		} else if !s.members[i].withoutFeatureGates {
			r.Level, r.LevelVersion = s.level, s.levelVersion
		}
		s.stepMember(i, s.now, election.RecordRead{Record: r, Err: err})
	case election.GrantLease:
		id := uint64(0)
		if served {
			s.lastLease++
			id = s.lastLease
			s.leases[id] = int(e.Duration / second)
		}
		if s.restartAt(i, "blink-granted") {
			return
		}
		s.stepMember(i, s.now, election.LeaseGranted{LeaseID: id, Sent: s.now, Err: err})
	case election.Claim:
		s.result.Claims++
		ok := false
		if s.fault == (fault{"late", i}) {
			for _, m := range s.held {
				if m.kind == 'c' {
					s.claim(m.from, m.claim)
				}
			}
		}
		if s.fault == (fault{"hold", i}) || s.fault == (fault{"blink-claiming", i}) {
			s.send(message{kind: 'c', from: i, to: i, claim: e})
		} else if served {
			ok = s.claim(i, e) || s.settings.Mutation == MixedIncarnations && s.holder != 0 && s.owner == i
		}
		if s.restartAt(i, "blink-claimed") || s.restartAt(i, "blink-claiming") {
			return
		}
		s.stepMember(i, s.now, election.ClaimCompleted{OK: ok && answered, TokenVersion: s.version, Err: err})
	case election.RenewLease:
		_, lives := s.leases[e.LeaseID]
		if served && lives {
			s.leases[e.LeaseID] = 4
		}
		s.stepMember(i, s.now, election.LeaseRenewed{LeaseID: e.LeaseID, Sent: s.now, Expired: answered && !lives, Err: err})
	case election.RevokeLease:
		if served {
			s.endLease(e.LeaseID)
		}
	case election.RequestVotes:
		s.broadcast(i, message{kind: 'a', request: election.VoteRequest{Leader: s.memberNames()[i], FencingToken: e.FencingToken, Seq: e.Seq, Duration: e.Duration, Supersedes: e.Supersedes}})
	case election.QueryLeadership:
		s.broadcast(i, message{kind: 'u'})
	case election.ReleaseVotes:
		if s.restartAt(i, "blink-releasing") {
			return
		}
		s.broadcast(i, message{kind: 'r', request: election.VoteRequest{FencingToken: e.FencingToken}})
		s.restartAt(i, "blink-released")
	}
}

func (s *state) claim(i int, c election.Claim) bool {
	if _, lives := s.leases[c.LeaseID]; s.stateDown || s.holder != 0 || s.version != c.TokenVersion || !lives {
		return false
	}
	if !s.members[i].withoutFeatureGates && s.levelVersion != c.LevelVersion {
		return false
	}
	s.holder, s.owner, s.token = c.LeaseID, i, c.FencingToken
	if c.NewLevel > 0 {
		s.level = c.NewLevel
		s.levelVersion++
	}
	s.version++
	return true
}

// broadcast sends a message to all others.
func (s *state) broadcast(i int, m message) {
	m.from, m.sentAt = i, s.now
	for j := range s.members {
		if j != i {
			m.to = j
			s.send(m)
		}
	}
}

// check looks who may act, now and until the next step.
func (s *state) check() (acting, byWord bool, broken string) {
	for _, after := range []time.Duration{0, 350 * time.Millisecond, 900 * time.Millisecond} {
		now, n := s.now.Add(after), 0
		for i := range s.members {
			k := &s.members[i]
			if !k.up || !k.machine.LeadershipValid(now) {
				continue
			}
			n++
			switch {
			case !s.settings.FeatureGates:
			case k.withoutFeatureGates && s.level > 0:
				return true, false, fmt.Sprintf("%s may act under level %d with a program from before levels", s.memberNames()[i], s.level)
			case !k.withoutFeatureGates && k.machine.Level() != s.level:
				return true, false, fmt.Sprintf("%s may act by level %d, in force is %d", s.memberNames()[i], k.machine.Level(), s.level)
			}
			if k.machine.FencingToken() < s.highestToken {
				return true, false, fmt.Sprintf("%s may act with token %d, after %d", s.memberNames()[i], k.machine.FencingToken(), s.highestToken)
			}
			s.highestToken = k.machine.FencingToken()
			byWord = byWord || !now.Before(k.machine.LeaseValidUntil())
		}
		if acting = acting || n > 0; n > 1 {
			return true, byWord, fmt.Sprintf("%d members may act", n)
		}
	}
	return acting, byWord, ""
}

// Run plays all courses, breadth first over states that differ, until one breaks something.
func Run(set Settings) (Result, error) {
	if set.Members < 2 || set.Members > 5 || set.Seconds < 1 || set.MaxFaults < 0 {
		return Result{}, errors.New("two to five members, a second or more")
	}
	var out Result
	s := &state{now: startTime, leases: map[uint64]int{}, settings: &set, result: &out, faultsLeft: set.MaxFaults, members: make([]member, set.Members)}
	for i := range s.members {
		s.members[i].up = true
		s.members[i].withoutFeatureGates = set.FeatureGates && i == len(s.members)-1 && set.Members > 2
		s.members[i].machine = s.newMachine(i)
	}
	for range 12 { // somebody leads, and was promised the right
		s.step(fault{})
	}
	if acting, _, _ := s.check(); !acting {
		return out, errors.New("nobody leads without any trouble")
	}
	begun := s.now
	frontier := []*state{s}
	seen := map[[32]byte]struct{}{}
	for sec := 1; sec <= set.Seconds; sec++ {
		var next []*state
		for _, from := range frontier {
			for _, t := range from.possibleFaults() {
				to := from.clone()
				to.step(t)
				acting, byWord, broken := to.check()
				if broken != "" {
					out.Violation, out.Trace = fmt.Sprintf("after %d s: %s", to.now.Sub(begun)/second, broken), to.trace
					return out, nil
				}
				k := to.fingerprint()
				if _, known := seen[k]; known {
					continue
				}
				seen[k] = struct{}{}
				if out.States++; out.States > set.MaxStates {
					return out, fmt.Errorf("%w: in second %d", ErrTooManyStates, sec)
				}
				if acting {
					out.Acting++
				}
				if byWord {
					out.ByVotes++
				}
				if to.level > 0 {
					out.Raised++
				}
				next = append(next, to)
			}
		}
		frontier = next
	}
	return out, nil
}
