package model

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	TaskNew       TaskState = iota // not known to have been started; it waits to be started
	TaskActive                     // it has an active attempt
	TaskRetry                      // its last attempt ended without completing it; it waits to be started again
	TaskPreempted                  // it was stopped to free capacity for other work; it is queued like a new task
	TaskDone                       // it completed
)

// JobTasks tracks the states of a job's tasks.
type JobTasks struct {
	states []TaskState       // by task index
	counts [TaskDone + 1]int // number of tasks, by state
	// untaken is the index from which tasks in TaskNew have never been returned by TakePending. It stands for a list of
	// the tasks that a new job waits with, which may be 100,000.
	untaken int
	// pending holds stacks of the indices of tasks that entered a waiting state, by state. A stack may contain tasks
	// that have left the state since they were pushed.
	pending [TaskDone + 1][]int
	// restarted holds the unfinished tasks that had an attempt which ended. The run time of their last attempt may be
	// less than the run time of a whole task, so it does not count for estimates.
	restarted map[int]bool
}

func newJobTasks(taskCount int) JobTasks {
	tasks := JobTasks{states: make([]TaskState, taskCount), restarted: map[int]bool{}}
	tasks.counts[TaskNew] = taskCount
	return tasks
}

// StateOf returns the state of the task with index i.
func (t *JobTasks) StateOf(i int) TaskState { return t.states[i] }

// Count returns the number of tasks in a state.
func (t *JobTasks) Count(s TaskState) int { return t.counts[s] }

// WaitingTasks returns the number of tasks that wait to be started.
func (t *JobTasks) WaitingTasks() int {
	return t.counts[TaskNew] + t.counts[TaskRetry] + t.counts[TaskPreempted]
}

// Started reports whether any task is known to have been started.
func (t *JobTasks) Started() bool { return t.counts[TaskNew] < len(t.states) }

// UnfinishedTasks returns the number of tasks that are not done.
func (t *JobTasks) UnfinishedTasks() int { return len(t.states) - t.counts[TaskDone] }

// Restarted reports whether the unfinished task with index i is known to have been started more than once, or waits
// to be started again.
func (t *JobTasks) Restarted(i int) bool { return t.restarted[i] }

// TakePending returns the index of one task in the waiting state s. ok is false if there is none. The state of the
// task does not change, but TakePending does not return it again until SetTask puts it into a waiting state.
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
	if s == TaskNew {
		return t.takeUntaken()
	}
	return 0, false
}

// takeUntaken implements TakePending for the tasks of a new job.
func (t *JobTasks) takeUntaken() (task int, ok bool) {
	for t.untaken < len(t.states) {
		i := t.untaken
		t.untaken++
		if t.states[i] == TaskNew {
			return i, true
		}
	}
	return 0, false
}

// SetTask changes the state of the task with index i. The state must not be changed in any other way. SetTask has no
// effect on a task that is done.
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
