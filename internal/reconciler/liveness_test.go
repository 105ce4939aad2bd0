package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

func TestDuplicateHeartbeatDoesNotRenewLease(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1")
	_, task := s.addJob("wk-1")
	s.heartbeat(2*time.Second, heartbeatOf("n-1", 1, 20, 1, task))
	expiry := s.core.machines["n-1"].LeaseExpiry
	s.heartbeat(3*time.Second, heartbeatOf("n-1", 1, 10, 1))
	if m := s.core.machines["n-1"]; !s.responseRefused() || m.LeaseExpiry != expiry || m.ActiveCount != 1 {
		t.Errorf("delayed heartbeat: got refused %v, lease extended by %v, %d attempts; want true, 0s, 1",
			s.responseRefused(), m.LeaseExpiry.Sub(expiry), m.ActiveCount)
	}
	// A copy of the newest heartbeat on another path is answered, but it does not extend the lease again.
	s.heartbeat(0, heartbeatOf("n-1", 1, 20, 1, task))
	if got := s.core.machines["n-1"].LeaseExpiry; s.responseRefused() || got != expiry {
		t.Errorf("duplicate: got refused %v, lease until %v; want false, %v", s.responseRefused(), got, expiry)
	}
}

func TestRestartedMachineIsReconciledByProbe(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1", "n-2")
	name, task := s.addJob("wk-1")
	s.completeLaunch(name, task, OutcomeOK, heartbeatOf(name, 1, 30, 1, task))
	s.heartbeat(time.Second, heartbeatOf(name, 1, 50, 1, task))
	s.heartbeat(time.Second, heartbeatOf(name, 1, 1, 0)) // sent after a restart
	if m := s.core.machines[name]; !s.responseRefused() || m.ActiveCount != 1 {
		t.Fatalf("after the heartbeat alone: got refused %v, %d attempts; want true, 1",
			s.responseRefused(), m.ActiveCount)
	}
	s.answerProbe(heartbeatOf(name, 1, 2, 1))
	m, waiting := s.core.machines[name], s.core.jobs["wk-1"].WaitingTasks()
	if m.Numbering != liveness.NumbersRestarted || m.ActiveCount != 0 || waiting != 1 {
		t.Fatalf("after the probe's answer: got %v, %d attempts, %d waiting; want %v, 0, 1",
			m.Numbering, m.ActiveCount, waiting, liveness.NumbersRestarted)
	}
	s.step(time.Second, Tick{})
	if _, again := s.placementOf("wk-1"); again.Number == task.Number || again.Number == 0 {
		t.Errorf("got attempt %d after attempt %d, want a new one", again.Number, task.Number)
	}
	// A message of the former incarnation is not trusted, although its numbers are higher.
	s.heartbeat(time.Second, heartbeatOf(name, 1, 49, 1, task))
	if s.core.machines[name].Attempts[task] != nil {
		t.Error("a delayed heartbeat of the former incarnation restored the attempt")
	}
}

func TestUnansweredLaunchToFormerIncarnationKeepsAttempt(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1")
	name, task := s.addJob("wk-1")
	s.completeLaunch(name, task, OutcomeUnknown, nil)
	s.heartbeat(time.Second, heartbeatOf(name, 1, 50, 1, task))
	s.heartbeat(time.Second, heartbeatOf(name, 1, 1, 0))
	s.answerProbe(heartbeatOf(name, 1, 2, 1))
	if m := s.core.machines[name]; m.State != model.MachineReleasing || m.ActiveCount != 1 {
		t.Errorf("got %v, %d attempts; want %v, 1, since the launch may reach the present incarnation",
			m.State, m.ActiveCount, model.MachineReleasing)
	}
}

func TestHeartbeatOfFormerIncarnationKeepsRunningTask(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{
		Jobs:     []record.Job{inheritedJob(oneTask("wk-1", model.Array))},
		Machines: []model.MachineInfo{inheritedMachine("n-1", "n-1")},
	})
	task := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 7}
	s.heartbeat(0, heartbeatOf("n-1", 1, 5, 0, task)) // started by an earlier leader in the present incarnation
	s.heartbeat(time.Second, heartbeatOf("n-1", 1, 501, 0))
	if got := s.core.machines["n-1"].ActiveCount; got != 1 {
		t.Fatalf("after a heartbeat of the former incarnation: got %d attempts, want 1", got)
	}
	s.answerProbe(heartbeatOf("n-1", 1, 6, 1, task))
	if m := s.core.machines["n-1"]; m.ActiveCount != 1 || m.Numbering != liveness.NumbersRestarted || m.Unreconciled {
		t.Errorf("after the probe's answer: got %d attempts, %v, unreconciled %v; want 1, %v, false",
			m.ActiveCount, m.Numbering, m.Unreconciled, liveness.NumbersRestarted)
	}
	// An attempt that is really gone is dropped when the next probe is answered.
	s.heartbeat(time.Second, heartbeatOf("n-1", 1, 7, 1))
	s.answerProbe(heartbeatOf("n-1", 1, 8, 1))
	if got := s.core.machines["n-1"].ActiveCount; got != 0 {
		t.Errorf("after a probe's answer that lacks the attempt: got %d attempts, want 0", got)
	}
}

func TestHeartbeatWithLowerTokenStartsNewIncarnation(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1")
	s.heartbeat(time.Second, heartbeatOf("n-1", 1, 3, 0)) // the third heartbeat of another incarnation
	if !s.responseRefused() {
		t.Error("got a heartbeat response as for the incarnation that has seen the token, want a refusal")
	}
	checkLease := func(what string) {
		t.Helper()
		if m := s.core.machines["n-1"]; m.LeaseExpiry != s.core.leaseExpiry(s.now) {
			t.Errorf("%s: got lease expiry %v, want %v", what, m.LeaseExpiry, s.core.leaseExpiry(s.now))
		}
	}
	checkLease("new incarnation")
	s.answerProbe(heartbeatOf("n-1", 1, 4, 1))
	if m := s.core.machines["n-1"]; m.Numbering != liveness.NumbersRestarted || m.Seq != 4 {
		t.Errorf("got %v, sequence number %d; want %v, 4", m.Numbering, m.Seq, liveness.NumbersRestarted)
	}
	checkLease("answer that may be of a new incarnation")
}

func TestDelayedHeartbeatOfReleasedMachineIsIgnored(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.core.fencingToken = 5
	gone := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 3}
	s.heartbeat(0, heartbeatOf("n-9", 2, 400, 4, gone)) // a delayed copy, from a machine that an earlier leader released
	if m := s.core.machines["n-9"]; m.State != model.MachineBooting || len(m.Attempts) != 0 {
		t.Fatalf("got %v with %d attempts, want %v with none", m.State, len(m.Attempts), model.MachineBooting)
	}
	if name, _ := s.addJob("wk-1"); name != "" {
		t.Errorf("job placed on %s, which has been released", name)
	}
	// A machine that still exists answers the probe.
	s.heartbeat(time.Second, heartbeatOf("n-8", 1, 400, 4))
	s.answerProbe(heartbeatOf("n-8", 1, 401, 5))
	if m := s.core.machines["n-8"]; m.State != model.MachineReady {
		t.Errorf("after the probe's answer: got %v, want %v", m.State, model.MachineReady)
	}
}

func TestLaterAttemptSupersedesEarlierOne(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{
		Jobs:     []record.Job{inheritedJob(oneTask("wk-1", model.Service))},
		Machines: []model.MachineInfo{inheritedMachine("n-1", ""), inheritedMachine("n-2", "")},
	})
	first := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 3}
	second := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 4}
	s.heartbeat(0, heartbeatOf("n-1", 1, 5, 0, first)) // a delayed copy
	s.heartbeat(0, heartbeatOf("n-2", 1, 5, 0, second))
	attempt := s.core.machines["n-2"].Attempts[second]
	if attempt.State != model.AttemptPresent || s.core.jobs["wk-1"].ActiveAttempts[0] != attempt {
		t.Errorf("later attempt: got %v, want %v and active", attempt.State, model.AttemptPresent)
	}
}

func TestUnresponsiveMachineReceivesNoTasksAndIsReplaced(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1", "n-2")
	name, _ := s.addJob("wk-1")
	s.loseCommands()
	other := map[string]string{"n-1": "n-2", "n-2": "n-1"}[name]
	s.simulateUnresponsive(6*time.Second, name, 10)
	if got := s.core.machines[name].Detector.State; got != liveness.Suspect {
		t.Fatalf("after three heartbeats without the launch: got %v, want %v", got, liveness.Suspect)
	}
	s.heartbeat(0, heartbeatOf(other, 1, 10, 1))
	if on, _ := s.addJob("wk-2"); on != other {
		t.Errorf("second job placed on %q, want %q", on, other)
	}
	s.simulateUnresponsive(8*time.Second, name, 20)
	m := s.core.machines[name]
	if m.State != model.MachineReleasing || m.StateReason != "deaf" || m.ActiveCount != 1 {
		t.Errorf("got %v (%s), %d attempts; want %v (%s), 1",
			m.State, m.StateReason, m.ActiveCount, model.MachineReleasing, reasonUnresponsive)
	}
}

// A worker that receives no responses switches from member to member. Its failure therefore shows in relayed
// heartbeats, and the leader receives direct ones less often than once per lease.
func TestUnresponsiveMachineIsDetectedThroughRelayedHeartbeats(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1", "n-2", "n-3", "n-4")
	state := func(machine string) liveness.State { return s.core.Liveness(machine) }
	s.step(5*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 3, 1), Relayed: true})
	if got := state("n-1"); got != liveness.Probing {
		t.Fatalf("after a late relayed heartbeat: got %v, want %v", got, liveness.Probing)
	}
	s.loseCommands()
	if got := state("n-1"); got != liveness.Suspect {
		t.Errorf("after an unanswered probe: got %v, want %v", got, liveness.Suspect)
	}
	if s.core.placeable(s.now, s.core.machines["n-1"]) {
		t.Error("got a suspect on which tasks may be placed, want none placed there")
	}
	// A worker that receives its responses through another member keeps its epoch, and is trusted again.
	for seq := uint64(4); seq < 12; seq++ {
		s.step(2*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, seq, 1), Relayed: true})
		s.loseCommands()
	}
	if got := state("n-1"); got != liveness.Alive {
		t.Errorf("after its epoch has lasted for a lease since it became a suspect: got %v, want %v", got, liveness.Alive)
	}
	// A worker whose lease expires although its heartbeats were answered is probed.
	s.heartbeat(2*time.Second, heartbeatOf("n-2", 1, 3, 1))
	s.step(13*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-2", 2, 1, 1), Relayed: true})
	if got := state("n-2"); got != liveness.Probing {
		t.Errorf("after its lease expired between two heartbeats: got %v, want %v", got, liveness.Probing)
	}
}

func TestUnresponsiveMachineIsTrustedAgainAfterAnswer(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1", "n-2", "n-3")
	name, task := s.addJob("wk-1")
	s.loseCommands()
	s.simulateUnresponsive(5*time.Second, name, 10)
	s.heartbeat(2*time.Second, heartbeatOf(name, 1, 30, 1, task)) // shows that the launch has arrived after all
	if m := s.core.machines[name]; m.Detector.State != liveness.Alive || !s.core.placeable(s.now, m) {
		t.Errorf("got %v (%s), want %v and placeable",
			m.Detector.State, s.core.placementObstacle(s.now, m), liveness.Alive)
	}
}

func TestLeaderWithoutReachableWorkersIsIsolated(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	names := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-7", "n-8", "n-9", "n-10"}
	s.register(names...)
	for seq := uint64(10); seq < 16; seq++ {
		for _, name := range names {
			s.heartbeat(0, heartbeatOf(name, 1, seq, 1))
			s.loseCommands()
			s.step(500*time.Millisecond, Tick{}) // all ten take 5 s: the response timeout of workers and 1 s more
			s.loseCommands()
		}
	}
	if !s.core.Isolated(s.now) {
		t.Error("got a leader that is not isolated, want an isolated one")
	}
	for _, name := range names {
		if m := s.core.machines[name]; m.State == model.MachineReleasing {
			t.Errorf("%s: released (%s), want it kept, since the leader is at fault", name, m.StateReason)
		}
	}
}

// The network may repeat a directly sent launch even after it was answered. The attempt is kept for three leases
// after it has ended, so that a repeated launch has no effect.
func TestEndedAttemptOutlivesDuplicateLaunches(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.register("n-1")
	_, task := s.addJob("wk-1")
	s.completeLaunch("n-1", task, OutcomeOK, heartbeatOf("n-1", 1, 30, 1, task))
	exited := func(seq uint64) *model.Heartbeat { return exitOf("n-1", 1, seq, task, model.CauseError) }
	seq := uint64(40)
	for end := s.now.Add(34 * time.Second); s.now.Before(end); seq++ {
		if s.heartbeat(2*time.Second, exited(seq)); s.toldToForget(task) {
			t.Fatal("attempt forgotten while its launch may still be repeated")
		}
	}
	if s.heartbeat(4*time.Second, exited(seq)); !s.toldToForget(task) {
		t.Error("attempt not forgotten after three leases")
	}
}
