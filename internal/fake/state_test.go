package fake

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/rpc"
)

// newTestState returns a state service with the key "a" at version 2, and its clock, which the test can advance.
func newTestState(t *testing.T) (*State, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	s := NewState(func() time.Time { return now })
	s.MaxOps, s.MaxValueBytes = 2, 16
	s.Preload("a", msgp.AppendString(nil, "x"))
	return s, &now
}

// encodeRequest encodes the body of a request.
func encodeRequest(t *testing.T, fields map[string]any) []byte {
	t.Helper()
	body, err := msgp.AppendIntf(nil, fields)
	if err != nil {
		t.Fatalf("request %v: %v", fields, err)
	}
	return body
}

func TestStateCommitChecksLimitsAndConditions(t *testing.T) {
	write := func(key, value string) any { return map[string]any{"write": key, "value": value} }
	condition := func(key string, version int64) any { return map[string]any{"k": key, "stamp": version} }
	for _, test := range []struct {
		name       string
		conditions []any
		ops        []any
		want       int // expected status
	}{
		{"conditions hold", []any{condition("a", 2), condition("none", 0)}, []any{write("b", "y")}, http.StatusOK},
		{"a version differs", []any{condition("a", 1)}, []any{write("b", "y")}, http.StatusConflict},
		{"too many changes", nil, []any{write("b", "y"), write("c", "y"), write("d", "y")}, http.StatusBadRequest},
		{"a value is too large", nil, []any{write("b", "far too many bytes")}, http.StatusBadRequest},
		{"no such lease", nil, []any{map[string]any{"write": "b", "tenancy": 7}}, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := newTestState(t)
			body := encodeRequest(t, map[string]any{"if": test.conditions, "apply": test.ops})
			_, err := s.Call(http.MethodPost, "/commit", body, time.Second)
			got := http.StatusOK
			if err != nil {
				got = rpc.StatusCode(err)
			}
			if got != test.want {
				t.Errorf("status: got %d (%v), want %d", got, err, test.want)
			}
			if wrote := s.Value("b") != nil; wrote != (test.want == http.StatusOK) {
				t.Errorf("key b written: got %v, want %v", wrote, test.want == http.StatusOK)
			}
		})
	}
}

func TestStateLeaseExpiryRemovesItsKeys(t *testing.T) {
	s, now := newTestState(t)
	grant := encodeRequest(t, map[string]any{"lifeMs": 4000})
	if _, err := s.Call(http.MethodPost, "/grants", grant, time.Second); err != nil {
		t.Fatalf("grant: %v", err)
	}
	commit := encodeRequest(t, map[string]any{"apply": []any{map[string]any{"write": "b", "value": "y", "tenancy": 1}}})
	if _, err := s.Call(http.MethodPost, "/commit", commit, time.Second); err != nil {
		t.Fatalf("commit: %v", err)
	}
	*now = now.Add(4 * time.Second)
	s.Expire()
	if got := s.Value("b"); got != "y" {
		t.Errorf("key of a lease that has not expired: got %v, want y", got)
	}
	*now = now.Add(time.Second)
	s.Expire()
	if got := s.Keys(""); len(got) != 1 || got[0] != "a" {
		t.Errorf("keys after the lease's expiry: got %v, want [a]", got)
	}
}

func TestStateRejectsUnknownPath(t *testing.T) {
	s, _ := newTestState(t)
	if _, err := s.Call(http.MethodGet, "/nothing", nil, time.Second); !errors.Is(err, errNoSuchPath) {
		t.Errorf("request of an unknown path: got %v, want %v", err, errNoSuchPath)
	}
}

func TestTransactionOpsDecodesEachChange(t *testing.T) {
	body := encodeRequest(t, map[string]any{"apply": []any{
		map[string]any{"write": "a", "value": "x", "tenancy": 3},
		map[string]any{"remove": "b"},
	}})
	got := TransactionOps(body)
	want := []Operation{{Write: "a", Value: "x", Lease: 3}, {Remove: "b"}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("changes: got %+v, want %+v", got, want)
	}
	if got := TransactionOps([]byte("malformed")); got != nil {
		t.Errorf("changes of a malformed request: got %+v, want none", got)
	}
}
