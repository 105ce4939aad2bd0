package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// The loop: one goroutine that owns the cores, what reaches it, and in which order it takes that.

// runLoop owns the cores. What the right to act hangs on goes first, then what has come in, a
// bounded time at once, then what time brings: passes come last, and leave room for the
// others (Core.Took).
func (n *Controller) runLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			n.stepDown(time.Now())
			return nil
		case f := <-n.urgent:
			n.measureHold("election", f)
		case f := <-n.inbox:
			n.measureHold("message", f)
			n.drainInbox(time.Now().Add(inboxBudget))
		case <-n.jobChangesReady:
			n.measureHold("jobs", n.applyJobChanges)
		case <-timer.C:
		}
		n.drainUrgent()
		now := time.Now()
		n.updateStaleness(now)
		n.applyElectionEffects(now, n.election.Step(now, election.Tick{}))
		if n.tooStaleToLead(now) && len(n.peers) > 0 {
			n.log.Warn("the records cannot be read, stepping down")
			n.applyElectionEffects(now, n.election.Step(now, election.Resign{}))
		}
		wake := n.election.NextTick()
		if n.reconciler != nil && n.lease.Load().valid() {
			n.reconciler.PauseStarts(!n.lease.Load().mayStartTasks(now))
			n.measureHold("pass", func(now time.Time) {
				n.stepReconciler(now, reconciler.Tick{})
				if took := time.Since(now); n.reconciler != nil && n.reconciler.ObserveStepDuration(took) && took > longPassThreshold {
					n.log.Debug("long pass", "took", took)
				}
			})
			if n.reconciler != nil && n.reconciler.Isolated(now) && len(n.peers) > 0 {
				n.log.Warn("no worker is heard, stepping down")
				n.applyElectionEffects(now, n.election.Step(now, election.Resign{}))
				continue
			}
			if n.reconciler != nil {
				if w := n.reconciler.NextTick(); w.Before(wake) {
					wake = w
				}
			}
			n.logLongestHold(now)
		}
		timer.Reset(max(time.Until(wake), time.Millisecond))
	}
}

const (
	inboxBudget       = 20 * time.Millisecond  // for what has come in, before the election and time have their turn
	longPassThreshold = 200 * time.Millisecond // worth a line in the log
	holdLogInterval   = 10 * time.Second       // between words on what held the loop longest
)

// drainUrgent carries out what the right to act hangs on.
func (n *Controller) drainUrgent() {
	for {
		select {
		case f := <-n.urgent:
			n.measureHold("election", f)
		default:
			return
		}
	}
}

// drainInbox takes in what else has come, until a moment.
func (n *Controller) drainInbox(until time.Time) {
	for time.Now().Before(until) {
		n.drainUrgent()
		select {
		case f := <-n.inbox:
			n.measureHold("message", f)
		default:
			return
		}
	}
}

// measureHold runs a piece of work and measures for how long it held the loop.
func (n *Controller) measureHold(what string, f func(now time.Time)) {
	now := time.Now()
	n.lastEvent = nil
	f(now)
	if took := time.Since(now); took > n.longestHold.longest {
		n.longestHold.longest, n.longestHold.work, n.longestHold.event = took, what, ""
		if n.lastEvent != nil {
			n.longestHold.event = strings.TrimPrefix(fmt.Sprintf("%T", n.lastEvent), "reconciler.")
		}
	}
}

// loopHold is what held the loop longest since it was last told.
type loopHold struct {
	longest  time.Duration
	work     string
	event    string // the kind of the core's event; "": none
	loggedAt time.Time
}

// logLongestHold logs what held the loop longest.
func (n *Controller) logLongestHold(now time.Time) {
	if now.Sub(n.longestHold.loggedAt) < holdLogInterval {
		return
	}
	n.log.Info(
		"loop",
		"longest_hold",
		n.longestHold.longest,
		"by",
		n.longestHold.work,
		"event",
		n.longestHold.event,
		"inbox",
		len(n.inbox),
		"right",
		n.lease.Load().validUntil().Sub(now),
	)
	n.longestHold = loopHold{loggedAt: now}
}

// post hands a piece of work to the loop.
func (n *Controller) post(f func(now time.Time)) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}
