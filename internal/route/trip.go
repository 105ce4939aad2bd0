package route

import "time"

// TripState is where a request is.
type TripState uint8

// The states of a trip.
const (
	Here TripState = iota + 1 // this controller works on it
	Away                      // another member does
	Both                      // both do, and the first to take it answers
	Over                      // its user has an answer
)

func (s TripState) String() string { return [...]string{"new", "here", "away", "both", "over"}[s] }

// Move is what to do next about a request: at most one of these.
type Move struct {
	Here   bool    // work on it here
	Member string  // hand it to this member
	Answer *Answer // answer its user
}

// Trip is one request on its way. It is handed to each member once at most; what a member takes
// is the answer, whoever was asked first.
type Trip struct {
	r     *Router
	q     Request
	state TripState
	until time.Time // when its user has waited long enough
	wake  time.Time
	here  time.Time            // when it was begun here
	out   map[string]time.Time // and at members that have not answered
	tried []string
	why   Answer // the last that was not taken
}

// Begin takes a request that a user waits for until a moment. reached is when the state service
// has last answered anything of this controller. elsewhere has it go to another member whatever this
// one could do: it has no socket for it.
func (r *Router) Begin(now, until, reached time.Time, q Request, elsewhere bool) (*Trip, Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &Trip{r: r, q: q, until: until, wake: until, out: map[string]time.Time{}}
	if elsewhere {
		t.why = Answer{Cause: Busy}
		return t, t.hand(now, false)
	}
	c := r.here(now, reached, q.Kind)
	if c == Taken {
		r.counts.Here++
		t.here = now
		t.to(Here)
		t.wake = t.sooner(until)
		if wait := r.hedge(q.Kind); wait > 0 {
			t.wake = t.sooner(now.Add(wait))
		}
		return t, Move{Here: true}
	}
	t.why = Answer{Cause: c}
	// Where nothing was tried here there is nothing to be made up for: it is no second attempt.
	// Under load it is one: everybody may be as full.
	return t, t.hand(now, c == Busy)
}

// to changes the state; it is the only place that does.
func (t *Trip) to(s TripState) { t.state = s }

func (t *Trip) sooner(at time.Time) time.Time {
	if at.Before(t.until) {
		return at
	}
	return t.until
}

// Wake is when the next Tick is due.
func (t *Trip) Wake() time.Time { return t.wake }

// State tells where the request is.
func (t *Trip) State() TripState { return t.state }

// hand has another member asked; where none is left its user is sent away, unless somebody still
// works on it. The lock is held.
func (t *Trip) hand(now time.Time, second bool) Move {
	wait := askWait
	if t.q.Kind == Poll {
		wait = pollWait
	}
	if now.Before(t.until) {
		if m := t.r.choose(now, t.tried); m != nil {
			if second && !t.r.retries.spend(now) {
				t.r.counts.Spent++
				m.out--
				m.way.cancel()
			} else {
				t.r.counts.Handed++
				t.tried = append(t.tried, m.name)
				t.out[m.name] = now
				if t.here.IsZero() {
					t.to(Away)
				} else {
					t.to(Both)
				}
				t.wake = t.sooner(now.Add(wait))
				return Move{Member: m.name}
			}
		}
	}
	t.wake = t.until
	if !t.here.IsZero() || len(t.out) > 0 && now.Before(t.until) {
		return Move{}
	}
	return t.refuse()
}

// refuse sends the user away. The lock is held.
func (t *Trip) refuse() Move {
	t.to(Over)
	t.r.counts.Refused++
	a := t.why
	if a.Cause == Taken {
		a.Cause = Down
	}
	return Move{Answer: &a}
}

// Back takes what became of the request here ("") or at a member. It must be told of each attempt
// once, also after the user has an answer.
func (t *Trip) Back(now time.Time, from string, a Answer) Move {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if from == "" {
		t.r.ended(now, t.q.Kind, now.Sub(t.here), a.Cause)
		t.here = time.Time{}
	} else {
		t.r.handed(now, from, now.Sub(t.out[from]), a.Cause)
		delete(t.out, from)
	}
	switch {
	case t.state == Over:
		return Move{}
	case a.Cause == Taken:
		t.to(Over)
		return Move{Answer: &a}
	}
	if from == "" || t.why.Cause == Taken {
		t.why = a // what is wrong here says more than what is wrong elsewhere
	}
	if !t.here.IsZero() {
		t.to(Here)
		return Move{}
	}
	if len(t.out) > 0 {
		t.to(Away)
		return Move{}
	}
	t.r.counts.Again++
	return t.hand(now, true)
}

// Tick takes that time has passed.
func (t *Trip) Tick(now time.Time) Move {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	switch {
	case t.state == Over || now.Before(t.wake):
		return Move{}
	case !now.Before(t.until):
		return t.refuse()
	}
	hedged := t.state == Here
	m := t.hand(now, true)
	if hedged && m.Member != "" {
		t.r.counts.Hedged++
	}
	return m
}
