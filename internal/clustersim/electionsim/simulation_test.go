package electionsim

import "testing"

// requireNoViolation runs an exploration and fails the test if it finds a violation.
func requireNoViolation(t *testing.T, settings Settings) Result {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if result.Violation != "" {
		t.Errorf("got violation %q after faults%s, want none", result.Violation, result.Trace)
	}
	t.Logf("%+v: %+v", settings, result)
	return result
}

// requireAtLeast fails the test if an exploration has covered too little to be meaningful.
func requireAtLeast(t *testing.T, quantity string, got, want int) {
	t.Helper()
	if got < want {
		t.Errorf("got %d %s, want %d or more", got, quantity, want)
	}
}

// requireViolation runs an exploration with a mutation and fails the test if the mutation is not detected.
func requireViolation(t *testing.T, settings Settings) {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if result.Violation == "" {
		t.Errorf("got %+v, want a violation", result)
	}
	t.Logf("%s: %s, after faults%s", settings.Mutation, result.Violation, result.Trace)
}

func TestEveryFaultSequenceLeavesAtMostOneLeader(t *testing.T) {
	for name, settings := range map[string]Settings{
		"two members":   {Members: 2, Seconds: 10, MaxFaults: 3},
		"three members": {Members: 3, Seconds: 10, MaxFaults: 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings.MaxStates = 3_000_000
			result := requireNoViolation(t, settings)
			requireAtLeast(t, "states with a leader by votes", result.StatesWithLeaderByVotes, 100)
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

// Guards against confusing incarnations: members crash at any step of an election and restart at once, while messages
// of their earlier incarnations still arrive.
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

// Guards against a leader that does not support or does not follow the feature level in force: members restart with and
// without feature gates while the level is raised.
func TestLeaderNeverActsUnderUnknownLevel(t *testing.T) {
	for name, settings := range map[string]Settings{
		"two members":   {Members: 2, Seconds: 9, MaxFaults: 3},
		"three members": {Members: 3, Seconds: 9, MaxFaults: 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings.MaxStates, settings.FeatureGates = 3_000_000, true
			result := requireNoViolation(t, settings)
			requireAtLeast(t, "states with a raised level", result.StatesWithRaisedLevel, 1000)
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
