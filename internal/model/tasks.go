package model

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	TaskNew       TaskState = iota // never started
	TaskActive                     // it has an active attempt
	TaskRetry                      // waits to be started again after a failure
	TaskPreempted                  // was stopped to free capacity for other work, and queues like new tasks
	TaskDone
)

// JobTasks holds the states of a job's tasks.
type JobTasks struct {
	states []TaskState
	counts [TaskDone + 1]int
	// pending lists the tasks that wait, by state. It may hold tasks that have
	// left the state since.
	pending [TaskDone + 1][]int
	// restarted holds the tasks that were started more than once: the run time
	// of their last attempt is not that of a whole task.
	restarted map[int]bool
}

func newJobTasks(n int) JobTasks {
	t := JobTasks{states: make([]TaskState, n), restarted: map[int]bool{}}
	t.counts[TaskNew] = n
	for i := n - 1; i >= 0; i-- {
		t.pending[TaskNew] = append(t.pending[TaskNew], i)
	}
	return t
}

// Task returns a task's state.
func (t *JobTasks) Task(i int) TaskState { return t.states[i] }

// Count returns how many tasks are in a state.
func (t *JobTasks) Count(s TaskState) int { return t.counts[s] }

// Waiting returns how many tasks wait to be started.
func (t *JobTasks) Waiting() int {
	return t.counts[TaskNew] + t.counts[TaskRetry] + t.counts[TaskPreempted]
}

// Started reports whether any task was ever started, as far as is known.
func (t *JobTasks) Started() bool { return t.counts[TaskNew] < len(t.states) }

// Unfinished returns how many tasks are not done.
func (t *JobTasks) Unfinished() int { return len(t.states) - t.counts[TaskDone] }

// Restarted reports whether a task was started more than once.
func (t *JobTasks) Restarted(i int) bool { return t.restarted[i] }

// TakePending removes and returns one task that waits in the state.
func (t *JobTasks) TakePending(s TaskState) (task int, ok bool) {
	pending := t.pending[s]
	for len(pending) > 0 {
		i := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if t.states[i] == s {
			t.pending[s] = pending
			return i, true
		}
	}
	t.pending[s] = pending
	return 0, false
}

// SetTask changes a task's state; nothing else does. A finished task stays
// finished.
func (j *Job) SetTask(i int, to TaskState) {
	from := j.states[i]
	if from == to || from == TaskDone {
		return
	}
	j.counts[from]--
	j.counts[to]++
	j.states[i] = to
	switch to {
	case TaskNew, TaskRetry, TaskPreempted:
		j.pending[to] = append(j.pending[to], i)
		j.restarted[i] = true
	case TaskDone:
		delete(j.restarted, i)
		j.DoneBits[i/8] |= 1 << (i % 8)
	}
}
