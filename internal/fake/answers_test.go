package fake

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// answerFaults holds the faults under which controllers' answers to users are checked. Each entry injects its fault
// into w and returns a function to be called before each tick.
var answerFaults = map[string]func(w *World, random *rand.Rand) (onTick func()){
	"no other fault": func(*World, *rand.Rand) func() { return func() {} },
	"answers to transactions are lost": func(w *World, random *rand.Rand) func() {
		loseCommitAnswers(w, random, 0.3, true)
		return func() {}
	},
	"transactions are delayed": func(w *World, random *rand.Rand) func() {
		delayedCommits := loseCommitAnswers(w, random, 0.3, false)
		return func() {
			if n := len(*delayedCommits); n > 0 && random.IntN(40) == 0 {
				i := random.IntN(n)
				(*delayedCommits)[i]()
				*delayedCommits = slices.Delete(*delayedCommits, i, i+1)
			}
		}
	},
	"members restart": func(w *World, random *rand.Rand) func() {
		return func() {
			if random.IntN(60) == 0 {
				restartController(w.Controllers[random.IntN(3)])
			}
		}
	},
	"one member at a time cannot reach the state service": func(w *World, random *rand.Rand) func() {
		return func() {
			if random.IntN(60) == 0 {
				for _, c := range w.Controllers {
					c.StateUnreachable = false
				}
				w.Controllers[random.IntN(3)].StateUnreachable = true
			}
		}
	},
	"leaders resign": func(w *World, random *rand.Rand) func() {
		return func() {
			if leader := w.Leader(); leader != nil && random.IntN(80) == 0 {
				w.StepElection(leader, election.Resign{})
			}
		}
	},
}

func TestMemberAnswersUnderFaultsAreNeverStale(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(answerFaults)) {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			w := newVotingTestWorld(t, 3, 4)
			w.RunTime = 1500 * time.Millisecond
			w.PollOnCommit = true
			outcomes := runUserWorkload(t, w, random, answerFaults[name](w, random))
			done, cancelled := outcomes[wire.StateDone], outcomes[wire.StateCancelled]
			if done < 5 || cancelled < 5 || w.AnsweredPolls < 500 {
				t.Errorf("answers to late cancellations and polls: got %d done, %d cancelled, %d polls, want at least 5, 5 and 500",
					done, cancelled, w.AnsweredPolls)
			}
		})
	}
}

// userWorkload submits, polls and cancels jobs of one or two tasks as users do, while a fault is injected.
type userWorkload struct {
	*World
	random             *rand.Rand
	jobs               []*model.Spec         // accepted jobs
	cancelOnCompletion map[string]bool       // IDs of jobs to be cancelled once all their tasks have completed
	outcomes           map[wire.JobState]int // number of these cancellations, by the state in the answer
}

// runUserWorkload submits jobs for one simulated minute. It cancels some of them at once and some after their last
// task has completed. Then it ends all faults, waits until every job has reached a final state, and cancels, submits
// and polls each job once more, so that a final state that changes is detected. onTick is called before each tick of
// the first minute. The result counts the answers to cancellations of completed jobs, by state.
func runUserWorkload(t *testing.T, w *World, random *rand.Rand, onTick func()) map[wire.JobState]int {
	t.Helper()
	workload := &userWorkload{
		World:              w,
		random:             random,
		cancelOnCompletion: map[string]bool{},
		outcomes:           map[wire.JobState]int{},
	}
	for tick := range 1200 {
		onTick()
		if tick%8 == 0 {
			workload.submitNewJob()
		}
		w.Advance(w.Tick)
		workload.cancelCompletedJobs()
	}
	w.InterceptCommit = nil
	restoreControllers(w)
	waitForLeader(t, w, 60*second)
	w.MarkFaultsEnded()
	waitUntil(t, w, 120*second, "all jobs have ended", workload.allEnded)
	for _, spec := range workload.jobs {
		_, _ = w.Cancel(workload.randomController(), spec.ID) // World checks the answers
		_ = w.Submit(workload.randomController(), spec)
		w.PollAll(spec.ID)
	}
	if len(workload.jobs) < 40 {
		t.Errorf("accepted jobs: got %d, want at least 40; answers to cancellations of completed jobs: %s",
			len(workload.jobs), fmt.Sprint(workload.outcomes))
	}
	return workload.outcomes
}

func (u *userWorkload) randomController() *Controller {
	return u.Controllers[u.random.IntN(len(u.Controllers))]
}

// sendWithRetries sends a request up to three times, each time to a random controller, as a user would retry it. It
// reports whether the request was answered without an error.
func (u *userWorkload) sendWithRetries(request func(c *Controller) error) bool {
	for range 3 {
		if c := u.randomController(); c.Up && request(c) == nil {
			return true
		}
	}
	return false
}

// submitNewJob submits a job twice, because a user may repeat a submission. Then it cancels the job at once, marks it
// for cancellation on completion, or leaves it alone.
func (u *userWorkload) submitNewJob() {
	spec := newJob(model.Array, 1+u.random.IntN(2), func(spec *model.Spec) {
		spec.Demand = model.Resources{CPU: 0.2, MemGB: 0.2}
	})
	submit := func(c *Controller) error { return u.Submit(c, spec) }
	if !u.sendWithRetries(submit) {
		return
	}
	u.jobs = append(u.jobs, spec)
	u.PollAll(spec.ID)
	_ = u.sendWithRetries(submit)
	switch u.random.IntN(6) {
	case 0:
		_ = u.sendWithRetries(func(c *Controller) error {
			_, err := u.Cancel(c, spec.ID)
			return err
		})
		_ = u.sendWithRetries(submit)
		u.PollAll(spec.ID)
	case 1, 2, 3:
		u.cancelOnCompletion[spec.ID] = true
	}
}

// cancelCompletedJobs picks some of the jobs that are marked in cancelOnCompletion and whose tasks have all
// completed, cancels them and submits them again.
func (u *userWorkload) cancelCompletedJobs() {
	for _, spec := range u.jobs {
		if !u.AllCompleted(spec.ID) || !u.cancelOnCompletion[spec.ID] || u.random.IntN(6) != 0 {
			continue
		}
		u.cancelOnCompletion[spec.ID] = false
		_ = u.sendWithRetries(func(c *Controller) error {
			record, err := u.Cancel(c, spec.ID)
			if err == nil {
				u.outcomes[record.State]++
			}
			return err
		})
		_ = u.sendWithRetries(func(c *Controller) error { return u.Submit(c, spec) })
		u.PollAll(spec.ID)
	}
}

// allEnded polls each job at a random controller and reports whether all have ended. It stops at the first job that
// has not ended.
func (u *userWorkload) allEnded() bool {
	for _, spec := range u.jobs {
		if state, err := u.Poll(u.randomController(), spec.ID); err != nil || !state.Ended() {
			return false
		}
	}
	return true
}

// Each kind of contradictory answer has to be detected on its own: if the checker missed one, the tests that rely on
// it would pass although users get stale answers.
func TestAnswerCheckerDetectsContradictions(t *testing.T) {
	for violation, recordContradiction := range map[string]func(w *World, c *Controller, id string){
		"forgotten": func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateUnknown) },
		"not_done":  func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateDone) },
		"went_back": func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateCancelled) },
		"went_back after its end": func(w *World, c *Controller, id string) {
			w.Completed[model.TaskID{Job: id}] = true
			w.recordAnswer(c.Member, id, wire.StateDone)
			w.recordAnswer(c.Member, id, wire.StateQueued)
		},
	} {
		w := newTestWorldWithMembers(3, 1, 1)
		waitForLeader(t, w, 20*second)
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Demand.CPU = 100 }) // fits no machine
		submitJob(t, w, spec)
		if _, err := w.Poll(w.Controllers[1], spec.ID); err != nil || len(w.Violations) > 0 {
			t.Fatal(err, w.Violations)
		}
		recordContradiction(w, w.Controllers[2], spec.ID)
		if len(w.Violations) != 1 || !strings.HasPrefix(w.Violations[0], strings.Fields(violation)[0]) {
			t.Errorf("violations: got %v, want exactly one for case %s", w.Violations, violation)
		}
	}
}

// A job that waits for more than 90 s while a machine has room for it violates an invariant, unless its team is at
// its quota.
func TestStarvationCheckerDetectsWaitWithRoom(t *testing.T) {
	for _, team := range []string{"red", "blue"} {
		w := newTestWorldWithMembers(3, 3, 1)
		w.RunTime = time.Hour
		waitForLeader(t, w, 20*second)
		quotaFiller := newJob(model.Array, 4, func(spec *model.Spec) { spec.Team = "blue" }) // all 16 CPUs of its quota
		submitJob(t, w, quotaFiller)
		waitUntil(t, w, 20*second, "team blue uses its whole quota", func() bool { return activeTasks(w, quotaFiller) == 4 })
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = team })
		submitJob(t, w, spec)
		w.MarkFaultsEnded()
		for _, c := range w.Controllers {
			c.Crash() // without a leader the job is not started
		}
		for range 100 {
			for _, worker := range w.Workers {
				worker.leaseRenewedAt = w.Now() // the running tasks keep their machines
			}
			w.Advance(second)
		}
		if violated := len(w.Violations) > 0; violated != (team == "red") {
			t.Errorf("waiting job of team %s: got violations %v, longest wait %v, want a violation for team red only",
				team, w.Violations, w.LongestWaitWithRoom)
		}
	}
}

func TestCancelRacingCompletionHasOneFinalState(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * second, 4 * second, 5 * second, 6 * second, 8 * second} {
		w := newDeployment(t, 2)
		w.RunTime = 3 * second
		spec := newJob(model.Array, 2, nil)
		submitJob(t, w, spec)
		w.Advance(delay)
		record, err := w.Cancel(w.Controllers[2], spec.ID)
		if err != nil {
			t.Fatal(err)
		}
		w.Advance(20 * second)
		for i, c := range w.Controllers {
			if got := refreshedState(t, c, spec.ID); got != record.State {
				t.Errorf("job cancelled after %v: got answer %v, but state at controller %d is %v", delay, record.State, i, got)
			}
		}
		if record.State == wire.StateDone && !w.AllCompleted(spec.ID) {
			t.Errorf("job cancelled after %v: state is done, but not all tasks have completed", delay)
		}
	}
}

func TestPollOnAnotherControllerIsNotStale(t *testing.T) {
	w := newDeployment(t, 2)
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	w.Advance(3 * second)
	other := w.Controllers[2]
	if err := other.Jobs.LoadAndApplyChanges(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := polledState(t, other, spec.ID); got != wire.StateQueued {
		t.Fatalf("poll of an accepted job: got %v, want queued", got)
	}
	if _, err := w.Cancel(w.Controllers[1], spec.ID); err != nil {
		t.Fatal(err)
	}
	// The other controller has not read the job records since the cancellation.
	if got := polledState(t, other, spec.ID); got != wire.StateCancelled {
		t.Errorf("poll at another controller after a confirmed cancellation: got %v, want cancelled", got)
	}
	other.StateUnreachable = true
	if record, err := other.Jobs.Lookup(context.Background(), spec.ID); err != nil || record.State != wire.StateCancelled {
		t.Errorf("poll of a cached final state without the state service: got %v, %v, want cancelled", record.State, err)
	}
	if _, err := other.Jobs.Lookup(context.Background(), "wk-999999"); err == nil {
		t.Error("poll of an unknown job without the state service: got an answer, want an error")
	}
}
