package fake

import (
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

func TestGangCompletesAfterLosingTask(t *testing.T) {
	for _, when := range []string{"before its start", "while it runs"} {
		w := newDeployment(t, 4)
		w.RunTime = 30 * second
		if when == "before its start" {
			w.FetchTime = 8 * second
		}
		spec := newJob(model.Gang, 3, func(spec *model.Spec) {
			spec.Demand.CPU = 6
			spec.SingleZone = true
			spec.CheckpointInterval = 5 * second
			spec.CheckpointTime = second
		})
		submitJob(t, w, spec)
		waitUntil(t, w, 60*second, "the tasks are on machines", func() bool {
			onMachines := 0
			for _, worker := range w.Workers {
				for _, task := range worker.Tasks {
					if task.ID.Job == spec.ID && task.Phase != model.PhaseExited {
						onMachines++
					}
				}
			}
			return onMachines == 3
		})
		if when == "while it runs" {
			waitUntil(t, w, 60*second, "the gang runs", func() bool { return activeTasks(w, spec) == 3 })
			w.Advance(2 * second)
		}
		for _, name := range w.WorkerNames() {
			if worker := w.Workers[name]; len(worker.Tasks) > 0 {
				worker.Partitioned = true
				break
			}
		}
		waitUntil(t, w, 200*second, "the job is done although it lost a task "+when, jobDone(t, w, spec))
	}
}

func TestIncompleteGangIsRestartedAfterTimeout(t *testing.T) {
	w := newDeployment(t, 2)
	w.Workers["n-000002"].FetchDelay = 40 * second // longer than GangWait
	spec := newJob(model.Gang, 2, func(spec *model.Spec) { spec.Demand.CPU = 6 })
	submitJob(t, w, spec)
	waitUntil(t, w, 60*second, "the waiting task has been started again after a timeout", func() bool {
		return w.Launches[model.TaskID{Job: spec.ID, Index: 0}] > 1
	})
	w.Workers["n-000002"].FetchDelay = 0
	waitUntil(t, w, 150*second, "the job is done", jobDone(t, w, spec))
}

func TestGangUnderInterruptionNoticeCheckpointsAndResumes(t *testing.T) {
	w := newDeployment(t, 4)
	w.RunTime = 40 * second
	spec := newJob(model.Gang, 2, func(spec *model.Spec) {
		spec.Demand.CPU = 6
		spec.CheckpointInterval = 10 * second
		spec.CheckpointTime = 2 * second
	})
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "the tasks are on machines", func() bool { return activeTasks(w, spec) == 2 })
	w.Advance(2 * second) // the images are fetched, and the tasks run
	worker := w.Workers[w.MachinesOf(model.TaskID{Job: spec.ID})[0]]
	worker.InterruptionNotice, worker.statusChanged = 10*second, true
	waitUntil(t, w, 5*second, "both tasks have saved a checkpoint", func() bool {
		return w.Checkpoints[model.TaskID{Job: spec.ID}] == 1 && w.Checkpoints[model.TaskID{Job: spec.ID, Index: 1}] == 1
	})
	waitUntil(t, w, 30*second, "the gang runs on other machines", func() bool {
		return activeTasks(w, spec) == 2 && len(w.MachinesOf(model.TaskID{Job: spec.ID})) == 1
	})
	waitUntil(t, w, 90*second, "the job is done", jobDone(t, w, spec))
}
