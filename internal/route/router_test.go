package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1e9, 0)

func afterStart(d time.Duration) time.Time { return startTime.Add(d) }

func newRouter(others ...string) *Router {
	return New(Settings{OtherMembers: others, RetryRatio: 0.2, MinHedgeDelay: 150 * time.Millisecond, MaxConcurrent: 64}, rand.New(rand.NewPCG(1, 2)), nil)
}

func (r *Router) begin(now time.Time, k Kind) (*RequestAttempts, Action) {
	return r.Begin(now, now.Add(3*time.Second), time.Time{}, Request{Kind: k, ID: "wk-000001"}, false)
}

func TestMemberWithoutStateServiceForwardsRequests(t *testing.T) {
	r := newRouter("b", "c")
	for i := range failureThreshold {
		now := afterStart(time.Duration(i) * 10 * time.Millisecond)
		trip, m := r.begin(now, Submit)
		if !m.Local {
			t.Fatalf("request %d: %+v", i, m)
		}
		m = trip.Completed(now, "", Response{Outcome: StateUnavailable})
		if m.ForwardTo == "" {
			t.Fatalf("request %d is not handed over: %+v", i, m)
		}
		if m = trip.Completed(now, m.ForwardTo, Response{Status: 201}); m.Response == nil || m.Response.Status != 201 {
			t.Fatalf("request %d: %+v", i, m)
		}
	}
	trip, m := r.begin(afterStart(100*time.Millisecond), Submit)
	if m.Local || m.ForwardTo == "" {
		t.Fatalf("with its own way open: %+v", m)
	}
	trip.Completed(afterStart(110*time.Millisecond), m.ForwardTo, Response{Status: 201})
	left := r.Status(afterStart(110 * time.Millisecond)).RetriesLeft
	for range 100 {
		trip, m = r.begin(afterStart(120*time.Millisecond), Submit)
		if m.ForwardTo == "" {
			t.Fatal("what was not tried here counts as a second attempt")
		}
		trip.Completed(afterStart(120*time.Millisecond), m.ForwardTo, Response{Status: 201})
	}
	if now := r.Status(afterStart(120 * time.Millisecond)).RetriesLeft; now < left {
		t.Errorf("second attempts left: %v, before %v", now, left)
	}
	// The state service has answered something else meanwhile: nothing to wait for.
	trip, m = r.Begin(afterStart(130*time.Millisecond), afterStart(3*time.Second), afterStart(125*time.Millisecond), Request{}, false)
	if !m.Local {
		t.Fatalf("after a sign of life: %+v", m)
	}
	if _, other := r.begin(afterStart(131*time.Millisecond), Submit); other.Local {
		t.Error("a second request goes beside the probe")
	}
	trip.Completed(afterStart(140*time.Millisecond), "", Response{Status: 201})
	if _, m = r.begin(afterStart(141*time.Millisecond), Submit); !m.Local {
		t.Errorf("after the probe: %+v", m)
	}
	// A probe that says nothing of the way costs no further pause.
	b := breaker{state: Open, since: startTime, pause: time.Second}
	if !b.allow(afterStart(time.Second), time.Time{}) || b.allow(afterStart(time.Second), time.Time{}) {
		t.Error("not one probe when the pause is over")
	}
	if b.discard(); !b.allow(afterStart(time.Second), time.Time{}) {
		t.Error("no probe after one that was taken back")
	}
}

// Everybody is without the state service: users hear so at once, and members do not make
// more of each other's requests.
func TestOutageOfAllMembersIsNotAmplified(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	all := map[string]*Router{}
	for i, n := range names {
		var others []string
		for _, o := range names {
			if o != n {
				others = append(others, o)
			}
		}
		all[n] = newRouter(others...)
		all[n].random = rand.New(rand.NewPCG(uint64(i), 7))
	}
	asked, handed, users := 0, 0, 0
	for ms := 0; ms < 40_000; ms += 20 {
		now := afterStart(time.Duration(ms) * time.Millisecond)
		n := names[users%len(names)]
		users++
		trip, m := all[n].begin(now, Submit)
		for m.Response == nil {
			switch {
			case m.Local:
				asked++
				m = trip.Completed(now, "", Response{Outcome: StateUnavailable})
			case m.ForwardTo != "":
				handed++
				ended, c := all[m.ForwardTo].AdmitForwarded(now, time.Time{}, Submit)
				if ended != nil {
					asked++
					ended(now, StateUnavailable)
					c = StateUnavailable
				}
				m = trip.Completed(now, m.ForwardTo, Response{Outcome: c})
			default:
				t.Fatalf("a user waits for nothing: %v", trip.State())
			}
		}
		if m.Response.Outcome == Answered {
			t.Fatal("taken in an outage")
		}
	}
	if asked > users/5 || handed > users/5 {
		t.Errorf("%d users: %d requests to the state service, %d between members", users, asked, handed)
	}
}

// An answer is late: another member is asked too, and the first that takes the request answers. What
// the other one says later is taken in all the same.
func TestLateResponseIsHedged(t *testing.T) {
	r := newRouter("b", "c")
	for i := range 30 {
		now := afterStart(time.Duration(i) * 100 * time.Millisecond)
		trip, _ := r.begin(now, Poll)
		if m := trip.Completed(now.Add(10*time.Millisecond), "", Response{Status: 200}); m.Response == nil {
			t.Fatal("no answer")
		}
	}
	now := afterStart(4 * time.Second)
	trip, _ := r.begin(now, Poll)
	if m := trip.Tick(now.Add(100 * time.Millisecond)); m.ForwardTo != "" {
		t.Error("asked elsewhere too soon")
	}
	m := trip.Tick(now.Add(160 * time.Millisecond))
	if m.ForwardTo == "" || trip.State() != RequestHedged {
		t.Fatalf("not hedged: %+v, %v", m, trip.State())
	}
	if m = trip.Completed(now.Add(170*time.Millisecond), m.ForwardTo, Response{Status: 200, Body: []byte("b")}); m.Response == nil || string(m.Response.Body) != "b" {
		t.Fatalf("the first answer: %+v", m)
	}
	if r.Status(now).InFlight["poll"] != 1 {
		t.Error("what still waits here does not count")
	}
	for range 3 {
		trip.Completed(now.Add(1200*time.Millisecond), "", Response{Outcome: StateUnavailable})
		trip, _ = r.begin(now.Add(1200*time.Millisecond), Poll)
	}
	if s := r.Status(now); s.Local != "open" || s.InFlight["poll"] != 0 {
		t.Errorf("after three that never came: %+v", s)
	}
}

// Whatever comes in whatever order: a user gets one answer, each member is asked once at most,
// nothing is held for ever, and second attempts keep to their budget.
func TestRequestAttemptsKeepInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := []string{"b", "c", "d"}[:rapid.IntRange(0, 3).Draw(t, "others")]
		r := newRouter(others...)
		now := startTime
		type open struct {
			t        *RequestAttempts
			out      []string // "" is here
			asked    map[string]bool
			answered bool
		}
		var trips []*open
		take := func(o *open, m Action) {
			if m.Local {
				m.ForwardTo = "here"
			}
			if m.ForwardTo != "" {
				if o.asked[m.ForwardTo] || o.answered {
					t.Fatalf("%s is asked twice, or after the answer", m.ForwardTo)
				}
				o.asked[m.ForwardTo] = true
				o.out = append(o.out, m.ForwardTo)
			}
			if m.Response != nil {
				if o.answered || m.ForwardTo != "" {
					t.Fatal("two answers")
				}
				o.answered = true
			}
			if !o.answered && len(o.out) == 0 {
				t.Fatalf("in %v nobody works on it", o.t.State())
			}
		}
		causes := []Outcome{Answered, Answered, StateUnavailable, Overloaded, OutOfMemory, NotReady, TimedOut, Unreachable}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch n := rapid.IntRange(0, 3).Draw(t, "what"); {
			case n == 0 || len(trips) == 0:
				o := &open{asked: map[string]bool{}}
				var m Action
				o.t, m = r.Begin(now, now.Add(1500*time.Millisecond), time.Time{}, Request{Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind"))}, rapid.IntRange(0, 9).Draw(t, "elsewhere") == 0)
				take(o, m)
				trips = append(trips, o)
			case n == 1:
				o := trips[rapid.IntRange(0, len(trips)-1).Draw(t, "trip")]
				take(o, o.t.Tick(now))
			default:
				o := trips[rapid.IntRange(0, len(trips)-1).Draw(t, "trip")]
				if len(o.out) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(o.out)-1).Draw(t, "from")
				from := o.out[i]
				o.out = append(o.out[:i:i], o.out[i+1:]...)
				if from == "here" {
					from = ""
				}
				take(o, o.t.Completed(now, from, Response{Outcome: rapid.SampledFrom(causes).Draw(t, "cause")}))
			}
		}
		for _, o := range trips {
			now = now.Add(5 * time.Second)
			take(o, o.t.Tick(now))
			if !o.answered {
				t.Fatalf("no answer in time, in %v", o.t.State())
			}
			for _, from := range o.out {
				if from == "here" {
					from = ""
				}
				o.t.Completed(now, from, Response{Outcome: TimedOut})
			}
		}
		for k, n := range r.Status(now).InFlight {
			if n != 0 {
				t.Fatalf("%d of %s are never over", n, k)
			}
		}
		for _, m := range r.members {
			if m.outstanding != 0 {
				t.Fatalf("%d are out at %s for ever", m.outstanding, m.name)
			}
		}
		c := r.Status(now).Counts
		if most := float64(maxSavedRetries)/2 + minRetriesPerSecond*now.Sub(startTime).Seconds() + 0.2*float64(c.Local+c.Forwarded); float64(c.Hedged) > most {
			t.Fatalf("%d hedged, the budget is %v", c.Hedged, most)
		}
	})
}

// The state service takes ten requests a second and users send fifty: with a limit that adapts,
// those that are taken are answered soon, the others are sent away at once, and when the load is
// over the limit grows again. Cancellations go ahead.
func TestConcurrencyLimitAdaptsToThroughput(t *testing.T) {
	serve := func(l *concurrencyLimit, perSecond, takes float64, n int, rate float64) (worst time.Duration, taken int) {
		free := 0.0 // when the server has done what it has
		type job struct{ begun, done float64 }
		var queue []job
		for i := range n {
			now := float64(i) / rate
			for len(queue) > 0 && queue[0].done <= now {
				l.release()
				l.observe(time.Duration((queue[0].done - queue[0].begun) * 1e9))
				queue = queue[1:]
			}
			if !l.acquire() {
				continue
			}
			free = max(free, now) + 1/perSecond
			queue = append(queue, job{now, free + takes})
			taken++
			if i > n/2 {
				worst = max(worst, time.Duration((free+takes-now)*1e9))
			}
		}
		for range queue {
			l.release()
		}
		return worst, taken
	}
	l := newConcurrencyLimit(256, false)
	if worst, taken := serve(&l, 100, 0, 400, 50); taken != 400 || worst > 20*time.Millisecond {
		t.Errorf("at half the load: %d of 400 taken, the worst in %v", taken, worst)
	}
	worst, taken := serve(&l, 10, 0, 3000, 50)
	if worst > 1500*time.Millisecond || taken < 550 {
		t.Errorf("at five times the load: the worst in %v, %d of 600 taken", worst, taken)
	}
	low := l.limit
	serve(&l, 1000, 0.1, 6000, 300) // thirty at once
	if _, taken = serve(&l, 1000, 0.1, 6000, 300); taken < 5900 {
		t.Errorf("afterwards %d of 6,000 are taken, the limit is %v and was %v", taken, l.limit, low)
	}
	c := newConcurrencyLimit(256, true)
	for i := range 256 {
		c.backOff()
		c.observe(time.Hour)
		if !c.acquire() {
			t.Fatalf("cancellation %d has to wait", i)
		}
	}
	if c.acquire() {
		t.Error("there is no bound on cancellations")
	}
}

func TestRetryAfterIsSpreadInTime(t *testing.T) {
	r := newRouter()
	seen := map[string]bool{}
	for range 8 {
		seen[fmt.Sprint(r.RetryAfter(time.Second, StateUnavailable), r.RetryAfter(time.Second, Overloaded))] = true
	}
	if len(seen) < 2 {
		t.Errorf("all are told %v", seen)
	}
}
