package model

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against waiting tasks that are never returned and so never start, and against tasks that are returned twice
// or although they do not wait, whatever changes of state come between.
func TestTakePendingReturnsEachWaitingTaskOnce(t *testing.T) {
	const tasks = 40
	random := rand.New(rand.NewPCG(62, 2))
	waitingStates := []TaskState{TaskNew, TaskRetry, TaskPreempted}
	for round := range 200 {
		job := NewJob(&Spec{Tasks: tasks}, time.Time{}, 1)
		for range random.IntN(5 * tasks) {
			switch i := random.IntN(tasks); random.IntN(4) {
			case 0: // adopted from a heartbeat, or done according to a record
				job.SetTask(i, []TaskState{TaskActive, TaskDone}[random.IntN(2)])
			case 1: // its attempt ended
				if job.StateOf(i) == TaskActive {
					job.SetTask(i, []TaskState{TaskRetry, TaskPreempted, TaskDone}[random.IntN(3)])
				}
			default: // launched
				state := waitingStates[random.IntN(len(waitingStates))]
				if i, ok := job.TakePending(state); ok {
					if job.StateOf(i) != state {
						t.Fatalf("round %d: task %d in state %d was returned as waiting in state %d", round, i, job.StateOf(i), state)
					}
					job.SetTask(i, TaskActive)
				}
			}
		}
		for _, state := range waitingStates {
			returned := map[int]bool{}
			for i, ok := job.TakePending(state); ok; i, ok = job.TakePending(state) {
				if returned[i] || job.StateOf(i) != state {
					t.Fatalf("round %d: task %d in state %d was returned for state %d", round, i, job.StateOf(i), state)
				}
				returned[i] = true
			}
			if len(returned) != job.Count(state) {
				t.Fatalf("round %d: %d tasks were returned for state %d, want %d", round, len(returned), state, job.Count(state))
			}
		}
	}
}

// Guards against tasks of a new job that start in another order than that of their indices.
func TestNewTasksAreTakenInOrder(t *testing.T) {
	job := NewJob(&Spec{Tasks: 5}, time.Time{}, 1)
	for want := range 5 {
		if i, ok := job.TakePending(TaskNew); !ok || i != want {
			t.Fatalf("got task %d (%v), want %d", i, ok, want)
		}
	}
}
