package electionsim

import "testing"

// requireNoViolation explores with settings that must not violate anything.
func requireNoViolation(t *testing.T, settings Settings) Result {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if result.Violation != "" {
		t.Errorf("got violation %q by%s, want none", result.Violation, result.Trace)
	}
	t.Logf("%+v: %+v", settings, result)
	return result
}

// requireAtLeast guards against an exploration that reaches too little to show anything.
func requireAtLeast(t *testing.T, what string, got, want int) {
	t.Helper()
	if got < want {
		t.Errorf("got %d %s, want %d or more", got, what, want)
	}
}

// requireViolation explores with settings whose mutation must be detected.
func requireViolation(t *testing.T, settings Settings) {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if result.Violation == "" {
		t.Errorf("got %+v, want a violation", result)
	}
	t.Logf("%s: %s, by%s", settings.Mutation, result.Violation, result.Trace)
}

func TestEveryFaultSequenceLeavesAtMostOneLeader(t *testing.T) {
	for name, settings := range map[string]Settings{
		"two members":   {Members: 2, Seconds: 10, MaxFaults: 3},
		"three members": {Members: 3, Seconds: 10, MaxFaults: 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings.MaxStates = 3_000_000
			result := requireNoViolation(t, settings)
			requireAtLeast(t, "states with a leader by votes", result.ByVotes, 100)
			requireAtLeast(t, "claims", result.Claims, 100)
		})
	}
}

func TestEachMutationIsDetected(t *testing.T) {
	for mutation, faults := range map[Mutation]int{ShortVotes: 2, ForgottenVotes: 3, LateVotes: 3} {
		t.Run(string(mutation), func(t *testing.T) {
			requireViolation(t, Settings{
				Members:   2,
				Seconds:   14,
				MaxFaults: faults,
				MaxStates: 1_000_000,
				Mutation:  mutation,
			})
		})
	}
}

// Members crash at any step of an election and restart at once, while messages of their former incarnations
// arrive late.
func TestInstantRestartsLeaveAtMostOneLeader(t *testing.T) {
	for name, settings := range map[string]Settings{
		"two members":   {Members: 2, Seconds: 10, MaxFaults: 2},
		"three members": {Members: 3, Seconds: 6, MaxFaults: 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings.MaxStates, settings.InstantRestarts = 3_000_000, true
			result := requireNoViolation(t, settings)
			requireAtLeast(t, "claims", result.Claims, 100)
		})
	}
	t.Run("mixed incarnations are detected", func(t *testing.T) {
		requireViolation(t, Settings{
			Members:         2,
			Seconds:         12,
			MaxFaults:       4,
			MaxStates:       3_000_000,
			Mutation:        MixedIncarnations,
			InstantRestarts: true,
			OnlyFaults:      []FaultKind{Crash, StateUnreachable, PeersUnreachable, RestartClaimInFlight},
		})
	})
}

// Members' programs change between one with feature gates and one without while a level is raised: whoever may
// act supports the level in force, and acts by it.
func TestLeaderNeverActsUnderUnknownLevel(t *testing.T) {
	for name, settings := range map[string]Settings{
		"two members":   {Members: 2, Seconds: 9, MaxFaults: 3},
		"three members": {Members: 3, Seconds: 9, MaxFaults: 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings.MaxStates, settings.FeatureGates = 3_000_000, true
			result := requireNoViolation(t, settings)
			requireAtLeast(t, "states with a raised level", result.Raised, 1000)
			requireAtLeast(t, "claims", result.Claims, 100)
		})
	}
	for mutation, faults := range map[Mutation]int{ReadableLevel: 2, SeparateRaise: 2} {
		t.Run(string(mutation), func(t *testing.T) {
			requireViolation(t, Settings{
				Members:      2,
				Seconds:      14,
				MaxFaults:    faults,
				MaxStates:    2_000_000,
				Mutation:     mutation,
				FeatureGates: true,
			})
		})
	}
}
