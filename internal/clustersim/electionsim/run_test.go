package electionsim

import (
	"errors"
	"testing"
)

// exploreWithoutViolation explores settings and expects no violation and a number of claims at the least.
func exploreWithoutViolation(t *testing.T, settings Settings) Result {
	t.Helper()
	const minClaims = 100
	settings.MaxStates = 3_000_000
	result, err := Run(settings)
	if err != nil || result.Violation != "" {
		t.Errorf("%+v: got %+v, %v, want no violation", settings, result, err)
	}
	if result.Claims < minClaims {
		t.Errorf("%+v: got %d claims, want %d at least", settings, result.Claims, minClaims)
	}
	t.Logf("%+v: %+v", settings, result)
	return result
}

// expectViolation explores settings with a mutation and expects a violation.
func expectViolation(t *testing.T, settings Settings) {
	t.Helper()
	result, err := Run(settings)
	if err != nil || result.Violation == "" {
		t.Errorf("%s: got %+v, %v, want a violation", settings.Mutation, result, err)
	}
	t.Logf("%s: %s, by%s", settings.Mutation, result.Violation, result.Trace)
}

func TestEveryFaultSequenceLeavesAtMostOneLeader(t *testing.T) {
	for _, settings := range []Settings{
		{Members: 2, Seconds: 10, MaxFaults: 3},
		{Members: 3, Seconds: 10, MaxFaults: 2},
	} {
		result := exploreWithoutViolation(t, settings)
		if result.ByVotes < 100 {
			t.Errorf("%+v: got %d states with a leader by votes alone, want 100 at least", settings, result.ByVotes)
		}
	}
}

func TestEachMutationIsDetected(t *testing.T) {
	for mutation, faults := range map[Mutation]int{ShortVotes: 2, ForgottenVotes: 3, LateVotes: 3} {
		expectViolation(t, Settings{
			Members:   2,
			Seconds:   14,
			MaxFaults: faults,
			MaxStates: 1_000_000,
			Mutation:  mutation,
		})
	}
}

// Members restart at any step of an election, while messages of their former incarnations arrive late. That
// incarnations are told apart is what keeps two from acting.
func TestInstantRestartsLeaveAtMostOneLeader(t *testing.T) {
	for _, settings := range []Settings{
		{Members: 2, Seconds: 10, MaxFaults: 2, InstantRestarts: true},
		{Members: 3, Seconds: 6, MaxFaults: 2, InstantRestarts: true},
	} {
		exploreWithoutViolation(t, settings)
	}
	expectViolation(t, Settings{
		Members:         2,
		Seconds:         12,
		MaxFaults:       4,
		MaxStates:       3_000_000,
		Mutation:        MixedIncarnations,
		InstantRestarts: true,
		OnlyFaults:      []string{"crash", "cut", "part", "blink-claiming"},
	})
}

// Members' programs change between one with feature gates and one from before them, and a level is raised: a member
// that may act knows the level in force, and acts by it.
func TestLeaderNeverActsUnderUnknownLevel(t *testing.T) {
	for _, settings := range []Settings{
		{Members: 2, Seconds: 9, MaxFaults: 3, FeatureGates: true},
		{Members: 3, Seconds: 9, MaxFaults: 2, FeatureGates: true},
	} {
		result := exploreWithoutViolation(t, settings)
		if result.Raised < 1000 {
			t.Errorf("%+v: got %d states with a raised level, want 1000 at least", settings, result.Raised)
		}
	}
	for mutation, faults := range map[Mutation]int{ReadableLevel: 2, SeparateRaise: 2} {
		expectViolation(t, Settings{
			Members:      2,
			Seconds:      14,
			MaxFaults:    faults,
			MaxStates:    2_000_000,
			Mutation:     mutation,
			FeatureGates: true,
		})
	}
}

func TestRunRejectsInvalidSettings(t *testing.T) {
	for name, settings := range map[string]Settings{
		"one member":      {Members: 1, Seconds: 1},
		"too many":        {Members: 6, Seconds: 1},
		"no time":         {Members: 2},
		"negative faults": {Members: 2, Seconds: 1, MaxFaults: -1},
	} {
		if _, err := Run(settings); !errors.Is(err, ErrInvalidSettings) {
			t.Errorf("%s: got %v, want %v", name, err, ErrInvalidSettings)
		}
	}
	if _, err := Run(Settings{Members: 2, Seconds: 5, MaxFaults: 1, MaxStates: 3}); !errors.Is(err, ErrTooManyStates) {
		t.Errorf("three states: got %v, want %v", err, ErrTooManyStates)
	}
}
