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
	kindCount
)

func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Request is a user's request.
type Request struct {
	Kind Kind
	ID   string // of the job
	Body []byte // of a submission
}

// Outcome says why a request was not taken.
type Outcome uint8

// The causes. Controllers tell them to each other by number.
const (
	Answered         Outcome = iota // it was: the answer is final
	StateUnavailable                // the state service does not answer this member, or not in time
	Overloaded                      // this member has as much to do as it can take
	OutOfMemory                     // it has no memory for more jobs
	NotReady                        // it does not know enough yet
	TimedOut                        // the member did not answer in time
	Unreachable                     // the member could not be reached
	outcomeCount
)

func (c Outcome) String() string {
	return [...]string{"taken", "down", "busy", "short", "unready", "silent", "refused"}[min(c, outcomeCount-1)]
}

// Response is what became of a request somewhere.
type Response struct {
	Outcome    Outcome
	Status     int           // of HTTP
	Body       []byte        // of the answer to the user
	RetryAfter time.Duration // not taken: when to come back; 0: nothing was said
}

// Settings are what a router works by.
type Settings struct {
	OtherMembers  []string      // members, without this one
	RetryRatio    float64       // second attempts for each request that succeeds
	MinHedgeDelay time.Duration // the least time before a request is asked elsewhere too; 0: never
	MaxConcurrent int           // requests of a kind that are worked on here at once, at most
}

const (
	minRetriesPerSecond = 1.0 // second attempts a second that are always allowed
	maxSavedRetries     = 20  // that may be saved up
	maxOutstanding      = 64  // requests that are out at one other member

	forwardDelay     = 700 * time.Millisecond // before another member is asked
	pollForwardDelay = 450 * time.Millisecond // the same for polls, whose users wait for 2 s
	maxHedgeDelay    = 600 * time.Millisecond // before a request that waits here is asked elsewhere too
	// A submission or cancellation that two members work on costs the state service a change in
	// vain, so it is asked elsewhere only where something is wrong. Guards against a load at
	// which answers take longer, and hedging has them take longer still.
	minWriteHedgeDelay = 350 * time.Millisecond
)

// Router holds what is known of the ways that requests can go. It may be used from several
// goroutines.
type Router struct {
	mu              sync.Mutex
	settings        Settings
	random          *rand.Rand
	localBreaker    breaker
	members         map[string]*member
	retryBudget     retryBudget
	limits          [kindCount]concurrencyLimit
	localLatency    [kindCount]latencyEstimator // of this controller's own answers
	counts          Counts
	retrySpread     int
	onBreakerChange func(string, BreakerState, BreakerState)
}

// member is what is known of another controller.
type member struct {
	name        string
	breaker     breaker
	outstanding int           // requests that it has not answered yet
	peakLatency time.Duration // by its latest answers: the peak, fading
}

// Counts are how often what was decided, since the start.
type Counts struct {
	Local           uint64 `json:"here"`     // asked here
	Forwarded       uint64 `json:"handed"`   // handed to another member
	Hedged          uint64 `json:"hedged"`   // of these, while this one still worked on it
	Retried         uint64 `json:"again"`    // of these, after an attempt that was not taken
	Rejected        uint64 `json:"refused"`  // users sent away
	RetriesDenied   uint64 `json:"no_retry"` // second attempts that the budget did not allow
	Shed            uint64 `json:"shed"`     // not begun here since the limit in force was reached
	ServedForOthers uint64 `json:"for_others"`
}

// New makes a router. told hears of each change of a breaker's state, under a lock: it only logs.
func New(set Settings, luck *rand.Rand, told func(way string, from, to BreakerState)) *Router {
	r := &Router{settings: set, random: luck, onBreakerChange: told, members: map[string]*member{}}
	r.localBreaker = breaker{name: "here", onChange: told}
	for _, name := range set.OtherMembers {
		r.members[name] = &member{name: name, breaker: breaker{name: name, onChange: told}}
	}
	for k := range r.limits {
		r.limits[k] = newConcurrencyLimit(float64(set.MaxConcurrent), Kind(k) == Cancel)
	}
	r.retryBudget = retryBudget{ratio: set.RetryRatio, balance: maxSavedRetries / 2}
	return r
}

// admitLocal tells whether a request may be begun here, and why not. reached is when the state service
// has last answered anything of this controller. The lock is held.
func (r *Router) admitLocal(now, reached time.Time, k Kind) Outcome {
	if !r.limits[k].acquire() {
		r.counts.Shed++
		return Overloaded
	}
	if !r.localBreaker.allow(now, reached) {
		r.limits[k].release()
		return StateUnavailable
	}
	return Answered
}

// localCompleted takes what became of a request here. The lock is held.
func (r *Router) localCompleted(now time.Time, k Kind, took time.Duration, c Outcome) {
	r.limits[k].release()
	switch c {
	case Answered:
		r.localBreaker.record(now, true)
		r.localLatency[k].observe(took)
		r.limits[k].observe(took)
		r.retryBudget.deposit(now)
	case Overloaded:
		r.localBreaker.discard()
		r.limits[k].backOff()
	case StateUnavailable:
		r.localBreaker.record(now, false)
	default:
		r.localBreaker.discard()
	}
}

// chooseMember names the member that a request is handed to: of two that are drawn, the one with less
// to wait for (power of two choices, by the peak of its latest answers). Those whose way is
// open are only tried where no other is left. The lock is held.
func (r *Router) chooseMember(now time.Time, tried []string) *member {
	var closed, due []*member
	for _, name := range r.settings.OtherMembers { // in a fixed order: a seed repeats
		m := r.members[name]
		switch {
		case slices.Contains(tried, name) || m.outstanding >= maxOutstanding:
		case m.breaker.state == Closed:
			closed = append(closed, m)
		case m.breaker.probeDue(now):
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
	m := from[r.random.IntN(len(from))]
	if o := from[r.random.IntN(len(from))]; o.load() < m.load() {
		m = o
	}
	if !m.breaker.allow(now, time.Time{}) {
		return nil
	}
	m.outstanding++
	return m
}

func (m *member) load() time.Duration {
	return time.Duration(m.outstanding+1) * max(m.peakLatency, time.Millisecond)
}

// forwardCompleted takes what became of a request at another member. The lock is held.
func (r *Router) forwardCompleted(now time.Time, name string, took time.Duration, c Outcome) {
	m := r.members[name]
	m.outstanding--
	m.peakLatency = max(took, m.peakLatency*7/8)
	switch c {
	case Answered:
		m.breaker.record(now, true)
		r.retryBudget.deposit(now)
	case Overloaded, OutOfMemory, NotReady:
		m.breaker.discard() // it is well; another request may be another matter
	default:
		m.breaker.record(now, false)
	}
}

// AdmitForwarded tells whether a request that another member hands over may be begun here. If so, what it
// returns takes what became of it.
func (r *Router) AdmitForwarded(now, reached time.Time, k Kind) (func(now time.Time, c Outcome), Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.admitLocal(now, reached, k); c != Answered {
		return nil, c
	}
	r.counts.ServedForOthers++
	return func(then time.Time, c Outcome) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.localCompleted(then, k, then.Sub(now), c)
	}, Answered
}

// RetryAfter is when somebody who is sent away is to come back: spread, so that those who are sent
// away together do not come back together.
func (r *Router) RetryAfter(least time.Duration, c Outcome) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retrySpread++
	n := 2
	if c == Overloaded || c == OutOfMemory {
		n = 4
	}
	return least + time.Duration(r.retrySpread%n)*time.Second
}

// Status is what is known of the ways.
type Status struct {
	Local       string            `json:"here"`    // state of the way by this controller's own means
	Members     map[string]string `json:"members"` // and of those by other members
	Limits      map[string]int    `json:"limits"`  // requests at once, by kind
	InFlight    map[string]int    `json:"inside"`  // that are worked on
	HedgeMillis map[string]int    `json:"hedge_ms"`
	RetriesLeft float64           `json:"retries_left"`
	Counts      Counts            `json:"counts"`
}

// Status tells what is known of the ways.
func (r *Router) Status(now time.Time) *Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.refill(now)
	s := &Status{Local: r.localBreaker.state.String(), Members: map[string]string{}, Limits: map[string]int{}, InFlight: map[string]int{}, HedgeMillis: map[string]int{},
		RetriesLeft: r.retryBudget.balance, Counts: r.counts}
	for name, m := range r.members {
		s.Members[name] = m.breaker.state.String()
	}
	for k := range kindCount {
		s.Limits[k.String()], s.InFlight[k.String()] = int(r.limits[k].limit), r.limits[k].inFlight
		s.HedgeMillis[k.String()] = int(r.hedgeDelay(k).Milliseconds())
	}
	return s
}

// hedgeDelay is how long a request may wait here before another member is asked too; 0: for ever.
func (r *Router) hedgeDelay(k Kind) time.Duration {
	if r.settings.MinHedgeDelay == 0 {
		return 0
	}
	least := r.settings.MinHedgeDelay
	if k != Poll {
		least = max(least, minWriteHedgeDelay)
	}
	return min(max(r.localLatency[k].upperBound(), least), max(maxHedgeDelay, least))
}
