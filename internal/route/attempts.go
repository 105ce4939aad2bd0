package route

import "time"

// RequestState is where a request is being answered.
type RequestState uint8

// The states of a request.
const (
	RequestNew       RequestState = iota // nobody has been asked yet
	RequestLocal                         // this member works on it
	RequestForwarded                     // other members do
	RequestHedged                        // this member and others do; the first to answer wins
	RequestAnswered                      // the user has a response
)

// String returns the name of the state.
func (s RequestState) String() string {
	return [...]string{"new", "local", "forwarded", "hedged", "answered"}[s]
}

// Action is what the caller has to do next about a request: at most one of its fields
// is set, and none means to wait.
type Action struct {
	Local     bool      // start an attempt on this member
	ForwardTo string    // start an attempt at this other member
	Response  *Response // give the user this response
}

// RequestAttempts are the attempts at one request. It is forwarded to each member once
// at most; the first member that answers decides, whichever was asked first.
type RequestAttempts struct {
	router      *Router // its mutex guards the fields below
	request     Request
	state       RequestState
	deadline    time.Time // when the user has waited long enough
	nextTick    time.Time
	localStart  time.Time            // of the local attempt under way; zero: there is none
	outstanding map[string]time.Time // starts of the attempts under way, by member
	tried       []string             // members that the request was forwarded to
	lastRefusal Response             // given to the user if no member answers
}

// Begin starts a request whose user waits until deadline. stateContact is when the
// state service last answered this member anything. With forwardOnly the request goes
// to another member in any case, since this one has no connection to spare for it.
func (r *Router) Begin(
	now, deadline, stateContact time.Time, request Request, forwardOnly bool,
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
	outcome := r.admitLocal(now, stateContact, request.Kind)
	if outcome != Answered {
		a.lastRefusal = Response{Outcome: outcome}
		// Nothing was tried here, so forwarding is no retry. Under overload it counts as
		// one: the other members may be overloaded too.
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

// transition changes the state; nothing else does.
func (a *RequestAttempts) transition(to RequestState) { a.state = to }

func (a *RequestAttempts) capAtDeadline(t time.Time) time.Time {
	if t.Before(a.deadline) {
		return t
	}
	return a.deadline
}

// NextTick returns when Tick is to be called next.
func (a *RequestAttempts) NextTick() time.Time { return a.nextTick }

// State returns where the request is being answered.
func (a *RequestAttempts) State() RequestState { return a.state }

// forward returns the action that forwards the request to a further member. If none is
// left, the user's request is rejected, unless an attempt is still under way. The
// router's mutex must be held.
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

// forwardTo returns the action that forwards the request to m.
func (a *RequestAttempts) forwardTo(m *member, now time.Time) Action {
	a.router.counts.Forwarded++
	a.tried = append(a.tried, m.name)
	a.outstanding[m.name] = now
	if a.localStart.IsZero() {
		a.transition(RequestForwarded)
	} else {
		a.transition(RequestHedged)
	}
	delay := forwardDelay
	if a.request.Kind == Poll {
		delay = pollForwardDelay
	}
	a.nextTick = a.capAtDeadline(now.Add(delay))
	return Action{ForwardTo: m.name}
}

// reject ends the request without an answer. The router's mutex must be held.
func (a *RequestAttempts) reject() Action {
	a.transition(RequestAnswered)
	a.router.counts.Rejected++
	response := a.lastRefusal
	if response.Outcome == Answered { // no attempt has completed yet
		response.Outcome = StateUnavailable
	}
	return Action{Response: &response}
}

// Completed takes the response of the attempt at a member, "" for this one. It must be
// called once for each attempt, also when the user has a response already.
func (a *RequestAttempts) Completed(now time.Time, member string, response Response) Action {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	isLocal := member == ""
	if isLocal {
		a.router.localCompleted(now, a.request.Kind, now.Sub(a.localStart), response.Outcome)
		a.localStart = time.Time{}
	} else {
		a.router.forwardCompleted(now, member, now.Sub(a.outstanding[member]), response.Outcome)
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
		a.lastRefusal = response // what this member lacks says more to its user than what others lack
	}
	if !a.localStart.IsZero() {
		a.transition(RequestLocal)
		return Action{}
	}
	if len(a.outstanding) > 0 {
		a.transition(RequestForwarded)
		return Action{}
	}
	a.router.counts.Retried++
	return a.forward(now, true)
}

// Tick hedges the request, forwards it again or rejects it when it is time to.
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
