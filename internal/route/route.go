// Package route decides where a user's request is answered: by the controller that it came to, or
// by another member that reaches what this one does not. It sends nothing, reads no clock and
// draws its luck from a source that is handed in. docs/requests.md tells why it decides so.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Kind is what a user asks for.
type Kind uint8

// The kinds of requests. All may be carried out more than once without harm.
const (
	Submit Kind = iota
	Poll
	Cancel
	kinds
)

func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Request is a user's request.
type Request struct {
	Kind Kind
	ID   string // of the job
	Body []byte // of a submission
}

// Cause says why a request was not taken.
type Cause uint8

// The causes. Controllers tell them to each other by number.
const (
	Taken   Cause = iota // it was: the answer is final
	Down                 // the state service does not answer this member, or not in time
	Busy                 // this member has as much to do as it can take
	Short                // it has no memory for more jobs
	Unready              // it does not know enough yet
	Silent               // the member did not answer in time
	Refused              // the member could not be reached
	causes
)

func (c Cause) String() string {
	return [...]string{"taken", "down", "busy", "short", "unready", "silent", "refused"}[min(c, causes-1)]
}

// Answer is what became of a request somewhere.
type Answer struct {
	Cause  Cause
	Status int           // of HTTP
	Body   []byte        // of the answer to the user
	After  time.Duration // not taken: when to come back; 0: nothing was said
}

// Settings are what a router works by.
type Settings struct {
	Others  []string      // members, without this one
	Retries float64       // second attempts for each request that succeeds
	Hedge   time.Duration // the least time before a request is asked elsewhere too; 0: never
	Most    int           // requests of a kind that are worked on here at once, at most
}

const (
	leastRetries = 1.0 // second attempts a second that are always allowed
	savedRetries = 20  // that may be saved up
	mostOut      = 64  // requests that are out at one other member

	askWait  = 700 * time.Millisecond // before another member is asked
	pollWait = 450 * time.Millisecond // the same for polls, whose users wait for 2 s
	mostHold = 600 * time.Millisecond // before a request that waits here is asked elsewhere too
	// A submission or cancellation that two members work on costs the state service a change in
	// vain, so it is asked elsewhere only where something is wrong. Guards against a load at
	// which answers take longer, and hedging has them take longer still.
	writeHold = 350 * time.Millisecond
)

// Router holds what is known of the ways that requests can go. It may be used from several
// goroutines.
type Router struct {
	mu      sync.Mutex
	set     Settings
	luck    *rand.Rand
	own     breaker
	members map[string]*member
	retries retries
	limits  [kinds]limit
	waits   [kinds]latency // of this controller's own answers
	counts  Counts
	spread  int
	told    func(string, BreakerState, BreakerState)
}

// member is what is known of another controller.
type member struct {
	name string
	way  breaker
	out  int           // requests that it has not answered yet
	took time.Duration // by its latest answers: the peak, fading
}

// Counts are how often what was decided, since the start.
type Counts struct {
	Here    uint64 `json:"here"`     // asked here
	Handed  uint64 `json:"handed"`   // handed to another member
	Hedged  uint64 `json:"hedged"`   // of these, while this one still worked on it
	Again   uint64 `json:"again"`    // of these, after an attempt that was not taken
	Refused uint64 `json:"refused"`  // users sent away
	Spent   uint64 `json:"no_retry"` // second attempts that the budget did not allow
	Shed    uint64 `json:"shed"`     // not begun here since the limit in force was reached
	ForThem uint64 `json:"for_others"`
}

// New makes a router. told hears of each change of a breaker's state, under a lock: it only logs.
func New(set Settings, luck *rand.Rand, told func(way string, from, to BreakerState)) *Router {
	r := &Router{set: set, luck: luck, told: told, members: map[string]*member{}}
	r.own = breaker{name: "here", told: told}
	for _, name := range set.Others {
		r.members[name] = &member{name: name, way: breaker{name: name, told: told}}
	}
	for k := range r.limits {
		r.limits[k] = newLimit(float64(set.Most), Kind(k) == Cancel)
	}
	r.retries = retries{share: set.Retries, balance: savedRetries / 2}
	return r
}

// here tells whether a request may be begun here, and why not. reached is when the state service
// has last answered anything of this controller. The lock is held.
func (r *Router) here(now, reached time.Time, k Kind) Cause {
	if !r.limits[k].enter() {
		r.counts.Shed++
		return Busy
	}
	if !r.own.allows(now, reached) {
		r.limits[k].leave()
		return Down
	}
	return Taken
}

// ended takes what became of a request here. The lock is held.
func (r *Router) ended(now time.Time, k Kind, took time.Duration, c Cause) {
	r.limits[k].leave()
	switch c {
	case Taken:
		r.own.took(now, true)
		r.waits[k].add(took)
		r.limits[k].sample(took)
		r.retries.earn(now)
	case Busy:
		r.own.cancel()
		r.limits[k].drop()
	case Down:
		r.own.took(now, false)
	default:
		r.own.cancel()
	}
}

// choose names the member that a request is handed to: of two that are drawn, the one with less
// to wait for (power of two choices, by the peak of its latest answers). Those whose way is
// open are only tried where no other is left. The lock is held.
func (r *Router) choose(now time.Time, tried []string) *member {
	var closed, due []*member
	for _, name := range r.set.Others { // in a fixed order: a seed repeats
		m := r.members[name]
		switch {
		case slices.Contains(tried, name) || m.out >= mostOut:
		case m.way.state == Closed:
			closed = append(closed, m)
		case m.way.due(now):
			due = append(due, m)
		}
	}
	from := closed
	if len(from) == 0 {
		from = due
	}
	if len(from) == 0 {
		return nil
	}
	m := from[r.luck.IntN(len(from))]
	if o := from[r.luck.IntN(len(from))]; o.load() < m.load() {
		m = o
	}
	if !m.way.allows(now, time.Time{}) {
		return nil
	}
	m.out++
	return m
}

func (m *member) load() time.Duration { return time.Duration(m.out+1) * max(m.took, time.Millisecond) }

// handed takes what became of a request at another member. The lock is held.
func (r *Router) handed(now time.Time, name string, took time.Duration, c Cause) {
	m := r.members[name]
	m.out--
	m.took = max(took, m.took*7/8)
	switch c {
	case Taken:
		m.way.took(now, true)
		r.retries.earn(now)
	case Busy, Short, Unready:
		m.way.cancel() // it is well; another request may be another matter
	default:
		m.way.took(now, false)
	}
}

// Visit tells whether a request that another member hands over may be begun here. If so, what it
// returns takes what became of it.
func (r *Router) Visit(now, reached time.Time, k Kind) (func(now time.Time, c Cause), Cause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.here(now, reached, k); c != Taken {
		return nil, c
	}
	r.counts.ForThem++
	return func(then time.Time, c Cause) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ended(then, k, then.Sub(now), c)
	}, Taken
}

// Later is when somebody who is sent away is to come back: spread, so that those who are sent
// away together do not come back together.
func (r *Router) Later(least time.Duration, c Cause) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread++
	n := 2
	if c == Busy || c == Short {
		n = 4
	}
	return least + time.Duration(r.spread%n)*time.Second
}

// Standing is what is known of the ways.
type Standing struct {
	Here    string            `json:"here"`    // state of the way by this controller's own means
	Members map[string]string `json:"members"` // and of those by other members
	Limits  map[string]int    `json:"limits"`  // requests at once, by kind
	Inside  map[string]int    `json:"inside"`  // that are worked on
	Hedge   map[string]int    `json:"hedge_ms"`
	Retries float64           `json:"retries_left"`
	Counts  Counts            `json:"counts"`
}

// Standing tells what is known of the ways.
func (r *Router) Standing(now time.Time) *Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.fill(now)
	s := &Standing{Here: r.own.state.String(), Members: map[string]string{}, Limits: map[string]int{}, Inside: map[string]int{}, Hedge: map[string]int{},
		Retries: r.retries.balance, Counts: r.counts}
	for name, m := range r.members {
		s.Members[name] = m.way.state.String()
	}
	for k := range kinds {
		s.Limits[k.String()], s.Inside[k.String()] = int(r.limits[k].limit), r.limits[k].inside
		s.Hedge[k.String()] = int(r.hedge(k).Milliseconds())
	}
	return s
}

// hedge is how long a request may wait here before another member is asked too; 0: for ever.
func (r *Router) hedge(k Kind) time.Duration {
	if r.set.Hedge == 0 {
		return 0
	}
	least := r.set.Hedge
	if k != Poll {
		least = max(least, writeHold)
	}
	return min(max(r.waits[k].late(), least), max(mostHold, least))
}
