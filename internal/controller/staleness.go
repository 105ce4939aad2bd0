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

// cancellationKnowledge bounds a leader by how old its knowledge of cancellations is: any member
// acknowledges a cancellation to its user, and the tasks have to end in time (docs/safety.md, "Bounded
// staleness of cancellations"). The event loop owns it, but for the bound, which never changes.
type cancellationKnowledge struct {
	bound        staleness.Bound
	tracker      *staleness.Tracker // nil: the leader has no reconciler yet
	tooStale     bool               // the leader knows too little to act
	acknowledged map[string]store.CancellationCursor
	log          *slog.Logger
}

func newCancellationKnowledge(p *config.Platform, log *slog.Logger) cancellationKnowledge {
	bound, ok := config.StalenessBound(p)
	if !ok {
		log.Warn("workers' leases are too long for cancel_s: "+
			"tasks of cancelled jobs on machines that can't be reached may outlast it",
			"lease_s", p.Deployment.Workers.Lease,
			"cancel_s", p.Deployment.Workers.Cancel,
			"knows_of_cancellations_within", bound.KeepLeases)
	}
	return cancellationKnowledge{bound: bound, acknowledged: map[string]store.CancellationCursor{}, log: log}
}

// begin starts to track for a leader that has read the records as of a moment.
func (k *cancellationKnowledge) begin(members []string, recordsAsOf time.Time) {
	k.tracker, k.tooStale = staleness.NewTracker(members, recordsAsOf), false
}

// end stops to track: this controller leads no more.
func (k *cancellationKnowledge) end() { k.tracker, k.tooStale = nil, false }

// acknowledge records how far a member has reported the cancellations that it knows of, when the report
// was requested, and whether it was complete.
func (k *cancellationKnowledge) acknowledge(
	member string, cursor store.CancellationCursor, complete bool, requested time.Time,
) {
	k.acknowledged[member] = cursor
	if k.tracker != nil && complete {
		k.tracker.Acknowledged(member, requested)
	}
}

// limit bounds a lease by what this leader knows of cancellations. Before it has a reconciler it answers
// no heartbeat, so nothing bounds it.
func (k *cancellationKnowledge) limit(now time.Time, lease *leadershipLease) {
	if k.tracker == nil {
		lease.freshUntil = lease.grantedUntil()
		return
	}
	knownAsOf := k.tracker.KnownAsOf()
	lease.freshUntil = knownAsOf.Add(k.bound.KeepLeases)
	lease.freshStartsUntil = knownAsOf.Add(k.bound.StartTasks)
	tooStale := !now.Before(lease.freshUntil) && now.Before(lease.grantedUntil())
	if tooStale == k.tooStale {
		return
	}
	k.tooStale = tooStale
	k.log.Warn("cancellation knowledge",
		"too_stale", tooStale, "age", now.Sub(knownAsOf), "limit", k.bound.KeepLeases,
		"fencing_token", lease.fencingToken)
}

// tooStaleToLead reports whether the lease at the state service is valid, and yet the knowledge of
// cancellations is too stale to act on: another member may do better.
func (k *cancellationKnowledge) tooStaleToLead(now time.Time, machine *election.StateMachine) bool {
	return k.tooStale && now.Before(machine.LeaseValidUntil())
}

// applyReportedCancellations applies the cancellations in another member's answer to a request for its
// vote. The reconciler has them before the knowledge counts as newer.
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

// refreshCancellations notes as of when the job records were read, after the reconciler has what that
// reading brought.
func (c *Controller) refreshCancellations(now time.Time) {
	if c.cancellations.tracker == nil {
		return
	}
	asOf := c.jobs.AsOf()
	c.applyJobChanges(now)
	c.cancellations.tracker.RecordsRead(asOf)
}

// beginCancellations starts to track for a leadership whose reconciler was just made.
func (c *Controller) beginCancellations(now time.Time) {
	c.cancellations.begin(slices.Collect(maps.Keys(c.peers)), c.jobs.AsOf())
	c.publishLease(now)
}

const (
	maxPollInterval     = time.Second
	pollsPerStaleStarts = 4 // polls within the time after which a leader starts no more tasks
)

// pollJobRecords has a leader read the changes of the job records if nothing else does: a watch reports
// changes, but not that there are none.
func (c *Controller) pollJobRecords() error {
	every := min(maxPollInterval, c.cancellations.bound.StartTasks/pollsPerStaleStarts)
	for c.tasks.running() {
		c.tasks.sleep(every)
		if c.lease.load() == nil || time.Since(c.jobs.AsOf()) < every || !c.jobs.Loaded() {
			continue
		}
		if err := c.jobs.CatchUp(c.tasks.ctx); err != nil {
			c.log.Debug("reading job changes failed", "err", err)
		}
	}
	return nil
}
