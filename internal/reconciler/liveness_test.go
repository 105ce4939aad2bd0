package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// workerScenario plays a leader with machines whose messages the test writes.
type workerScenario struct {
	*testing.T
	core    *Core
	now     time.Time
	effects []Effect // of the last step
}

func newWorkerScenario(t *testing.T, snap *Snapshot) *workerScenario {
	k := &workerScenario{T: t, now: time.Unix(1000, 0)}
	k.core = newTestLeader(k.now, snap)
	k.core.settings.MaxUnresponsiveShare = 0.34
	return k
}

func (k *workerScenario) step(after time.Duration, ev Event) {
	k.now = k.now.Add(after)
	k.effects = append([]Effect(nil), k.core.Step(k.now, ev)...)
	for _, e := range k.effects {
		if s, ok := e.(Commit); ok {
			k.core.Step(k.now, CommitCompleted{Changes: s.Changes, Outcome: OK})
		}
	}
}

// heartbeatOf has a machine report; rows are its tasks that run.
func heartbeatOf(machine string, session, seq, token uint64, rows ...model.AttemptKey) *model.Heartbeat {
	r := &model.Heartbeat{Machine: machine, Addr: machine, Type: "eight", Zone: "a", Epoch: session, Seq: seq, FencingToken: token}
	for _, x := range rows {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: x.Task, Attempt: x.Number, Phase: model.PhaseRunning})
	}
	return r
}

func (k *workerScenario) heartbeat(after time.Duration, r *model.Heartbeat) {
	k.step(after, HeartbeatReceived{Heartbeat: r})
}

// answerProbe has a machine answer the question that the last step has asked it.
func (k *workerScenario) answerProbe(r *model.Heartbeat) {
	k.Helper()
	for _, e := range k.effects {
		if q, ok := e.(SendCommands); ok && q.Machine == r.Machine && len(q.Commands) == 0 {
			k.step(10*time.Millisecond, CommandCompleted{Machine: q.Machine, Epoch: q.Epoch, Outcome: OK, Heartbeat: r})
			return
		}
	}
	k.Fatalf("%s was not asked", r.Machine)
}

func (k *workerScenario) responseRefused() bool {
	for _, e := range k.effects {
		if a, ok := e.(HeartbeatResponse); ok {
			return a.Refused
		}
	}
	return false
}

// addJob adds a job of one task and tells the machine that it is placed on.
func (k *workerScenario) addJob(id string) (string, model.AttemptKey) {
	k.Helper()
	k.step(0, JobAdded{Version: 9, SubmittedAt: k.now, Spec: &model.Spec{ID: id, Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute}})
	k.step(200*time.Millisecond, Tick{})
	return k.placementOf(id)
}

func (k *workerScenario) placementOf(id string) (string, model.AttemptKey) {
	for _, m := range k.core.machines {
		for key, a := range m.Attempts {
			if key.Task.Job == id && a.Active() {
				return m.Name, key
			}
		}
	}
	return "", model.AttemptKey{}
}

// register has machines report, with this leader's token in the second report.
func (k *workerScenario) register(names ...string) {
	for _, n := range names {
		k.heartbeat(0, heartbeatOf(n, 1, 1, 1))
		k.heartbeat(0, heartbeatOf(n, 1, 2, 1))
	}
}

func TestDuplicateHeartbeatDoesNotRenewLease(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1")
	_, task := k.addJob("wk-1")
	k.heartbeat(2*time.Second, heartbeatOf("n-1", 1, 20, 1, task))
	deadline := k.core.machines["n-1"].LeaseExpiry
	k.heartbeat(3*time.Second, heartbeatOf("n-1", 1, 10, 1))
	if m := k.core.machines["n-1"]; !k.responseRefused() || m.LeaseExpiry != deadline || m.ActiveCount != 1 {
		t.Errorf("refused %v, lease longer by %v, holding %d", k.responseRefused(), m.LeaseExpiry.Sub(deadline), m.ActiveCount)
	}
	// The same report by another way is answered, and counts from when it came first.
	k.heartbeat(0, heartbeatOf("n-1", 1, 20, 1, task))
	if k.responseRefused() || k.core.machines["n-1"].LeaseExpiry != deadline {
		t.Error("what comes again is refused, or renews the lease")
	}
}

func TestRestartedMachineIsReconciledByProbe(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1", "n-2")
	name, task := k.addJob("wk-1")
	k.step(0, CommandCompleted{Machine: name, Epoch: 1, Commands: []model.Command{{Op: model.OpLaunch, Task: task.Task, Attempt: task.Number}}, Outcome: OK, Heartbeat: heartbeatOf(name, 1, 30, 1, task)})
	k.heartbeat(time.Second, heartbeatOf(name, 1, 50, 1, task))
	k.heartbeat(time.Second, heartbeatOf(name, 1, 1, 0)) // it has begun anew
	if m := k.core.machines[name]; !k.responseRefused() || m.ActiveCount != 1 {
		t.Fatalf("refused %v, holding %d: a report alone has decided it", k.responseRefused(), m.ActiveCount)
	}
	k.answerProbe(heartbeatOf(name, 1, 2, 1))
	if m := k.core.machines[name]; m.Numbering != liveness.Restarted || m.ActiveCount != 0 || k.core.jobs["wk-1"].Waiting() != 1 {
		t.Fatalf("life %v, holding %d, waiting %d", m.Numbering, m.ActiveCount, k.core.jobs["wk-1"].Waiting())
	}
	k.step(time.Second, Tick{})
	if _, again := k.placementOf("wk-1"); again.Number == task.Number || again.Number == 0 {
		t.Error("the task was not started again")
	}
	// What its former life has sent is not believed, though its numbers are higher.
	k.heartbeat(time.Second, heartbeatOf(name, 1, 49, 1, task))
	if k.core.machines[name].Attempts[task] != nil {
		t.Error("a late copy has brought the task back")
	}
}

func TestUnansweredLaunchToFormerIncarnationKeepsAttempt(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1")
	name, task := k.addJob("wk-1")
	k.step(0, CommandCompleted{Machine: name, Epoch: 1, Commands: []model.Command{{Op: model.OpLaunch, Task: task.Task, Attempt: task.Number}}, Outcome: Unknown})
	k.heartbeat(time.Second, heartbeatOf(name, 1, 50, 1, task))
	k.heartbeat(time.Second, heartbeatOf(name, 1, 1, 0))
	k.answerProbe(heartbeatOf(name, 1, 2, 1))
	if m := k.core.machines[name]; m.State != model.MachineReleasing || m.ActiveCount != 1 {
		t.Errorf("%v, holding %d: the launch that hangs may reach the new life", m.State, m.ActiveCount)
	}
}

func TestHeartbeatOfFormerIncarnationKeepsRunningTask(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{Jobs: []JobAdded{{Version: 0, SubmittedAt: time.Unix(900, 0), Spec: &model.Spec{ID: "wk-1", Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute}}}, Machines: []model.MachineInfo{{Name: "n-1", Addr: "n-1", Type: "eight", Zone: "a"}}})
	task := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 7}
	k.heartbeat(0, heartbeatOf("n-1", 1, 5, 0, task)) // an earlier leader has started it, in the machine's second life
	k.heartbeat(time.Second, heartbeatOf("n-1", 1, 501, 0))
	if k.core.machines["n-1"].ActiveCount != 1 {
		t.Fatal("a copy from the life before has freed a task that runs")
	}
	k.answerProbe(heartbeatOf("n-1", 1, 6, 1, task))
	if m := k.core.machines["n-1"]; m.ActiveCount != 1 || m.Numbering != liveness.Restarted || m.Unreconciled {
		t.Errorf("holding %d, life %v, unsure %v", m.ActiveCount, m.Numbering, m.Unreconciled)
	}
	// One that it really has no more is gone with the next answer.
	k.heartbeat(time.Second, heartbeatOf("n-1", 1, 7, 1))
	k.answerProbe(heartbeatOf("n-1", 1, 8, 1))
	if k.core.machines["n-1"].ActiveCount != 0 {
		t.Error("what the answer to a question lacks still counts")
	}
}

func TestHeartbeatWithLowerTokenStartsNewIncarnation(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1")
	k.heartbeat(time.Second, heartbeatOf("n-1", 1, 3, 0)) // it was up for three reports, and is again
	if !k.responseRefused() {
		t.Error("taken for the life that has seen the token")
	}
	lease := func(what string) {
		t.Helper()
		if m := k.core.machines["n-1"]; m.LeaseExpiry != k.core.leaseExpiry(k.now) {
			t.Errorf("%s: its lease counts from %v ago", what, k.core.leaseExpiry(k.now).Sub(m.LeaseExpiry))
		}
	}
	lease("a new life")
	k.answerProbe(heartbeatOf("n-1", 1, 4, 1))
	if m := k.core.machines["n-1"]; m.Numbering != liveness.Restarted || m.Seq != 4 {
		t.Errorf("life %v, number %d", m.Numbering, m.Seq)
	}
	lease("an answer, which may be a new life's")
}

func TestDelayedHeartbeatOfReleasedMachineIsIgnored(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.core.fencingToken = 5
	ghost := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 3}
	k.heartbeat(0, heartbeatOf("n-9", 2, 400, 4, ghost)) // returned under an earlier leader
	if m := k.core.machines["n-9"]; m.State != model.MachineBooting || len(m.Attempts) != 0 {
		t.Fatalf("%v with %d rows after a report that may be of long ago", m.State, len(m.Attempts))
	}
	if name, _ := k.addJob("wk-1"); name != "" {
		t.Error("placed on a machine that is gone")
	}
	// One that is there answers.
	k.heartbeat(time.Second, heartbeatOf("n-8", 1, 400, 4))
	k.answerProbe(heartbeatOf("n-8", 1, 401, 5))
	if m := k.core.machines["n-8"]; m.State != model.MachineReady {
		t.Errorf("%v after it has answered", m.State)
	}
}

func TestLaterAttemptSupersedesEarlierOne(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{Jobs: []JobAdded{{Version: 0, SubmittedAt: time.Unix(900, 0), Spec: &model.Spec{ID: "wk-1", Team: "red", Shape: model.Service, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}}}}, Machines: []model.MachineInfo{{Name: "n-1", Type: "eight", Zone: "a"}, {Name: "n-2", Type: "eight", Zone: "a"}}})
	first, second := model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 3}, model.AttemptKey{Task: model.TaskID{Job: "wk-1"}, Number: 4}
	k.heartbeat(0, heartbeatOf("n-1", 1, 5, 0, first)) // a late copy
	k.heartbeat(0, heartbeatOf("n-2", 1, 5, 0, second))
	if a := k.core.machines["n-2"].Attempts[second]; a.State != model.AttemptPresent || k.core.jobs["wk-1"].ActiveAttempts[0] != a {
		t.Errorf("the start that runs is %v", a.State)
	}
}

// unresponsive has a machine report that does nothing of what it is told, and answers no question, for a time.
func (k *workerScenario) unresponsive(d time.Duration, machine string, seq uint64, rows ...model.AttemptKey) {
	for end := k.now.Add(d); k.now.Before(end); seq++ {
		k.heartbeat(2*time.Second, heartbeatOf(machine, 1, seq, 1, rows...))
		k.loseCommands()
		k.step(time.Second, Tick{})
		k.loseCommands()
	}
}

func (k *workerScenario) loseCommands() {
	for _, e := range k.effects {
		if q, ok := e.(SendCommands); ok {
			k.step(0, CommandCompleted{Machine: q.Machine, Epoch: q.Epoch, Commands: q.Commands, Outcome: Unknown})
		}
	}
}

func TestUnresponsiveMachineReceivesNoTasksAndIsReplaced(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1", "n-2")
	name, _ := k.addJob("wk-1")
	k.loseCommands()
	other := map[string]string{"n-1": "n-2", "n-2": "n-1"}[name]
	k.unresponsive(6*time.Second, name, 10)
	if m := k.core.machines[name]; m.Detector.State != liveness.Suspect {
		t.Fatalf("%v after three reports without what it was told", m.Detector.State)
	}
	k.heartbeat(0, heartbeatOf(other, 1, 10, 1))
	if on, _ := k.addJob("wk-2"); on != other {
		t.Errorf("placed on %q", on)
	}
	k.unresponsive(8*time.Second, name, 20)
	if m := k.core.machines[name]; m.State != model.MachineReleasing || m.StateReason != "deaf" || m.ActiveCount != 1 {
		t.Errorf("%v (%s), holding %d", m.State, m.StateReason, m.ActiveCount)
	}
}

// A deaf worker turns from member to member, so what tells of it comes by way of others, and the leader
// hears it itself more rarely than its lease lasts.
func TestUnresponsiveMachineIsDetectedThroughRelayedHeartbeats(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1", "n-2", "n-3", "n-4")
	k.step(5*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 3, 1), Relayed: true})
	if m := k.core.machines["n-1"]; m.Detector.State != liveness.Probing {
		t.Fatalf("%v", m.Detector.State)
	}
	k.loseCommands()
	if m := k.core.machines["n-1"]; m.Detector.State != liveness.Suspect || k.core.placeable(k.now, m) {
		t.Errorf("%v, placeable %v", m.Detector.State, k.core.placeable(k.now, m))
	}
	// One whose answers arrive by way of another member keeps its session, and is trusted again.
	for seq := uint64(4); seq < 12; seq++ {
		k.step(2*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, seq, 1), Relayed: true})
		k.loseCommands()
	}
	if m := k.core.machines["n-1"]; m.Detector.State != liveness.Alive {
		t.Errorf("%v after its session has outlived the doubt", m.Detector.State)
	}
	// Its lease runs out although it was answered: it is asked.
	k.heartbeat(2*time.Second, heartbeatOf("n-2", 1, 3, 1))
	k.step(13*time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-2", 2, 1, 1), Relayed: true})
	if m := k.core.machines["n-2"]; m.Detector.State != liveness.Probing {
		t.Errorf("%v: its lease has run out in between", m.Detector.State)
	}
}

func TestUnresponsiveMachineIsTrustedAgainAfterAnswer(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1", "n-2", "n-3")
	name, task := k.addJob("wk-1")
	k.loseCommands()
	k.unresponsive(5*time.Second, name, 10)
	k.heartbeat(2*time.Second, heartbeatOf(name, 1, 30, 1, task)) // the launch has reached it after all
	if m := k.core.machines[name]; m.Detector.State != liveness.Alive || !k.core.placeable(k.now, m) {
		t.Errorf("%v, %s", m.Detector.State, k.core.placementObstacle(k.now, m))
	}
}

func TestLeaderWithoutReachableWorkersIsIsolated(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	names := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-7", "n-8", "n-9", "n-10"}
	k.register(names...)
	for seq := uint64(10); seq < 16; seq++ {
		for _, n := range names {
			k.heartbeat(0, heartbeatOf(n, 1, seq, 1))
			k.loseCommands()
			k.step(500*time.Millisecond, Tick{}) // ten in as long as workers wait for an answer, and a second
			k.loseCommands()
		}
	}
	if !k.core.Isolated(k.now) {
		t.Error("it goes on leading")
	}
	for _, n := range names {
		if m := k.core.machines[n]; m.State == model.MachineReleasing {
			t.Errorf("%s is given back for what is wrong here", n)
		}
	}
}

// A launch that went straight to a worker, and was answered, may be repeated by the network: the row
// of what was stopped stays for three leases, so that the repeat finds it.
func TestEndedAttemptOutlivesDuplicateLaunches(t *testing.T) {
	k := newWorkerScenario(t, &Snapshot{})
	k.register("n-1")
	_, task := k.addJob("wk-1")
	k.step(0, CommandCompleted{Machine: "n-1", Epoch: 1, Commands: []model.Command{{Op: model.OpLaunch, Task: task.Task, Attempt: task.Number}}, Outcome: OK, Heartbeat: heartbeatOf("n-1", 1, 30, 1, task)})
	exited := func(seq uint64) *model.Heartbeat {
		r := heartbeatOf("n-1", 1, seq, 1, task)
		r.Tasks[0].Phase, r.Tasks[0].Cause = model.PhaseExited, model.CauseError
		return r
	}
	forgets := func() bool {
		for _, e := range k.effects {
			if a, ok := e.(HeartbeatResponse); ok {
				for _, o := range a.Commands {
					if o.Op == model.OpForget && o.Attempt == task.Number {
						return true
					}
				}
			}
		}
		return false
	}
	seq := uint64(40)
	for end := k.now.Add(34 * time.Second); k.now.Before(end); seq++ {
		if k.heartbeat(2*time.Second, exited(seq)); forgets() {
			t.Fatal("forgotten while its launch may be repeated")
		}
	}
	if k.heartbeat(4*time.Second, exited(seq)); !forgets() {
		t.Error("kept for ever")
	}
}
