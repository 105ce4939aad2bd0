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

// Break leaves a part of the protocol out.
type Break string

// What can be left out.
const (
	Whole     Break = ""
	CutShort  Break = "cut-short" // members keep a promise for a third of the time
	Forgotten Break = "forgotten" // what a member has promised is counted on though it restarted without memory, and claims
	Late      Break = "late"      // promises are taken after the right has lapsed
	Lives     Break = "lives"     // a member takes what is its former life's for its own: messages, and the leader's key

	// Of levels.
	Readable Break = "readable" // programs from before levels can read the record of the level
	Beside   Break = "beside"   // a level is raised by a transaction of its own while somebody leads
)

// Settings say what is played.
type Settings struct {
	Members int
	Seconds int // from the moment on at which one leads by promises
	Faults  int // at the most, in one course
	Most    int // states; more are an error
	Break   Break
	Levels  bool     // members' programs change, and a level is raised
	Blink   bool     // members end at any step of an election and are back at once
	Only    []string // faults that are played; none: all
}

// Result is what was found.
type Result struct {
	States int    `json:"states"`  // that differ
	Acting int    `json:"acting"`  // of these, with somebody who may act
	ByWord int    `json:"by_word"` // on promises alone
	Claims int    `json:"claims"`  // made on the way
	Raised int    `json:"raised"`  // of the states, with a level that was raised
	Broken string `json:"broken,omitempty"`
	Course string `json:"course,omitempty"` // that led there
}

// ErrTooMany says that there are more states than were allowed for.
var ErrTooMany = errors.New("more states than allowed")

const second = time.Second

var begin = time.Unix(1000, 0)

type member struct {
	m    *election.StateMachine
	up   bool
	cut  bool // from the state service
	away bool // from the other members
	life int
	old  bool // its program is from before levels
}

// message is on its way between members, or a claim to the state service.
type message struct {
	kind     byte // a question, a promise, u: who leads?, n: not this one, a release, a claim
	from, to int
	life     int // of the receiver, which takes nothing that was meant for an earlier one
	back     int // of the sender
	sent     time.Time
	q        election.VoteRequest
	long     time.Duration
	claim    election.Claim
}

type state struct {
	now     time.Time
	members []member
	held    []message // by the network
	faults  int       // left
	course  string

	down           bool
	holder         uint64 // lease that holds the leader's key; 0: nobody
	owner          int
	token, version uint64
	leases         map[uint64]int // seconds left
	next           uint64
	level          featuregate.Level // in force
	levelVersion   uint64
	highest        uint64 // token that anybody was entitled with

	// While a second is played.
	queue   []message
	trouble trouble
	set     *Settings
	out     *Result
}

// trouble is what happens within a second. The zero value is none.
type trouble struct {
	kind string
	who  int
}

func (s *state) names() []string { return []string{"a", "b", "c", "d", "e"}[:len(s.members)] }

func (s *state) birth(i int) *election.StateMachine {
	set := election.Settings{Member: s.names()[i], LeaseDuration: 4 * second, SafetyMargin: 200 * time.Millisecond, PollInterval: 2 * second, RetryInterval: second,
		VoteDuration: 3500 * time.Millisecond, OutageVoteDuration: 7 * second}
	if s.set.Levels && !s.members[i].old {
		set.MaxLevel = featuregate.Supported
	}
	for j, n := range s.names() {
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
			out.members[i].m = out.members[i].m.Clone()
		}
	}
	out.held = append([]message(nil), s.held...)
	out.leases = make(map[uint64]int, len(s.leases))
	for id, left := range s.leases {
		out.leases[id] = left
	}
	return &out
}

// key tells states apart whose further course may differ.
func (s *state) key() [32]byte {
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
		flags(k.up, k.cut, k.away, k.old)
		if k.up {
			b = k.m.AppendKey(b, s.now)
		}
	}
	flags(s.down)
	b = append(b, byte(s.faults), byte(s.owner))
	for _, n := range []uint64{s.holder, s.token, s.version, s.next, s.highest, uint64(s.level), s.levelVersion} {
		b = binary.AppendUvarint(b, n)
	}
	for id := uint64(1); id <= s.next; id++ {
		if left, ok := s.leases[id]; ok {
			b = append(b, byte(id), byte(left+100))
		}
	}
	for _, m := range s.held {
		stale := s.members[m.to].life != m.life || s.members[m.from].life != m.back
		flags(stale)
		b = append(b, m.kind, byte(m.from), byte(m.to))
		b = binary.AppendVarint(b, int64(s.now.Sub(m.sent)))
		b = fmt.Appendf(b, "%v %v %v", m.q, m.long, m.claim)
	}
	return blake3.Sum256(b)
}

// troubles lists what may happen next.
func (s *state) troubles() []trouble {
	out := []trouble{{}}
	if s.down {
		out = append(out, trouble{"up", 0})
	} else if s.faults > 0 {
		out = append(out, trouble{"down", 0})
	}
	if len(s.held) > 0 {
		out = append(out, trouble{"release", 0})
	}
	if s.set.Blink && slices.ContainsFunc(s.held, func(m message) bool { return m.kind == 'c' }) {
		for i := range s.members {
			out = append(out, trouble{"late", i}) // a claim of before is carried out right before this one's
		}
	}
	for i := range s.members {
		k := &s.members[i]
		if !k.up {
			out = append(out, trouble{"restart", i})
			if s.set.Levels {
				out = append(out, trouble{"change", i}) // of its program
			}
		}
		if k.cut {
			out = append(out, trouble{"join", i})
		}
		if k.away {
			out = append(out, trouble{"meet", i})
		}
		if s.faults == 0 || !k.up {
			continue
		}
		if s.set.Levels && s.level == 0 && k.m.State() == election.Leading && !k.old {
			out = append(out, trouble{"raise", i})
		}
		out = append(out, trouble{"crash", i}, trouble{"hold", i})
		if s.set.Blink {
			for _, at := range blinks {
				out = append(out, trouble{at, i})
			}
		}
		if !k.away {
			out = append(out, trouble{"part", i})
		}
		if !s.down && !k.cut {
			out = append(out, trouble{"cut", i}, trouble{"mute", i})
		}
	}
	if only := s.set.Only; len(only) > 0 {
		out = slices.DeleteFunc(out, func(t trouble) bool { return slices.Contains(costly, t.kind) && !slices.Contains(only, t.kind) })
	}
	return out
}

// The steps at which a member ends and is back at once: when it has asked for its lease; when its claim was
// carried out; when it has sent its claim, which is carried out later; when it has just given a
// promise; when it has told the others that it leads no more, or before it could.
var blinks = []string{"blink-granted", "blink-claimed", "blink-claiming", "blink-promised", "blink-released", "blink-releasing"}

// costly are the faults that a course has few of.
var costly = append([]string{"down", "raise", "crash", "hold", "cut", "part", "mute"}, blinks...)

// blink tells whether a member ends now, and has it back without memory.
func (s *state) blink(i int, at string) bool {
	if s.trouble != (trouble{at, i}) {
		return false
	}
	s.trouble = trouble{} // once
	k := &s.members[i]
	k.m = s.birth(i)
	k.life++
	return true
}

// step plays one second with a trouble in it.
func (s *state) step(t trouble) {
	s.now = s.now.Add(second)
	if !s.down {
		for id := range s.leases {
			if s.leases[id]--; s.leases[id] < 0 {
				s.end(id)
			}
		}
	}
	s.trouble = t
	switch t.kind {
	case "", "late":
	case "up":
		s.down = false
		for id := range s.leases {
			s.leases[id] = 4 // in full again
		}
	case "release":
		s.queue, s.held = append(s.queue, s.held...), nil
	case "restart", "change":
		k := &s.members[t.who]
		k.old = k.old != (t.kind == "change")
		k.up, k.m = true, s.birth(t.who)
		k.life++
		if s.set.Break == Forgotten {
			for i, n := range s.names() {
				if i != t.who {
					k.m.Step(s.now, election.NotLeadingReceived{Member: n, Sent: s.now})
				}
			}
		}
	case "join":
		s.members[t.who].cut = false
	case "meet":
		s.members[t.who].away = false
	default:
		s.faults--
		switch t.kind {
		case "down":
			s.down = true
		case "raise":
			s.raise(t.who)
		case "crash":
			s.members[t.who].up = false
			s.members[t.who].life++
		case "cut":
			s.members[t.who].cut = true
		case "part":
			s.members[t.who].away = true
		}
	}
	s.deliver()
	for i := range s.members {
		s.event(i, s.now, election.Tick{})
		s.deliver()
	}
	if t.kind != "" {
		s.course += fmt.Sprintf(" %ds:%s %s", s.now.Sub(begin)/second, t.kind, s.names()[t.who])
	}
}

// raise has all that know levels see the gate open; the one that leads gives way for it.
func (s *state) raise(leader int) {
	if s.set.Break == Beside {
		if served, _ := s.reach(leader); served {
			s.level++
			s.levelVersion++
		}
		return
	}
	for i := range s.members {
		if k := &s.members[i]; !k.old {
			s.event(i, s.now, election.ProposeLevel{Level: featuregate.Supported, StepDown: i == leader})
		}
	}
}

func (s *state) end(id uint64) {
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
		s.take(m)
	}
	s.queue = nil
}

// send puts a message on its way.
func (s *state) send(m message) {
	m.life, m.back = s.members[m.to].life, s.members[m.from].life
	switch {
	case m.kind != 'c' && (s.members[m.from].away || s.members[m.to].away):
		return
	case s.trouble == trouble{"hold", m.from}, s.trouble == trouble{"blink-claiming", m.from} && m.kind == 'c':
		if len(s.held) < 6 {
			s.held = append(s.held, m)
		}
		return
	}
	s.queue = append(s.queue, m)
}

func (s *state) take(m message) {
	k := &s.members[m.to]
	if m.kind == 'c' {
		s.claim(m.from, m.claim) // given up by its sender: nobody hears of it
		return
	}
	told := s.set.Break != Lives
	if !k.up || told && k.life != m.life {
		return
	}
	answer := message{from: m.to, to: m.from, sent: m.sent, q: m.q}
	reply := func(kind byte) {
		if !told || s.members[m.from].life == m.back {
			answer.kind = kind
			s.send(answer)
		}
	}
	switch m.kind {
	case 'a':
		q := m.q
		if s.set.Break == CutShort {
			q.Duration /= 3
		}
		if answer.long = k.m.HandleVoteRequest(s.now, q); answer.long > 0 {
			if s.set.Break == CutShort {
				answer.long *= 3
			}
			reply('p')
			s.blink(m.to, "blink-promised")
		}
	case 'p':
		now := s.now
		if s.set.Break == Late {
			now = begin
		}
		s.event(m.to, now, election.VoteReceived{Member: s.names()[m.from], FencingToken: m.q.FencingToken, Sent: m.sent, Seq: m.q.Seq, Duration: m.long})
	case 'u':
		if st := k.m.State(); st != election.Leading && st != election.Claiming {
			reply('n')
		}
	case 'n':
		s.event(m.to, s.now, election.NotLeadingReceived{Member: s.names()[m.from], Sent: m.sent})
	case 'r':
		k.m.HandleVoteRelease(m.q.FencingToken)
	}
}

// event hands an event to a member, and carries out what it wants done.
func (s *state) event(i int, now time.Time, ev election.Event) {
	k := &s.members[i]
	if !k.up {
		return
	}
	life := k.life
	for _, e := range k.m.Step(now, ev) {
		if k.life != life {
			return // it has ended meanwhile
		}
		s.perform(i, e)
	}
}

// reach tells whether a request of a member to the state service is served, and answered.
func (s *state) reach(i int) (served, answered bool) {
	served = !s.down && !s.members[i].cut
	return served, served && s.trouble != trouble{"mute", i}
}

func (s *state) perform(i int, e election.Effect) {
	served, answered := s.reach(i)
	var err error
	if !answered {
		err = io.EOF
	}
	switch e := e.(type) {
	case election.ReadRecord:
		r := election.Record{Held: s.holder != 0, Leader: s.names()[s.owner], LeaseID: s.holder, FencingToken: s.token, TokenVersion: s.version}
		if s.members[i].old && s.level > 0 && s.set.Break != Readable {
			err = errors.New("not a token's record")
		} else if !s.members[i].old {
			r.Level, r.LevelVersion = s.level, s.levelVersion
		}
		s.event(i, s.now, election.RecordRead{Record: r, Err: err})
	case election.GrantLease:
		id := uint64(0)
		if served {
			s.next++
			id = s.next
			s.leases[id] = int(e.Duration / second)
		}
		if s.blink(i, "blink-granted") {
			return
		}
		s.event(i, s.now, election.LeaseGranted{LeaseID: id, Sent: s.now, Err: err})
	case election.Claim:
		s.out.Claims++
		ok := false
		if s.trouble == (trouble{"late", i}) {
			for _, m := range s.held {
				if m.kind == 'c' {
					s.claim(m.from, m.claim)
				}
			}
		}
		if s.trouble == (trouble{"hold", i}) || s.trouble == (trouble{"blink-claiming", i}) {
			s.send(message{kind: 'c', from: i, to: i, claim: e})
		} else if served {
			ok = s.claim(i, e) || s.set.Break == Lives && s.holder != 0 && s.owner == i
		}
		if s.blink(i, "blink-claimed") || s.blink(i, "blink-claiming") {
			return
		}
		s.event(i, s.now, election.ClaimCompleted{OK: ok && answered, TokenVersion: s.version, Err: err})
	case election.RenewLease:
		_, lives := s.leases[e.LeaseID]
		if served && lives {
			s.leases[e.LeaseID] = 4
		}
		s.event(i, s.now, election.LeaseRenewed{LeaseID: e.LeaseID, Sent: s.now, Expired: answered && !lives, Err: err})
	case election.RevokeLease:
		if served {
			s.end(e.LeaseID)
		}
	case election.RequestVotes:
		s.tell(i, message{kind: 'a', q: election.VoteRequest{Leader: s.names()[i], FencingToken: e.FencingToken, Seq: e.Seq, Duration: e.Duration, Supersedes: e.Supersedes}})
	case election.QueryLeadership:
		s.tell(i, message{kind: 'u'})
	case election.ReleaseVotes:
		if s.blink(i, "blink-releasing") {
			return
		}
		s.tell(i, message{kind: 'r', q: election.VoteRequest{FencingToken: e.FencingToken}})
		s.blink(i, "blink-released")
	}
}

func (s *state) claim(i int, c election.Claim) bool {
	if _, lives := s.leases[c.LeaseID]; s.down || s.holder != 0 || s.version != c.TokenVersion || !lives {
		return false
	}
	if !s.members[i].old && s.levelVersion != c.LevelVersion {
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

// tell sends a message to all others.
func (s *state) tell(i int, m message) {
	m.from, m.sent = i, s.now
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
			if !k.up || !k.m.LeadershipValid(now) {
				continue
			}
			n++
			switch {
			case !s.set.Levels:
			case k.old && s.level > 0:
				return true, false, fmt.Sprintf("%s may act under level %d with a program from before levels", s.names()[i], s.level)
			case !k.old && k.m.Level() != s.level:
				return true, false, fmt.Sprintf("%s may act by level %d, in force is %d", s.names()[i], k.m.Level(), s.level)
			}
			if k.m.FencingToken() < s.highest {
				return true, false, fmt.Sprintf("%s may act with token %d, after %d", s.names()[i], k.m.FencingToken(), s.highest)
			}
			s.highest = k.m.FencingToken()
			byWord = byWord || !now.Before(k.m.LeaseValidUntil())
		}
		if acting = acting || n > 0; n > 1 {
			return true, byWord, fmt.Sprintf("%d members may act", n)
		}
	}
	return acting, byWord, ""
}

// Play plays all courses, breadth first over states that differ, until one breaks something.
func Play(set Settings) (Result, error) {
	if set.Members < 2 || set.Members > 5 || set.Seconds < 1 || set.Faults < 0 {
		return Result{}, errors.New("two to five members, a second or more")
	}
	var out Result
	s := &state{now: begin, leases: map[uint64]int{}, set: &set, out: &out, faults: set.Faults, members: make([]member, set.Members)}
	for i := range s.members {
		s.members[i].up = true
		s.members[i].old = set.Levels && i == len(s.members)-1 && set.Members > 2
		s.members[i].m = s.birth(i)
	}
	for range 12 { // somebody leads, and was promised the right
		s.step(trouble{})
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
			for _, t := range from.troubles() {
				to := from.clone()
				to.step(t)
				acting, byWord, broken := to.check()
				if broken != "" {
					out.Broken, out.Course = fmt.Sprintf("after %d s: %s", to.now.Sub(begun)/second, broken), to.course
					return out, nil
				}
				k := to.key()
				if _, known := seen[k]; known {
					continue
				}
				seen[k] = struct{}{}
				if out.States++; out.States > set.Most {
					return out, fmt.Errorf("%w: in second %d", ErrTooMany, sec)
				}
				if acting {
					out.Acting++
				}
				if byWord {
					out.ByWord++
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
