package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Task is an attempt at a task on a stand-in worker.
type Task struct {
	ID           model.TaskID
	Attempt      uint64
	Spec         *model.Spec
	Phase        model.Phase
	Cause        model.ExitCause
	Checkpointed bool
	phaseSince   time.Time
	phaseEnd     time.Time // when it has its image, completes, or has saved its checkpoint
}

// OnMachine tells whether the task counts as being on its machine.
func (t *Task) OnMachine() bool {
	return t.Phase >= model.PhaseWaiting && t.Phase <= model.PhaseCheckpointing
}

// launch starts an attempt: it fetches its image, or ends at once where the worker cannot run it.
func (w *Worker) launch(key model.AttemptKey) *Task {
	now := w.env.now
	w.env.Starts[key.Task]++
	if at, ok := w.env.CancelledAt[key.Task.Job]; ok && now.Sub(at) > w.env.CancelDeadline {
		w.env.violated("ran_cancelled: %v started on %s", key.Task, w.Name)
	}
	defer func() {
		if allowed := w.env.PlacementAllowed[key.Task.Job]; allowed != nil && !allowed(w) {
			w.env.violated("rules: %v started on %s", key.Task, w.Name)
		}
	}()
	t := &Task{
		ID:       key.Task,
		Attempt:  key.Number,
		Spec:     w.env.Specs[key.Task.Job],
		Phase:    model.PhaseFetching,
		phaseEnd: now.Add(w.env.FetchTime + w.FetchDelay),
	}
	if t.Spec == nil {
		w.exit(t, model.CauseUnknownJob)
		return t
	}
	for _, other := range w.Tasks {
		if other.ID == t.ID && other.Phase != model.PhaseExited {
			w.exit(t, model.CauseAttemptConflict)
			return t
		}
	}
	return t
}

// stop ends a task, after a checkpoint where it can save one within the grace period. A second stop ends one that
// saves only if it has no grace period.
func (w *Worker) stop(t *Task, grace time.Duration) {
	w.statusChanged = true
	if t.Phase == model.PhaseRunning && t.Spec.CheckpointInterval > 0 && grace >= t.Spec.CheckpointTime {
		w.transition(t, model.PhaseCheckpointing)
		t.phaseEnd = w.env.now.Add(t.Spec.CheckpointTime)
	} else if t.Phase != model.PhaseCheckpointing || grace == 0 {
		w.exit(t, model.CauseStopped)
	}
}

// transition changes a task's phase; nothing else does.
func (w *Worker) transition(t *Task, p model.Phase) {
	before := t.OnMachine()
	t.Phase, t.phaseSince = p, w.env.now
	if onMachine := t.OnMachine(); onMachine != before && w.env.OnTaskMoved != nil {
		w.env.OnTaskMoved(w, t, onMachine)
	}
}

// exit ends a task.
func (w *Worker) exit(t *Task, cause model.ExitCause) {
	t.Cause = cause
	w.transition(t, model.PhaseExited)
}

// finishPhase moves a task whose phase has ended to the next one.
func (w *Worker) finishPhase(t *Task) {
	switch t.Phase {
	case model.PhaseFetching:
		w.imageFetched(t)
	case model.PhaseWaiting:
		w.awaitGang(t)
	case model.PhaseRunning:
		if t.Spec.Shape == model.Gang && !w.env.gangIntact(t) {
			w.statusChanged = true
			w.exit(t, model.CauseGangMemberLost)
		} else if t.Spec.Shape != model.Service {
			w.statusChanged = true
			w.exit(t, model.CauseDone)
			w.env.Completed[t.ID] = true
		}
	case model.PhaseCheckpointing:
		w.statusChanged = true
		t.Checkpointed = true
		w.exit(t, model.CauseStopped)
		w.env.Checkpoints[t.ID]++
	}
}

// imageFetched moves on a task whose image has arrived.
func (w *Worker) imageFetched(t *Task) {
	w.statusChanged = true
	switch {
	case w.Faulty || w.env.FailingJobs[t.ID.Job]:
		w.exit(t, model.CauseError)
	case w.env.Completed[t.ID]:
		w.exit(t, model.CauseDone)
	default:
		w.transition(t, model.PhaseWaiting)
		if t.Spec.Shape != model.Gang {
			w.startRunning(t)
		}
	}
}

// awaitGang starts a gang's task once all tasks of its attempt are ready, and ends it when it has waited too long.
func (w *Worker) awaitGang(t *Task) {
	if w.env.gangReady(t) {
		w.statusChanged = true
		w.startRunning(t)
	} else if w.env.now.Sub(t.phaseSince) > w.env.GangWait {
		w.statusChanged = true
		w.exit(t, model.CauseGangIncomplete)
	}
}

// startRunning has a task run for as long as the environment says.
func (w *Worker) startRunning(t *Task) {
	runTime := w.env.RunTime
	if w.env.RunTimeOf != nil {
		runTime = w.env.RunTimeOf(t.ID)
	}
	w.transition(t, model.PhaseRunning)
	t.phaseEnd = w.env.now.Add(runTime)
}
