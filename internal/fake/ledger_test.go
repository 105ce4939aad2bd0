package fake

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// readOpenSegment reads a team's open ledger segment from the state service.
func readOpenSegment(t *testing.T, w *World, team string) ledger.OpenSegment {
	t.Helper()
	client := store.NewWithTransports(w.State, w.State, second)
	client.SetRateLimits(1e9, 1e9)
	account, err := client.Account(context.Background(), team)
	if err != nil {
		t.Fatal(err)
	}
	return account.Open
}

func TestJobEndIsCommittedWithItsSettlement(t *testing.T) {
	w := newDeploymentWithLedger(t, 2, func(l *reconciler.LedgerSettings) { l.SettleInterval = time.Hour })
	var withJobEnd, withoutJobEnd int
	w.State.OnCommit = func(ops []Operation) {
		text := fmt.Sprint(ops)
		if strings.Contains(text, "job/e/") && strings.Contains(text, "use/o/red") {
			withJobEnd++
		} else if strings.Contains(text, "use/o/") {
			withoutJobEnd++
		}
	}
	spec := newJob(model.Array, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, spec))
	usage := ledger.TotalUsage(readOpenSegment(t, w, "red").Usage)
	// Both tasks used 4 CPUs for 10 s. The run time of each is known from heartbeats to within half a second.
	if usage.Starts != 2 || math.Abs(float64(usage.CPU)-80e6) > 8e6 || usage.Mem != 2*usage.CPU {
		t.Errorf("usage of team red: got %+v, want 2 starts, about 80 CPU seconds and twice as much memory", usage)
	}
	if withJobEnd != 1 || withoutJobEnd != 0 {
		t.Errorf("settlements: got %d with the end of the job and %d without it, want 1 and 0", withJobEnd, withoutJobEnd)
	}
}

func TestWaitTimeIsChargedToItsCause(t *testing.T) {
	w := newDeploymentWithLedger(t, 8, nil)
	w.RunTime = 20 * second
	overQuota := newJob(model.Array, 12, nil) // 8 of its tasks use all 32 CPUs of the team's quota
	dependent := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Dependencies, spec.Class = []string{overQuota.ID}, "dependent"
	})
	failing := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team, spec.Class = "blue", "failing" })
	infeasible := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Team, spec.Class, spec.MachineTypes = "blue", "infeasible", []string{"none"}
	})
	w.FailingJobs[failing.ID] = true
	for _, spec := range []*model.Spec{overQuota, dependent, failing, infeasible} {
		submitJob(t, w, spec)
	}
	w.Advance(15 * second)
	waits := map[string][ledger.NumWaitCauses]uint64{}
	for _, team := range []string{"red", "blue"} {
		for _, c := range readOpenSegment(t, w, team).Usage {
			waits[c.Class] = c.Wait
		}
	}
	for class, cause := range map[string]ledger.WaitCause{
		"work":       ledger.WaitQuota,
		"dependent":  ledger.WaitDependencies,
		"failing":    ledger.WaitBackoff,
		"infeasible": ledger.WaitCapacity,
	} {
		for charged := range ledger.NumWaitCauses {
			if waitMillis := waits[class][charged]; charged == cause && waitMillis < 5000 ||
				charged != cause && waitMillis > 4000 {
				t.Errorf("wait of class %s: got %d ms charged to %v, want at least 5000 ms for %v and at most 4000 ms for others",
					class, waitMillis, charged, cause)
			}
		}
	}
}

// For 60 s, all controllers run a version without a ledger. Usage in that time is not charged to the team but listed
// as an unaccounted interval.
func TestLeaderWithoutLedgerLeavesUnaccountedInterval(t *testing.T) {
	w := newDeploymentWithLedger(t, 2, nil)
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	w.Advance(20 * second)
	cpuBefore := ledger.TotalUsage(readOpenSegment(t, w, "red").Usage).CPU
	for _, c := range w.Controllers {
		c.WithoutLedger = true
		restartController(c)
	}
	w.Advance(60 * second)
	if cpuNow := ledger.TotalUsage(readOpenSegment(t, w, "red").Usage).CPU; cpuNow != cpuBefore {
		t.Errorf("usage charged by leaders without a ledger: got %d CPU µs, want 0", cpuNow-cpuBefore)
	}
	for _, c := range w.Controllers {
		c.WithoutLedger = false
		restartController(c)
	}
	w.Advance(30 * second)
	client := store.NewWithTransports(w.State, w.State, second)
	client.SetRateLimits(1e9, 1e9)
	intervals, _, err := client.Intervals(context.Background(), 0, 100)
	if err != nil || len(intervals) != 1 || intervals[0].UnsettledLeaders != 1 ||
		intervals[0].End.Sub(intervals[0].Start) < 60*second {
		t.Errorf("unaccounted intervals: got %+v, error %v, want one of at least 60 s", intervals, err)
	}
	usage := ledger.TotalUsage(readOpenSegment(t, w, "red").Usage)
	if charged := usage.CPU - cpuBefore; usage.Adopted != 1 || charged < 4*15e6 || charged > 4*30e6 {
		t.Errorf("usage since the takeover: got %d CPU µs and %d adopted attempts, want 60e6 to 120e6 and 1",
			charged, usage.Adopted)
	}
}

// The ledger only records usage: jobs complete even if their team's account is unreadable or wrong.
func TestJobsCompleteWithCorruptAccount(t *testing.T) {
	for corruption, value := range map[string][]byte{
		"written by a later version": []byte("\x81\xa1v\x02"),
		"edited by hand": wire.AppendOpenSegment(nil, &ledger.OpenSegment{
			Team:         "red",
			Number:       1,
			Settlements:  900,
			FencingToken: 77,
			Start:        time.Unix(0, 0),
			SettledAt:    time.Unix(0, 0),
		}),
		"corrupted by a write": []byte("\x81\xa1n\xa1x"),
	} {
		w := newDeploymentWithLedger(t, 2, nil)
		first := newJob(model.Array, 2, nil)
		submitJob(t, w, first)
		waitUntil(t, w, 60*second, "the first job is done", jobDone(t, w, first))
		w.State.Preload("use/o/red", value)
		spec := newJob(model.Array, 2, nil)
		submitJob(t, w, spec)
		waitUntil(t, w, 60*second, corruption+": a job is done under the leader that wrote the account", jobDone(t, w, spec))
		w.Leader().Crash()
		waitUntil(t, w, 20*second, corruption+": another controller leads", func() bool { return w.Leader() != nil })
		spec = newJob(model.Array, 2, nil)
		if err := w.Submit(w.Leader(), spec); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, w, 60*second, corruption+": a job is done under the next leader", func() bool {
			return polledState(t, w.Leader(), spec.ID) == wire.StateDone
		})
	}
}

// A team with a small guarantee keeps submitting jobs with near deadlines. Ordered by slack, they run before the jobs
// of another team however long those wait. With fair share, the team that has used less goes first once the
// guarantees are met, so the other team's wait is bounded.
func TestFairShareBoundsWaitBehindUrgentJobSwarm(t *testing.T) {
	measureWaits := func(fairShare bool) (steadyWait, guestWait time.Duration) {
		w := newDeploymentWithLedger(t, 4, func(l *reconciler.LedgerSettings) { l.FairShare = fairShare })
		w.ReleasesBlocked = true
		w.cloudExhausted = true // no more machines can be provisioned: all teams share 32 CPUs
		addTeam := func(name string, cpus float64) {
			w.Teams[name] = model.Team{Name: name, Quota: model.NewQuota(cpus, 0)}
			w.ledger.Weights[name] = 1
		}
		addTeam("guest", 32)
		addTeam("steady", 32)
		var teams []model.Team
		for _, team := range w.Teams {
			teams = append(teams, team)
		}
		for _, c := range w.Controllers {
			c.settings.Teams = teams
			restartController(c)
		}
		waitForLeader(t, w, 10*second)
		w.RunTime = 20 * second
		submit := func(team string, tasks int, deadline time.Duration) *model.Spec {
			spec := newJob(model.Array, tasks, func(spec *model.Spec) {
				spec.Team, spec.Deadline, spec.EstimatedRunTime, spec.Class = team, deadline, 20*second, team
			})
			submitJob(t, w, spec)
			return spec
		}
		// The guest team's jobs keep all machines busy for five minutes, always with near deadlines.
		for range 20 {
			submit("guest", 8, 2*time.Minute)
			w.Advance(15 * second)
		}
		steadyJob := submit("steady", 8, 30*time.Minute)
		submittedAt := w.Now()
		for started := false; !started && w.Now().Sub(submittedAt) < 20*time.Minute; {
			submit("guest", 8, 2*time.Minute)
			for range 15 {
				w.Advance(second)
				started = started || activeTasks(w, steadyJob) > 0
			}
		}
		steadyWait = w.Now().Sub(submittedAt)
		for _, c := range readOpenSegment(t, w, "guest").Usage {
			guestWait += time.Duration(c.Wait[ledger.WaitFairShare]) * time.Millisecond
		}
		return steadyWait, guestWait
	}
	withoutFairShare, _ := measureWaits(false)
	withFairShare, guestWait := measureWaits(true)
	t.Logf("the first task of team steady starts after %v without fair share and after %v with it",
		withoutFairShare, withFairShare)
	if withFairShare > withoutFairShare/3 || withFairShare > time.Minute || guestWait == 0 {
		t.Errorf("wait of team steady: got %v with, %v without fair share, want at most a third and 1m0s; guests waited %v",
			withFairShare, withoutFairShare, guestWait)
	}
}
