package fake

import (
	"cmp"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// minHeartbeatGap is the least time between two heartbeats.
const minHeartbeatGap = 500 * time.Millisecond

// Worker is a stand-in for a machine's worker, which follows the published worker protocol.
type Worker struct {
	env          *Environment
	Name         string
	Addr         string // "": its name
	Type         string
	Zone         string
	Spot         bool
	Epoch        uint64
	Seq          uint64
	FencingToken uint64 // the highest that it has accepted
	Tasks        map[model.AttemptKey]*Task
	WorkerFaults
	InterruptionNotice time.Duration // until the cloud takes the machine back; 0: it does not

	leaseRenewedAt time.Time // when the last answered heartbeat was sent, or the epoch began
	heartbeatState
}

// WorkerFaults are the failures that a worker can be given.
type WorkerFaults struct {
	Partitioned     bool          // neither heartbeats nor commands get through
	InboundBlocked  bool          // its heartbeats get through, but neither answers nor commands reach it
	OutboundBlocked bool          // its heartbeats reach no controller, while commands reach it
	Hung            bool          // it does nothing, while its lease runs on
	Faulty          bool          // every task on it fails
	FetchDelay      time.Duration // how much longer it takes to fetch an image
}

// usable tells whether tasks can be started on the worker and complete there.
func (f *WorkerFaults) usable() bool {
	return !f.Partitioned && !f.InboundBlocked && !f.OutboundBlocked && !f.Hung && !f.Faulty
}

// heartbeatState is when, why and to whom a worker reports next.
type heartbeatState struct {
	nextHeartbeatAt time.Time
	lastHeartbeatAt time.Time
	statusChanged   bool // something is to be reported before the interval ends
	awaitingAnswer  bool // the answer to the last heartbeat is lost
	controllerIndex int  // the controller that it reports to
}

// newWorker makes the worker of a machine that has just come up.
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

// heartbeat is the worker's status of now with the next message number.
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

// NextHeartbeat is the worker's heartbeat of now. It counts as sent: the next one is due after the usual interval
// unless the status changes before.
func (w *Worker) NextHeartbeat() *model.Heartbeat {
	now := w.env.now
	w.lastHeartbeatAt, w.nextHeartbeatAt = now, now.Add(w.env.nextInterval())
	w.statusChanged, w.awaitingAnswer = false, false
	return w.heartbeat()
}

// HandleAnswer takes the answer to a heartbeat of an epoch that was sent at some time.
func (w *Worker) HandleAnswer(epoch uint64, sent time.Time, token uint64, commands []model.Command) {
	if epoch != w.Epoch || !w.acceptToken(token) {
		return // an answer that is dropped does not renew the lease
	}
	w.leaseRenewedAt = sent
	w.Execute(commands)
}

// HandleCommands takes commands that a leader sends directly. It is false where they are refused, by their token or
// their epoch.
func (w *Worker) HandleCommands(token, epoch uint64, commands []model.Command) bool {
	if token < w.FencingToken && !w.env.AcceptAnyToken || epoch != w.Epoch {
		return false
	}
	w.acceptToken(token)
	w.Execute(commands)
	return true
}

// Retry makes the next heartbeat due after a delay.
func (w *Worker) Retry(after time.Duration) { w.nextHeartbeatAt = w.env.now.Add(after) }

// Inspect is the worker's status of now as the answer to a probe: the next heartbeat is due as before.
func (w *Worker) Inspect() *model.Heartbeat { return w.heartbeat() }

// acceptToken raises the worker's fencing token; a lower one is refused.
func (w *Worker) acceptToken(token uint64) bool {
	if token < w.FencingToken {
		return w.env.AcceptAnyToken
	}
	if token > w.FencingToken {
		w.FencingToken, w.statusChanged = token, true
	}
	return true
}

// Execute carries out commands.
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

// CountTasks counts the tasks on the machine of jobs whose id has a prefix.
func (w *Worker) CountTasks(prefix string) int {
	count := 0
	for _, t := range w.Tasks {
		if t.OnMachine() && strings.HasPrefix(t.ID.Job, prefix) {
			count++
		}
	}
	return count
}

// KillTasks ends and forgets all tasks, and tells how many were on the machine.
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

// Advance lets the worker act up to the environment's time. It tells whether a heartbeat is due.
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
	news := w.statusChanged && !w.awaitingAnswer && now.Sub(w.lastHeartbeatAt) >= minHeartbeatGap
	return !now.Before(w.nextHeartbeatAt) || news
}
