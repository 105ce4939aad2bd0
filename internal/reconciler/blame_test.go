package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// fails has a task of a job fail on the machine that it was placed on, and tells which.
func (k *talk) fails(id string) string {
	k.Helper()
	name, key := k.on(id)
	if name == "" {
		k.Fatalf("%s is on no machine", id)
	}
	m := k.c.machines[name]
	r := says(name, m.Session, m.Seq+1, 1)
	r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: model.PhaseExited, Cause: model.CauseError})
	k.report(100*time.Millisecond, r)
	return name
}

// Two jobs fail on one machine. It gets nothing more; when they have failed elsewhere too it is of use again, and when
// one does well there it is given back.
func TestWhoIsToBlameForFailures(t *testing.T) {
	for _, sick := range []bool{true, false} {
		k := talks(t, &Snapshot{})
		k.c.set.SickErrors = 2
		k.up("n-1", "n-2", "n-3")
		k.job("wk-1")
		k.job("wk-2") // the most efficient fit: on the same machine
		m := k.c.machines[k.fails("wk-1")]
		if other := k.fails("wk-2"); other != m.Name {
			t.Fatalf("they were on %s and %s", m.Name, other)
		}
		if m.QuarantinedSince.IsZero() || k.c.placeable(k.now, m) || m.State != model.MachineReady {
			t.Errorf("sick %v: after two jobs' failures: %v, suspect %v", sick, m.State, m.QuarantinedSince)
		}
		k.step(time.Second, Tick{})
		if !sick {
			for _, id := range []string{"wk-1", "wk-2"} {
				if k.fails(id) == m.Name {
					t.Errorf("%s was started there again", id)
				}
			}
			k.step(300*time.Millisecond, Tick{})
			if !m.QuarantinedSince.IsZero() || m.State != model.MachineReady {
				t.Errorf("both jobs fail elsewhere: %v, suspect %v", m.State, m.QuarantinedSince)
			}
			continue
		}
		for _, id := range []string{"wk-1", "wk-2"} {
			name, key := k.on(id)
			o := k.c.machines[name]
			r := says(name, o.Session, o.Seq+1, 1)
			r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: model.PhaseExited,
				Cause: model.CauseDone})
			k.report(time.Second, r)
		}
		k.step(300*time.Millisecond, Tick{})
		if m.State != model.MachineDraining && m.State != model.MachineReleasing {
			t.Errorf("both jobs are done elsewhere: %v", m.State)
		}
	}
}

// A job that failed on many machines, and is cancelled, holds nothing against any of them.
func TestACancelledJobsFailuresTellNothing(t *testing.T) {
	k := talks(t, &Snapshot{})
	k.c.set.Backoff, k.c.set.SickErrors = time.Second, 2
	k.up("n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	k.job("wk-1")
	for range 8 {
		k.fails("wk-1")
		for range 300 {
			if name, _ := k.on("wk-1"); name != "" {
				break
			}
			for _, m := range k.c.machines {
				k.report(0, says(m.Name, m.Session, m.Seq+1, 1))
			}
			k.step(500*time.Millisecond, Tick{})
		}
	}
	k.step(0, JobEnded{ID: "wk-1", End: model.OutcomeCancelled})
	for _, m := range k.c.machines {
		if len(m.ErrorsByJob) > 0 || m.State != model.MachineReady {
			t.Errorf("%s: %v, %v", m.Name, m.State, m.ErrorsByJob)
		}
	}
}
