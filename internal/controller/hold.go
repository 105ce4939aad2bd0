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
	holdLogInterval   = 10 * time.Second       // between two info messages on the event loop or on connection occupancy
)

// holdMonitor measures how long single pieces of work occupy the event loop. It is owned by the event loop.
type holdMonitor struct {
	log      *slog.Logger
	longest  loopHold
	loggedAt time.Time
	// lastEvent is the last event that the reconciler processed during the current piece of work; nil if none.
	lastEvent reconciler.Event
}

// loopHold describes the piece of work that has occupied the event loop longest since the last log message.
type loopHold struct {
	duration time.Duration
	workName string
	event    string // the type of the reconciler event; empty if the work passed none to the reconciler
}

// measure runs a piece of work and records it if it occupied the event loop longer than any other since the
// last log message.
func (h *holdMonitor) measure(name string, f work) {
	start := time.Now()
	h.lastEvent = nil
	f(start)
	elapsed := time.Since(start)
	if elapsed <= h.longest.duration {
		return
	}
	h.longest = loopHold{duration: elapsed, workName: name}
	if h.lastEvent != nil {
		h.longest.event = strings.TrimPrefix(fmt.Sprintf("%T", h.lastEvent), "reconciler.")
	}
}

// logLongest logs the longest piece of work and resets the measurement, at most once per holdLogInterval.
func (h *holdMonitor) logLongest(now time.Time, inboxLength int, lease *leadershipLease) {
	if now.Sub(h.loggedAt) < holdLogInterval {
		return
	}
	h.log.Info("event loop statistics",
		"longest_hold", h.longest.duration,
		"by", h.longest.workName,
		"event", h.longest.event,
		"inbox", inboxLength,
		"lease_remaining", lease.validUntil().Sub(now))
	h.longest, h.loggedAt = loopHold{}, now
}
