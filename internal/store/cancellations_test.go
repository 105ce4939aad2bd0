package store_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// newTestCache is a member's view in one of its lives.
func newTestCache(t *testing.T, c *store.Client, life uint64, keep int) *store.JobCache {
	t.Helper()
	j := store.NewJobCache(c, life, keep, store.Limits{MaxValueBytes: 16 << 10, MaxChanges: 12}, func([]store.JobChange) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := j.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	return j
}

// acceptAndCancel has a member accept jobs and tell their users that they are cancelled.
func acceptAndCancel(t *testing.T, j *store.JobCache, from, n int) {
	t.Helper()
	for i := from; i < from+n; i++ {
		s := &model.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "t", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1, Demand: model.Resources{CPU: 1, MemGB: 1}}
		if _, _, err := j.Accept(context.Background(), s, false, time.Unix(1000, 0)); err != nil {
			t.Fatal(err)
		}
		if v, err := j.Cancel(context.Background(), s.ID, time.Unix(1000, 0)); err != nil || v.State != wire.StateCancelled {
			t.Fatal(v, err)
		}
	}
}

// lastReport is the last word of a member to a leader that has read up to a revision.
func lastReport(j *store.JobCache, rev uint64) store.CancellationReport {
	w := j.CancellationsAfter(rev, store.CancellationCursor{})
	for !w.Complete && len(w.Cancelled) > 0 {
		w = j.CancellationsAfter(rev, w.Cursor)
	}
	return w
}

// A word is whole where the leader knows with it all that its member can have told users, and not before.
func TestCancellationReportCompleteness(t *testing.T) {
	_, c := newTestStore()
	leader := newTestCache(t, c, 1, 100)
	rev := leader.Revision()
	// Cancelled before another one, and learned of by a question of a user only after it.
	other, behind := newTestCache(t, c, 3, 1000), newTestCache(t, c, 4, 1000)
	acceptAndCancel(t, other, 900, 1)
	acceptAndCancel(t, behind, 901, 1)
	upto := behind.CancellationsAfter(rev, store.CancellationCursor{}).Cursor
	if _, err := behind.Lookup(context.Background(), "wk-000900"); err != nil {
		t.Fatal(err)
	}
	if w := behind.CancellationsAfter(rev, upto); len(w.Cancelled) != 1 || w.Cancelled[0].ID != "wk-000900" {
		t.Errorf("learned of late and not told: %+v", w.Cancelled)
	}
	rev = behind.Revision()
	teller := newTestCache(t, c, 2, 1000)
	if w := teller.CancellationsAfter(rev, store.CancellationCursor{}); !w.Complete || len(w.Cancelled) != 0 {
		t.Errorf("of one that told nobody: %+v", w)
	}
	acceptAndCancel(t, teller, 0, 300)
	first := teller.CancellationsAfter(rev, store.CancellationCursor{})
	second := teller.CancellationsAfter(rev, first.Cursor)
	if first.Complete || !second.Complete || len(first.Cancelled)+len(second.Cancelled) != 300 {
		t.Errorf("300 in two words: %d %v, %d %v", len(first.Cancelled), first.Complete, len(second.Cancelled), second.Complete)
	}
	if w := teller.CancellationsAfter(rev, second.Cursor); !w.Complete || len(w.Cancelled) != 0 {
		t.Errorf("what was told is told again: %d", len(w.Cancelled))
	}
	if w := teller.CancellationsAfter(rev, store.CancellationCursor{Incarnation: 9, Count: 300}); len(w.Cancelled) == 0 {
		t.Error("what another life has told counts for this one")
	}
	// Back without memory: it learns the latest ends again.
	again := newTestCache(t, c, 5, 1000)
	if w := again.CancellationsAfter(rev, again.CancellationsAfter(rev, store.CancellationCursor{}).Cursor); !w.Complete || len(w.Cancelled) != 44 {
		t.Errorf("a member that began anew: %d, %v", len(w.Cancelled), w.Complete)
	}
	// But not those of long ago: it is whole for one that has read up to where they begin, and for no other.
	acceptAndCancel(t, teller, 2000, 1100)
	late := newTestCache(t, c, 7, 10_000)
	if lastReport(late, rev).Complete || !lastReport(late, late.Revision()).Complete {
		t.Error("a member that began anew long after")
	}
	// One that lets ends go.
	small := newTestCache(t, c, 6, 2)
	at := small.Revision()
	acceptAndCancel(t, small, 1000, 4)
	if small.CancellationsAfter(at, store.CancellationCursor{}).Complete {
		t.Error("whole, though it has let some go")
	}
}

// What a leader was told counts for it like what it has read, and what it tells on.
func TestAppliedCancellationsAreReportedOnward(t *testing.T) {
	_, c := newTestStore()
	leader := newTestCache(t, c, 1, 100)
	rev := leader.Revision()
	teller := newTestCache(t, c, 2, 100)
	acceptAndCancel(t, teller, 0, 2)
	leader.ApplyCancellations(teller.CancellationsAfter(rev, store.CancellationCursor{}).Cancelled)
	if v := leader.Peek("wk-000001"); v.State != wire.StateCancelled {
		t.Errorf("it is %v", v.State)
	}
	if w := leader.CancellationsAfter(rev, store.CancellationCursor{}); len(w.Cancelled) != 2 || !w.Complete {
		t.Errorf("told on: %+v", w)
	}
}
