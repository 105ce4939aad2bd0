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

// member is a member's view in one of its lives.
func member(t *testing.T, c *store.Client, life uint64, keep int) *store.Jobs {
	t.Helper()
	j := store.NewJobs(c, life, keep, store.Limits{Value: 16 << 10, Ops: 12}, func([]store.JobChange) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := j.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	return j
}

// cancelled has a member accept jobs and tell their users that they are cancelled.
func cancelled(t *testing.T, j *store.Jobs, from, n int) {
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

// last is the last word of a member to a leader that has read up to a revision.
func last(j *store.Jobs, rev uint64) store.Word {
	w := j.Word(rev, store.Told{})
	for !w.Whole && len(w.Cancelled) > 0 {
		w = j.Word(rev, w.Upto)
	}
	return w
}

// A word is whole where the leader knows with it all that its member can have told users, and not before.
func TestWhenAWordIsWhole(t *testing.T) {
	_, c := service()
	leader := member(t, c, 1, 100)
	rev := leader.Revision()
	// Cancelled before another one, and learned of by a question of a user only after it.
	other, behind := member(t, c, 3, 1000), member(t, c, 4, 1000)
	cancelled(t, other, 900, 1)
	cancelled(t, behind, 901, 1)
	upto := behind.Word(rev, store.Told{}).Upto
	if _, err := behind.Lookup(context.Background(), "wk-000900"); err != nil {
		t.Fatal(err)
	}
	if w := behind.Word(rev, upto); len(w.Cancelled) != 1 || w.Cancelled[0].ID != "wk-000900" {
		t.Errorf("learned of late and not told: %+v", w.Cancelled)
	}
	rev = behind.Revision()
	teller := member(t, c, 2, 1000)
	if w := teller.Word(rev, store.Told{}); !w.Whole || len(w.Cancelled) != 0 {
		t.Errorf("of one that told nobody: %+v", w)
	}
	cancelled(t, teller, 0, 300)
	first := teller.Word(rev, store.Told{})
	second := teller.Word(rev, first.Upto)
	if first.Whole || !second.Whole || len(first.Cancelled)+len(second.Cancelled) != 300 {
		t.Errorf("300 in two words: %d %v, %d %v", len(first.Cancelled), first.Whole, len(second.Cancelled), second.Whole)
	}
	if w := teller.Word(rev, second.Upto); !w.Whole || len(w.Cancelled) != 0 {
		t.Errorf("what was told is told again: %d", len(w.Cancelled))
	}
	if w := teller.Word(rev, store.Told{Life: 9, Count: 300}); len(w.Cancelled) == 0 {
		t.Error("what another life has told counts for this one")
	}
	// Back without memory: it learns the latest ends again.
	again := member(t, c, 5, 1000)
	if w := again.Word(rev, again.Word(rev, store.Told{}).Upto); !w.Whole || len(w.Cancelled) != 44 {
		t.Errorf("a member that began anew: %d, %v", len(w.Cancelled), w.Whole)
	}
	// But not those of long ago: it is whole for one that has read up to where they begin, and for no other.
	cancelled(t, teller, 2000, 1100)
	late := member(t, c, 7, 10_000)
	if last(late, rev).Whole || !last(late, late.Revision()).Whole {
		t.Error("a member that began anew long after")
	}
	// One that lets ends go.
	small := member(t, c, 6, 2)
	at := small.Revision()
	cancelled(t, small, 1000, 4)
	if small.Word(at, store.Told{}).Whole {
		t.Error("whole, though it has let some go")
	}
}

// What a leader was told counts for it like what it has read, and what it tells on.
func TestAWordIsPassedOn(t *testing.T) {
	_, c := service()
	leader := member(t, c, 1, 100)
	rev := leader.Revision()
	teller := member(t, c, 2, 100)
	cancelled(t, teller, 0, 2)
	leader.Heard(teller.Word(rev, store.Told{}).Cancelled)
	if v := leader.Peek("wk-000001"); v.State != wire.StateCancelled {
		t.Errorf("it is %v", v.State)
	}
	if w := leader.Word(rev, store.Told{}); len(w.Cancelled) != 2 || !w.Whole {
		t.Errorf("told on: %+v", w)
	}
}
