package fake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// Many changes of leader, with work that outlasts them, jobs that come and are cancelled all along, and machines that
// can't be reached. In the end everything runs, nothing waits for long, and as many machines are there as are needed.

// leaderChanges are ways in which the leadership goes to somebody else, or comes back.
var leaderChanges = map[string]func(w *World, l *Controller){
	"crashes": func(w *World, l *Controller) {
		l.Crash()
	},
	"is back at once": func(w *World, l *Controller) { restartController(l) },
	"hands over":      func(w *World, l *Controller) { w.StepElection(l, election.Resign{}) },
	"all end, one is back": func(w *World, l *Controller) {
		for _, c := range w.Controllers {
			c.Crash()
		}
		l.Start()
	},
	"is refused": func(w *World, l *Controller) { l.StateUnreachable, l.PeersUnreachable = true, true },
}

func TestTenFailoversInTwoMinutesKeepJobsRunning(t *testing.T) {
	for _, how := range []string{"crashes", "is back at once", "hands over", "all end, one is back", "is refused"} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(how, ", outage ", outage), func(t *testing.T) {
				r := rand.New(rand.NewPCG(3, 3))
				w := newVotingMembers(t, 3, 12)
				w.PollOnCommit = true
				w.Capacity = 20
				few := func(s *model.Spec) { s.Team = "blue" }
				long, serve, gang := newJob(model.Array, 8, nil), newJob(model.Service, 4, few), newJob(model.Gang, 4, nil)
				startJobs(t, w, long, serve, gang)
				for _, n := range w.WorkerNames()[:2] {
					w.Workers[n].Partitioned = true // work of before waits until these are known to be empty
				}
				rented := w.ProvisionedTotal()
				took, at := 0, w.Now()
				var gone []*model.Spec
				for range 10 {
					l := w.Leader()
					if l == nil {
						waitUntil(t, w, 40*second, "somebody leads", func() bool { l = w.Leader(); return l != nil })
					}
					took++
					s := newJob(model.Array, 1, few)
					if w.Submit(l, s) == nil {
						gone = append(gone, s)
					}
					w.Advance(time.Duration(r.IntN(3000)) * time.Millisecond)
					if outage && took == 5 {
						w.State.SetDown(true)
					}
					leaderChanges[how](w, l)
					if len(gone) > 0 {
						if c := nonLeader(w, l); c.Up {
							_, _ = w.Cancel(c, gone[0].ID) // answered or not
						}
					}
					w.Advance(time.Duration(3000+r.IntN(4000)) * time.Millisecond)
					if outage && took == 5 {
						leaderChanges[how](w, l)
						w.Advance(8 * second)
						w.State.SetDown(false)
					}
					for _, c := range w.Controllers {
						if c.StateUnreachable, c.PeersUnreachable = false, false; !c.Up {
							c.Start()
						}
					}
				}
				if spell := w.Now().Sub(at); spell > 150*second {
					t.Errorf("%d changes took %v", took, spell)
				}
				for _, n := range w.WorkerNames() {
					w.Workers[n].Partitioned = false
				}
				w.MarkFaultsEnded()
				waitUntil(t, w, 90*second, "all runs", func() bool {
					return activeTasks(w, long) == 8 && activeTasks(w, serve) == 4 && activeTasks(w, gang) == 4
				})
				w.Advance(w.CancelDeadline)
				if n := w.ProvisionedTotal() - rented; n > 12 {
					t.Errorf("%d machines were rented", n)
				}
			})
		}
	}
}

// All controllers are away for longer than a lease, ended or standing still. Jobs that were cancelled right
// before are gone in time, those that were accepted are known, and all that was running runs again.
func TestJobsResumeAfterAllControllersAwayBeyondLease(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		w := newVotingMembers(t, 3, 6)
		w.PollOnCommit = true
		stays, gone := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
		startJobs(t, w, stays, gone)
		late := newJob(model.Gang, 2, nil)
		submitJob(t, w, late)
		cancelJobs(t, w, nonLeader(w, w.Leader()), gone)
		for _, c := range w.Controllers {
			if c.Frozen = frozen; !frozen {
				c.Crash()
			}
		}
		w.Advance(w.Lease + 10*second)
		if w.KilledTasks == 0 {
			t.Error("no lease has run out: the story is about that")
		}
		for i, c := range w.Controllers {
			if c.Frozen = false; !frozen {
				c.Start()
			}
			w.Advance(time.Duration(i) * 300 * time.Millisecond)
		}
		w.MarkFaultsEnded()
		waitUntil(t, w, 60*second, "all runs again", func() bool { return activeTasks(w, stays) == 6 && activeTasks(w, late) == 2 })
		w.PollAll(gone.ID)
		w.Advance(w.CancelDeadline)
	}
}
