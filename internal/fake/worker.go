package fake

import (
	"cmp"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Task is a task on a stand-in worker.
type Task struct {
	ID    model.TaskID
	Try   uint64
	Spec  *model.Spec
	Phase model.Phase
	Cause model.ExitCause
	Saved bool
	since time.Time
	until time.Time // when it completes, has saved, or has its image
}

// On tells whether the task counts as being on its machine.
func (t *Task) On() bool { return t.Phase >= model.PhaseWaiting && t.Phase <= model.PhaseCheckpointing }

// Worker is a stand-in for a machine's worker, as the protocol describes it.
type Worker struct {
	site    *Site
	Name    string
	Addr    string // "": its name
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Seq     uint64
	Token   uint64
	Tasks   map[model.AttemptKey]*Task
	Cut     bool // neither reports nor commands get through
	Deaf    bool // its reports get through, but neither answers nor commands reach it
	Mute    bool // it reaches no controller, while commands reach it
	Hung    bool // does nothing; its lease runs on
	Sick    bool // fails every task
	Notice  time.Duration
	Slow    time.Duration // how much longer its fetches take

	renewed time.Time // when the last answered report was sent, or the session began
	nextRep time.Time
	lastRep time.Time
	changed bool
	waits   bool // for an answer that is lost
	target  int  // the controller that it reports to
}

func (k *Worker) report() *model.Heartbeat {
	k.Seq++
	r := &model.Heartbeat{Machine: k.Name, Addr: cmp.Or(k.Addr, k.Name), Type: k.Type, Zone: k.Zone, Spot: k.Spot, Epoch: k.Session, Seq: k.Seq, FencingToken: k.Token,
		InterruptionNotice: k.Notice > 0, InterruptionIn: k.Notice}
	for key, t := range k.Tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Saved})
	}
	return r
}

// Report is the worker's report of now. It counts as sent: the next one without news is due after the usual time.
func (k *Worker) Report() *model.Heartbeat {
	now := k.site.now
	k.lastRep, k.nextRep, k.changed, k.waits = now, now.Add(k.site.interval()), false, false
	return k.report()
}

// Take takes the answer to a report of a session that was sent at some time.
func (k *Worker) Take(session uint64, sent time.Time, token uint64, orders []model.Command) {
	if session != k.Session || !k.accept(token) {
		return // dropped: it renews nothing
	}
	k.renewed = sent
	k.Execute(orders)
}

// Command takes commands that come straight to the worker. It is false where they are refused, by their token
// or their session.
func (k *Worker) Command(token, session uint64, orders []model.Command) bool {
	if token < k.Token && !k.site.AnyToken || session != k.Session {
		return false
	}
	k.accept(token)
	k.Execute(orders)
	return true
}

// Retry has the worker report again after a time, to another controller.
func (k *Worker) Retry(after time.Duration) { k.nextRep = k.site.now.Add(after) }

// Inspect is the worker's report of now, as an answer to a question: the next one is due as before.
func (k *Worker) Inspect() *model.Heartbeat { return k.report() }

// accept takes a token; a lower one is refused.
func (k *Worker) accept(token uint64) bool {
	if token < k.Token {
		return k.site.AnyToken
	}
	if token > k.Token {
		k.Token, k.changed = token, true
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
			k.changed = true
			k.Tasks[key] = k.launch(key, now)
			k.site.known(k, k.Tasks[key], true)
		case model.OpStop:
			if t == nil || t.Phase == model.PhaseExited {
				continue
			}
			k.changed = true
			if t.Phase == model.PhaseRunning && t.Spec.CheckpointInterval > 0 && o.GracePeriod >= t.Spec.CheckpointTime {
				k.enter(t, model.PhaseCheckpointing)
				t.until = now.Add(t.Spec.CheckpointTime)
			} else if t.Phase != model.PhaseCheckpointing || o.GracePeriod == 0 {
				k.exit(t, model.CauseStopped)
			}
		case model.OpForget:
			if t != nil && t.Phase == model.PhaseExited {
				delete(k.Tasks, key)
				k.site.known(k, t, false)
			}
		}
	}
}

// Of counts the tasks on the machine of jobs whose id begins in some way.
func (k *Worker) Of(prefix string) int {
	n := 0
	for _, t := range k.Tasks {
		if t.On() && strings.HasPrefix(t.ID.Job, prefix) {
			n++
		}
	}
	return n
}

func (k *Worker) launch(key model.AttemptKey, now time.Time) *Task {
	k.site.Starts[key.Task]++
	if at, ok := k.site.Cancelled[key.Task.Job]; ok && now.Sub(at) > k.site.CancelIn {
		k.site.broken("ran_cancelled: %v started on %s", key.Task, k.Name)
	}
	defer func() {
		if ok := k.site.Allowed[key.Task.Job]; ok != nil && !ok(k) {
			k.site.broken("rules: %v started on %s", key.Task, k.Name)
		}
	}()
	t := &Task{ID: key.Task, Try: key.Number, Spec: k.site.Specs[key.Task.Job], Phase: model.PhaseFetching, until: now.Add(k.site.Fetch + k.Slow)}
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

// enter changes a task's phase; it is the only place that does.
func (k *Worker) enter(t *Task, p model.Phase) {
	before := t.On()
	t.Phase, t.since = p, k.site.now
	if on := t.On(); on != before && k.site.Moved != nil {
		k.site.Moved(k, t, on)
	}
}

// exit ends a task.
func (k *Worker) exit(t *Task, why model.ExitCause) {
	t.Cause = why
	k.enter(t, model.PhaseExited)
}

// Clear ends and forgets all tasks, and tells how many were on the machine.
func (k *Worker) Clear() int {
	n := 0
	for _, t := range k.Tasks {
		if t.On() {
			n++
		}
		if t.Phase != model.PhaseExited {
			k.exit(t, model.CauseStopped)
		}
		k.site.known(k, t, false)
	}
	k.Tasks = map[model.AttemptKey]*Task{}
	return n
}

// Advance lets time pass on the machine, up to the site's time. It tells whether a report is due.
func (k *Worker) Advance() bool {
	now := k.site.now
	if now.Sub(k.renewed) > k.site.Lease {
		k.Session++
		k.site.Lapsed++
		k.site.Killed += k.Clear()
		k.renewed, k.changed = now, true
	}
	if k.Hung {
		for _, t := range k.Tasks {
			t.until = t.until.Add(k.site.Tick)
		}
		return false
	}
	for _, t := range k.Tasks {
		if t.Phase != model.PhaseExited && (t.Phase == model.PhaseWaiting || !now.Before(t.until)) {
			k.proceed(t)
		}
	}
	news := k.changed && !k.waits && now.Sub(k.lastRep) >= leastBetween
	return !now.Before(k.nextRep) || news
}

// leastBetween is the least time between two reports.
const leastBetween = 500 * time.Millisecond

// proceed takes a task whose time has come to what follows.
func (k *Worker) proceed(t *Task) {
	switch t.Phase {
	case model.PhaseFetching:
		k.fetched(t)
	case model.PhaseWaiting:
		k.gather(t)
	case model.PhaseRunning:
		if t.Spec.Shape == model.Gang && !k.site.gangWhole(t) {
			k.changed = true
			k.exit(t, model.CauseGangMemberLost)
		} else if t.Spec.Shape != model.Service {
			k.changed = true
			k.exit(t, model.CauseDone)
			k.site.Done[t.ID] = true
		}
	case model.PhaseCheckpointing:
		k.changed = true
		t.Saved = true
		k.exit(t, model.CauseStopped)
		k.site.Saves[t.ID]++
	}
}

// fetched takes a task whose image is there.
func (k *Worker) fetched(t *Task) {
	k.changed = true
	switch {
	case k.Sick || k.site.Bad[t.ID.Job]:
		k.exit(t, model.CauseError)
	case k.site.Done[t.ID]:
		k.exit(t, model.CauseDone)
	default:
		k.enter(t, model.PhaseWaiting)
		if t.Spec.Shape != model.Gang {
			k.run(t)
		}
	}
}

// gather has a gang task run once the others of its attempt are there, or give up.
func (k *Worker) gather(t *Task) {
	if k.site.gangComplete(t) {
		k.changed = true
		k.run(t)
	} else if k.site.now.Sub(t.since) > k.site.GangWait {
		k.changed = true
		k.exit(t, model.CauseGangIncomplete)
	}
}

func (k *Worker) run(t *Task) {
	run := k.site.Run
	if k.site.Runs != nil {
		run = k.site.Runs(t.ID)
	}
	k.enter(t, model.PhaseRunning)
	t.until = k.site.now.Add(run)
}

// send has a worker report to a controller of the world and take its answer.
func (w *World) send(k *Worker) {
	now := w.now
	c := w.Controllers[k.target]
	r := k.Report()
	if w.Copies > 0 {
		if len(w.Copied) >= w.Copies {
			w.Copied = w.Copied[1:]
		}
		w.Copied = append(w.Copied, r)
	}
	v, ok := c.report(r, false)
	if l := w.Leader(); k.Deaf && !ok && c.Up && l != nil && l != c && !c.Alone && !l.Alone {
		l.report(r, true)
	}
	switch {
	case k.Deaf: // it waits for its answer, and then tries the next controller
		k.target = (k.target + 1) % len(w.Controllers)
		k.Retry(5 * time.Second)
		k.waits = true
	case ok:
		k.Take(r.Epoch, now, v.token, v.orders)
	default:
		k.target = (k.target + 1) % len(w.Controllers)
		k.Retry(time.Second)
	}
}
