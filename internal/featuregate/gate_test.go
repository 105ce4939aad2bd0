package featuregate

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1e9, 0)

func TestGateMovesThroughStatesToNextLevel(t *testing.T) {
	g := NewGate([]string{"b", "a"}, time.Minute)
	all := func(can Level, life uint64) map[string]Member {
		return map[string]Member{"a": {Name: "a", Release: "new", Supported: Supported, Incarnation: 1}, "b": {Name: "b", Release: "r7", Supported: can, Incarnation: life}}
	}
	for _, c := range []struct {
		after   time.Duration
		inForce Level
		known   map[string]Member
		state   State
		says    string
	}{
		{0, 0, nil, Blocked, "a is silent; b is silent"},
		{time.Second, 0, all(0, 1), Blocked, "b (r7) knows level 0"},
		{10 * time.Second, 0, all(Supported, 2), Settling, "1m0s more"},
		{50 * time.Second, 0, all(Supported, 2), Settling, "20s more"},
		{60 * time.Second, 0, all(Supported, 3), Settling, "1m0s more"}, // it was started anew
		{120 * time.Second, 0, all(Supported, 3), MayRaise, "all have known level 1 for 1m0s"},
		{125 * time.Second, 0, map[string]Member{"a": {Supported: Supported, Incarnation: 1}}, Blocked, "b is silent"},
		{130 * time.Second, 0, all(Supported, 3), Settling, "1m0s more"},
		{131 * time.Second, Supported, nil, InForce, "is in force"},
		{132 * time.Second, Supported + 1, nil, Unsupported, "this program knows"},
	} {
		g.Step(startTime.Add(c.after), c.inForce, c.known)
		if state, why := g.State(); state != c.state || !strings.Contains(why, c.says) || (g.NextLevel(c.inForce) > 0) != (c.state == MayRaise) {
			t.Errorf("after %v: %v, %q, next %d; want %v, %q", c.after, state, why, g.NextLevel(c.inForce), c.state, c.says)
		}
	}
}

// However members come, go, are started anew and change their programs: a level may be raised only if
// each listed member has known the next one at every look for the whole time, in one life.
func TestLevelIsNotRaisedWhileAnyMemberLacksSupport(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, old) }()
	}
	rapid.Check(t, func(r *rapid.T) {
		const steady = 20 * time.Second
		var listed []string
		for i := range rapid.IntRange(1, 4).Draw(r, "members") {
			listed = append(listed, fmt.Sprint("m", i))
		}
		g, now, good := NewGate(listed, steady), startTime, map[string]time.Time{}
		lives := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(r, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(r, "later")) * time.Second)
			known := map[string]Member{"stranger": {Supported: 0, Incarnation: 1}}
			for _, n := range listed {
				m := Member{Name: n, Supported: Supported, Incarnation: max(lives[n], 1)}
				switch rapid.IntRange(0, 30).Draw(r, n) {
				case 0:
					delete(good, n)
					continue // silent
				case 1:
					m.Supported = 0
				case 2:
					m.Incarnation++
				}
				if m.Supported == 0 || m.Incarnation != lives[n] {
					delete(good, n)
				}
				if lives[n] = m.Incarnation; m.Supported > 0 {
					if _, ok := good[n]; !ok {
						good[n] = now
					}
				}
				known[n] = m
			}
			g.Step(now, 0, known)
			may := len(good) == len(listed)
			for _, since := range good {
				may = may && now.Sub(since) >= steady
			}
			if got := g.NextLevel(0) > 0; got && !may {
				state, why := g.State()
				r.Fatalf("raised although not all have known it for so long: %v, %s, good since %v", state, why, good)
			}
		}
	})
}
