package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// machineReleases keeps the request that releases machines to the cloud, and which machines are gone. One request
// is in flight at a time, and none is repeated before it was answered. Otherwise a queue would grow faster than the
// cloud's rate limit lets it drain: idle machines would be billed for, and requests for new ones wait behind.
type machineReleases struct {
	pending   bool                 // a request is not answered yet
	notBefore time.Time            // of the next request
	released  map[string]time.Time // machines that the cloud has taken back, and when
}

const (
	maxReleaseBatch   = 100              // machines in one request
	releaseInterval   = time.Second      // between requests
	releasedRetention = 15 * time.Minute // for which the names of released machines are known
)

func newMachineReleases() machineReleases { return machineReleases{released: map[string]time.Time{}} }

// requested notes that a request was sent.
func (r *machineReleases) requested() { r.pending = true }

// completed notes that the request was answered.
func (r *machineReleases) completed(now time.Time) {
	r.pending, r.notBefore = false, now.Add(releaseInterval)
}

// mayRequest reports whether a request may be sent now.
func (r *machineReleases) mayRequest(now time.Time) bool {
	return !r.pending && !now.Before(r.notBefore)
}

// isReleased reports whether the cloud has taken a machine back.
func (r *machineReleases) isReleased(machine string) bool {
	_, ok := r.released[machine]
	return ok
}

// forgetOld drops the names of machines that are gone for long.
func (r *machineReleases) forgetOld(now time.Time) {
	for name, at := range r.released {
		if now.Sub(at) > releasedRetention {
			delete(r.released, name)
		}
	}
}

// releaseCompleted removes the machines that the cloud has released. After any outcome but OK their release is
// requested again.
func (c *Core) releaseCompleted(now time.Time, event ReleaseCompleted) {
	c.releases.completed(now)
	if event.Outcome != OK {
		return
	}
	for _, name := range event.Machines {
		if machine := c.machines[name]; machine != nil {
			c.removeMachine(now, machine)
		}
	}
}

// removeMachine removes a machine that is gone, with everything on it.
func (c *Core) removeMachine(now time.Time, machine *model.Machine) {
	c.loseAttempts(now, machine, "released")
	if machine.Unreconciled {
		c.markReconciled(now, machine, "released")
	}
	machine.Transition(now, model.MachineReleased, "")
	delete(c.machines, machine.Name)
	delete(c.commandsPending, machine)
	c.liveness.remove(machine)
	c.releases.released[machine.Name] = now
	c.commits.add(record.Change{Kind: record.DeleteMachine, Machine: model.MachineInfo{Name: machine.Name}})
}
