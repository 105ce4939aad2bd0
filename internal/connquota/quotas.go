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

// Class is what a socket is for.
type Class uint8

// The owners. Newcomers are connections that have not said yet what they are for.
const (
	Unclassified Class = iota
	Users
	Heartbeats
	HealthChecks
	DirectCommands // commands straight to workers
	Peers
	StateService
	Cloud
	Operators
	classCount
)

func (o Class) String() string {
	return [...]string{"newcomers", "users", "reports", "health", "direct", "peers", "state", "cloud", "operators"}[o]
}

// reserved tells that an owner's share is taken off first. Nobody else may hold any of it: guards
// against a burst of workers and users that leaves no socket to renew the right to act with.
func (o Class) reserved() bool { return o >= Peers }

// Occupancy is how full the process is.
type Occupancy uint8

// The levels. What each means for callers stands at the functions that ask.
const (
	Low  Occupancy = iota // below tightFrom of what users, workers and direct commands may hold
	High                  // users are not kept connected between requests
	Full                  // from fullFrom on; workers are not kept connected either, and new users are sent away
)

func (l Occupancy) String() string { return [...]string{"roomy", "tight", "full"}[l] }

const (
	highFrom   = 0.80
	fullFrom   = 0.93
	hysteresis = 0.05 // a level is left only this far below where it begins

	usersFraction          = 1.0 / 3 // of what is left for users, workers and direct commands
	directCommandsFraction = 1.0 / 6
	unclassifiedFraction   = 1.0 / 4

	processFiles      = 16 // the process's own: standard streams, listeners, what the runtime opens
	stateServiceQuota = 48 + 8
	cloudQuota        = 8
	operatorsQuota    = 17

	unclassifiedIdleLimit = 5 * time.Second // a newcomer that has said nothing for so long makes room
	usersIdleLimit        = time.Second     // and a user that has asked nothing
)

// ErrFull says that an owner's share, or the process, is full.
var ErrFull = errors.New("no socket is free")

// Quotas holds the accounts. It may be used from several goroutines.
type Quotas struct {
	mu                sync.Mutex
	capacity          int
	quotas            [classCount]int
	used              [classCount]int
	rejected          [classCount]uint64 // away
	total             int
	sharedUsed        int // of the total, what is held by owners without a share taken off first
	sharedCapacity    int // and how many these may hold together
	peak              int
	occupancy         Occupancy
	onOccupancyChange func(from, to Occupancy, used, most int)
	idle              [classCount]*list.List // of *Holder, those that are idle for longest in front
	retrySpread       uint64
}

// Slot is one socket that is held.
type Slot struct {
	quotas      *Quotas
	class       Class
	closeConn   func() // closes it from outside; nil: never done
	idleElement *list.Element
	idleSince   time.Time // when it became idle
	released    bool
}

// New makes a budget of the sockets that the platform allows, for a controller with some
// number of other members. moved is told of each change of level, under a lock: it only logs.
func New(most, members int, moved func(from, to Occupancy, used, most int)) *Quotas {
	b := &Quotas{capacity: max(most-processFiles, 16), onOccupancyChange: moved}
	for o := range b.idle {
		b.idle[o] = list.New()
	}
	b.quotas[StateService], b.quotas[Cloud], b.quotas[Operators] = stateServiceQuota, cloudQuota, operatorsQuota
	b.quotas[Peers] = 8*members + 4 // two each way, and those of members that went without a word
	rest := b.capacity
	for _, o := range []Class{StateService, Cloud, Operators, Peers} {
		rest -= b.quotas[o]
	}
	rest = max(rest, b.capacity/2)
	b.sharedCapacity = rest
	part := func(p float64) int { return max(int(p*float64(rest)), 4) }
	b.quotas[Users], b.quotas[DirectCommands], b.quotas[Unclassified] = part(usersFraction), part(directCommandsFraction), part(unclassifiedFraction)
	b.quotas[Heartbeats], b.quotas[HealthChecks] = rest, rest // they always get in while there is a socket at all
	return b
}

// Acquire asks for a socket. Where there is none, what has been idle for longest of the least
// important owners is closed to make room; otherwise the answer is ErrFull. close is how the
// budget may close the socket; nil: it never does.
func (b *Quotas) Acquire(now time.Time, o Class, close func()) (*Slot, error) {
	b.mu.Lock()
	var evict func()
	if !o.reserved() && b.sharedUsed >= b.sharedCapacity || b.used[o] >= b.quotas[o] {
		if evict = b.evictIdle(now, o); evict == nil {
			b.rejected[o]++
			b.mu.Unlock()
			return nil, ErrFull
		}
	}
	h := &Slot{quotas: b, class: o, closeConn: close, idleSince: now}
	b.adjust(o, 1)
	if o == Unclassified {
		h.idleElement = b.idle[o].PushBack(h)
	}
	b.mu.Unlock()
	if evict != nil {
		evict()
	}
	return h, nil
}

// evictIdle takes a socket off somebody so that another may have it, and returns how to close
// it; nil: there is none to take. The lock is held.
func (b *Quotas) evictIdle(now time.Time, for_ Class) func() {
	victims := []Class{Unclassified, Users}
	if b.used[for_] >= b.quotas[for_] {
		victims = []Class{for_} // of its own share
	}
	for _, o := range victims {
		patience := usersIdleLimit
		if o == Unclassified {
			patience = unclassifiedIdleLimit
		}
		e := b.idle[o].Front()
		if e == nil || e.Value.(*Slot).closeConn == nil || now.Sub(e.Value.(*Slot).idleSince) < patience {
			continue
		}
		h := e.Value.(*Slot)
		b.release(h)
		return h.closeConn
	}
	return nil
}

// Classify says what a newcomer is for. It is false where that owner's share is full: then the
// request is answered at once with when to come back, and the connection closed.
func (h *Slot) Classify(o Class) bool {
	b := h.quotas
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.released || h.class == o {
		return true
	}
	if o == Users && (b.used[o] >= b.quotas[o] || b.occupancy == Full) {
		b.rejected[o]++
		return false
	}
	b.removeIdle(h)
	b.used[h.class]--
	h.class = o
	b.used[o]++
	return true
}

// MarkBusy says that a request is being answered on the socket.
func (h *Slot) MarkBusy() {
	h.quotas.mu.Lock()
	defer h.quotas.mu.Unlock()
	h.quotas.removeIdle(h)
}

// MarkIdle says that the socket waits for the next request.
func (h *Slot) MarkIdle(now time.Time) {
	b := h.quotas
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.removeIdle(h); !h.released {
		h.idleSince = now
		h.idleElement = b.idle[h.class].PushBack(h)
	}
}

// KeepAlive tells whether the socket is to be kept open after the present answer. When room is
// short users' are not, so that it goes to whoever asks; when there is none workers' are not
// either: each report then takes a socket for a moment only, whatever the number of machines.
func (h *Slot) KeepAlive() bool {
	b := h.quotas
	b.mu.Lock()
	defer b.mu.Unlock()
	switch h.class {
	case Users, Unclassified:
		return b.occupancy == Low
	case Heartbeats:
		return b.occupancy != Full
	}
	return true
}

// Release says that the socket is closed. It may be said again.
func (h *Slot) Release() {
	h.quotas.mu.Lock()
	defer h.quotas.mu.Unlock()
	h.quotas.release(h)
}

func (b *Quotas) release(h *Slot) {
	if h.released {
		return
	}
	b.removeIdle(h)
	h.released = true
	b.adjust(h.class, -1)
}

// removeIdle takes a socket out of the idle ones.
func (b *Quotas) removeIdle(h *Slot) {
	if h.idleElement != nil {
		b.idle[h.class].Remove(h.idleElement)
		h.idleElement = nil
	}
}

// adjust changes what an owner holds; it is the only place that changes the level.
func (b *Quotas) adjust(o Class, n int) {
	b.used[o] += n
	b.total += n
	b.peak = max(b.peak, b.total)
	if !o.reserved() {
		b.sharedUsed += n
	}
	at := float64(b.sharedUsed) / float64(b.sharedCapacity)
	to := b.occupancy
	switch {
	case at >= fullFrom:
		to = Full
	case at >= highFrom && (b.occupancy != Full || at < fullFrom-hysteresis):
		to = High
	case at < highFrom-hysteresis, b.occupancy == Full && at < highFrom:
		to = Low
	}
	if to != b.occupancy {
		from := b.occupancy
		b.occupancy = to
		if b.onOccupancyChange != nil {
			b.onOccupancyChange(from, to, b.total, b.capacity)
		}
	}
}

// RetryAfter is when somebody who is sent away is to come back: spread, so that not all who are
// sent away together come back together.
func (b *Quotas) RetryAfter(least time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retrySpread++
	return least + time.Duration(b.retrySpread%3)*time.Second
}

// Status is how the sockets are held.
type Status struct {
	Occupancy Occupancy
	Used      int
	Peak      int
	Capacity  int
	Classes   map[Class]ClassStatus
}

// ClassStatus is what one owner holds.
type ClassStatus struct {
	Used, Quota int
	Rejected    uint64 // away since the start
}

// Status tells how the sockets are held.
func (b *Quotas) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Occupancy: b.occupancy, Used: b.total, Peak: b.peak, Capacity: b.capacity, Classes: map[Class]ClassStatus{}}
	for o := range classCount {
		s.Classes[o] = ClassStatus{b.used[o], b.quotas[o], b.rejected[o]}
	}
	return s
}

// Occupancy is how full the process is.
func (b *Quotas) Occupancy() Occupancy {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.occupancy
}
