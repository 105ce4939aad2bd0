package fake

import (
	"cmp"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// minHeartbeatInterval is the minimum time from one heartbeat to the next one that reports a change of the status.
const minHeartbeatInterval = 500 * time.Millisecond

// Worker is a fake of the worker on a machine. It follows the published worker protocol.
type Worker struct {
	env          *Environment
	Name         string // name of the machine
	Addr         string // address in heartbeats; if empty, heartbeats contain the name instead
	Type         string
	Zone         string
	Spot         bool
	Epoch        uint64                     // incremented when the lease expires
	Seq          uint64                     // sequence number of the last heartbeat
	FencingToken uint64                     // the highest fencing token that the worker has accepted
	Tasks        map[model.AttemptKey]*Task // attempts that the worker knows, including exited ones
	WorkerFaults
	InterruptionNotice time.Duration // reported time until the cloud reclaims the machine; 0 means no notice

	leaseRenewedAt time.Time // when the last answered heartbeat was sent, or when the epoch began if that is later
	heartbeatState
}

// WorkerFaults are the faults that can be injected into a worker.
type WorkerFaults struct {
	Partitioned     bool          // neither heartbeats nor commands arrive
	InboundBlocked  bool          // heartbeats arrive, but neither responses nor commands reach the worker
	OutboundBlocked bool          // heartbeats reach no controller, but commands reach the worker
	Hung            bool          // the worker does nothing, while its lease may expire
	Faulty          bool          // every task fails
	FetchDelay      time.Duration // added to the time that it takes to fetch an image
}

// usable reports whether no fault prevents tasks from starting and completing on the worker.
func (f *WorkerFaults) usable() bool {
	return !f.Partitioned && !f.InboundBlocked && !f.OutboundBlocked && !f.Hung && !f.Faulty
}

// heartbeatState determines when a worker sends its next heartbeat and to which controller.
type heartbeatState struct {
	nextHeartbeatAt  time.Time // when a heartbeat is due even if the status does not change
	lastHeartbeatAt  time.Time
	statusChanged    bool // the status has changed since the last heartbeat, so the next one is due early
	awaitingResponse bool // the worker waits for a lost heartbeat response, and sends no early heartbeat meanwhile
	controllerIndex  int  // index in World.Controllers of the controller that heartbeats are sent to
}

// newWorker returns the worker of a machine that has just booted.
func newWorker(env *Environment, m model.MachineInfo) *Worker {
	return &Worker{
		env:            env,
		Name:           m.Name,
		Addr:           m.Addr,
		Type:           m.Type,
		Zone:           m.Zone,
		Spot:           m.Spot,
		Epoch:          1,
		Tasks:          map[model.AttemptKey]*Task{},
		leaseRenewedAt: env.now,
	}
}

// heartbeat returns a heartbeat with the current status of the worker and the next sequence number.
func (w *Worker) heartbeat() *model.Heartbeat {
	w.Seq++
	h := &model.Heartbeat{
		Machine:            w.Name,
		Addr:               cmp.Or(w.Addr, w.Name),
		Type:               w.Type,
		Zone:               w.Zone,
		Spot:               w.Spot,
		Epoch:              w.Epoch,
		Seq:                w.Seq,
		FencingToken:       w.FencingToken,
		InterruptionNotice: w.InterruptionNotice > 0,
		InterruptionIn:     w.InterruptionNotice,
	}
	for key, t := range w.Tasks {
		h.Tasks = append(h.Tasks, model.TaskStatus{
			Task:         key.Task,
			Attempt:      key.Number,
			Phase:        t.Phase,
			Cause:        t.Cause,
			Checkpointed: t.Checkpointed,
		})
	}
	return h
}

// NextHeartbeat returns a heartbeat, which counts as sent at the current time. The next one is due after the heartbeat
// interval, or earlier if the status changes.
func (w *Worker) NextHeartbeat() *model.Heartbeat {
	now := w.env.now
	w.lastHeartbeatAt, w.nextHeartbeatAt = now, now.Add(w.env.nextHeartbeatInterval())
	w.statusChanged, w.awaitingResponse = false, false
	return w.heartbeat()
}

// HandleHeartbeatResponse processes the response to a heartbeat. epoch is the epoch of the heartbeat, and sent is when
// it was sent, from which an accepted response renews the lease. A response is ignored if the worker's epoch has
// changed or the fencing token is too low.
func (w *Worker) HandleHeartbeatResponse(epoch uint64, sent time.Time, token uint64, commands []model.Command) {
	if epoch != w.Epoch || !w.acceptToken(token) {
		return // an ignored response does not renew the lease
	}
	w.leaseRenewedAt = sent
	w.Execute(commands)
}

// HandleCommands processes commands that a leader has sent directly, and reports whether they were executed. They are
// refused if they are for another epoch or their fencing token is too low.
func (w *Worker) HandleCommands(token, epoch uint64, commands []model.Command) bool {
	if token < w.FencingToken && !w.env.AcceptAnyToken || epoch != w.Epoch {
		return false
	}
	w.acceptToken(token)
	w.Execute(commands)
	return true
}

// Retry schedules the next heartbeat after a delay.
func (w *Worker) Retry(after time.Duration) { w.nextHeartbeatAt = w.env.now.Add(after) }

// Inspect returns a heartbeat as the answer to a probe. Unlike NextHeartbeat, it doesn't change when the next heartbeat
// is due.
func (w *Worker) Inspect() *model.Heartbeat { return w.heartbeat() }

// acceptToken reports whether the worker accepts a fencing token, and remembers one that is higher than all before. A
// lower one is accepted only with AcceptAnyToken.
func (w *Worker) acceptToken(token uint64) bool {
	if token < w.FencingToken {
		return w.env.AcceptAnyToken
	}
	if token > w.FencingToken {
		w.FencingToken, w.statusChanged = token, true
	}
	return true
}

// Execute executes commands in order. It ignores launches of known attempts, stops of attempts that are unknown or have
// exited, and requests to forget attempts that are unknown or have not exited.
func (w *Worker) Execute(commands []model.Command) {
	for _, command := range commands {
		key := model.AttemptKey{Task: command.Task, Number: command.Attempt}
		t := w.Tasks[key]
		switch command.Op {
		case model.OpLaunch:
			if t == nil {
				w.statusChanged = true
				w.Tasks[key] = w.launch(key)
				w.env.notifyAttemptKnown(w, w.Tasks[key], true)
			}
		case model.OpStop:
			if t != nil && t.Phase != model.PhaseExited {
				w.stop(t, command.GracePeriod)
			}
		case model.OpForget:
			if t != nil && t.Phase == model.PhaseExited {
				delete(w.Tasks, key)
				w.env.notifyAttemptKnown(w, t, false)
			}
		}
	}
}

// CountTasks returns the number of tasks on the machine that belong to jobs whose ID has a prefix.
func (w *Worker) CountTasks(prefix string) int {
	count := 0
	for _, t := range w.Tasks {
		if t.OnMachine() && strings.HasPrefix(t.ID.Job, prefix) {
			count++
		}
	}
	return count
}

// KillTasks ends and forgets all tasks, and returns how many of them were on the machine.
func (w *Worker) KillTasks() int {
	killed := 0
	for _, t := range w.Tasks {
		if t.OnMachine() {
			killed++
		}
		if t.Phase != model.PhaseExited {
			w.exit(t, model.CauseStopped)
		}
		w.env.notifyAttemptKnown(w, t, false)
	}
	w.Tasks = map[model.AttemptKey]*Task{}
	return killed
}

// Advance brings the worker's lease and its tasks up to the environment's time, and reports whether a heartbeat is due.
// If the lease has expired, all tasks are killed and a new epoch begins.
func (w *Worker) Advance() bool {
	now := w.env.now
	if now.Sub(w.leaseRenewedAt) > w.env.Lease {
		w.Epoch++
		w.env.LeaseExpiries++
		w.env.KilledTasks += w.KillTasks()
		w.leaseRenewedAt, w.statusChanged = now, true
	}
	if w.Hung {
		for _, t := range w.Tasks {
			t.phaseEnd = t.phaseEnd.Add(w.env.Tick)
		}
		return false
	}
	for _, t := range w.Tasks {
		if t.Phase != model.PhaseExited && (t.Phase == model.PhaseWaiting || !now.Before(t.phaseEnd)) {
			w.finishPhase(t)
		}
	}
	statusDue := w.statusChanged && !w.awaitingResponse && now.Sub(w.lastHeartbeatAt) >= minHeartbeatInterval
	return !now.Before(w.nextHeartbeatAt) || statusDue
}
