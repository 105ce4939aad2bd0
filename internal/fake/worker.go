package fake

import (
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
	Cause model.Cause
	Saved bool
	since time.Time
	until time.Time // when it completes, has saved, or has its image
}

// On tells whether the task counts as being on its machine.
func (t *Task) On() bool { return t.Phase >= model.Waiting && t.Phase <= model.Saving }

// Worker is a stand-in for a machine's worker, as the protocol describes it.
type Worker struct {
	w       *World
	Name    string
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

func (k *Worker) report() *model.Report {
	k.Seq++
	r := &model.Report{Machine: k.Name, Addr: k.Name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Session: k.Session, Seq: k.Seq, Token: k.Token,
		Notice: k.Notice > 0, NoticeIn: k.Notice}
	for key, t := range k.Tasks {
		r.Tasks = append(r.Tasks, model.TaskReport{Task: key.Task, Try: key.Try, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved})
	}
	return r
}

// accept takes a token; a lower one is refused.
func (k *Worker) accept(token uint64) bool {
	if token < k.Token {
		return k.w.AnyToken
	}
	if token > k.Token {
		k.Token, k.changed = token, true
	}
	return true
}

// Execute carries out commands.
func (k *Worker) Execute(orders []model.Order) {
	now := k.w.now
	for _, o := range orders {
		key := model.AttemptKey{Task: o.Task, Try: o.Try}
		t := k.Tasks[key]
		switch o.Op {
		case model.OpLaunch:
			if t != nil {
				continue
			}
			k.changed = true
			k.Tasks[key] = k.launch(key, now)
		case model.OpStop:
			if t == nil || t.Phase == model.Exited {
				continue
			}
			k.changed = true
			if t.Phase == model.Running && t.Spec.Checkpoint > 0 && o.Grace >= t.Spec.Save {
				t.Phase, t.until = model.Saving, now.Add(t.Spec.Save)
			} else if t.Phase != model.Saving || o.Grace == 0 {
				t.Phase, t.Cause = model.Exited, model.CauseStopped
			}
		case model.OpForget:
			if t != nil && t.Phase == model.Exited {
				delete(k.Tasks, key)
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
	k.w.Starts[key.Task]++
	if at, ok := k.w.Cancelled[key.Task.Job]; ok && now.Sub(at) > k.w.CancelIn {
		k.w.broken("ran_cancelled: %v started on %s", key.Task, k.Name)
	}
	defer func() {
		if ok := k.w.Allowed[key.Task.Job]; ok != nil && !ok(k) {
			k.w.broken("rules: %v started on %s", key.Task, k.Name)
		}
	}()
	t := &Task{ID: key.Task, Try: key.Try, Spec: k.w.Specs[key.Task.Job], Phase: model.Fetching, until: now.Add(k.w.Fetch + k.Slow)}
	if t.Spec == nil {
		t.Phase, t.Cause = model.Exited, model.CauseUnknown
		return t
	}
	for _, o := range k.Tasks {
		if o.ID == t.ID && o.Phase != model.Exited {
			t.Phase, t.Cause = model.Exited, model.CauseBusy
			return t
		}
	}
	return t
}

// step lets time pass on the machine.
func (k *Worker) step() {
	now := k.w.now
	if now.Sub(k.renewed) > k.w.Lease {
		k.Session++
		for _, t := range k.Tasks {
			if t.On() {
				k.w.Killed++
			}
		}
		k.Tasks = map[model.AttemptKey]*Task{}
		k.renewed, k.changed = now, true
	}
	if k.Hung {
		for _, t := range k.Tasks {
			t.until = t.until.Add(k.w.Tick)
		}
		return
	}
	for _, t := range k.Tasks {
		if t.Phase == model.Exited || now.Before(t.until) && t.Phase != model.Waiting {
			continue
		}
		switch t.Phase {
		case model.Fetching:
			k.changed = true
			switch {
			case k.Sick || k.w.Bad[t.ID.Job]:
				t.Phase, t.Cause = model.Exited, model.CauseError
			case k.w.Done[t.ID]:
				t.Phase, t.Cause = model.Exited, model.CauseDone
			default:
				t.Phase, t.since = model.Waiting, now
				if t.Spec.Shape != model.Gang {
					k.run(t)
				}
			}
		case model.Waiting:
			if k.w.gangComplete(t) {
				k.changed = true
				k.run(t)
			} else if now.Sub(t.since) > k.w.GangWait {
				k.changed = true
				t.Phase, t.Cause = model.Exited, model.CauseAlone
			}
		case model.Running:
			if t.Spec.Shape == model.Gang && !k.w.gangWhole(t) {
				k.changed = true
				t.Phase, t.Cause = model.Exited, model.CausePeers
			} else if t.Spec.Shape != model.Service {
				k.changed = true
				t.Phase, t.Cause = model.Exited, model.CauseDone
				k.w.Done[t.ID] = true
			}
		case model.Saving:
			k.changed = true
			t.Phase, t.Cause, t.Saved = model.Exited, model.CauseStopped, true
			k.w.Saves[t.ID]++
		}
	}
	news := k.changed && !k.waits && now.Sub(k.lastRep) >= 500*time.Millisecond
	if !k.Cut && !k.Mute && (!now.Before(k.nextRep) || news) {
		k.send()
	}
}

func (k *Worker) run(t *Task) {
	run := k.w.Run
	if k.w.Runs != nil {
		run = k.w.Runs(t.ID)
	}
	t.Phase, t.until = model.Running, k.w.now.Add(run)
}

// send reports to a controller and takes its answer.
func (k *Worker) send() {
	now := k.w.now
	k.lastRep, k.nextRep, k.changed, k.waits = now, now.Add(k.w.ReportEvery), false, false
	c := k.w.Controllers[k.target]
	r := k.report()
	if w := k.w; w.Copies > 0 {
		if len(w.Copied) >= w.Copies {
			w.Copied = w.Copied[1:]
		}
		w.Copied = append(w.Copied, r)
	}
	v, ok := c.report(r, false)
	if l := k.w.Leader(); k.Deaf && !ok && c.Up && l != nil && l != c && !c.Alone && !l.Alone {
		l.report(r, true)
	}
	switch {
	case k.Deaf: // it waits for its answer, and then tries the next controller
		k.target = (k.target + 1) % len(k.w.Controllers)
		k.nextRep, k.waits = now.Add(5*time.Second), true
	case ok && k.accept(v.token):
		k.renewed = now
		k.Execute(v.orders)
	case !ok:
		k.target = (k.target + 1) % len(k.w.Controllers)
		k.nextRep = now.Add(time.Second)
	}
}
