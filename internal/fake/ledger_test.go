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

// openAccount is a team's open ledger segment as it is on record.
func openAccount(t *testing.T, w *World, team string) ledger.OpenSegment {
	t.Helper()
	c := store.NewOver(w.State, w.State, second)
	c.SetRateLimits(1e9, 1e9)
	r, err := c.Account(context.Background(), team)
	if err != nil {
		t.Fatal(err)
	}
	return r.Open
}

func TestJobEndIsCommittedWithItsSettlement(t *testing.T) {
	w := newAccountedDeployment(t, 2, func(l *reconciler.LedgerSettings) { l.SettleInterval = time.Hour })
	var together, alone int
	w.State.OnCommit = func(ops []Operation) {
		text := fmt.Sprint(ops)
		if strings.Contains(text, "job/e/") && strings.Contains(text, "use/o/red") {
			together++
		} else if strings.Contains(text, "use/o/") {
			alone++
		}
	}
	spec := newJob(model.Array, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 60*second, "done", jobDone(t, w, spec))
	use := ledger.Total(openAccount(t, w, "red").Usage)
	// Both tasks of 4 CPUs ran for 10 s; heartbeats show that to half a second each.
	if use.Starts != 2 || math.Abs(float64(use.CPU)-80e6) > 8e6 || use.Mem != 2*use.CPU {
		t.Errorf("used %+v", use)
	}
	if together != 1 || alone != 0 {
		t.Errorf("settled %d times with the end of the job, %d times without", together, alone)
	}
}

func TestWaitTimeIsChargedToItsCause(t *testing.T) {
	w := newAccountedDeployment(t, 8, nil)
	w.RunTime = 20 * second
	limit := newJob(model.Array, 12, nil) // 8 of its tasks fill the team's 32 CPUs
	behind := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Dependencies, spec.Class = []string{limit.ID}, "behind"
	})
	bad := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team, spec.Class = "blue", "bad" })
	huge := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Team, spec.Class, spec.MachineTypes = "blue", "huge", []string{"none"}
	})
	w.FailingJobs[bad.ID] = true
	for _, spec := range []*model.Spec{limit, behind, bad, huge} {
		submitJob(t, w, spec)
	}
	w.Advance(15 * second)
	got := map[string][ledger.NumWaitCauses]uint64{}
	for _, team := range []string{"red", "blue"} {
		for _, c := range openAccount(t, w, team).Usage {
			got[c.Class] = c.Wait
		}
	}
	for class, cause := range map[string]ledger.WaitCause{
		"work":   ledger.WaitQuota,
		"behind": ledger.WaitDependencies,
		"bad":    ledger.WaitBackoff,
		"huge":   ledger.WaitCapacity,
	} {
		for k := range ledger.NumWaitCauses {
			if v := got[class][k]; k == cause && v < 5000 || k != cause && v > 4000 {
				t.Errorf("%s waited %d ms for %v, not for %v", class, v, k, cause)
			}
		}
	}
}

func TestLeaderWithoutLedgerLeavesUnaccountedInterval(t *testing.T) {
	w := newAccountedDeployment(t, 2, nil)
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	w.Advance(20 * second)
	before := ledger.Total(openAccount(t, w, "red").Usage).CPU
	for _, c := range w.Controllers {
		c.WithoutLedger = true
		restartController(c)
	}
	w.Advance(60 * second)
	if now := ledger.Total(openAccount(t, w, "red").Usage).CPU; now != before {
		t.Errorf("a version without a ledger has charged %d", now-before)
	}
	for _, c := range w.Controllers {
		c.WithoutLedger = false
		restartController(c)
	}
	w.Advance(30 * second)
	c := store.NewOver(w.State, w.State, second)
	c.SetRateLimits(1e9, 1e9)
	list, _, err := c.Intervals(context.Background(), 0, 100)
	if err != nil || len(list) != 1 || list[0].UnsettledLeaders != 1 || list[0].End.Sub(list[0].Start) < 60*second {
		t.Errorf("not accounted: %+v, %v", list, err)
	}
	use := ledger.Total(openAccount(t, w, "red").Usage)
	if gained := use.CPU - before; use.TakenOver != 1 || gained < 4*15e6 || gained > 4*30e6 {
		t.Errorf("from its takeover on the new leader has charged %d, taken over %d", gained, use.TakenOver)
	}
}

// The ledger decides nothing: jobs complete whatever has become of their team's account.
func TestJobsCompleteWithCorruptAccount(t *testing.T) {
	for what, value := range map[string][]byte{
		"of a version to come": []byte("\x81\xa1v\x02"),
		"changed by hand": wire.AppendOpenSegment(nil, &ledger.OpenSegment{
			Team:         "red",
			Number:       1,
			Settlements:  900,
			FencingToken: 77,
			Start:        time.Unix(0, 0),
			SettledAt:    time.Unix(0, 0),
		}),
		"unreadable, by a write": []byte("\x81\xa1n\xa1x"),
	} {
		w := newAccountedDeployment(t, 2, nil)
		first := newJob(model.Array, 2, nil)
		submitJob(t, w, first)
		waitUntil(t, w, 60*second, "done", jobDone(t, w, first))
		w.State.Preload("use/o/red", value)
		spec := newJob(model.Array, 2, nil)
		submitJob(t, w, spec)
		waitUntil(t, w, 60*second, what+": done under the leader that had settled it", jobDone(t, w, spec))
		w.Leader().Crash()
		waitUntil(t, w, 20*second, what+": another leads", func() bool { return w.Leader() != nil })
		spec = newJob(model.Array, 2, nil)
		if err := w.Submit(w.Leader(), spec); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, w, 60*second, what+": done under the next leader", func() bool {
			return polledState(t, w.Leader(), spec.ID) == wire.StateDone
		})
	}
}

// A team with a small guarantee submits many jobs with near deadlines, which go first in the order of slack however
// long others wait. With fair share the team that has used less goes first beyond the guarantees.
func TestFairShareBoundsWaitBehindUrgentJobSwarm(t *testing.T) {
	wait := func(share bool) (patient, swarm time.Duration) {
		w := newAccountedDeployment(t, 4, func(l *reconciler.LedgerSettings) { l.FairShare = share })
		w.ReleasesBlocked = true
		w.cloudExhausted = true // the cloud has no more machines: 32 CPUs for all
		team := func(name string, cpus float64) {
			w.Teams[name] = model.Team{Name: name, Quota: model.NewQuota(cpus, 0)}
			w.ledger.Weights[name] = 1
		}
		team("guest", 32)
		team("steady", 32)
		var set []model.Team
		for _, tm := range w.Teams {
			set = append(set, tm)
		}
		for _, c := range w.Controllers {
			c.settings.Teams = set
			restartController(c)
		}
		waitForLeader(t, w, 10*second)
		w.RunTime = 20 * second
		add := func(team string, tasks int, deadline time.Duration) *model.Spec {
			spec := newJob(model.Array, tasks, func(spec *model.Spec) {
				spec.Team, spec.Deadline, spec.EstimatedRunTime, spec.Class = team, deadline, 20*second, team
			})
			submitJob(t, w, spec)
			return spec
		}
		// The swarm keeps the machines busy for some minutes, always with near deadlines.
		for range 20 {
			add("guest", 8, 2*time.Minute)
			w.Advance(15 * second)
		}
		first := add("steady", 8, 30*time.Minute)
		at := w.Now()
		for started := false; !started && w.Now().Sub(at) < 20*time.Minute; {
			add("guest", 8, 2*time.Minute)
			for range 15 {
				w.Advance(second)
				started = started || activeTasks(w, first) > 0
			}
		}
		patient = w.Now().Sub(at)
		for _, c := range openAccount(t, w, "guest").Usage {
			swarm += time.Duration(c.Wait[ledger.WaitFairShare]) * time.Millisecond
		}
		return patient, swarm
	}
	without, _ := wait(false)
	with, shared := wait(true)
	t.Logf("the other team's first task starts after %v without fair share, %v with it", without, with)
	if with > without/3 || with > time.Minute || shared == 0 {
		t.Errorf("with fair share after %v, without after %v; the swarm waited %v for it", with, without, shared)
	}
}
