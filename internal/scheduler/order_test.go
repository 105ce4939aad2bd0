package scheduler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestRequestsAreOrderedBySlackThenAgeThenMissedDeadline(t *testing.T) {
	late := newDeadlineRequest("late", -1)
	tight := newDeadlineRequest("tight", 5*time.Second)
	loose := newDeadlineRequest("loose", time.Hour)
	restarted := newDeadlineRequest("restarted", 2*time.Hour)
	restarted.Restart = true
	young, old, promoted := newRequest("young", 1, nil), newRequest("old", 1, nil), newRequest("promoted", 1, nil)
	young.Waited, old.Waited, promoted.Waited = time.Second, 30*time.Second, 61*time.Second
	guaranteed := newDeadlineRequest("guaranteed", time.Hour)
	guaranteed.Guaranteed = true
	production := newRequest("production", 1, func(s *model.Spec) { s.Priority = model.PriorityProduction })
	requests := []*Request{late, young, loose, old, tight, restarted, guaranteed, promoted, production}
	OrderRequests(testSettings, requests)
	want := "production guaranteed promoted restarted tight loose old young late "
	if got := formatRequestIDs(requests); got != want {
		t.Errorf("order is %s, want %s", got, want)
	}
}

// Low-priority work without a deadline that has been promoted must not keep higher-priority work from starting by its
// deadline.
func TestPromotionStaysWithinOwnPriority(t *testing.T) {
	request := func(id string, priority model.Priority) *Request {
		return newRequest(id, 1, func(s *model.Spec) { s.Priority = priority })
	}
	promoted := func(id string, priority model.Priority) *Request {
		r := request(id, priority)
		r.Waited = 2 * time.Minute
		return r
	}
	withDeadline := func(id string, priority model.Priority, slack time.Duration) *Request {
		r := request(id, priority)
		r.HasDeadline, r.Slack = true, slack
		return r
	}
	requests := []*Request{
		promoted("low-promoted", model.PriorityLow),
		promoted("normal-promoted", model.PriorityNormal),
		withDeadline("normal-tight", model.PriorityNormal, time.Second),
		withDeadline("high-tight", model.PriorityHigh, 0),
		withDeadline("low-loose", model.PriorityLow, time.Hour),
		withDeadline("normal-loose", model.PriorityNormal, 2*time.Hour),
	}
	OrderRequests(testSettings, requests)
	want := "high-tight normal-promoted normal-tight low-promoted low-loose normal-loose "
	if got := formatRequestIDs(requests); got != want {
		t.Errorf("order is %s, want %s", got, want)
	}
}
