// Package connquota decides who may hold the process's sockets. Every socket has an owner, and
// every owner a share that follows from how many the platform allows. The package opens and
// closes nothing and reads no clock: sockets are told to it, and it names those that have to
// go.
package connquota

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// Owner is what a socket is for.
type Owner uint8

// The owners. Newcomers are connections that have not said yet what they are for.
const (
	Newcomers Owner = iota
	Users
	Reports
	Health
	Direct // commands straight to workers
	Peers
	State
	Cloud
	Operators
	owners
)

func (o Owner) String() string {
	return [...]string{"newcomers", "users", "reports", "health", "direct", "peers", "state", "cloud", "operators"}[o]
}

// fixed tells that an owner's share is taken off first. Nobody else may hold any of it: guards
// against a burst of workers and users that leaves no socket to renew the right to act with.
func (o Owner) fixed() bool { return o >= Peers }

// Level is how full the process is.
type Level uint8

// The levels. What each means for callers stands at the functions that ask.
const (
	Roomy Level = iota // below tightFrom of what users, workers and direct commands may hold
	Tight              // users are not kept connected between requests
	Full               // from fullFrom on; workers are not kept connected either, and new users are sent away
)

func (l Level) String() string { return [...]string{"roomy", "tight", "full"}[l] }

const (
	tightFrom = 0.80
	fullFrom  = 0.93
	slack     = 0.05 // a level is left only this far below where it begins

	usersPart     = 1.0 / 3 // of what is left for users, workers and direct commands
	directPart    = 1.0 / 6
	newcomersPart = 1.0 / 4

	files        = 16 // the process's own: standard streams, listeners, what the runtime opens
	stateSockets = 48 + 8
	cloudSockets = 8
	adminSockets = 17

	silentAfter = 5 * time.Second // a newcomer that has said nothing for so long makes room
	idleAfter   = time.Second     // and a user that has asked nothing
)

// ErrFull says that an owner's share, or the process, is full.
var ErrFull = errors.New("no socket is free")

// Budget holds the accounts. It may be used from several goroutines.
type Budget struct {
	mu     sync.Mutex
	most   int
	shares [owners]int
	used   [owners]int
	turned [owners]uint64 // away
	total  int
	open   int // of the total, what is held by owners without a share taken off first
	rest   int // and how many these may hold together
	peak   int
	level  Level
	moved  func(from, to Level, used, most int)
	idle   [owners]*list.List // of *Holder, those that are idle for longest in front
	spread uint64
}

// Holder is one socket that is held.
type Holder struct {
	b     *Budget
	owner Owner
	close func() // closes it from outside; nil: never done
	at    *list.Element
	since time.Time // when it became idle
	left  bool
}

// New makes a budget of the sockets that the platform allows, for a controller with some
// number of other members. moved is told of each change of level, under a lock: it only logs.
func New(most, members int, moved func(from, to Level, used, most int)) *Budget {
	b := &Budget{most: max(most-files, 16), moved: moved}
	for o := range b.idle {
		b.idle[o] = list.New()
	}
	b.shares[State], b.shares[Cloud], b.shares[Operators] = stateSockets, cloudSockets, adminSockets
	b.shares[Peers] = 8*members + 4 // two each way, and those of members that went without a word
	rest := b.most
	for _, o := range []Owner{State, Cloud, Operators, Peers} {
		rest -= b.shares[o]
	}
	rest = max(rest, b.most/2)
	b.rest = rest
	part := func(p float64) int { return max(int(p*float64(rest)), 4) }
	b.shares[Users], b.shares[Direct], b.shares[Newcomers] = part(usersPart), part(directPart), part(newcomersPart)
	b.shares[Reports], b.shares[Health] = rest, rest // they always get in while there is a socket at all
	return b
}

// Enter asks for a socket. Where there is none, what has been idle for longest of the least
// important owners is closed to make room; otherwise the answer is ErrFull. close is how the
// budget may close the socket; nil: it never does.
func (b *Budget) Enter(now time.Time, o Owner, close func()) (*Holder, error) {
	b.mu.Lock()
	var evict func()
	if !o.fixed() && b.open >= b.rest || b.used[o] >= b.shares[o] {
		if evict = b.evict(now, o); evict == nil {
			b.turned[o]++
			b.mu.Unlock()
			return nil, ErrFull
		}
	}
	h := &Holder{b: b, owner: o, close: close, since: now}
	b.count(o, 1)
	if o == Newcomers {
		h.at = b.idle[o].PushBack(h)
	}
	b.mu.Unlock()
	if evict != nil {
		evict()
	}
	return h, nil
}

// evict takes a socket off somebody so that another may have it, and returns how to close
// it; nil: there is none to take. The lock is held.
func (b *Budget) evict(now time.Time, for_ Owner) func() {
	victims := []Owner{Newcomers, Users}
	if b.used[for_] >= b.shares[for_] {
		victims = []Owner{for_} // of its own share
	}
	for _, o := range victims {
		patience := idleAfter
		if o == Newcomers {
			patience = silentAfter
		}
		e := b.idle[o].Front()
		if e == nil || e.Value.(*Holder).close == nil || now.Sub(e.Value.(*Holder).since) < patience {
			continue
		}
		h := e.Value.(*Holder)
		b.leave(h)
		return h.close
	}
	return nil
}

// Become says what a newcomer is for. It is false where that owner's share is full: then the
// request is answered at once with when to come back, and the connection closed.
func (h *Holder) Become(o Owner) bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.left || h.owner == o {
		return true
	}
	if o == Users && (b.used[o] >= b.shares[o] || b.level == Full) {
		b.turned[o]++
		return false
	}
	b.wake(h)
	b.used[h.owner]--
	h.owner = o
	b.used[o]++
	return true
}

// Busy says that a request is being answered on the socket.
func (h *Holder) Busy() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.wake(h)
}

// Idle says that the socket waits for the next request.
func (h *Holder) Idle(now time.Time) {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake(h); !h.left {
		h.since = now
		h.at = b.idle[h.owner].PushBack(h)
	}
}

// Keep tells whether the socket is to be kept open after the present answer. When room is
// short users' are not, so that it goes to whoever asks; when there is none workers' are not
// either: each report then takes a socket for a moment only, whatever the number of machines.
func (h *Holder) Keep() bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	switch h.owner {
	case Users, Newcomers:
		return b.level == Roomy
	case Reports:
		return b.level != Full
	}
	return true
}

// Leave says that the socket is closed. It may be said again.
func (h *Holder) Leave() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.leave(h)
}

func (b *Budget) leave(h *Holder) {
	if h.left {
		return
	}
	b.wake(h)
	h.left = true
	b.count(h.owner, -1)
}

// wake takes a socket out of the idle ones.
func (b *Budget) wake(h *Holder) {
	if h.at != nil {
		b.idle[h.owner].Remove(h.at)
		h.at = nil
	}
}

// count changes what an owner holds; it is the only place that changes the level.
func (b *Budget) count(o Owner, n int) {
	b.used[o] += n
	b.total += n
	b.peak = max(b.peak, b.total)
	if !o.fixed() {
		b.open += n
	}
	at := float64(b.open) / float64(b.rest)
	to := b.level
	switch {
	case at >= fullFrom:
		to = Full
	case at >= tightFrom && (b.level != Full || at < fullFrom-slack):
		to = Tight
	case at < tightFrom-slack, b.level == Full && at < tightFrom:
		to = Roomy
	}
	if to != b.level {
		from := b.level
		b.level = to
		if b.moved != nil {
			b.moved(from, to, b.total, b.most)
		}
	}
}

// Later is when somebody who is sent away is to come back: spread, so that not all who are
// sent away together come back together.
func (b *Budget) Later(least time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spread++
	return least + time.Duration(b.spread%3)*time.Second
}

// Standing is how the sockets are held.
type Standing struct {
	Level  Level
	Used   int
	Peak   int
	Most   int
	Owners map[Owner]Account
}

// Account is what one owner holds.
type Account struct {
	Used, Share int
	Turned      uint64 // away since the start
}

// Standing tells how the sockets are held.
func (b *Budget) Standing() Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Standing{Level: b.level, Used: b.total, Peak: b.peak, Most: b.most, Owners: map[Owner]Account{}}
	for o := range owners {
		s.Owners[o] = Account{b.used[o], b.shares[o], b.turned[o]}
	}
	return s
}

// Level is how full the process is.
func (b *Budget) Level() Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level
}
