package route

import "time"

// RequestState is where a request is.
type RequestState uint8

// The states of a trip.
const (
	RequestLocal     RequestState = iota + 1 // this controller works on it
	RequestForwarded                         // another member does
	RequestHedged                            // both do, and the first to take it answers
	RequestAnswered                          // its user has an answer
)

func (s RequestState) String() string { return [...]string{"new", "here", "away", "both", "over"}[s] }

// Action is what to do next about a request: at most one of these.
type Action struct {
	Local     bool      // work on it here
	ForwardTo string    // hand it to this member
	Response  *Response // answer its user
}

// RequestAttempts is one request on its way. It is handed to each member once at most; what a member takes
// is the answer, whoever was asked first.
type RequestAttempts struct {
	router      *Router
	request     Request
	state       RequestState
	deadline    time.Time // when its user has waited long enough
	nextTick    time.Time
	localStart  time.Time            // when it was begun here
	outstanding map[string]time.Time // and at members that have not answered
	tried       []string
	lastRefusal Response // the last that was not taken
}

// Begin takes a request that a user waits for until a moment. reached is when the state service
// has last answered anything of this controller. elsewhere has it go to another member whatever this
// one could do: it has no socket for it.
func (r *Router) Begin(now, until, reached time.Time, q Request, elsewhere bool) (*RequestAttempts, Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &RequestAttempts{router: r, request: q, deadline: until, nextTick: until, outstanding: map[string]time.Time{}}
	if elsewhere {
		t.lastRefusal = Response{Outcome: Overloaded}
		return t, t.forward(now, false)
	}
	c := r.admitLocal(now, reached, q.Kind)
	if c == Answered {
		r.counts.Local++
		t.localStart = now
		t.transition(RequestLocal)
		t.nextTick = t.capAtDeadline(until)
		if wait := r.hedgeDelay(q.Kind); wait > 0 {
			t.nextTick = t.capAtDeadline(now.Add(wait))
		}
		return t, Action{Local: true}
	}
	t.lastRefusal = Response{Outcome: c}
	// Where nothing was tried here there is nothing to be made up for: it is no second attempt.
	// Under load it is one: everybody may be as full.
	return t, t.forward(now, c == Overloaded)
}

// transition changes the state; it is the only place that does.
func (t *RequestAttempts) transition(s RequestState) { t.state = s }

func (t *RequestAttempts) capAtDeadline(at time.Time) time.Time {
	if at.Before(t.deadline) {
		return at
	}
	return t.deadline
}

// NextTick is when the next Tick is due.
func (t *RequestAttempts) NextTick() time.Time { return t.nextTick }

// State tells where the request is.
func (t *RequestAttempts) State() RequestState { return t.state }

// forward has another member asked; where none is left its user is sent away, unless somebody still
// works on it. The lock is held.
func (t *RequestAttempts) forward(now time.Time, second bool) Action {
	wait := forwardDelay
	if t.request.Kind == Poll {
		wait = pollForwardDelay
	}
	if now.Before(t.deadline) {
		if m := t.router.chooseMember(now, t.tried); m != nil {
			if second && !t.router.retryBudget.withdraw(now) {
				t.router.counts.RetriesDenied++
				m.outstanding--
				m.breaker.discard()
			} else {
				t.router.counts.Forwarded++
				t.tried = append(t.tried, m.name)
				t.outstanding[m.name] = now
				if t.localStart.IsZero() {
					t.transition(RequestForwarded)
				} else {
					t.transition(RequestHedged)
				}
				t.nextTick = t.capAtDeadline(now.Add(wait))
				return Action{ForwardTo: m.name}
			}
		}
	}
	t.nextTick = t.deadline
	if !t.localStart.IsZero() || len(t.outstanding) > 0 && now.Before(t.deadline) {
		return Action{}
	}
	return t.reject()
}

// reject sends the user away. The lock is held.
func (t *RequestAttempts) reject() Action {
	t.transition(RequestAnswered)
	t.router.counts.Rejected++
	a := t.lastRefusal
	if a.Outcome == Answered {
		a.Outcome = StateUnavailable
	}
	return Action{Response: &a}
}

// Completed takes what became of the request here ("") or at a member. It must be told of each attempt
// once, also after the user has an answer.
func (t *RequestAttempts) Completed(now time.Time, from string, a Response) Action {
	t.router.mu.Lock()
	defer t.router.mu.Unlock()
	if from == "" {
		t.router.localCompleted(now, t.request.Kind, now.Sub(t.localStart), a.Outcome)
		t.localStart = time.Time{}
	} else {
		t.router.forwardCompleted(now, from, now.Sub(t.outstanding[from]), a.Outcome)
		delete(t.outstanding, from)
	}
	switch {
	case t.state == RequestAnswered:
		return Action{}
	case a.Outcome == Answered:
		t.transition(RequestAnswered)
		return Action{Response: &a}
	}
	if from == "" || t.lastRefusal.Outcome == Answered {
		t.lastRefusal = a // what is wrong here says more than what is wrong elsewhere
	}
	if !t.localStart.IsZero() {
		t.transition(RequestLocal)
		return Action{}
	}
	if len(t.outstanding) > 0 {
		t.transition(RequestForwarded)
		return Action{}
	}
	t.router.counts.Retried++
	return t.forward(now, true)
}

// Tick takes that time has passed.
func (t *RequestAttempts) Tick(now time.Time) Action {
	t.router.mu.Lock()
	defer t.router.mu.Unlock()
	switch {
	case t.state == RequestAnswered || now.Before(t.nextTick):
		return Action{}
	case !now.Before(t.deadline):
		return t.reject()
	}
	hedged := t.state == RequestLocal
	m := t.forward(now, true)
	if hedged && m.ForwardTo != "" {
		t.router.counts.Hedged++
	}
	return m
}
