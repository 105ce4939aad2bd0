package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Teams at their limits, and jobs that are cancelled on machines which hang, are cut off, deaf or mute. What
// may still run there counts against the limit; what is gone does not, soon after.

// away is a way in which a machine cannot be told anything, or tells nothing.
type away struct {
	name string
	set  func(k *Worker, on bool)
}

var ways = []away{
	{"hung", func(k *Worker, on bool) { k.Hung = on }},
	{"cut off", func(k *Worker, on bool) { k.Cut = on }},
	{"deaf", func(k *Worker, on bool) { k.Deaf = on }},
	{"mute", func(k *Worker, on bool) { k.Mute = on }},
}

// atLimits is a deployment whose two teams are at their limits with jobs of two tasks that outlast everything; some
// save when they are stopped. More waits for each team.
func atLimits(t *testing.T) (w *World, run, wait []*model.Spec) {
	t.Helper()
	w = members(t, 3, 26) // red may use 128 CPUs, blue 64
	w.Capacity = 40
	add := func(n int, team string) (out []*model.Spec) {
		for i := range n {
			s := job(model.Array, 2, func(s *model.Spec) {
				s.Team = team
				if i%2 == 0 {
					s.CheckpointInterval, s.CheckpointTime = second, 8*second
				}
			})
			submit(t, w, s)
			out = append(out, s)
		}
		return out
	}
	run = append(add(16, "red"), add(8, "blue")...)
	until(t, w, 60*second, "all run", func() bool {
		for _, s := range run {
			if on(w, s) < 2 {
				return false
			}
		}
		return true
	})
	wait = append(add(6, "red"), add(3, "blue")...)
	w.Pass(3 * second)
	for _, s := range wait {
		if on(w, s) > 0 {
			t.Fatal("a team is not at its limit")
		}
	}
	return w, run, wait
}

// holders are the machines that a job's tasks are on.
func holders(w *World, s *model.Spec) (out []*Worker) {
	for i := range s.Tasks {
		for _, n := range w.On(model.TaskID{Job: s.ID, Index: i}) {
			out = append(out, w.Workers[n])
		}
	}
	return out
}

func TestCancelledAtTheLimitOnMachinesThatAreAway(t *testing.T) {
	for _, way := range ways {
		for _, leader := range []string{"stays", "ends", "ends first", "is refused, and the state service is out"} {
			for _, long := range []time.Duration{5 * second, 11 * second, 40 * second} {
				t.Run(fmt.Sprint(way.name, " ", long, ", the leader ", leader), func(t *testing.T) {
					w, run, wait := atLimits(t)
					gone := []*model.Spec{run[0], run[1], run[16], run[17]}
					var far []*Worker
					for _, s := range gone {
						for _, k := range holders(w, s) {
							way.set(k, true)
							far = append(far, k)
						}
					}
					l := w.Leader()
					switch leader {
					case "ends first":
						l.Crash()
						until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
						tell(t, w, w.Leader(), gone...)
					case "is refused, and the state service is out":
						l.NoNet = true
						tell(t, w, other(w, l), gone...)
						w.Pass(second)
						w.State.SetDown(true)
					case "ends":
						tell(t, w, l, gone...)
						l.Crash()
					default:
						tell(t, w, l, gone...)
					}
					w.Pass(long)
					for _, k := range far {
						way.set(k, false)
					}
					w.Release()
					w.Pass(w.CancelIn + 5*second - long%w.CancelIn)
					w.State.SetDown(false)
					for _, c := range w.Controllers {
						if c.NoNet = false; !c.Up {
							c.Start()
						}
					}
					w.Pass(second)
					w.Calm()
					until(t, w, 90*second, "what waited has the room of what is gone", func() bool {
						n := 0
						for _, s := range wait {
							n += on(w, s)
						}
						return n >= 8
					})
					for _, s := range gone {
						if on(w, s) > 0 {
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
func TestATaskThatSavesOnAMachineThatHangs(t *testing.T) {
	for _, at := range []string{"asked to save, then cancelled, then hung", "cancelled and hung at once",
		"cancelled, answered, hung"} {
		for _, long := range []time.Duration{3 * second, 8 * second, 11 * second, 30 * second} {
			w := members(t, 3, 1)
			w.Capacity = 1
			s := job(model.Array, 2, func(s *model.Spec) { s.CheckpointInterval, s.CheckpointTime = second, 10*second })
			running(t, w, s)
			k := holders(w, s)[0]
			switch at {
			case "asked to save, then cancelled, then hung":
				k.Notice = 60 * second // its tasks are moved off it
				until(t, w, 20*second, "it saves", func() bool {
					n := 0
					for _, x := range k.Tasks {
						if x.Phase == model.PhaseCheckpointing {
							n++
						}
					}
					return n > 0
				})
				w.Pass(second)
				tell(t, w, other(w, w.Leader()), s)
				k.Hung = true
			case "cancelled and hung at once":
				tell(t, w, other(w, w.Leader()), s)
				k.Hung = true
			default:
				tell(t, w, w.Leader(), s)
				w.Pass(150 * time.Millisecond)
				k.Hung = true
			}
			w.Pass(long)
			k.Hung = false
			w.Release()
			w.Pass(w.CancelIn)
			if on(w, s) > 0 {
				t.Errorf("%s, for %v: it runs", at, long)
			}
		}
	}
}
