// Package autoscaler decides which machines to provision and which to release. It performs no input or output and
// reads no clock: callers pass in the current time and a snapshot of the cluster.
//
// After each scheduling pass the leader builds a Snapshot of the machines that are booting or will soon have free
// capacity, calls ScaleOut with the shortages of the pass, and sends the returned requests to the cloud. For scaling
// in, Settings.ShouldRelease decides whether an idle machine is released, and Settings.BootTimeout limits how long a
// machine may take to boot.
package autoscaler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// defaultBootTime is assumed for machine types whose catalog entry states no boot time.
const defaultBootTime = 2 * time.Minute

// Settings configures the autoscaler.
type Settings struct {
	// IdleTimeout and IdleBootFactor set how long an idle machine is kept: for IdleTimeout, or for IdleBootFactor times
	// the boot time of its type if that is longer.
	IdleTimeout    time.Duration
	IdleBootFactor float64

	// SpotIdleFactor multiplies IdleTimeout for spot machines.
	SpotIdleFactor float64

	// MinBilledTime is the minimum time that the cloud bills for a machine. A machine is not released before it has
	// reached this age.
	MinBilledTime time.Duration

	// BootTimeoutFactor and BootTimeoutExtra set the boot timeout, after which a machine that has not come up is
	// released: BootTimeoutFactor times the boot time of its type, plus BootTimeoutExtra.
	BootTimeoutFactor float64
	BootTimeoutExtra  time.Duration

	// RefusalBackoff is how long an offer is not requested again after the cloud has refused it.
	RefusalBackoff time.Duration

	// LookaheadBootTimes is measured in boot times of the machine's type. Capacity on a running machine counts as incoming
	// if it is likely to become free within this time.
	LookaheadBootTimes float64

	// MaxPerRequest is the maximum number of machines in one request.
	MaxPerRequest int
}

// ShouldRelease reports whether to release a machine of the given age that has been idle for idleTime. A machine is
// kept at least for as long as provisioning a replacement would take, and until the billed minimum has passed. Spot
// machines are cheap and scarce, so they are kept longer.
func (s *Settings) ShouldRelease(machineType *model.MachineType, spot bool, idleTime, age time.Duration) bool {
	timeout := s.IdleTimeout
	if spot {
		timeout = time.Duration(float64(timeout) * s.SpotIdleFactor)
	}
	timeout = max(timeout, time.Duration(s.IdleBootFactor*float64(machineType.BootTime)))
	return idleTime > timeout && age >= s.MinBilledTime
}

// BootTimeout returns the time after which a machine of the type that has not come up is released. It assumes
// defaultBootTime for a type without a boot time: otherwise each of its machines would be released and requested
// again before it could come up.
func (s *Settings) BootTimeout(machineType *model.MachineType) time.Duration {
	bootTime := machineType.BootTime
	if bootTime == 0 {
		bootTime = defaultBootTime
	}
	return time.Duration(s.BootTimeoutFactor*float64(bootTime)) + s.BootTimeoutExtra
}

// Offer identifies a kind of machine that can be requested from the cloud.
type Offer struct {
	Type string // name of the machine type
	Zone string
	Spot bool
}

// MachineRequest asks the cloud for a number of machines of one offer.
type MachineRequest struct {
	Offer
	Count    int
	JobClass string // class of the first job that needs these machines
}
