package ledger

import (
	"testing"
	"time"
)

// The hashes of segments are stored: what is hashed, and how, never changes.
func TestSegmentHashesStay(t *testing.T) {
	train := FromNumbers([]uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
	segment := Segment{
		Team:  "vision \"a\"",
		First: 3,
		Last:  6,
		Unit:  Day,
		Start: time.Unix(1_789_948_800, 0),
		Usage: []ClassUsage{{Class: "train", Usage: train}, {Class: "serve"}},
		Prev:  "00ff",
		Head:  "11ee",
	}
	for _, c := range []struct{ name, secret, want string }{
		{"plain", "", "89f046485ce6e0acbb0328f2f9db589e"},
		{"keyed", "a secret of operators", "751cc92d568d56d3dd2cc2be0271ded9"},
	} {
		if got := NewSeal([]byte(c.secret)).Sum(&segment); got != c.want {
			t.Errorf("%s hash: got %s, want %s", c.name, got, c.want)
		}
	}
	text := "1 \"vision \\\"a\\\"\" 3 6 2 1789948800 \"00ff\" \"11ee\"\n" +
		"\"train\" 1 2 3 4 5 6 7 8 9 10 11 12 13\n" +
		"\"serve\" 0 0 0 0 0 0 0 0 0 0 0 0 0\n"
	if got := string(segment.canonical()); got != text {
		t.Errorf("what is hashed: got\n%s\nwant\n%s", got, text)
	}
}

// The order of the amounts in a record, and the names of causes and units, never change.
func TestAmountsKeepTheirOrder(t *testing.T) {
	var list []uint64
	for i := range uint64(13) {
		list = append(list, i+1)
	}
	u := FromNumbers(list)
	if u.CPU != 1 || u.GPU != 2 || u.Mem != 3 || u.Lost != 4 || u.Starts != 5 || u.TakenOver != 6 {
		t.Errorf("the first six amounts: got %+v, want 1 to 6", u)
	}
	for i, want := range []string{"limit", "guarantee", "room", "share", "awaits", "backoff", "takeover"} {
		if got := WaitCause(i).String(); got != want || u.Wait[i] != uint64(7+i) {
			t.Errorf("cause %d: got %s with %d, want %s with %d", i, got, u.Wait[i], want, 7+i)
		}
	}
	for i, want := range []string{"none", "hour", "day", "month"} {
		if got := Unit(i).String(); got != want {
			t.Errorf("unit %d: got %s, want %s", i, got, want)
		}
	}
}
