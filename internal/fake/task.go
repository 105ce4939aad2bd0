package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Task is an attempt at a task on a fake worker.
type Task struct {
	ID           model.TaskID
	Attempt      uint64
	Spec         *model.Spec // nil if the job is unknown
	Phase        model.Phase
	Cause        model.ExitCause // why the attempt has exited
	Checkpointed bool            // whether the attempt has saved a checkpoint
	phaseSince   time.Time       // when the current phase began
	phaseEnd     time.Time       // when the image is fetched, the run completes or the checkpoint is saved
}

// OnMachine reports whether the task counts as being on its machine: it has its image and has not exited.
func (t *Task) OnMachine() bool {
	return t.Phase >= model.PhaseWaiting && t.Phase <= model.PhaseCheckpointing
}

// launch starts an attempt and returns it. The attempt begins to fetch its image, or exits at once if the job is
// unknown or the worker has another attempt at the task that has not exited.
func (w *Worker) launch(key model.AttemptKey) *Task {
	now := w.env.now
	w.env.Launches[key.Task]++
	if at, ok := w.env.CancelledAt[key.Task.Job]; ok && now.Sub(at) > w.env.CancelDeadline {
		w.env.recordViolation("ran_cancelled: %v was launched on %s after the deadline of its job's cancellation",
			key.Task, w.Name)
	}
	defer func() {
		if allowed := w.env.PlacementAllowed[key.Task.Job]; allowed != nil && !allowed(w) {
			w.env.recordViolation("rules: %v was launched on %s, which breaks its job's constraints", key.Task, w.Name)
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

// stop stops a task. A running task that can save a checkpoint within the grace period does so first. A task that is
// already saving its checkpoint is stopped only if there is no grace period.
func (w *Worker) stop(t *Task, grace time.Duration) {
	w.statusChanged = true
	if t.Phase == model.PhaseRunning && t.Spec.CheckpointInterval > 0 && grace >= t.Spec.CheckpointTime {
		w.transition(t, model.PhaseCheckpointing)
		t.phaseEnd = w.env.now.Add(t.Spec.CheckpointTime)
	} else if t.Phase != model.PhaseCheckpointing || grace == 0 {
		w.exit(t, model.CauseStopped)
	}
}

// transition changes a task's phase. No other method changes it.
func (w *Worker) transition(t *Task, p model.Phase) {
	wasOnMachine := t.OnMachine()
	t.Phase, t.phaseSince = p, w.env.now
	if onMachine := t.OnMachine(); onMachine != wasOnMachine && w.env.OnTaskMoved != nil {
		w.env.OnTaskMoved(w, t, onMachine)
	}
}

// exit ends a task for the given cause.
func (w *Worker) exit(t *Task, cause model.ExitCause) {
	t.Cause = cause
	w.transition(t, model.PhaseExited)
}

// finishPhase moves a task whose phase may have ended to the next phase. A service runs until it is stopped.
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

// imageFetched moves a task whose image has been fetched to the next phase.
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

// awaitGang starts a task of a gang if all tasks of the attempt are ready, and ends it if it has waited for longer than
// GangWait.
func (w *Worker) awaitGang(t *Task) {
	if w.env.gangReady(t) {
		w.statusChanged = true
		w.startRunning(t)
	} else if w.env.now.Sub(t.phaseSince) > w.env.GangWait {
		w.statusChanged = true
		w.exit(t, model.CauseGangIncomplete)
	}
}

// startRunning starts a task, which runs for the time that RunTimeOf or RunTime gives.
func (w *Worker) startRunning(t *Task) {
	runTime := w.env.RunTime
	if w.env.RunTimeOf != nil {
		runTime = w.env.RunTimeOf(t.ID)
	}
	w.transition(t, model.PhaseRunning)
	t.phaseEnd = w.env.now.Add(runTime)
}
