package controller

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/reconciler"
)

const (
	longPassThreshold = 200 * time.Millisecond // a scheduling pass that takes longer is logged
	holdLogInterval   = 10 * time.Second       // between two log records of what held the loop longest
)

// holdMonitor measures for how long single pieces of work hold the event loop, which owns it.
type holdMonitor struct {
	log       *slog.Logger
	longest   loopHold
	loggedAt  time.Time
	lastEvent reconciler.Event // that the reconciler has taken during the present piece of work
}

// loopHold is what has held the loop longest since the last log record.
type loopHold struct {
	duration time.Duration
	work     string
	event    string // the type of the reconciler's event; empty: none
}

// measure does a piece of work and notes for how long it held the loop.
func (h *holdMonitor) measure(name string, f work) {
	start := time.Now()
	h.lastEvent = nil
	f(start)
	took := time.Since(start)
	if took <= h.longest.duration {
		return
	}
	h.longest = loopHold{duration: took, work: name}
	if h.lastEvent != nil {
		h.longest.event = strings.TrimPrefix(fmt.Sprintf("%T", h.lastEvent), "reconciler.")
	}
}

// logLongest logs what held the loop longest, and begins anew, once in holdLogInterval.
func (h *holdMonitor) logLongest(now time.Time, waiting int, lease *leadershipLease) {
	if now.Sub(h.loggedAt) < holdLogInterval {
		return
	}
	h.log.Info("loop",
		"longest_hold", h.longest.duration,
		"by", h.longest.work,
		"event", h.longest.event,
		"inbox", waiting,
		"lease_remaining", lease.validUntil().Sub(now))
	h.longest, h.loggedAt = loopHold{}, now
}
