// Package autoscaler decides which machines to provision and which to release. Like package scheduler it is pure.
//
// After a pass of the scheduler a leader builds a Snapshot of the machines that are booting or will soon have free
// capacity, calls ScaleOut with the pass's shortages, and sends the requests that it returns to the cloud.
// Settings.ShouldRelease and Settings.BootTimeout decide on single machines.
package autoscaler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// defaultBootTime is the boot time of a machine type that states none.
const defaultBootTime = 2 * time.Minute

// Settings are the operators' settings of the autoscaler.
type Settings struct {
	// IdleTimeout is how long an empty machine is kept at least, and IdleBootFactor the least in boot times of its type.
	IdleTimeout    time.Duration
	IdleBootFactor float64

	// SpotIdleFactor is how many times longer than IdleTimeout an empty spot machine is kept.
	SpotIdleFactor float64

	// MinBilledTime is the time that a machine is paid for at least; it is not released before.
	MinBilledTime time.Duration

	// BootTimeoutFactor and BootTimeoutExtra limit the time to boot: a machine that has not come up after so many boot
	// times of its type plus the extra is released.
	BootTimeoutFactor float64
	BootTimeoutExtra  time.Duration

	// RefusalBackoff is the time after which an offer that the cloud refused is requested again.
	RefusalBackoff time.Duration

	// LookaheadBoots is the time, in boot times, within which capacity on running machines counts as incoming if it is
	// likely to become free.
	LookaheadBoots float64

	// MaxPerRequest bounds the machines of one request.
	MaxPerRequest int
}

// ShouldRelease reports whether a machine that has been empty for some time is to be released. It is kept for as long
// as provisioning it anew would take, and as long as it is paid for anyway. Spot machines are cheap and scarce, so they
// are kept longer.
func (s *Settings) ShouldRelease(machineType *model.MachineType, spot bool, empty, age time.Duration) bool {
	timeout := s.IdleTimeout
	if spot {
		timeout = time.Duration(float64(timeout) * s.SpotIdleFactor)
	}
	timeout = max(timeout, time.Duration(s.IdleBootFactor*float64(machineType.BootTime)))
	return empty > timeout && age >= s.MinBilledTime
}

// BootTimeout is the time after which a machine that has not come up is released. A type that states no boot time gets
// a default one: otherwise its machines would be released again and again before any of them can come up.
func (s *Settings) BootTimeout(machineType *model.MachineType) time.Duration {
	boot := machineType.BootTime
	if boot == 0 {
		boot = defaultBootTime
	}
	return time.Duration(s.BootTimeoutFactor*float64(boot)) + s.BootTimeoutExtra
}

// Offer is a kind of machine that can be requested from the cloud.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Request is a request to the cloud for a number of machines of one kind.
type Request struct {
	Offer
	Count    int
	JobClass string // of the first job that the machines are for
}
