package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Unix(1e9, 0)

func timeAfterStart(d time.Duration) time.Time { return startTime.Add(d) }

func newRouter(otherMembers ...string) *Router {
	settings := Settings{
		OtherMembers:  otherMembers,
		RetryRatio:    0.2,
		MinHedgeDelay: 150 * time.Millisecond,
		MaxConcurrent: 64,
	}
	return New(settings, rand.New(rand.NewPCG(1, 2)), nil)
}

// begin starts a request with a deadline of 3 s from now.
func (r *Router) begin(now time.Time, kind Kind) (*RequestAttempts, Action) {
	request := Request{Kind: kind, ID: "wk-000001"}
	return r.Begin(now, now.Add(3*time.Second), time.Time{}, request, false)
}

func TestMemberWithoutStateServiceForwardsRequests(t *testing.T) {
	r := newRouter("b", "c")
	for i := range failureThreshold {
		now := timeAfterStart(time.Duration(i) * 10 * time.Millisecond)
		attempts, action := r.begin(now, Submit)
		if !action.Local {
			t.Fatalf("request %d: got %+v, want a local attempt", i, action)
		}
		action = attempts.HandleResponse(now, "", Response{Outcome: StateServiceUnavailable})
		if action.ForwardTo == "" {
			t.Fatalf("request %d, local attempt failed: got %+v, want it forwarded", i, action)
		}
		action = attempts.HandleResponse(now, action.ForwardTo, Response{Status: 201})
		if action.Response == nil || action.Response.Status != 201 {
			t.Fatalf("request %d, forwarded: got %+v, want response 201", i, action)
		}
	}
	attempts, action := r.begin(timeAfterStart(100*time.Millisecond), Submit)
	if action.Local || action.ForwardTo == "" {
		t.Fatalf("with the local breaker open: got %+v, want the request forwarded", action)
	}
	attempts.HandleResponse(timeAfterStart(110*time.Millisecond), action.ForwardTo, Response{Status: 201})

	retriesBefore := r.Status(timeAfterStart(110 * time.Millisecond)).RetriesLeft
	for range 100 {
		attempts, action = r.begin(timeAfterStart(120*time.Millisecond), Submit)
		if action.ForwardTo == "" {
			t.Fatalf("without a local attempt before: got %+v, want the request forwarded", action)
		}
		attempts.HandleResponse(timeAfterStart(120*time.Millisecond), action.ForwardTo, Response{Status: 201})
	}
	if got := r.Status(timeAfterStart(120 * time.Millisecond)).RetriesLeft; got < retriesBefore {
		t.Errorf("retries left: got %v, want at least %v: nothing was retried", got, retriesBefore)
	}
}

func TestLocalBreakerSendsOneProbe(t *testing.T) {
	r := newRouter("b", "c")
	for i := range failureThreshold {
		now := timeAfterStart(time.Duration(i) * 10 * time.Millisecond)
		attempts, _ := r.begin(now, Submit)
		action := attempts.HandleResponse(now, "", Response{Outcome: StateServiceUnavailable})
		attempts.HandleResponse(now, action.ForwardTo, Response{Status: 201})
	}
	if status := r.Status(timeAfterStart(100 * time.Millisecond)); status.Local != "open" {
		t.Fatalf("after %d failures: got the local breaker %s, want open", failureThreshold, status.Local)
	}
	// The state service has answered another request since the breaker opened, which permits a probe.
	now := timeAfterStart(130 * time.Millisecond)
	lastStateServiceResponse := timeAfterStart(125 * time.Millisecond)
	attempts, action := r.Begin(now, timeAfterStart(3*time.Second), lastStateServiceResponse, Request{}, false)
	if !action.Local {
		t.Fatalf("after a response from the state service: got %+v, want a local attempt", action)
	}
	if _, other := r.begin(timeAfterStart(131*time.Millisecond), Submit); other.Local {
		t.Errorf("during the probe: got %+v, want no local attempt", other)
	}
	attempts.HandleResponse(timeAfterStart(140*time.Millisecond), "", Response{Status: 201})
	if _, action = r.begin(timeAfterStart(141*time.Millisecond), Submit); !action.Local {
		t.Errorf("after the probe: got %+v, want a local attempt", action)
	}
}

func TestDiscardedProbeCostsNoFurtherPause(t *testing.T) {
	b := breaker{state: BreakerOpen, since: startTime, openDuration: time.Second}
	now := timeAfterStart(time.Second)
	if first, second := b.allow(now, time.Time{}), b.allow(now, time.Time{}); !first || second {
		t.Errorf("after the open duration: got %v, %v, want true, false", first, second)
	}
	if b.discard(); !b.allow(now, time.Time{}) {
		t.Error("after a discarded probe: got false, want true")
	}
}

// Guards against members that multiply each other's requests while the state service is down for all of them. Users
// must be rejected without waiting, and requests to the state service and between members must stay few.
func TestOutageOfAllMembersIsNotAmplified(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	routers := map[string]*Router{}
	for i, name := range names {
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, other)
			}
		}
		routers[name] = newRouter(others...)
		routers[name].random = rand.New(rand.NewPCG(uint64(i), 7))
	}
	stateRequests, forwarded, users := 0, 0, 0
	for ms := 0; ms < 40_000; ms += 20 {
		now := timeAfterStart(time.Duration(ms) * time.Millisecond)
		name := names[users%len(names)]
		users++
		attempts, action := routers[name].begin(now, Submit)
		for action.Response == nil {
			switch {
			case action.Local:
				stateRequests++
				action = attempts.HandleResponse(now, "", Response{Outcome: StateServiceUnavailable})
			case action.ForwardTo != "":
				forwarded++
				completed, outcome := routers[action.ForwardTo].AdmitForwarded(now, time.Time{}, Submit)
				if completed != nil {
					stateRequests++
					completed(now, StateServiceUnavailable)
					outcome = StateServiceUnavailable
				}
				action = attempts.HandleResponse(now, action.ForwardTo, Response{Outcome: outcome})
			default:
				t.Fatalf("in state %v: got no action, want one", attempts.State())
			}
		}
		if action.Response.Outcome == Answered {
			t.Fatalf("outcome in an outage: got %v, want any other", Answered)
		}
	}
	if stateRequests > users/5 || forwarded > users/5 {
		t.Errorf("%d users: got %d requests to the state service and %d between members, want at most %d each",
			users, stateRequests, forwarded, users/5)
	}
}

// A local attempt takes too long, so another member is asked too. The first answer must go to the user, and the
// outcome of the later attempt must still be recorded.
func TestLateResponseIsHedged(t *testing.T) {
	r := newRouter("b", "c")
	for i := range 30 {
		now := timeAfterStart(time.Duration(i) * 100 * time.Millisecond)
		attempts, _ := r.begin(now, Poll)
		action := attempts.HandleResponse(now.Add(10*time.Millisecond), "", Response{Status: 200})
		if action.Response == nil {
			t.Fatalf("poll %d: got %+v, want a response", i, action)
		}
	}
	now := timeAfterStart(4 * time.Second)
	attempts, _ := r.begin(now, Poll)
	if action := attempts.Tick(now.Add(100 * time.Millisecond)); action.ForwardTo != "" {
		t.Errorf("after 100 ms: got %+v, want no hedge yet", action)
	}
	action := attempts.Tick(now.Add(160 * time.Millisecond))
	if action.ForwardTo == "" || attempts.State() != RequestHedged {
		t.Fatalf("after 160 ms: got %+v, %v, want it forwarded, %v", action, attempts.State(), RequestHedged)
	}
	response := Response{Status: 200, Body: []byte("b")}
	action = attempts.HandleResponse(now.Add(170*time.Millisecond), action.ForwardTo, response)
	if action.Response == nil || string(action.Response.Body) != "b" {
		t.Fatalf("first answer: got %+v, want a response with body %q", action, "b")
	}
	if got := r.Status(now).InFlight["poll"]; got != 1 {
		t.Errorf("polls in flight: got %d, want 1, the local attempt", got)
	}
	for range 3 {
		attempts.HandleResponse(now.Add(1200*time.Millisecond), "", Response{Outcome: StateServiceUnavailable})
		attempts, _ = r.begin(now.Add(1200*time.Millisecond), Poll)
	}
	if status := r.Status(now); status.Local != "open" || status.InFlight["poll"] != 0 {
		t.Errorf("after three failures: got %+v, want the local breaker open and no poll in flight", status)
	}
}

func TestRetryAfterIsSpreadInTime(t *testing.T) {
	r := newRouter()
	seen := map[string]bool{}
	for range 8 {
		unavailable := r.RetryAfter(time.Second, StateServiceUnavailable)
		overloaded := r.RetryAfter(time.Second, Overloaded)
		seen[fmt.Sprint(unavailable, overloaded)] = true
	}
	if len(seen) < 2 {
		t.Errorf("Retry-After: got %v, want at least 2 different values", seen)
	}
}
