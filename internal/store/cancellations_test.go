package store_test

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// lastReport requests reports for a leader that has read up to a revision, and returns the last one. It stops at a
// report that is complete or empty.
func lastReport(j *store.JobCache, revision uint64) store.CancellationReport {
	r := j.CancellationsAfter(revision, store.CancellationCursor{})
	for !r.Complete && len(r.Cancelled) > 0 {
		r = j.CancellationsAfter(revision, r.Cursor)
	}
	return r
}

// If a report is marked complete although the leader lacks a cancellation that the member has acknowledged to a
// user, the leader may start tasks of a cancelled job.
func TestCancellationReportCompleteness(t *testing.T) {
	var none store.CancellationCursor
	_, c := newTestStore()
	leader := newTestCache(t, c, 1, 100)
	revision := leader.Revision()
	// wk-000900 is cancelled before wk-000901, but the member learns of it later, when a user asks for its state.
	other, lagging := newTestCache(t, c, 3, 1000), newTestCache(t, c, 4, 1000)
	acceptAndCancel(t, other, 900, 1)
	acceptAndCancel(t, lagging, 901, 1)
	reported := lagging.CancellationsAfter(revision, none).Cursor
	if _, err := lagging.Lookup(context.Background(), "wk-000900"); err != nil {
		t.Fatalf("Lookup: got error %v, want none", err)
	}
	r := lagging.CancellationsAfter(revision, reported)
	if len(r.Cancelled) != 1 || r.Cancelled[0].ID != "wk-000900" {
		t.Errorf("a cancellation that the member learned of late: got report of %+v, want wk-000900 only", r.Cancelled)
	}
	revision = lagging.Revision()
	member := newTestCache(t, c, 2, 1000)
	if r := member.CancellationsAfter(revision, none); !r.Complete || len(r.Cancelled) != 0 {
		t.Errorf("a member that has acknowledged none: got %+v, want an empty, complete report", r)
	}
	// More cancellations than fit into one report.
	acceptAndCancel(t, member, 0, 300)
	first := member.CancellationsAfter(revision, none)
	second := member.CancellationsAfter(revision, first.Cursor)
	if first.Complete || !second.Complete || len(first.Cancelled)+len(second.Cancelled) != 300 {
		t.Errorf("300 cancellations in two reports: got %d (complete %v) and %d (complete %v), want 300, false and true",
			len(first.Cancelled), first.Complete, len(second.Cancelled), second.Complete)
	}
	if r := member.CancellationsAfter(revision, second.Cursor); !r.Complete || len(r.Cancelled) != 0 {
		t.Errorf("after the last report: got %d cancellations, complete %v; want 0 and true", len(r.Cancelled), r.Complete)
	}
	foreign := store.CancellationCursor{Incarnation: 9, Count: 300}
	if r := member.CancellationsAfter(revision, foreign); len(r.Cancelled) == 0 {
		t.Error("with the cursor of another incarnation: got 0 cancellations, want those of this one")
	}
	// A member that has restarted reads the latest ends from the records again.
	restarted := newTestCache(t, c, 5, 1000)
	reported = restarted.CancellationsAfter(revision, none).Cursor
	if r := restarted.CancellationsAfter(revision, reported); !r.Complete || len(r.Cancelled) != 44 {
		t.Errorf("a member that has restarted: got %d cancellations, complete %v; want 44 and true",
			len(r.Cancelled), r.Complete)
	}
	// It does not read older ends, so its reports are complete only for a leader that has read the records up to the
	// oldest revision that the member has read.
	acceptAndCancel(t, member, 2000, 1100)
	late := newTestCache(t, c, 7, 10_000)
	if old, recent := lastReport(late, revision).Complete, lastReport(late, late.Revision()).Complete; old || !recent {
		t.Errorf("a member that restarts long after: got complete %v for an outdated and %v for a recent leader, "+
			"want false and true", old, recent)
	}
	// A member that has evicted ends cannot report them.
	small := newTestCache(t, c, 6, 2)
	before := small.Revision()
	acceptAndCancel(t, small, 1000, 4)
	if small.CancellationsAfter(before, none).Complete {
		t.Error("a member that has evicted ends: got a complete report, want an incomplete one")
	}
}

// A leader must treat a reported cancellation like one that it has read itself, and include it in the reports that
// it makes to the next leader.
func TestAppliedCancellationsAreReportedOnward(t *testing.T) {
	var none store.CancellationCursor
	_, c := newTestStore()
	leader := newTestCache(t, c, 1, 100)
	revision := leader.Revision()
	member := newTestCache(t, c, 2, 100)
	acceptAndCancel(t, member, 0, 2)
	leader.ApplyCancellations(member.CancellationsAfter(revision, none).Cancelled)
	if got := leader.Peek("wk-000001").State; got != wire.StateCancelled {
		t.Errorf("after the report: got state %v, want cancelled", got)
	}
	if r := leader.CancellationsAfter(revision, none); len(r.Cancelled) != 2 || !r.Complete {
		t.Errorf("the report of the former leader: got %+v, want 2 cancellations and complete", r)
	}
}
