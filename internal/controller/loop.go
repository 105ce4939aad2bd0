package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// The loop: one goroutine that owns the cores, what reaches it, and in which order it takes that.

// loop owns the cores. What the right to act hangs on goes first, then what has come in, a
// bounded time at once, then what time brings: passes come last, and leave room for the
// others (Core.Took).
func (n *Node) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			n.stepDown(time.Now())
			return nil
		case f := <-n.urgent:
			n.hold("election", f)
		case f := <-n.inbox:
			n.hold("message", f)
			n.drain(time.Now().Add(inboxTime))
		case <-n.changed:
			n.hold("jobs", n.applyChanges)
		case <-timer.C:
		}
		n.first()
		now := time.Now()
		n.inform(now)
		n.elected(now, n.elect.Step(now, election.Tick{}))
		if n.ignorant(now) && len(n.peers) > 0 {
			n.log.Warn("the records cannot be read, stepping down")
			n.elected(now, n.elect.Step(now, election.Resign{}))
		}
		wake := n.elect.Wake()
		if n.core != nil && n.right.Load().holds() {
			n.core.PauseStarts(!n.right.Load().mayStart(now))
			n.hold("pass", func(now time.Time) {
				n.step(now, reconciler.Tick{})
				if took := time.Since(now); n.core != nil && n.core.ObserveStepDuration(took) && took > longPass {
					n.log.Debug("long pass", "took", took)
				}
			})
			if n.core != nil && n.core.Isolated(now) && len(n.peers) > 0 {
				n.log.Warn("no worker is heard, stepping down")
				n.elected(now, n.elect.Step(now, election.Resign{}))
				continue
			}
			if n.core != nil {
				if w := n.core.NextTick(); w.Before(wake) {
					wake = w
				}
			}
			n.tellHolds(now)
		}
		timer.Reset(max(time.Until(wake), time.Millisecond))
	}
}

const (
	inboxTime = 20 * time.Millisecond  // for what has come in, before the election and time have their turn
	longPass  = 200 * time.Millisecond // worth a line in the log
	holdEvery = 10 * time.Second       // between words on what held the loop longest
)

// first carries out what the right to act hangs on.
func (n *Node) first() {
	for {
		select {
		case f := <-n.urgent:
			n.hold("election", f)
		default:
			return
		}
	}
}

// drain takes in what else has come, until a moment.
func (n *Node) drain(until time.Time) {
	for time.Now().Before(until) {
		n.first()
		select {
		case f := <-n.inbox:
			n.hold("message", f)
		default:
			return
		}
	}
}

// hold runs a piece of work and measures for how long it held the loop.
func (n *Node) hold(what string, f func(now time.Time)) {
	now := time.Now()
	n.event = nil
	f(now)
	if took := time.Since(now); took > n.held.most {
		n.held.most, n.held.what, n.held.event = took, what, ""
		if n.event != nil {
			n.held.event = strings.TrimPrefix(fmt.Sprintf("%T", n.event), "control.")
		}
	}
}

// holds is what held the loop longest since it was last told.
type holds struct {
	most  time.Duration
	what  string
	event string // the kind of the core's event; "": none
	told  time.Time
}

// tellHolds logs what held the loop longest.
func (n *Node) tellHolds(now time.Time) {
	if now.Sub(n.held.told) < holdEvery {
		return
	}
	n.log.Info(
		"loop",
		"longest_hold",
		n.held.most,
		"by",
		n.held.what,
		"event",
		n.held.event,
		"inbox",
		len(n.inbox),
		"right",
		n.right.Load().until().Sub(now),
	)
	n.held = holds{told: now}
}

// post hands a piece of work to the loop.
func (n *Node) post(f func(now time.Time)) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}
