package fake

import (
	"cmp"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Task is a task on a stand-in worker.
type Task struct {
	ID           model.TaskID
	Attempt      uint64
	Spec         *model.Spec
	Phase        model.Phase
	Cause        model.ExitCause
	Checkpointed bool
	phaseSince   time.Time
	phaseEnd     time.Time // when it completes, has saved, or has its image
}

// OnMachine tells whether the task counts as being on its machine.
func (t *Task) OnMachine() bool {
	return t.Phase >= model.PhaseWaiting && t.Phase <= model.PhaseCheckpointing
}

// Worker is a stand-in for a machine's worker, as the protocol describes it.
type Worker struct {
	site               *Site
	Name               string
	Addr               string // "": its name
	Type               string
	Zone               string
	Spot               bool
	Epoch              uint64
	Seq                uint64
	FencingToken       uint64
	Tasks              map[model.AttemptKey]*Task
	Partitioned        bool // neither reports nor commands get through
	InboundBlocked     bool // its reports get through, but neither answers nor commands reach it
	OutboundBlocked    bool // it reaches no controller, while commands reach it
	Hung               bool // does nothing; its lease runs on
	Faulty             bool // fails every task
	InterruptionNotice time.Duration
	FetchDelay         time.Duration // how much longer its fetches take

	leaseRenewedAt  time.Time // when the last answered report was sent, or the session began
	nextHeartbeatAt time.Time
	lastHeartbeatAt time.Time
	statusChanged   bool
	awaitingAnswer  bool // for an answer that is lost
	controllerIndex int  // the controller that it reports to
}

func (k *Worker) heartbeat() *model.Heartbeat {
	k.Seq++
	r := &model.Heartbeat{Machine: k.Name, Addr: cmp.Or(k.Addr, k.Name), Type: k.Type, Zone: k.Zone, Spot: k.Spot, Epoch: k.Epoch, Seq: k.Seq, FencingToken: k.FencingToken,
		InterruptionNotice: k.InterruptionNotice > 0, InterruptionIn: k.InterruptionNotice}
	for key, t := range k.Tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Checkpointed})
	}
	return r
}

// NextHeartbeat is the worker's report of now. It counts as sent: the next one without news is due after the usual time.
func (k *Worker) NextHeartbeat() *model.Heartbeat {
	now := k.site.now
	k.lastHeartbeatAt, k.nextHeartbeatAt, k.statusChanged, k.awaitingAnswer = now, now.Add(k.site.nextInterval()), false, false
	return k.heartbeat()
}

// HandleAnswer takes the answer to a report of a session that was sent at some time.
func (k *Worker) HandleAnswer(session uint64, sent time.Time, token uint64, orders []model.Command) {
	if session != k.Epoch || !k.acceptToken(token) {
		return // dropped: it renews nothing
	}
	k.leaseRenewedAt = sent
	k.Execute(orders)
}

// HandleCommands takes commands that come straight to the worker. It is false where they are refused, by their token
// or their session.
func (k *Worker) HandleCommands(token, session uint64, orders []model.Command) bool {
	if token < k.FencingToken && !k.site.AcceptAnyToken || session != k.Epoch {
		return false
	}
	k.acceptToken(token)
	k.Execute(orders)
	return true
}

// Retry has the worker report again after a time, to another controller.
func (k *Worker) Retry(after time.Duration) { k.nextHeartbeatAt = k.site.now.Add(after) }

// Inspect is the worker's report of now, as an answer to a question: the next one is due as before.
func (k *Worker) Inspect() *model.Heartbeat { return k.heartbeat() }

// acceptToken takes a token; a lower one is refused.
func (k *Worker) acceptToken(token uint64) bool {
	if token < k.FencingToken {
		return k.site.AcceptAnyToken
	}
	if token > k.FencingToken {
		k.FencingToken, k.statusChanged = token, true
	}
	return true
}

// Execute carries out commands.
func (k *Worker) Execute(orders []model.Command) {
	now := k.site.now
	for _, o := range orders {
		key := model.AttemptKey{Task: o.Task, Number: o.Attempt}
		t := k.Tasks[key]
		switch o.Op {
		case model.OpLaunch:
			if t != nil {
				continue
			}
			k.statusChanged = true
			k.Tasks[key] = k.launch(key, now)
			k.site.notifyAttemptKnown(k, k.Tasks[key], true)
		case model.OpStop:
			if t == nil || t.Phase == model.PhaseExited {
				continue
			}
			k.statusChanged = true
			if t.Phase == model.PhaseRunning && t.Spec.CheckpointInterval > 0 && o.GracePeriod >= t.Spec.CheckpointTime {
				k.transition(t, model.PhaseCheckpointing)
				t.phaseEnd = now.Add(t.Spec.CheckpointTime)
			} else if t.Phase != model.PhaseCheckpointing || o.GracePeriod == 0 {
				k.exit(t, model.CauseStopped)
			}
		case model.OpForget:
			if t != nil && t.Phase == model.PhaseExited {
				delete(k.Tasks, key)
				k.site.notifyAttemptKnown(k, t, false)
			}
		}
	}
}

// CountTasks counts the tasks on the machine of jobs whose id begins in some way.
func (k *Worker) CountTasks(prefix string) int {
	n := 0
	for _, t := range k.Tasks {
		if t.OnMachine() && strings.HasPrefix(t.ID.Job, prefix) {
			n++
		}
	}
	return n
}

func (k *Worker) launch(key model.AttemptKey, now time.Time) *Task {
	k.site.Starts[key.Task]++
	if at, ok := k.site.CancelledAt[key.Task.Job]; ok && now.Sub(at) > k.site.CancelDeadline {
		k.site.violated("ran_cancelled: %v started on %s", key.Task, k.Name)
	}
	defer func() {
		if ok := k.site.PlacementAllowed[key.Task.Job]; ok != nil && !ok(k) {
			k.site.violated("rules: %v started on %s", key.Task, k.Name)
		}
	}()
	t := &Task{ID: key.Task, Attempt: key.Number, Spec: k.site.Specs[key.Task.Job], Phase: model.PhaseFetching, phaseEnd: now.Add(k.site.FetchTime + k.FetchDelay)}
	if t.Spec == nil {
		k.exit(t, model.CauseUnknownJob)
		return t
	}
	for _, o := range k.Tasks {
		if o.ID == t.ID && o.Phase != model.PhaseExited {
			k.exit(t, model.CauseAttemptConflict)
			return t
		}
	}
	return t
}

// transition changes a task's phase; it is the only place that does.
func (k *Worker) transition(t *Task, p model.Phase) {
	before := t.OnMachine()
	t.Phase, t.phaseSince = p, k.site.now
	if on := t.OnMachine(); on != before && k.site.OnTaskMoved != nil {
		k.site.OnTaskMoved(k, t, on)
	}
}

// exit ends a task.
func (k *Worker) exit(t *Task, why model.ExitCause) {
	t.Cause = why
	k.transition(t, model.PhaseExited)
}

// KillTasks ends and forgets all tasks, and tells how many were on the machine.
func (k *Worker) KillTasks() int {
	n := 0
	for _, t := range k.Tasks {
		if t.OnMachine() {
			n++
		}
		if t.Phase != model.PhaseExited {
			k.exit(t, model.CauseStopped)
		}
		k.site.notifyAttemptKnown(k, t, false)
	}
	k.Tasks = map[model.AttemptKey]*Task{}
	return n
}

// Advance lets time pass on the machine, up to the site's time. It tells whether a report is due.
func (k *Worker) Advance() bool {
	now := k.site.now
	if now.Sub(k.leaseRenewedAt) > k.site.Lease {
		k.Epoch++
		k.site.LeaseExpiries++
		k.site.KilledTasks += k.KillTasks()
		k.leaseRenewedAt, k.statusChanged = now, true
	}
	if k.Hung {
		for _, t := range k.Tasks {
			t.phaseEnd = t.phaseEnd.Add(k.site.Tick)
		}
		return false
	}
	for _, t := range k.Tasks {
		if t.Phase != model.PhaseExited && (t.Phase == model.PhaseWaiting || !now.Before(t.phaseEnd)) {
			k.finishPhase(t)
		}
	}
	news := k.statusChanged && !k.awaitingAnswer && now.Sub(k.lastHeartbeatAt) >= leastBetween
	return !now.Before(k.nextHeartbeatAt) || news
}

// leastBetween is the least time between two reports.
const leastBetween = 500 * time.Millisecond

// finishPhase takes a task whose time has come to what follows.
func (k *Worker) finishPhase(t *Task) {
	switch t.Phase {
	case model.PhaseFetching:
		k.imageFetched(t)
	case model.PhaseWaiting:
		k.awaitGang(t)
	case model.PhaseRunning:
		if t.Spec.Shape == model.Gang && !k.site.gangIntact(t) {
			k.statusChanged = true
			k.exit(t, model.CauseGangMemberLost)
		} else if t.Spec.Shape != model.Service {
			k.statusChanged = true
			k.exit(t, model.CauseDone)
			k.site.Completed[t.ID] = true
		}
	case model.PhaseCheckpointing:
		k.statusChanged = true
		t.Checkpointed = true
		k.exit(t, model.CauseStopped)
		k.site.Checkpoints[t.ID]++
	}
}

// imageFetched takes a task whose image is there.
func (k *Worker) imageFetched(t *Task) {
	k.statusChanged = true
	switch {
	case k.Faulty || k.site.FailingJobs[t.ID.Job]:
		k.exit(t, model.CauseError)
	case k.site.Completed[t.ID]:
		k.exit(t, model.CauseDone)
	default:
		k.transition(t, model.PhaseWaiting)
		if t.Spec.Shape != model.Gang {
			k.startRunning(t)
		}
	}
}

// awaitGang has a gang task run once the others of its attempt are there, or give up.
func (k *Worker) awaitGang(t *Task) {
	if k.site.gangReady(t) {
		k.statusChanged = true
		k.startRunning(t)
	} else if k.site.now.Sub(t.phaseSince) > k.site.GangWait {
		k.statusChanged = true
		k.exit(t, model.CauseGangIncomplete)
	}
}

func (k *Worker) startRunning(t *Task) {
	run := k.site.RunTime
	if k.site.RunTimeOf != nil {
		run = k.site.RunTimeOf(t.ID)
	}
	k.transition(t, model.PhaseRunning)
	t.phaseEnd = k.site.now.Add(run)
}

// sendHeartbeat has a worker report to a controller of the world and take its answer.
func (w *World) sendHeartbeat(k *Worker) {
	now := w.now
	c := w.Controllers[k.controllerIndex]
	r := k.NextHeartbeat()
	if w.MaxRetainedHeartbeats > 0 {
		if len(w.RetainedHeartbeats) >= w.MaxRetainedHeartbeats {
			w.RetainedHeartbeats = w.RetainedHeartbeats[1:]
		}
		w.RetainedHeartbeats = append(w.RetainedHeartbeats, r)
	}
	v, ok := c.handleHeartbeat(r, false)
	if l := w.Leader(); k.InboundBlocked && !ok && c.Up && l != nil && l != c && !c.PeersUnreachable && !l.PeersUnreachable {
		l.handleHeartbeat(r, true)
	}
	switch {
	case k.InboundBlocked: // it waits for its answer, and then tries the next controller
		k.controllerIndex = (k.controllerIndex + 1) % len(w.Controllers)
		k.Retry(5 * time.Second)
		k.awaitingAnswer = true
	case ok:
		k.HandleAnswer(r.Epoch, now, v.token, v.commands)
	default:
		k.controllerIndex = (k.controllerIndex + 1) % len(w.Controllers)
		k.Retry(time.Second)
	}
}
