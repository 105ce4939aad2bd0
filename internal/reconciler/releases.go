package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// machineReleases tracks the request that returns machines to the cloud, and the machines that have been released.
// One request is in flight at a time, and it is not repeated before it is answered. Otherwise the requests would
// queue up faster than the cloud's rate limit admits them. Idle machines would then be billed, and requests for new
// machines would have to wait.
type machineReleases struct {
	pending   bool                 // a request has been sent and not answered
	notBefore time.Time            // earliest time of the next request
	released  map[string]time.Time // by name: the time at which the cloud confirmed a machine's release
}

const (
	maxReleaseBatch   = 100              // machines in one request
	releaseInterval   = time.Second      // from the answer to one request until the next request
	releasedRetention = 15 * time.Minute // how long the names of released machines are kept
)

func newMachineReleases() machineReleases { return machineReleases{released: map[string]time.Time{}} }

// requested records that a request has been sent.
func (r *machineReleases) requested() { r.pending = true }

// completed records that the request has been answered.
func (r *machineReleases) completed(now time.Time) {
	r.pending, r.notBefore = false, now.Add(releaseInterval)
}

// mayRequest reports whether a request may be sent now.
func (r *machineReleases) mayRequest(now time.Time) bool {
	return !r.pending && !now.Before(r.notBefore)
}

// isReleased reports whether the cloud has released a machine. Names are kept for releasedRetention.
func (r *machineReleases) isReleased(machine string) bool {
	_, ok := r.released[machine]
	return ok
}

// forgetOld removes the names of machines that were released more than releasedRetention ago.
func (r *machineReleases) forgetOld(now time.Time) {
	for name, at := range r.released {
		if now.Sub(at) > releasedRetention {
			delete(r.released, name)
		}
	}
}

// releaseCompleted removes the machines that the cloud has released. After any outcome other than OutcomeOK, the
// release is requested again by a later sweep.
func (c *Core) releaseCompleted(now time.Time, event ReleaseCompleted) {
	c.releases.completed(now)
	if event.Outcome != OutcomeOK {
		return
	}
	for _, name := range event.Machines {
		if machine := c.machines[name]; machine != nil {
			c.removeMachine(now, machine)
		}
	}
}

// removeMachine removes a released machine from the view, drops its attempts, and deletes its record.
func (c *Core) removeMachine(now time.Time, machine *model.Machine) {
	c.dropAttempts(now, machine, "released")
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
