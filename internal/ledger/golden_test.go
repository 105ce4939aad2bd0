package ledger

import (
	"testing"
	"time"
)

// Stored segments contain their hashes, so a change of the hash function or of the hashed content would make every
// older segment fail verification.
func TestSegmentHashesStay(t *testing.T) {
	train := UsageFromNumbers([]uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
	segment := Segment{
		Team:           "vision \"a\"",
		First:          3,
		Last:           6,
		Unit:           Day,
		Start:          time.Unix(1_789_948_800, 0),
		Usage:          []ClassUsage{{Class: "train", Usage: train}, {Class: "serve"}},
		PrevLink:       "00ff",
		LastMergedLink: "11ee",
	}
	for _, c := range []struct{ name, secret, want string }{
		{"plain", "", "89f046485ce6e0acbb0328f2f9db589e"},
		{"keyed", "a secret of operators", "751cc92d568d56d3dd2cc2be0271ded9"},
	} {
		if got := NewSegmentHasher([]byte(c.secret)).Hash(&segment); got != c.want {
			t.Errorf("%s hash: got %s, want %s", c.name, got, c.want)
		}
	}
	text := "1 \"vision \\\"a\\\"\" 3 6 2 1789948800 \"00ff\" \"11ee\"\n" +
		"\"train\" 1 2 3 4 5 6 7 8 9 10 11 12 13\n" +
		"\"serve\" 0 0 0 0 0 0 0 0 0 0 0 0 0\n"
	if got := string(segment.canonical()); got != text {
		t.Errorf("hashed content: got\n%s\nwant\n%s", got, text)
	}
}

// Records store the amounts by position, so another order would give stored usage another meaning. The names of wait
// causes and units are published and never change.
func TestAmountsKeepTheirOrder(t *testing.T) {
	var numbers []uint64
	for i := range uint64(13) {
		numbers = append(numbers, i+1)
	}
	usage := UsageFromNumbers(numbers)
	if usage.CPU != 1 || usage.GPU != 2 || usage.Mem != 3 ||
		usage.WastedCPU != 4 || usage.Starts != 5 || usage.Adopted != 6 {
		t.Errorf("first six amounts: got %+v, want 1 to 6", usage)
	}
	for i, want := range []string{"limit", "guarantee", "room", "share", "awaits", "backoff", "takeover"} {
		if got := WaitCause(i).String(); got != want || usage.Wait[i] != uint64(7+i) {
			t.Errorf("wait cause %d: got %s with %d, want %s with %d", i, got, usage.Wait[i], want, 7+i)
		}
	}
	for i, want := range []string{"none", "hour", "day", "month"} {
		if got := Unit(i).String(); got != want {
			t.Errorf("unit %d: got %s, want %s", i, got, want)
		}
	}
}
