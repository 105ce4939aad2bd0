package fake

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// This file holds helpers that the scenario tests share: they create deployments and jobs, change them and check
// them.

const second = time.Second

// testLogger is the logger of all controllers. It writes to standard error if the environment variable FAKE_LOG is
// set, and discards all records otherwise.
var testLogger = slog.New(slog.NewTextHandler(testLogOutput(), nil))

func testLogOutput() io.Writer {
	if os.Getenv("FAKE_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// newDeployment creates a deployment with three controllers and two zones, and returns it once a leader is elected.
// The quota of team red is 32 CPUs, that of team blue 16. The test fails if an invariant is violated.
func newDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newScaledDeployment(t, machines, 1)
}

// newScaledDeployment is like newDeployment, but multiplies the teams' guarantees and quotas by quotaFactor.
func newScaledDeployment(t *testing.T, machines int, quotaFactor float64) *World {
	t.Helper()
	w := newTestWorld(machines, quotaFactor)
	expectNoViolations(t, w)
	w.Advance(6 * second)
	if w.Leader() == nil {
		t.Fatal("no leader was elected within 6 s")
	}
	return w
}

// expectNoViolations registers a cleanup that reports each violated invariant as a test error.
func expectNoViolations(t *testing.T, w *World) {
	t.Helper()
	t.Cleanup(func() {
		for _, violation := range w.Violations {
			t.Errorf("invariant violated: %s", violation)
		}
	})
}

// newTestWorld creates a deployment with three controllers. Its simulated time has not advanced yet, so there is no
// leader.
func newTestWorld(machines int, quotaFactor float64) *World {
	return newTestWorldWithMembers(3, machines, quotaFactor)
}

// newTestWorldWithMembers is like newTestWorld, but takes the number of controllers.
func newTestWorldWithMembers(members, machines int, quotaFactor float64) *World {
	platform := &config.Platform{Member: "tiller-0"}
	deployment := &platform.Deployment
	deployment.Zones = []string{"a", "b"}
	workers := &deployment.Workers
	workers.HeartbeatSeconds, workers.LeaseSeconds, workers.GangWaitSeconds, workers.GangPeerSeconds,
		workers.CancelSeconds = 2, 12, 20, 5, 30
	deployment.State.ValueKB, deployment.State.TxnOps = 8, 12
	deployment.Cloud.ListLagSeconds = 5
	operator := config.Defaults()
	settings := config.ReconcilerSettings(platform, operator)
	settings.Teams = []model.Team{
		{
			Name:      "red",
			Guarantee: model.Resources{CPU: 16 * quotaFactor},
			Quota:     model.NewQuota(32*quotaFactor, 0),
		},
		{
			Name:      "blue",
			Guarantee: model.Resources{CPU: 8 * quotaFactor},
			Quota:     model.NewQuota(16*quotaFactor, 0),
		},
	}
	electionSettings := config.ElectionSettings(platform, operator)
	w := NewWorld(members, settings, electionSettings, config.StoreLimits(platform), testLogger)
	w.Types = []model.MachineType{{
		Name:             "eight",
		Capacity:         model.Resources{CPU: 8, MemGB: 64},
		PricePerHour:     1,
		SpotPricePerHour: 0.3,
		BootTime:         5 * second,
		Zones:            []string{"a", "b"},
	}}
	for i := range machines {
		addMachine(w, deployment.Zones[i%2], false)
	}
	return w
}

// addMachine adds a running machine of type "eight", which has 8 CPUs.
func addMachine(w *World, zone string, spot bool) {
	w.AddMachine(model.MachineInfo{Name: w.NextName(), Type: "eight", Zone: zone, Spot: spot})
}

// newVotingDeployment is like newDeployment, but the controllers vote for the leader. Their votes keep the leadership
// valid when the leader cannot renew its lease at the state service.
func newVotingDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newVotingDeploymentWithOutageVotes(t, machines, 0)
}

// newVotingDeploymentWithOutageVotes is like newVotingDeployment, but votes last for outageVote while the state
// service is unreachable. Zero means that they last no longer than usual.
func newVotingDeploymentWithOutageVotes(t *testing.T, machines int, outageVote time.Duration) *World {
	t.Helper()
	w := newDeployment(t, machines)
	enableVoting(w, outageVote)
	waitForLeader(t, w, 10*second)
	return w
}

// newVotingTestWorld creates a deployment whose controllers vote for the leader, with tasks that run for an hour and
// four times the usual quotas. Votes last for 10 s while the state service is unreachable.
func newVotingTestWorld(t *testing.T, members, machines int) *World {
	t.Helper()
	w := newTestWorldWithMembers(members, machines, 4)
	w.RunTime = time.Hour
	enableVoting(w, 10*second)
	expectNoViolations(t, w)
	waitForLeader(t, w, 20*second)
	return w
}

// enableVoting restarts all controllers with votes enabled. Votes last for outageVote while the state service is
// unreachable; zero means that they last no longer than usual.
func enableVoting(w *World, outageVote time.Duration) {
	for _, c := range w.Controllers {
		c.electionSettings.VoteDuration = c.electionSettings.LeaseDuration * 7 / 8
		c.electionSettings.OutageVoteDuration = outageVote
		restartController(c)
	}
}

// lastJobNumber is the number in the ID of the last job that newJob created in this process.
var lastJobNumber int

// newJob creates a job of team red whose tasks use 4 CPUs each. customize may change any field; a nil customize is
// ignored.
func newJob(shape model.Shape, tasks int, customize func(*model.Spec)) *model.Spec {
	lastJobNumber++
	spec := &model.Spec{
		ID:               fmt.Sprintf("wk-%06d", lastJobNumber),
		Class:            "work",
		Team:             "red",
		Shape:            shape,
		Priority:         model.PriorityNormal,
		Tasks:            tasks,
		Demand:           model.Resources{CPU: 4, MemGB: 8},
		Image:            "img",
		ImageGB:          1,
		EstimatedRunTime: 10 * second,
		AllowSpot:        true,
	}
	if customize != nil {
		customize(spec)
	}
	return spec
}

// newDependentJob creates a job array with one task that depends on the given jobs.
func newDependentJob(dependencies ...*model.Spec) *model.Spec {
	return newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Demand.CPU = 1
		for _, dependency := range dependencies {
			spec.Dependencies = append(spec.Dependencies, dependency.ID)
		}
	})
}

// submitJob submits a job to the first controller and stops the test if the job is not accepted.
func submitJob(t *testing.T, w *World, spec *model.Spec) {
	t.Helper()
	if err := w.Submit(w.Controllers[0], spec); err != nil {
		t.Fatalf("submission of %s: got %v, want it accepted", spec.ID, err)
	}
}

// submitJobs submits jobs to all controllers in turn and stops the test if one is not accepted.
func submitJobs(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for i, spec := range specs {
		if err := w.Submit(w.Controllers[i%len(w.Controllers)], spec); err != nil {
			t.Fatalf("submission of %s: got %v, want it accepted", spec.ID, err)
		}
	}
}

// startJobs submits jobs, waits up to 60 s until all their tasks are active, and lets another 2 s pass.
func startJobs(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		submitJob(t, w, spec)
	}
	waitUntil(t, w, 60*second, "all tasks are active", func() bool {
		for _, spec := range specs {
			if activeTasks(w, spec) < spec.Tasks {
				return false
			}
		}
		return true
	})
	w.Advance(2 * second)
}

// waitUntil advances the simulated time until the condition holds, and stops the test if it does not within the
// timeout.
func waitUntil(t *testing.T, w *World, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := w.Now().Add(timeout); w.Now().Before(deadline); {
		if condition() {
			return
		}
		w.Advance(100 * time.Millisecond)
	}
	if !condition() {
		t.Fatalf("condition not met within %v: %s", timeout, description)
	}
}

// waitForLeader waits until a controller may act as the leader.
func waitForLeader(t *testing.T, w *World, timeout time.Duration) {
	t.Helper()
	waitUntil(t, w, timeout, "a controller leads", func() bool { return w.Leader() != nil })
}

// waitForOtherLeader waits until a controller other than former may act as the leader.
func waitForOtherLeader(t *testing.T, w *World, timeout time.Duration, former *Controller) {
	t.Helper()
	waitUntil(t, w, timeout, "another controller leads", func() bool {
		leader := w.Leader()
		return leader != nil && leader != former
	})
}

// refreshedState returns a job's state in a controller's cache after it has read all changes of the job records. A
// job that the cache does not hold is looked up at the state service.
func refreshedState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	if err := c.Jobs.LoadAndApplyChanges(context.Background()); err != nil {
		t.Fatalf("refresh of the job records at %s: %v", c.Member, err)
	}
	if record := c.Jobs.Peek(id); record.State != wire.StateUnknown {
		return record.State
	}
	return polledState(t, c, id)
}

// polledState returns the job state with which a controller answers a user's poll.
func polledState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	record, err := c.Jobs.Lookup(context.Background(), id)
	if err != nil {
		t.Fatalf("poll of %s at %s: %v", id, c.Member, err)
	}
	return record.State
}

// jobDone returns a condition for waitUntil that holds once a job is done according to the first controller.
func jobDone(t *testing.T, w *World, spec *model.Spec) func() bool {
	return func() bool { return refreshedState(t, w.Controllers[0], spec.ID) == wire.StateDone }
}

// expectState checks that every running controller answers a poll of a job with the wanted state.
func expectState(t *testing.T, w *World, spec *model.Spec, want wire.JobState) {
	t.Helper()
	for _, c := range w.Controllers {
		if !c.Up {
			continue
		}
		if got := polledState(t, c, spec.ID); got != want {
			t.Errorf("state of %s at %s: got %v, want %v", spec.ID, c.Member, got, want)
		}
	}
}

// activeTasks counts the tasks of a job that are on a machine as Task.OnMachine defines it: a task that still fetches
// its image does not count. A task that is on two machines counts twice.
func activeTasks(w *World, spec *model.Spec) int {
	active := 0
	for i := range spec.Tasks {
		active += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
	}
	return active
}

// startCount returns the total number of launches of a job's tasks that workers have carried out.
func startCount(w *World, spec *model.Spec) int {
	starts := 0
	for i := range spec.Tasks {
		starts += w.Launches[model.TaskID{Job: spec.ID, Index: i}]
	}
	return starts
}

// workersOf returns the workers on which a job's tasks are active, in the order of the tasks.
func workersOf(w *World, spec *model.Spec) (workers []*Worker) {
	for i := range spec.Tasks {
		for _, name := range w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}) {
			workers = append(workers, w.Workers[name])
		}
	}
	return workers
}

// completeTask makes the phase that a task is in end at the current simulated time, so that a running task completes
// with the next tick.
func completeTask(w *World, spec *model.Spec, index int) {
	for _, worker := range w.Workers {
		for _, task := range worker.Tasks {
			if task.ID.Job == spec.ID && task.ID.Index == index {
				task.phaseEnd = w.Now()
			}
		}
	}
}

// nonLeader returns the first controller other than the leader, or nil if there is none.
func nonLeader(w *World, leader *Controller) *Controller {
	for _, c := range w.Controllers {
		if c != leader {
			return c
		}
	}
	return nil
}

// cancelJobs cancels jobs through a controller and stops the test if a cancellation is not confirmed.
func cancelJobs(t *testing.T, w *World, c *Controller, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		if _, err := w.Cancel(c, spec.ID); err != nil {
			t.Fatalf("cancellation of %s at %s: got %v, want it confirmed", spec.ID, c.Member, err)
		}
	}
}

// restartController crashes a controller and starts it again at once. Its in-memory state is lost.
func restartController(c *Controller) {
	c.Crash()
	c.Start()
}

// restoreControllers clears the faults of all controllers and starts those that are down.
func restoreControllers(w *World) {
	for _, c := range w.Controllers {
		c.ControllerFaults = ControllerFaults{}
		if !c.Up {
			c.Start()
		}
	}
}

// restartAllControllers crashes all controllers, starts them again with the present transaction limit of the World, and
// waits for a leader. chunkTasks is the number of tasks in a chunk of the legacy record layout; zero selects the
// current layout.
func restartAllControllers(t *testing.T, w *World, chunkTasks int) {
	t.Helper()
	for _, c := range w.Controllers {
		c.Crash()
	}
	for _, c := range w.Controllers {
		c.settings.NumberedChunkTasks, c.settings.MaxTxnOps = chunkTasks, w.StoreLimits.MaxChanges
		c.Start()
	}
	waitForLeader(t, w, 20*second)
}

// preloadHex stores a record, given in hexadecimal, in the state service.
func preloadHex(t *testing.T, w *World, key, hexValue string) {
	t.Helper()
	value, err := hex.DecodeString(hexValue)
	if err != nil {
		t.Fatalf("decode hexadecimal value of %s: %v", key, err)
	}
	w.State.Preload(key, value)
}

// setRapidFlags sets flags of package rapid and restores their values when the test ends.
func setRapidFlags(t *testing.T, values map[string]string) {
	t.Helper()
	for name, value := range values {
		former := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatalf("set flag %s: %v", name, err)
		}
		t.Cleanup(func() { _ = flag.Set(name, former) }) // the former value is valid
	}
}

// loseCommitAnswers makes each transaction lose its answer with the given probability. Such a transaction is carried
// out at once if commitNow is set; otherwise it is appended to delayedCommits, and the caller carries it out.
func loseCommitAnswers(w *World, random *rand.Rand, probability float64, commitNow bool) (delayedCommits *[]func()) {
	delayedCommits = &[]func(){}
	w.InterceptCommit = func(_ *Controller, body []byte) (bool, error) {
		if random.Float64() >= probability {
			return false, nil
		}
		body = slices.Clone(body)
		commit := func() { _, _ = w.State.Call("POST", "/commit", body, second) } // a condition may fail
		if commitNow {
			commit()
		} else {
			*delayedCommits = append(*delayedCommits, commit)
		}
		return true, context.DeadlineExceeded
	}
	return delayedCommits
}

// newDeploymentWithLedger is like newDeployment, but with a ledger. customize may change the ledger's settings; a nil
// customize is ignored.
func newDeploymentWithLedger(t *testing.T, machines int, customize func(*reconciler.LedgerSettings)) *World {
	t.Helper()
	w := newDeployment(t, machines)
	platform := &config.Platform{Member: "tiller-0"}
	state := &platform.Deployment.State
	state.ValueKB, state.TxnOps, state.WriteRPS = 2, 4, 80
	operator := config.Defaults()
	operator.Ledger = &config.Ledger{
		SettleInterval: config.Duration(2 * second),
		KeepHours:      config.Duration(24 * time.Hour),
		KeepDays:       config.Duration(96 * time.Hour),
	}
	w.ledger = config.LedgerSettings(platform, operator)
	w.ledger.Weights = map[string]float64{"red": 16, "blue": 8}
	if customize != nil {
		customize(w.ledger)
	}
	for _, c := range w.Controllers {
		restartController(c)
	}
	waitForLeader(t, w, 10*second)
	return w
}
