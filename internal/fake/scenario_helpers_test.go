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

// This file holds what the scenarios share: deployments, jobs, and what is done to and expected of them.

const second = time.Second

// testLogger is the controllers' log; FAKE_LOG shows it.
var testLogger = slog.New(slog.NewTextHandler(logWriter(), nil))

func logWriter() io.Writer {
	if os.Getenv("FAKE_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// newDeployment is a deployment of three members and two zones that has a leader. The team red may use 32 CPUs, the
// team blue 16. A broken invariant fails the test.
func newDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newScaledDeployment(t, machines, 1)
}

// newScaledDeployment is newDeployment with teams that may use a multiple of that.
func newScaledDeployment(t *testing.T, machines int, quotaFactor float64) *World {
	t.Helper()
	w := newTestWorld(machines, quotaFactor)
	expectNoViolations(t, w)
	w.Advance(6 * second)
	if w.Leader() == nil {
		t.Fatal("nobody leads after 6 s")
	}
	return w
}

// expectNoViolations fails the test at its end for each invariant that was broken.
func expectNoViolations(t *testing.T, w *World) {
	t.Helper()
	t.Cleanup(func() {
		for _, violation := range w.Violations {
			t.Errorf("broken: %s", violation)
		}
	})
}

// newTestWorld is a deployment of three members whose time has not begun.
func newTestWorld(machines int, quotaFactor float64) *World {
	return newTestWorldOf(3, machines, quotaFactor)
}

// newTestWorldOf is newTestWorld with a number of members.
func newTestWorldOf(members, machines int, quotaFactor float64) *World {
	platform := &config.Platform{Member: "tiller-0"}
	deployment := &platform.Deployment
	deployment.Zones = []string{"a", "b"}
	workers := &deployment.Workers
	workers.Heartbeat, workers.Lease, workers.GangWait, workers.GangPeer, workers.Cancel = 2, 12, 20, 5, 30
	deployment.State.ValueKB, deployment.State.TxnOps = 8, 12
	deployment.Cloud.ListLag = 5
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

// addMachine brings up a machine of the type "eight".
func addMachine(w *World, zone string, spot bool) {
	w.AddMachine(model.MachineInfo{Name: w.NextName(), Type: "eight", Zone: zone, Spot: spot})
}

// newVotingDeployment is newDeployment with members that vote for the leader, which lets it outlive its lease.
func newVotingDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newVotingDeploymentFor(t, machines, 0)
}

// newVotingDeploymentFor is newVotingDeployment with votes that last longer in an outage of the state service.
func newVotingDeploymentFor(t *testing.T, machines int, outage time.Duration) *World {
	t.Helper()
	w := newDeployment(t, machines)
	startVoting(w, outage)
	waitForLeader(t, w, 10*second)
	return w
}

// newVotingMembers is a deployment of a number of members that vote, with long tasks and four times the quotas.
func newVotingMembers(t *testing.T, members, machines int) *World {
	t.Helper()
	w := newTestWorldOf(members, machines, 4)
	w.RunTime = time.Hour
	startVoting(w, 10*second)
	expectNoViolations(t, w)
	waitForLeader(t, w, 20*second)
	return w
}

// startVoting restarts all controllers with votes.
func startVoting(w *World, outage time.Duration) {
	for _, c := range w.Controllers {
		c.electionSettings.VoteDuration = c.electionSettings.LeaseDuration * 7 / 8
		c.electionSettings.OutageVoteDuration = outage
		restartController(c)
	}
}

// jobCounter numbers the jobs of all tests.
var jobCounter int

// newJob makes a job of the red team; change adapts it.
func newJob(shape model.Shape, tasks int, change func(*model.Spec)) *model.Spec {
	jobCounter++
	spec := &model.Spec{
		ID:               fmt.Sprintf("wk-%06d", jobCounter),
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
	if change != nil {
		change(spec)
	}
	return spec
}

// newDependentJob makes an array of one task that depends on other jobs.
func newDependentJob(dependencies ...*model.Spec) *model.Spec {
	return newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Demand.CPU = 1
		for _, dependency := range dependencies {
			spec.Dependencies = append(spec.Dependencies, dependency.ID)
		}
	})
}

// submitJob submits a job through the first controller.
func submitJob(t *testing.T, w *World, spec *model.Spec) {
	t.Helper()
	if err := w.Submit(w.Controllers[0], spec); err != nil {
		t.Fatalf("submission of %s: got %v, want it accepted", spec.ID, err)
	}
}

// submitJobs submits jobs through all controllers in turn.
func submitJobs(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for i, spec := range specs {
		if err := w.Submit(w.Controllers[i%len(w.Controllers)], spec); err != nil {
			t.Fatalf("submission of %s: got %v, want it accepted", spec.ID, err)
		}
	}
}

// startJobs submits jobs and waits until all their tasks run.
func startJobs(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		submitJob(t, w, spec)
	}
	waitUntil(t, w, 60*second, "all tasks run", func() bool {
		for _, spec := range specs {
			if activeTasks(w, spec) < spec.Tasks {
				return false
			}
		}
		return true
	})
	w.Advance(2 * second)
}

// waitUntil lets time pass until a condition holds, and ends the test if it does not within a time.
func waitUntil(t *testing.T, w *World, within time.Duration, condition string, holds func() bool) {
	t.Helper()
	for end := w.Now().Add(within); w.Now().Before(end); {
		if holds() {
			return
		}
		w.Advance(100 * time.Millisecond)
	}
	if !holds() {
		t.Fatalf("not within %v: %s", within, condition)
	}
}

// waitForLeader waits until a controller leads.
func waitForLeader(t *testing.T, w *World, within time.Duration) {
	t.Helper()
	waitUntil(t, w, within, "a controller leads", func() bool { return w.Leader() != nil })
}

// waitForOtherLeader waits until another controller leads than before.
func waitForOtherLeader(t *testing.T, w *World, within time.Duration, former *Controller) {
	t.Helper()
	waitUntil(t, w, within, "another controller leads", func() bool {
		leader := w.Leader()
		return leader != nil && leader != former
	})
}

// refreshedState is a job's state by a controller that has just read the records.
func refreshedState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	if err := c.Jobs.Refresh(context.Background()); err != nil {
		t.Fatalf("%s reads the records: %v", c.Member, err)
	}
	if record := c.Jobs.Peek(id); record.State != wire.StateUnknown {
		return record.State
	}
	return polledState(t, c, id)
}

// polledState is what a controller answers a user's poll.
func polledState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	record, err := c.Jobs.Lookup(context.Background(), id)
	if err != nil {
		t.Fatalf("poll of %s at %s: %v", id, c.Member, err)
	}
	return record.State
}

// jobDone tells whether a job is done by the first controller's records.
func jobDone(t *testing.T, w *World, spec *model.Spec) func() bool {
	return func() bool { return refreshedState(t, w.Controllers[0], spec.ID) == wire.StateDone }
}

// expectState checks what every controller that is up answers about a job.
func expectState(t *testing.T, w *World, spec *model.Spec, want wire.JobState) {
	t.Helper()
	for _, c := range w.Controllers {
		if !c.Up {
			continue
		}
		if got := polledState(t, c, spec.ID); got != want {
			t.Errorf("%s at %s: got %v, want %v", spec.ID, c.Member, got, want)
		}
	}
}

// activeTasks counts the machines that a job's tasks are on.
func activeTasks(w *World, spec *model.Spec) int {
	active := 0
	for i := range spec.Tasks {
		active += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
	}
	return active
}

// startCount counts how often the tasks of a job were started.
func startCount(w *World, spec *model.Spec) int {
	starts := 0
	for i := range spec.Tasks {
		starts += w.Starts[model.TaskID{Job: spec.ID, Index: i}]
	}
	return starts
}

// workersOf are the workers that a job's tasks are on.
func workersOf(w *World, spec *model.Spec) (workers []*Worker) {
	for i := range spec.Tasks {
		for _, name := range w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}) {
			workers = append(workers, w.Workers[name])
		}
	}
	return workers
}

// completeTask lets one task of a job complete now.
func completeTask(w *World, spec *model.Spec, index int) {
	for _, worker := range w.Workers {
		for _, task := range worker.Tasks {
			if task.ID.Job == spec.ID && task.ID.Index == index {
				task.phaseEnd = w.Now()
			}
		}
	}
}

// nonLeader is the first member other than the leader.
func nonLeader(w *World, leader *Controller) *Controller {
	for _, c := range w.Controllers {
		if c != leader {
			return c
		}
	}
	return nil
}

// cancelJobs cancels jobs through a controller.
func cancelJobs(t *testing.T, w *World, c *Controller, specs ...*model.Spec) {
	t.Helper()
	for _, spec := range specs {
		if _, err := w.Cancel(c, spec.ID); err != nil {
			t.Fatalf("cancellation of %s at %s: got %v, want it accepted", spec.ID, c.Member, err)
		}
	}
}

// restartController ends a controller and has it back at once, without memory.
func restartController(c *Controller) {
	c.Crash()
	c.Start()
}

// restoreControllers ends the faults of all controllers, and starts those that are down.
func restoreControllers(w *World) {
	for _, c := range w.Controllers {
		c.ControllerFaults = ControllerFaults{}
		if !c.Up {
			c.Start()
		}
	}
}

// restartAll ends all controllers and starts them again under the world's limits; chunkTasks is the number of tasks of
// a chunk in the legacy layout, 0: the current layout.
func restartAll(t *testing.T, w *World, chunkTasks int) {
	t.Helper()
	for _, c := range w.Controllers {
		c.Crash()
	}
	for _, c := range w.Controllers {
		c.settings.NumberedChunkTasks, c.settings.MaxTxnOps = chunkTasks, w.Limits.MaxChanges
		c.Start()
	}
	waitForLeader(t, w, 20*second)
}

// preloadHex puts a record given in hexadecimal into the state service.
func preloadHex(t *testing.T, w *World, key, hexValue string) {
	t.Helper()
	value, err := hex.DecodeString(hexValue)
	if err != nil {
		t.Fatalf("value of %s: %v", key, err)
	}
	w.State.Preload(key, value)
}

// setRapidFlags sets flags of package rapid for the rest of the test.
func setRapidFlags(t *testing.T, values map[string]string) {
	t.Helper()
	for name, value := range values {
		former := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatalf("flag %s: %v", name, err)
		}
		t.Cleanup(func() { _ = flag.Set(name, former) }) // it was valid before
	}
}

// loseCommitAnswers loses the answers of a share of all transactions. These are carried out at once, or else when the
// caller runs what is added to later.
func loseCommitAnswers(w *World, random *rand.Rand, share float64, atOnce bool) (later *[]func()) {
	later = &[]func(){}
	w.InterceptCommit = func(_ *Controller, body []byte) (bool, error) {
		if random.Float64() >= share {
			return false, nil
		}
		body = slices.Clone(body)
		commit := func() { _, _ = w.State.Call("POST", "/commit", body, second) } // its conditions may have failed
		if atOnce {
			commit()
		} else {
			*later = append(*later, commit)
		}
		return true, context.DeadlineExceeded
	}
	return later
}

// newAccountedDeployment is newDeployment with a ledger; change adapts its settings.
func newAccountedDeployment(t *testing.T, machines int, change func(*reconciler.LedgerSettings)) *World {
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
	if change != nil {
		change(w.ledger)
	}
	for _, c := range w.Controllers {
		restartController(c)
	}
	waitForLeader(t, w, 10*second)
	return w
}
