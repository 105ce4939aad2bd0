package controller

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// cancellationFreshness limits the leadership lease to the time for which the leader's knowledge of cancellations is
// recent enough. Any member may acknowledge a cancellation to a user, and the tasks then have to end in time
// (docs/safety.md, "Bounded staleness of cancellations"). It is owned by the event loop, except for bound, which is
// immutable.
type cancellationFreshness struct {
	bound               staleness.Bound
	tracker             *staleness.Tracker                  // nil if this controller has no reconciler
	tooStale            bool                                // the known cancellations are too old for the leader to act
	acknowledgedCursors map[string]store.CancellationCursor // by member: up to where it has reported its cancellations
	log                 *slog.Logger
}

func newCancellationFreshness(p *config.Platform, log *slog.Logger) cancellationFreshness {
	bound, ok := config.StalenessBound(p)
	if !ok {
		log.Warn("worker leases are too long for cancel_s: "+
			"tasks of cancelled jobs may run for longer than that on unreachable machines",
			"lease_s", p.Deployment.Workers.LeaseSeconds,
			"cancel_s", p.Deployment.Workers.CancelSeconds,
			"knows_of_cancellations_within", bound.RenewLeases)
	}
	return cancellationFreshness{bound: bound, acknowledgedCursors: map[string]store.CancellationCursor{}, log: log}
}

// startTracking starts tracking for a new leader that has read the job records as of the given time.
func (f *cancellationFreshness) startTracking(members []string, recordsAsOf time.Time) {
	f.tracker, f.tooStale = staleness.NewTracker(members, recordsAsOf), false
}

// stopTracking stops tracking because this controller no longer leads.
func (f *cancellationFreshness) stopTracking() { f.tracker, f.tooStale = nil, false }

// acknowledge records a member's report of cancellations: the cursor up to which the member has reported them,
// whether the report was complete, and when it was requested.
func (f *cancellationFreshness) acknowledge(
	member string, cursor store.CancellationCursor, complete bool, requested time.Time,
) {
	f.acknowledgedCursors[member] = cursor
	if f.tracker != nil && complete {
		f.tracker.ReportReceived(member, requested)
	}
}

// limitLease limits a lease according to the age of the known cancellations. Before the leader has a reconciler
// it answers no heartbeat, so the lease is not limited.
func (f *cancellationFreshness) limitLease(now time.Time, lease *leadershipLease) {
	if f.tracker == nil {
		lease.freshUntil = lease.grantedUntil()
		return
	}
	knownAsOf := f.tracker.KnownAsOf()
	lease.freshUntil = knownAsOf.Add(f.bound.RenewLeases)
	lease.freshStartsUntil = knownAsOf.Add(f.bound.StartTasks)
	tooStale := !now.Before(lease.freshUntil) && now.Before(lease.grantedUntil())
	if tooStale == f.tooStale {
		return
	}
	f.tooStale = tooStale
	f.log.Warn("staleness limit of known cancellations crossed",
		"too_stale", tooStale, "age", now.Sub(knownAsOf), "limit", f.bound.RenewLeases,
		"fencing_token", lease.fencingToken)
}

// tooStaleToLead reports whether the known cancellations are too old to act on although the lease at the state
// service is valid. Another member may be in a better position to lead then.
func (f *cancellationFreshness) tooStaleToLead(now time.Time, machine *election.StateMachine) bool {
	return f.tooStale && now.Before(machine.LeaseValidUntil())
}

// applyReportedCancellations applies the cancellations that another member reported in its answer to a vote
// request. The reconciler receives them before the report counts as acknowledged.
func (c *Controller) applyReportedCancellations(now, requested time.Time, member string, answer *peerpb.PromiseAnswer) {
	ids, versions := answer.GetCancelled(), answer.GetVersions()
	cancelled := make([]store.Cancellation, len(ids))
	for i, id := range ids {
		// A member of an earlier version sends no record versions.
		cancelled[i] = store.Cancellation{ID: id, Version: math.MaxUint64}
		if len(versions) == len(ids) {
			cancelled[i].Version = versions[i]
		}
	}
	c.jobs.ApplyCancellations(cancelled)
	c.applyJobChanges(now)
	cursor := store.CancellationCursor{Incarnation: answer.GetLife(), Count: answer.GetTold()}
	c.cancellations.acknowledge(member, cursor, answer.GetWhole(), requested)
}

// updateCancellationFreshness records as of when the job records were last read, after the reconciler has
// received the changes from that read.
func (c *Controller) updateCancellationFreshness(now time.Time) {
	if c.cancellations.tracker == nil {
		return
	}
	asOf := c.jobs.AsOf()
	c.applyJobChanges(now)
	c.cancellations.tracker.RecordsRead(asOf)
}

// startTrackingCancellations starts tracking for a leadership whose reconciler was just created, and publishes
// the resulting lease.
func (c *Controller) startTrackingCancellations(now time.Time) {
	c.cancellations.startTracking(slices.Collect(maps.Keys(c.peers)), c.jobs.AsOf())
	c.publishLease(now)
}

const (
	maxJobPollInterval = time.Second
	pollsPerStartBound = 4 // polls within the maximum staleness for starting tasks
)

// pollJobRecords makes a leader read the changes of the job records if nothing else has read them recently. A watch
// is not enough: while it is silent, it does not prove that there are no changes.
func (c *Controller) pollJobRecords() error {
	interval := min(maxJobPollInterval, c.cancellations.bound.StartTasks/pollsPerStartBound)
	for c.tasks.running() {
		c.tasks.sleep(interval)
		if c.lease.load() == nil || time.Since(c.jobs.AsOf()) < interval || !c.jobs.Loaded() {
			continue
		}
		if err := c.jobs.ApplyNewChanges(c.tasks.ctx); err != nil {
			c.log.Debug("reading job record changes failed", "err", err)
		}
	}
	return nil
}
