package route

import "time"

// RequestState says on which members attempts at a request are under way.
type RequestState uint8

// The states of a request.
const (
	RequestNew       RequestState = iota // no attempt has been started
	RequestLocal                         // an attempt is under way on this member only
	RequestForwarded                     // attempts are under way on other members only
	RequestHedged                        // attempts are under way on this member and on others; the first answer is used
	RequestAnswered                      // the user's response is decided; attempts may still be under way
)

// String returns the name of the state.
func (s RequestState) String() string {
	return [...]string{"new", "local", "forwarded", "hedged", "answered"}[s]
}

// Action tells the caller what to do next about a request. At most one field is set; if none is, the caller waits
// for the result of an attempt or for the next tick.
type Action struct {
	Local     bool      // start an attempt on this member
	ForwardTo string    // if not empty, start an attempt on this other member
	Response  *Response // if not nil, send this response to the user
}

// RequestAttempts tracks the attempts at one request. The request is forwarded to each other member at most once,
// and the user gets the first answer, whichever member gives it. It is safe for concurrent use, except for State
// and NextTick, which must not be called while another method runs.
type RequestAttempts struct {
	router      *Router // its mutex guards the fields below
	request     Request
	state       RequestState
	deadline    time.Time            // the user gets a response by this time
	nextTick    time.Time            // Tick is due at this time
	localStart  time.Time            // start of the local attempt under way; zero if there is none
	outstanding map[string]time.Time // start times of the forwarded attempts under way, by member
	tried       []string             // members that the request has been forwarded to
	lastRefusal Response             // sent to the user if no member answers
}

// Begin starts a request and returns the first action. At deadline the request is rejected if no member has
// answered it. lastStateServiceResponse is the time at which the state service last answered any request of this
// member. If forwardOnly is set, no local attempt is made, since this member has no connection to spare for the
// request.
func (r *Router) Begin(
	now, deadline, lastStateServiceResponse time.Time, request Request, forwardOnly bool,
) (*RequestAttempts, Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &RequestAttempts{
		router:      r,
		request:     request,
		deadline:    deadline,
		nextTick:    deadline,
		outstanding: map[string]time.Time{},
	}
	if forwardOnly {
		a.lastRefusal = Response{Outcome: Overloaded}
		return a, a.forward(now, false)
	}
	outcome := r.admitLocal(now, lastStateServiceResponse, request.Kind)
	if outcome != Answered {
		a.lastRefusal = Response{Outcome: outcome}
		// No attempt has been made, so forwarding does not count as a retry. Under overload it does, since the
		// other members may be overloaded too.
		return a, a.forward(now, outcome == Overloaded)
	}
	r.counts.Local++
	a.localStart = now
	a.transition(RequestLocal)
	if delay := r.hedgeDelay(request.Kind); delay > 0 {
		a.nextTick = a.capAtDeadline(now.Add(delay))
	}
	return a, Action{Local: true}
}

// transition is the only function that changes the state.
func (a *RequestAttempts) transition(to RequestState) { a.state = to }

func (a *RequestAttempts) capAtDeadline(t time.Time) time.Time {
	if t.Before(a.deadline) {
		return t
	}
	return a.deadline
}

// NextTick returns the time at which Tick is to be called next. Each call of HandleResponse or Tick may change it.
func (a *RequestAttempts) NextTick() time.Time { return a.nextTick }

// State returns the state of the request.
func (a *RequestAttempts) State() RequestState { return a.state }

// forward returns the action that forwards the request to a member that it has not been forwarded to. If there is
// no such member, or if isRetry is set and the retry budget is empty, the request is rejected, unless an attempt is
// still under way. The router's mutex must be held.
func (a *RequestAttempts) forward(now time.Time, isRetry bool) Action {
	if now.Before(a.deadline) {
		if m := a.router.chooseMember(now, a.tried); m != nil {
			if !isRetry || a.router.retryBudget.withdraw(now) {
				return a.forwardTo(m, now)
			}
			a.router.counts.RetriesDenied++
			m.outstanding--
			m.breaker.discard()
		}
	}
	a.nextTick = a.deadline
	if !a.localStart.IsZero() || len(a.outstanding) > 0 && now.Before(a.deadline) {
		return Action{}
	}
	return a.reject()
}

// forwardTo records an attempt on m and returns the action that starts it. The router's mutex must be held.
func (a *RequestAttempts) forwardTo(m *member, now time.Time) Action {
	a.router.counts.Forwarded++
	a.tried = append(a.tried, m.name)
	a.outstanding[m.name] = now
	if a.localStart.IsZero() {
		a.transition(RequestForwarded)
	} else {
		a.transition(RequestHedged)
	}
	delay := nextForwardDelay
	if a.request.Kind == Poll {
		delay = nextPollForwardDelay
	}
	a.nextTick = a.capAtDeadline(now.Add(delay))
	return Action{ForwardTo: m.name}
}

// reject ends the request without an answer, and returns the action that sends the last refusal to the user.
// The router's mutex must be held.
func (a *RequestAttempts) reject() Action {
	a.transition(RequestAnswered)
	a.router.counts.Rejected++
	response := a.lastRefusal
	if response.Outcome == Answered { // the zero value; no attempt has completed
		response.Outcome = StateServiceUnavailable
	}
	return Action{Response: &response}
}

// HandleResponse records the response of the attempt on the given member, the empty string being this member, and
// returns the next action. It must be called exactly once for each attempt, even after the user has got a response.
func (a *RequestAttempts) HandleResponse(now time.Time, member string, response Response) Action {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	isLocal := member == ""
	if isLocal {
		a.router.recordLocalOutcome(now, a.request.Kind, now.Sub(a.localStart), response.Outcome)
		a.localStart = time.Time{}
	} else {
		a.router.recordForwardedOutcome(now, member, now.Sub(a.outstanding[member]), response.Outcome)
		delete(a.outstanding, member)
	}
	switch {
	case a.state == RequestAnswered:
		return Action{}
	case response.Outcome == Answered:
		a.transition(RequestAnswered)
		return Action{Response: &response}
	}
	if isLocal || a.lastRefusal.Outcome == Answered {
		// A local refusal replaces another member's, since its reason tells the user more.
		a.lastRefusal = response
	}
	if !a.localStart.IsZero() {
		a.transition(RequestLocal)
		return Action{}
	}
	if len(a.outstanding) > 0 {
		a.transition(RequestForwarded)
		return Action{}
	}
	a.router.counts.AttemptsExhausted++
	return a.forward(now, true)
}

// Tick returns the next action once the time that NextTick returns has come: to hedge a local attempt, to forward
// the request to one more member, or to reject it at the deadline. A call before that time has no effect.
func (a *RequestAttempts) Tick(now time.Time) Action {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	switch {
	case a.state == RequestAnswered || now.Before(a.nextTick):
		return Action{}
	case !now.Before(a.deadline):
		return a.reject()
	}
	wasLocal := a.state == RequestLocal
	action := a.forward(now, true)
	if wasLocal && action.ForwardTo != "" {
		a.router.counts.Hedged++
	}
	return action
}
