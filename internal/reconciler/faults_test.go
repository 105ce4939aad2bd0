package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// failTask has a task of a job fail on the machine that it was placed on, and tells which.
func (k *workerScenario) failTask(id string) string {
	k.Helper()
	name, key := k.placementOf(id)
	if name == "" {
		k.Fatalf("%s is on no machine", id)
	}
	m := k.core.machines[name]
	r := heartbeatOf(name, m.Epoch, m.Seq+1, 1)
	r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: model.PhaseExited, Cause: model.CauseError})
	k.heartbeat(100*time.Millisecond, r)
	return name
}

// Two jobs fail on one machine. It gets nothing more; when they have failed elsewhere too it is of use again, and when
// one does well there it is given back.
func TestTaskFailuresAttributeFaultToMachineOrJob(t *testing.T) {
	for _, sick := range []bool{true, false} {
		k := newWorkerScenario(t, &Snapshot{})
		k.core.settings.MachineFaultErrors = 2
		k.register("n-1", "n-2", "n-3")
		k.addJob("wk-1")
		k.addJob("wk-2") // the most efficient fit: on the same machine
		m := k.core.machines[k.failTask("wk-1")]
		if other := k.failTask("wk-2"); other != m.Name {
			t.Fatalf("they were on %s and %s", m.Name, other)
		}
		if m.QuarantinedSince.IsZero() || k.core.placeable(k.now, m) || m.State != model.MachineReady {
			t.Errorf("sick %v: after two jobs' failures: %v, suspect %v", sick, m.State, m.QuarantinedSince)
		}
		k.step(time.Second, Tick{})
		if !sick {
			for _, id := range []string{"wk-1", "wk-2"} {
				if k.failTask(id) == m.Name {
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
			name, key := k.placementOf(id)
			o := k.core.machines[name]
			r := heartbeatOf(name, o.Epoch, o.Seq+1, 1)
			r.Tasks = append(r.Tasks, model.TaskStatus{Task: key.Task, Attempt: key.Number, Phase: model.PhaseExited,
				Cause: model.CauseDone})
			k.heartbeat(time.Second, r)
		}
		k.step(300*time.Millisecond, Tick{})
		if m.State != model.MachineDraining && m.State != model.MachineReleasing {
			t.Errorf("both jobs are done elsewhere: %v", m.State)
		}
	}
}

// A job that failed on many machines, and is cancelled, holds nothing against any of them.
func TestCancelledJobExoneratesMachines(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.core.settings.Backoff, k.core.settings.MachineFaultErrors = time.Second, 2
	k.register("n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	k.addJob("wk-1")
	for range 8 {
		k.failTask("wk-1")
		for range 300 {
			if name, _ := k.placementOf("wk-1"); name != "" {
				break
			}
			for _, m := range k.core.machines {
				k.heartbeat(0, heartbeatOf(m.Name, m.Epoch, m.Seq+1, 1))
			}
			k.step(500*time.Millisecond, Tick{})
		}
	}
	k.step(0, JobEnded{ID: "wk-1", Outcome: model.OutcomeCancelled})
	for _, m := range k.core.machines {
		if len(m.ErrorsByJob) > 0 || m.State != model.MachineReady {
			t.Errorf("%s: %v, %v", m.Name, m.State, m.ErrorsByJob)
		}
	}
}
