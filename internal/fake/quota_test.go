package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Teams at their limits, and jobs that are cancelled on machines which hang, are cut off, deaf or mute. What
// may still run there counts against the limit; what is gone does not, soon after.

// disconnection is a way in which a machine cannot be told anything, or tells nothing.
type disconnection struct {
	name string
	set  func(k *Worker, on bool)
}

var disconnections = []disconnection{
	{"hung", func(k *Worker, on bool) { k.Hung = on }},
	{"cut off", func(k *Worker, on bool) { k.Partitioned = on }},
	{"deaf", func(k *Worker, on bool) { k.InboundBlocked = on }},
	{"mute", func(k *Worker, on bool) { k.OutboundBlocked = on }},
}

// newDeploymentAtLimits is a deployment whose two teams are at their limits with jobs of two tasks that outlast everything; some
// save when they are stopped. More waits for each team.
func newDeploymentAtLimits(t *testing.T) (w *World, run, wait []*model.Spec) {
	t.Helper()
	w = newVotingMembers(t, 3, 26) // red may use 128 CPUs, blue 64
	w.Capacity = 40
	add := func(n int, team string) (out []*model.Spec) {
		for i := range n {
			s := newJob(model.Array, 2, func(s *model.Spec) {
				s.Team = team
				if i%2 == 0 {
					s.CheckpointInterval, s.CheckpointTime = second, 8*second
				}
			})
			submitJob(t, w, s)
			out = append(out, s)
		}
		return out
	}
	run = append(add(16, "red"), add(8, "blue")...)
	waitUntil(t, w, 60*second, "all run", func() bool {
		for _, s := range run {
			if activeTasks(w, s) < 2 {
				return false
			}
		}
		return true
	})
	wait = append(add(6, "red"), add(3, "blue")...)
	w.Advance(3 * second)
	for _, s := range wait {
		if activeTasks(w, s) > 0 {
			t.Fatal("a team is not at its limit")
		}
	}
	return w, run, wait
}

// workersOf are the machines that a job's tasks are on.
func workersOf(w *World, s *model.Spec) (out []*Worker) {
	for i := range s.Tasks {
		for _, n := range w.MachinesOf(model.TaskID{Job: s.ID, Index: i}) {
			out = append(out, w.Workers[n])
		}
	}
	return out
}

func TestCancelledJobsOnUnreachableMachinesFreeTheirQuota(t *testing.T) {
	for _, way := range disconnections {
		for _, leader := range []string{"stays", "ends", "ends first", "is refused, and the state service is out"} {
			for _, long := range []time.Duration{5 * second, 11 * second, 40 * second} {
				t.Run(fmt.Sprint(way.name, " ", long, ", the leader ", leader), func(t *testing.T) {
					w, run, wait := newDeploymentAtLimits(t)
					gone := []*model.Spec{run[0], run[1], run[16], run[17]}
					var far []*Worker
					for _, s := range gone {
						for _, k := range workersOf(w, s) {
							way.set(k, true)
							far = append(far, k)
						}
					}
					l := w.Leader()
					switch leader {
					case "ends first":
						l.Crash()
						waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
						cancelJobs(t, w, w.Leader(), gone...)
					case "is refused, and the state service is out":
						l.StateUnreachable = true
						cancelJobs(t, w, nonLeader(w, l), gone...)
						w.Advance(second)
						w.State.SetDown(true)
					case "ends":
						cancelJobs(t, w, l, gone...)
						l.Crash()
					default:
						cancelJobs(t, w, l, gone...)
					}
					w.Advance(long)
					for _, k := range far {
						way.set(k, false)
					}
					w.DeliverHeldCommands()
					w.Advance(w.CancelDeadline + 5*second - long%w.CancelDeadline)
					w.State.SetDown(false)
					for _, c := range w.Controllers {
						if c.StateUnreachable = false; !c.Up {
							c.Start()
						}
					}
					w.Advance(second)
					w.MarkFaultsEnded()
					waitUntil(t, w, 90*second, "what waited has the room of what is gone", func() bool {
						n := 0
						for _, s := range wait {
							n += activeTasks(w, s)
						}
						return n >= 8
					})
					for _, s := range gone {
						if activeTasks(w, s) > 0 {
							t.Errorf("%s runs", s.ID)
						}
					}
				})
			}
		}
	}
}

// A machine hangs while a task of a cancelled job saves there, or right after it has answered the stop, and goes on
// within its lease: the task is gone in time all the same.
func TestCancelledCheckpointingTaskOnHungMachineStopsInTime(t *testing.T) {
	for _, at := range []string{"asked to save, then cancelled, then hung", "cancelled and hung at once",
		"cancelled, answered, hung"} {
		for _, long := range []time.Duration{3 * second, 8 * second, 11 * second, 30 * second} {
			w := newVotingMembers(t, 3, 1)
			w.Capacity = 1
			s := newJob(model.Array, 2, func(s *model.Spec) { s.CheckpointInterval, s.CheckpointTime = second, 10*second })
			startJobs(t, w, s)
			k := workersOf(w, s)[0]
			switch at {
			case "asked to save, then cancelled, then hung":
				k.InterruptionNotice = 60 * second // its tasks are moved off it
				waitUntil(t, w, 20*second, "it saves", func() bool {
					n := 0
					for _, x := range k.Tasks {
						if x.Phase == model.PhaseCheckpointing {
							n++
						}
					}
					return n > 0
				})
				w.Advance(second)
				cancelJobs(t, w, nonLeader(w, w.Leader()), s)
				k.Hung = true
			case "cancelled and hung at once":
				cancelJobs(t, w, nonLeader(w, w.Leader()), s)
				k.Hung = true
			default:
				cancelJobs(t, w, w.Leader(), s)
				w.Advance(150 * time.Millisecond)
				k.Hung = true
			}
			w.Advance(long)
			k.Hung = false
			w.DeliverHeldCommands()
			w.Advance(w.CancelDeadline)
			if activeTasks(w, s) > 0 {
				t.Errorf("%s, for %v: it runs", at, long)
			}
		}
	}
}
