package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/election"
)

const (
	inboxCapacity     = 256
	urgentCapacity    = 64
	maxInboxDrainTime = 20 * time.Millisecond // for messages, before timers are handled again
	minTimerDelay     = time.Millisecond
)

// work is a function that the event loop runs on behalf of another goroutine. Its argument is the time at which
// it starts.
type work func(now time.Time)

// eventLoop holds the inboxes of the goroutine that owns the state machines.
type eventLoop struct {
	tasks  *taskGroup
	inbox  chan work
	urgent chan work // work that the leadership lease depends on; it is run before the work in inbox
	hold   holdMonitor
}

func newEventLoop(tasks *taskGroup, log *slog.Logger) *eventLoop {
	return &eventLoop{
		tasks:  tasks,
		inbox:  make(chan work, inboxCapacity),
		urgent: make(chan work, urgentCapacity),
		hold:   holdMonitor{log: log},
	}
}

// post queues work in the inbox. It blocks while the inbox is full, until the context is cancelled.
func (l *eventLoop) post(f work) {
	select {
	case l.inbox <- f:
	case <-l.tasks.ctx.Done():
	}
}

// postUrgent queues work that is run before the work in the inbox. It blocks like post.
func (l *eventLoop) postUrgent(f work) {
	select {
	case l.urgent <- f:
	case <-l.tasks.ctx.Done():
	}
}

// drainUrgent runs all queued urgent work.
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

// drainInbox runs the work queued in the inbox until the inbox is empty or the given time has passed. Urgent
// work that arrives meanwhile is run first.
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

// runInLoop runs f in the event loop and returns its result. The inbox is either of the loop's two inboxes. The
// error, if any, is that of ctx.
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

// runLoop runs the event loop. Work that the leadership lease depends on has the highest priority, followed by
// messages for a bounded time and then timers. Scheduling passes have the lowest priority, and their rate is
// limited so that they leave time for the rest (reconciler.Core.ObserveStepDuration).
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
			c.loop.drainInbox(time.Now().Add(maxInboxDrainTime))
		case <-c.jobChanges.ready:
			c.loop.hold.measure("jobs", c.applyJobChanges)
		case <-timer.C:
		}
		c.loop.drainUrgent()
		if wake, ok := c.tick(time.Now()); ok {
			timer.Reset(max(time.Until(wake), minTimerDelay))
		}
	}
}

// tick passes the current time to both state machines and returns when it has to be called again. ok is false
// if this controller has just stepped down because it reaches no worker. In that case the loop does not reset
// its timer, so that usually only input wakes it.
func (c *Controller) tick(now time.Time) (wake time.Time, ok bool) {
	c.updateCancellationFreshness(now)
	c.stepElection(now, election.Tick{})
	if c.cancellations.tooStaleToLead(now, c.election) && len(c.peers) > 0 {
		c.log.Warn("stepping down: known cancellations are too stale because the records cannot be read")
		c.stepElection(now, election.Resign{})
	}
	wake = c.election.NextTick()
	if c.reconciler == nil || !c.lease.valid() {
		return wake, true
	}
	c.reconciler.SetStartsPaused(!c.lease.load().mayStartTasks(now))
	c.loop.hold.measure("pass", c.runSchedulingPass)
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
