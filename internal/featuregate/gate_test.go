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
	gate := NewGate([]string{"b", "a"}, time.Minute)
	announced := func(supportedByB Level, incarnationOfB uint64) map[string]Member {
		return map[string]Member{
			"a": {Name: "a", Release: "new", Supported: Supported, Incarnation: 1},
			"b": {Name: "b", Release: "r7", Supported: supportedByB, Incarnation: incarnationOfB},
		}
	}
	onlyA := map[string]Member{"a": {Supported: Supported, Incarnation: 1}}
	for _, c := range []struct {
		after     time.Duration
		inForce   Level
		announced map[string]Member
		state     State
		reason    string
	}{
		{0, 0, nil, Blocked, "a is silent; b is silent"},
		{time.Second, 0, announced(0, 1), Blocked, "b (r7) knows level 0"},
		{10 * time.Second, 0, announced(Supported, 2), Settling, "1m0s more"},
		{50 * time.Second, 0, announced(Supported, 2), Settling, "20s more"},
		{60 * time.Second, 0, announced(Supported, 3), Settling, "1m0s more"}, // b has restarted
		{120 * time.Second, 0, announced(Supported, 3), MayRaise, "all have known level 1 for 1m0s"},
		{125 * time.Second, 0, onlyA, Blocked, "b is silent"},
		{130 * time.Second, 0, announced(Supported, 3), Settling, "1m0s more"},
		{131 * time.Second, Supported, nil, InForce, "is in force"},
		{132 * time.Second, Supported + 1, nil, Unsupported, "this program knows"},
	} {
		gate.Step(startTime.Add(c.after), c.inForce, c.announced)
		state, reason := gate.State()
		next := gate.NextLevel(c.inForce)
		if state != c.state || !strings.Contains(reason, c.reason) || (next > 0) != (c.state == MayRaise) {
			t.Errorf("after %v: got %v, %q, next level %d, want %v, %q", c.after, state, reason, next, c.state, c.reason)
		}
	}
}

// setRapidFlags sets flags of package rapid for the duration of the test.
func setRapidFlags(t *testing.T, values map[string]string) {
	t.Helper()
	for name, value := range values {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, before) }) // the former value is valid
	}
}

// Members go silent, return, restart and change their versions at random. The level may be raised only if every member
// has supported the next level at each step of the settle time without a restart.
func TestLevelIsNotRaisedWhileAnyMemberLacksSupport(t *testing.T) {
	setRapidFlags(t, map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.nofailfile": "true"})
	rapid.Check(t, func(t *rapid.T) {
		const settleTime = 20 * time.Second
		var names []string
		for i := range rapid.IntRange(1, 4).Draw(t, "members") {
			names = append(names, fmt.Sprint("m", i))
		}
		gate, now := NewGate(names, settleTime), startTime
		supportedSince := map[string]time.Time{}
		incarnations := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second)
			announced := map[string]Member{"unconfigured": {Supported: 0, Incarnation: 1}}
			for _, name := range names {
				member := Member{Name: name, Supported: Supported, Incarnation: max(incarnations[name], 1)}
				switch rapid.IntRange(0, 30).Draw(t, name) {
				case 0: // announces nothing
					delete(supportedSince, name)
					continue
				case 1: // runs an older version
					member.Supported = 0
				case 2: // has restarted
					member.Incarnation++
				}
				if member.Supported == 0 || member.Incarnation != incarnations[name] {
					delete(supportedSince, name)
				}
				incarnations[name] = member.Incarnation
				if _, ok := supportedSince[name]; member.Supported > 0 && !ok {
					supportedSince[name] = now
				}
				announced[name] = member
			}
			gate.Step(now, 0, announced)
			mayRaise := len(supportedSince) == len(names)
			for _, since := range supportedSince {
				mayRaise = mayRaise && now.Sub(since) >= settleTime
			}
			if next := gate.NextLevel(0); next > 0 && !mayRaise {
				state, reason := gate.State()
				t.Fatalf("next level: got %d (%v, %s), want none: supported since %v", next, state, reason, supportedSince)
			}
		}
	})
}
