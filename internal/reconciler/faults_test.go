package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// quarantine makes two jobs fail on one of three machines and returns that machine. It must get no more tasks.
func quarantine(t *testing.T, s *workerScenario) *model.Machine {
	t.Helper()
	s.core.settings.MachineFaultErrors = 2
	s.register("n-1", "n-2", "n-3")
	s.addJob("wk-1")
	s.addJob("wk-2") // most efficient on the same machine
	machine := s.core.machines[s.failTask("wk-1")]
	if other := s.failTask("wk-2"); other != machine.Name {
		t.Fatalf("the jobs were on %s and %s, want the same machine", machine.Name, other)
	}
	if machine.QuarantinedSince.IsZero() || s.core.placeable(s.now, machine) || machine.State != model.MachineReady {
		t.Errorf("after two jobs' failures: got %v, quarantined since %v; want %v and quarantined",
			machine.State, machine.QuarantinedSince, model.MachineReady)
	}
	s.step(time.Second, Tick{})
	return machine
}

// Two jobs fail on one machine. The machine is used again once both have failed elsewhere too, and is released if
// they run well elsewhere.
func TestTaskFailuresAttributeFaultToMachineOrJob(t *testing.T) {
	t.Run("jobs fail elsewhere too", func(t *testing.T) {
		s := newWorkerScenario(t, &record.Snapshot{})
		machine := quarantine(t, s)
		for _, id := range []string{"wk-1", "wk-2"} {
			if s.failTask(id) == machine.Name {
				t.Errorf("%s was started on the quarantined machine", id)
			}
		}
		s.step(300*time.Millisecond, Tick{})
		if !machine.QuarantinedSince.IsZero() || machine.State != model.MachineReady {
			t.Errorf("got %v, quarantined since %v; want %v and not quarantined",
				machine.State, machine.QuarantinedSince, model.MachineReady)
		}
	})
	t.Run("jobs are done elsewhere", func(t *testing.T) {
		s := newWorkerScenario(t, &record.Snapshot{})
		machine := quarantine(t, s)
		for _, id := range []string{"wk-1", "wk-2"} {
			s.exitTask(time.Second, id, model.CauseDone)
		}
		s.step(300*time.Millisecond, Tick{})
		if machine.State != model.MachineDraining && machine.State != model.MachineReleasing {
			t.Errorf("got %v, want %v or %v", machine.State, model.MachineDraining, model.MachineReleasing)
		}
	})
}

// The failures of a cancelled job do not count against the machines on which it ran.
func TestCancelledJobExoneratesMachines(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.core.settings.Backoff, s.core.settings.MachineFaultErrors = time.Second, 2
	s.register("n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	s.addJob("wk-1")
	for range 8 {
		s.failTask("wk-1")
		for range 300 {
			if machine, _ := s.placementOf("wk-1"); machine != "" {
				break
			}
			for _, m := range s.core.machines {
				s.heartbeat(0, heartbeatOf(m.Name, m.Epoch, m.Seq+1, 1))
			}
			s.step(500*time.Millisecond, Tick{})
		}
	}
	s.step(0, JobEnded{ID: "wk-1", Outcome: model.OutcomeCancelled})
	for _, m := range s.core.machines {
		if len(m.ErrorsByJob) > 0 || m.State != model.MachineReady {
			t.Errorf("%s: got %v, errors %v; want %v, none", m.Name, m.State, m.ErrorsByJob, model.MachineReady)
		}
	}
}
