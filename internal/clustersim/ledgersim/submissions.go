package ledgersim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// The behavior of users who submit and cancel jobs.
const (
	submitRetryInterval = 30 * time.Second
	maxSubmitRetries    = 60
	cancelRetryInterval = time.Minute
	cancelledOneIn      = 25 // one in this many jobs other than services is cancelled by its user
	minCancelDelay      = 2 * time.Minute
	maxCancelDelay      = 40 * time.Hour
)

// jobClass describes the jobs of one class.
type jobClass struct {
	name, team string
	perDay     int
	drawSpec   func(s *simulation, spec *model.Spec) (runTime time.Duration) // completes the spec with random values
}

// jobClasses are the classes of jobs that are submitted every day.
var jobClasses = []jobClass{
	{"marking", "grading", 26, drawMarking},
	{"lists", "content", 22, drawLists},
	{"serve", "ops", 4, drawServe},
	{"swarm", "guest house", 14, drawSwarm},
	{"train", "vision", 8, drawTrain},
}

// drawMarking draws a job array with a deadline.
func drawMarking(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 2 + s.eventRand.IntN(20)
	spec.Demand = model.Resources{CPU: 4, MemGB: 18}
	spec.Deadline = time.Hour
	return s.randomDuration(30*time.Second, 12*time.Minute)
}

// drawLists draws a low-priority job array that saves checkpoints.
func drawLists(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 2 + s.eventRand.IntN(16)
	spec.Demand = model.Resources{CPU: 1.5, MemGB: 7.25}
	spec.Priority = model.PriorityLow
	spec.CheckpointInterval, spec.CheckpointTime = 30*time.Second, 3*time.Second
	return s.randomDuration(time.Minute, 25*time.Minute)
}

// drawServe draws a service. It has no run time, since it runs until it is cancelled.
func drawServe(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape = model.Service
	spec.Tasks = 1 + s.eventRand.IntN(3)
	spec.Demand = model.Resources{CPU: 2, MemGB: 8}
	spec.Priority = model.PriorityProduction
	return 0
}

// drawSwarm draws a job array of small tasks with a deadline.
func drawSwarm(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 4 + s.eventRand.IntN(24)
	spec.Demand = model.Resources{CPU: 0.5, MemGB: 1}
	spec.Deadline = 10 * time.Minute
	return s.randomDuration(10*time.Second, 5*time.Minute)
}

// drawTrain draws a gang whose tasks use GPUs and save checkpoints.
func drawTrain(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape = model.Gang
	spec.Tasks = 1 + s.eventRand.IntN(3)
	spec.Demand = model.Resources{CPU: 8, GPU: 2, MemGB: 60}
	spec.Priority = model.PriorityHigh
	spec.CheckpointInterval, spec.CheckpointTime = time.Minute, 5*time.Second
	return s.randomDuration(2*time.Minute, 40*time.Minute)
}

// scheduleSubmissions schedules the submissions of a day.
func (s *simulation) scheduleSubmissions(date time.Time) {
	for i := range jobClasses {
		class := &jobClasses[i]
		for range class.perDay {
			s.scheduleOnDay(date, func() { s.submit(s.newJob(class), 0) })
		}
	}
}

// newJob draws a job of a class and records its estimated run time.
func (s *simulation) newJob(class *jobClass) *model.Spec {
	s.jobCount++
	spec := &model.Spec{
		ID:        fmt.Sprintf("wk-%06d", s.jobCount),
		Class:     class.name,
		Team:      class.team,
		Shape:     model.Array,
		Priority:  model.PriorityNormal,
		AllowSpot: true,
		Image:     class.name,
		ImageGB:   1,
	}
	spec.EstimatedRunTime = class.drawSpec(s, spec)
	s.estimatedRunTimes[spec.ID] = spec.EstimatedRunTime
	return spec
}

// submit submits a job to a random controller. If the controller does not accept the job, the user retries up to
// maxSubmitRetries times.
func (s *simulation) submit(spec *model.Spec, retries int) {
	c := s.randomController()
	if !c.Up || !c.Jobs.Loaded() || s.world.Submit(c, spec) != nil {
		if retries < maxSubmitRetries {
			s.scheduleAfter(submitRetryInterval, func() { s.submit(spec, retries+1) })
		}
		return
	}
	s.result.Jobs++
	s.result.Tasks += spec.Tasks
	if spec.Shape == model.Service || s.eventRand.IntN(cancelledOneIn) == 0 {
		s.scheduleAfter(s.randomDuration(minCancelDelay, maxCancelDelay), func() { s.cancel(spec.ID) })
	}
}

// cancel cancels a job through a random controller. The user retries until a controller confirms the cancellation.
func (s *simulation) cancel(id string) {
	c := s.randomController()
	if c.Up && c.Jobs.Loaded() {
		if _, err := s.world.Cancel(c, id); err == nil {
			return
		}
	}
	s.scheduleAfter(cancelRetryInterval, func() { s.cancel(id) })
}

// randomController returns a random controller, which may be down.
func (s *simulation) randomController() *fake.Controller {
	return s.world.Controllers[s.eventRand.IntN(len(s.world.Controllers))]
}

// runTime returns how long a task runs: a random duration from half to one and a half times its job's estimate.
func (s *simulation) runTime(id model.TaskID) time.Duration {
	estimate := s.estimatedRunTimes[id.Job]
	return estimate/2 + time.Duration(s.taskRand(id).Int64N(int64(estimate)+1))
}

// taskRand returns the random number source of a task. With a shared source, two simulations with the same seed would
// draw different run times as soon as two tasks start in a different order.
func (s *simulation) taskRand(id model.TaskID) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", id.Job, id.Index) // writing to a hash never fails
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}
