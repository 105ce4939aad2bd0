package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/election"
)

const (
	inboxSize   = 256
	urgentSize  = 64
	inboxBudget = 20 * time.Millisecond // for messages, before the election and the timers have their turn
	minTimer    = time.Millisecond
)

// work is a function that the event loop runs for another goroutine.
type work func(now time.Time)

// eventLoop is the input of the goroutine that owns the state machines.
type eventLoop struct {
	tasks  *taskGroup
	inbox  chan work
	urgent chan work // what the leadership lease depends on; it goes before the inbox
	hold   holdMonitor
}

func newEventLoop(tasks *taskGroup, log *slog.Logger) *eventLoop {
	return &eventLoop{
		tasks:  tasks,
		inbox:  make(chan work, inboxSize),
		urgent: make(chan work, urgentSize),
		hold:   holdMonitor{log: log},
	}
}

// post hands work to the loop.
func (l *eventLoop) post(f work) {
	select {
	case l.inbox <- f:
	case <-l.tasks.ctx.Done():
	}
}

// postUrgent hands work to the loop that goes before the inbox.
func (l *eventLoop) postUrgent(f work) {
	select {
	case l.urgent <- f:
	case <-l.tasks.ctx.Done():
	}
}

// drainUrgent runs all urgent work that waits.
func (l *eventLoop) drainUrgent() {
	for {
		select {
		case f := <-l.urgent:
			l.hold.measure("election", f)
		default:
			return
		}
	}
}

// drainInbox runs the work that waits in the inbox, until a given time at most.
func (l *eventLoop) drainInbox(until time.Time) {
	for time.Now().Before(until) {
		l.drainUrgent()
		select {
		case f := <-l.inbox:
			l.hold.measure("message", f)
		default:
			return
		}
	}
}

// runInLoop runs f in the event loop and returns its result; inbox is one of the loop's two. An error is
// the context's.
func runInLoop[T any](ctx context.Context, inbox chan<- work, f func(now time.Time) T) (result T, err error) {
	done := make(chan T, 1)
	select {
	case inbox <- func(now time.Time) { done <- f(now) }:
	case <-ctx.Done():
		return result, ctx.Err()
	}
	select {
	case result = <-done:
		return result, nil
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// runLoop is the event loop. What the leadership lease depends on goes first, then messages for a bounded
// time, then timers: scheduling passes come last, and their rate leaves room for the rest
// (reconciler.Core.ObserveStepDuration).
func (c *Controller) runLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.tasks.ctx.Done():
			c.stepDown(time.Now())
			return nil
		case f := <-c.loop.urgent:
			c.loop.hold.measure("election", f)
		case f := <-c.loop.inbox:
			c.loop.hold.measure("message", f)
			c.loop.drainInbox(time.Now().Add(inboxBudget))
		case <-c.jobChanges.ready:
			c.loop.hold.measure("jobs", c.applyJobChanges)
		case <-timer.C:
		}
		c.loop.drainUrgent()
		if wake, ok := c.tick(time.Now()); ok {
			timer.Reset(max(time.Until(wake), minTimer))
		}
	}
}

// tick steps both state machines with the time. It returns when it is due again; ok is false if this
// controller has just stepped down because it reaches no worker; only input wakes the loop then.
func (c *Controller) tick(now time.Time) (wake time.Time, ok bool) {
	c.refreshCancellations(now)
	c.stepElection(now, election.Tick{})
	if c.cancellations.tooStaleToLead(now, c.election) && len(c.peers) > 0 {
		c.log.Warn("stepping down: the records cannot be read")
		c.stepElection(now, election.Resign{})
	}
	wake = c.election.NextTick()
	if c.reconciler == nil || !c.lease.valid() {
		return wake, true
	}
	c.reconciler.PauseStarts(!c.lease.load().mayStartTasks(now))
	c.loop.hold.measure("pass", c.runPass)
	if c.reconciler != nil && c.reconciler.Isolated(now) && len(c.peers) > 0 {
		c.log.Warn("stepping down: no worker is reachable")
		c.stepElection(now, election.Resign{})
		return time.Time{}, false
	}
	if c.reconciler != nil {
		if next := c.reconciler.NextTick(); next.Before(wake) {
			wake = next
		}
	}
	c.loop.hold.logLongest(now, len(c.loop.inbox), c.lease.load())
	return wake, true
}
