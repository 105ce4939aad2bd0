package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trackedRequest checks the invariants of the actions for one request.
type trackedRequest struct {
	attempts    *RequestAttempts
	outstanding []string        // members with an attempt under way; localMember stands for this one
	attempted   map[string]bool // members that an attempt has been started on
	answered    bool            // the user has got a response
}

// localMember is the name of this member in a trackedRequest.
const localMember = "here"

// apply checks and carries out the next action of the request.
func (r *trackedRequest) apply(t *rapid.T, action Action) {
	t.Helper()
	member := action.ForwardTo
	if action.Local {
		member = localMember
	}
	if member != "" {
		if r.attempted[member] || r.answered {
			t.Fatalf("attempt on %s: got a second one, or one after the response, want neither", member)
		}
		r.attempted[member] = true
		r.outstanding = append(r.outstanding, member)
	}
	if action.Response != nil {
		if r.answered || member != "" {
			t.Fatal("got a second response, or a response and an attempt in one action, want one response alone")
		}
		r.answered = true
	}
	if !r.answered && len(r.outstanding) == 0 {
		t.Fatalf("in state %v: got no attempt under way, want one", r.attempts.State())
	}
}

// complete reports the response of an attempt on member and returns the next action.
func (r *trackedRequest) complete(now time.Time, member string, response Response) Action {
	if member == localMember {
		member = ""
	}
	return r.attempts.HandleResponse(now, member, response)
}

// Requests begin, time out and are answered in any order and with any outcome. In each order, a user must get
// exactly one response, each member must be asked at most once, no attempt may stay in flight, and hedged requests
// must stay within the retry budget.
func TestRequestAttemptsKeepInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := []string{"b", "c", "d"}[:rapid.IntRange(0, 3).Draw(t, "others")]
		r := newRouter(others...)
		now := startTime
		var requests []*trackedRequest
		outcomes := []Outcome{
			Answered, Answered, StateServiceUnavailable, Overloaded, OutOfMemory, NotReady, TimedOut, Unreachable,
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0 || len(requests) == 0:
				request := &trackedRequest{attempted: map[string]bool{}}
				kind := Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
				forwardOnly := rapid.IntRange(0, 9).Draw(t, "forward only") == 0
				deadline := now.Add(1500 * time.Millisecond)
				var action Action
				request.attempts, action = r.Begin(now, deadline, time.Time{}, Request{Kind: kind}, forwardOnly)
				request.apply(t, action)
				requests = append(requests, request)
			case step == 1:
				request := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
				request.apply(t, request.attempts.Tick(now))
			default:
				request := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
				if len(request.outstanding) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(request.outstanding)-1).Draw(t, "member")
				member := request.outstanding[i]
				request.outstanding = append(request.outstanding[:i:i], request.outstanding[i+1:]...)
				response := Response{Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome")}
				request.apply(t, request.complete(now, member, response))
			}
		}
		for _, request := range requests {
			now = now.Add(5 * time.Second)
			request.apply(t, request.attempts.Tick(now))
			if !request.answered {
				t.Fatalf("at the deadline, in state %v: got no response, want one", request.attempts.State())
			}
			for _, member := range request.outstanding {
				request.complete(now, member, Response{Outcome: TimedOut})
			}
		}
		checkNothingInFlight(t, r, now)
		counts := r.Status(now).Counts
		budget := float64(maxRetryBalance)/2 + minRetriesPerSecond*now.Sub(startTime).Seconds() +
			0.2*float64(counts.Local+counts.Forwarded)
		if float64(counts.Hedged) > budget {
			t.Fatalf("hedged requests: got %d, want at most %v", counts.Hedged, budget)
		}
	})
}

func checkNothingInFlight(t *rapid.T, r *Router, now time.Time) {
	t.Helper()
	for kind, n := range r.Status(now).InFlight {
		if n != 0 {
			t.Fatalf("%s requests in flight: got %d, want 0", kind, n)
		}
	}
	for _, m := range r.members {
		if m.outstanding != 0 {
			t.Fatalf("outstanding at %s: got %d, want 0", m.name, m.outstanding)
		}
	}
}
