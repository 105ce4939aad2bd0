package electionsim

import "testing"

func TestEveryFaultSequenceLeavesAtMostOneLeader(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 10, MaxFaults: 3}, {Members: 3, Seconds: 10, MaxFaults: 2}} {
		set.MaxStates = 3_000_000
		r, err := Run(set)
		if err != nil || r.Violation != "" {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
		if r.ByVotes < 100 || r.Claims < 100 {
			t.Errorf("%+v shows little: %+v", set, r)
		}
		t.Logf("%+v: %+v", set, r)
	}
}

func TestEachMutationIsDetected(t *testing.T) {
	for b, faults := range map[Mutation]int{ShortVotes: 2, ForgottenVotes: 3, LateVotes: 3} {
		r, err := Run(Settings{Members: 2, Seconds: 14, MaxFaults: faults, MaxStates: 1_000_000, Mutation: b})
		if err != nil || r.Violation == "" {
			t.Errorf("%s: %+v, %v", b, r, err)
		}
		t.Logf("%s: %s, by%s", b, r.Violation, r.Trace)
	}
}

// The same with members that end at any step of an election and are back at once, while what their former
// lives have sent comes late; and it shows what holds them apart.
func TestInstantRestartsLeaveAtMostOneLeader(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 10, MaxFaults: 2}, {Members: 3, Seconds: 6, MaxFaults: 2}} {
		set.MaxStates, set.InstantRestarts = 3_000_000, true
		if r, err := Run(set); err != nil || r.Violation != "" || r.Claims < 100 {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
	}
	r, err := Run(Settings{Members: 2, Seconds: 12, MaxFaults: 4, MaxStates: 3_000_000, Mutation: MixedIncarnations, InstantRestarts: true, OnlyFaults: []string{"crash", "cut", "part", "blink-claiming"}})
	if err != nil || r.Violation == "" {
		t.Errorf("lives that are not told apart: %+v, %v", r, err)
	}
	t.Logf("%s, by%s", r.Violation, r.Trace)
}

// The same while members' programs change between one that knows levels and one from before them, and
// a level is raised: whoever may act knows the level in force, and acts by it.
func TestLeaderNeverActsUnderUnknownLevel(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 9, MaxFaults: 3}, {Members: 3, Seconds: 9, MaxFaults: 2}} {
		set.MaxStates, set.FeatureGates = 3_000_000, true
		r, err := Run(set)
		if err != nil || r.Violation != "" {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
		if r.Raised < 1000 || r.Claims < 100 {
			t.Errorf("%+v shows little: %+v", set, r)
		}
		t.Logf("%+v: %+v", set, r)
	}
	for b, faults := range map[Mutation]int{ReadableLevel: 2, SeparateRaise: 2} {
		r, err := Run(Settings{Members: 2, Seconds: 14, MaxFaults: faults, MaxStates: 2_000_000, Mutation: b, FeatureGates: true})
		if err != nil || r.Violation == "" {
			t.Errorf("%s: %+v, %v", b, r, err)
		}
		t.Logf("%s: %s, by%s", b, r.Violation, r.Trace)
	}
}
