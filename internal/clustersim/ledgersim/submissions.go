package ledgersim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// How users submit and cancel.
const (
	submitRetryInterval = 30 * time.Second
	maxSubmitRetries    = 60
	cancelRetryInterval = time.Minute
	cancelledOneIn      = 25 // of the jobs that end by themselves
	minCancelDelay      = 2 * time.Minute
	maxCancelDelay      = 40 * time.Hour
)

// jobClass is a class of jobs that are alike.
type jobClass struct {
	class, team string
	perDay      int
	shape       func(s *simulation, spec *model.Spec) (runTime time.Duration) // draws the rest of the spec
}

// jobClasses are submitted every day.
var jobClasses = []jobClass{
	{"marking", "grading", 26, shapeMarking},
	{"lists", "content", 22, shapeLists},
	{"serve", "ops", 4, shapeServe},
	{"swarm", "guest house", 14, shapeSwarm},
	{"train", "vision", 8, shapeTrain},
}

// shapeMarking draws an array with a deadline.
func shapeMarking(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 2 + s.rand.IntN(20)
	spec.Demand = model.Resources{CPU: 4, MemGB: 18}
	spec.Deadline = time.Hour
	return s.randomDuration(30*time.Second, 12*time.Minute)
}

// shapeLists draws an array of low priority that saves checkpoints.
func shapeLists(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 2 + s.rand.IntN(16)
	spec.Demand = model.Resources{CPU: 1.5, MemGB: 7.25}
	spec.Priority = model.PriorityLow
	spec.CheckpointInterval, spec.CheckpointTime = 30*time.Second, 3*time.Second
	return s.randomDuration(time.Minute, 25*time.Minute)
}

// shapeServe draws a service, which runs until it is cancelled.
func shapeServe(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape = model.Service
	spec.Tasks = 1 + s.rand.IntN(3)
	spec.Demand = model.Resources{CPU: 2, MemGB: 8}
	spec.Priority = model.PriorityProduction
	return 0
}

// shapeSwarm draws an array of small tasks.
func shapeSwarm(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks = 4 + s.rand.IntN(24)
	spec.Demand = model.Resources{CPU: 0.5, MemGB: 1}
	spec.Deadline = 10 * time.Minute
	return s.randomDuration(10*time.Second, 5*time.Minute)
}

// shapeTrain draws a gang with GPUs.
func shapeTrain(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape = model.Gang
	spec.Tasks = 1 + s.rand.IntN(3)
	spec.Demand = model.Resources{CPU: 8, GPU: 2, MemGB: 60}
	spec.Priority = model.PriorityHigh
	spec.CheckpointInterval, spec.CheckpointTime = time.Minute, 5*time.Second
	return s.randomDuration(2*time.Minute, 40*time.Minute)
}

// planSubmissions plans a day's jobs.
func (s *simulation) planSubmissions(date time.Time) {
	for i := range jobClasses {
		class := &jobClasses[i]
		for range class.perDay {
			s.planOn(date, func() { s.submit(s.newJob(class), 0) })
		}
	}
}

// newJob draws a job of a class.
func (s *simulation) newJob(class *jobClass) *model.Spec {
	s.jobCount++
	spec := &model.Spec{
		ID:        fmt.Sprintf("wk-%06d", s.jobCount),
		Class:     class.class,
		Team:      class.team,
		Shape:     model.Array,
		Priority:  model.PriorityNormal,
		AllowSpot: true,
		Image:     class.class,
		ImageGB:   1,
	}
	spec.EstimatedRunTime = class.shape(s, spec)
	s.runTimes[spec.ID] = spec.EstimatedRunTime
	return spec
}

// submit submits a job to any controller, and again later if that does not accept it.
func (s *simulation) submit(spec *model.Spec, retries int) {
	c := s.randomController()
	if !c.Up || !c.Jobs.Loaded() || s.world.Submit(c, spec) != nil {
		if retries < maxSubmitRetries {
			s.planIn(submitRetryInterval, func() { s.submit(spec, retries+1) })
		}
		return
	}
	s.result.Jobs++
	s.result.Tasks += spec.Tasks
	if spec.Shape == model.Service || s.rand.IntN(cancelledOneIn) == 0 {
		s.planIn(s.randomDuration(minCancelDelay, maxCancelDelay), func() { s.cancel(spec.ID) })
	}
}

// cancel cancels a job at any controller, and again later if that does not confirm it.
func (s *simulation) cancel(id string) {
	c := s.randomController()
	if c.Up && c.Jobs.Loaded() {
		if _, err := s.world.Cancel(c, id); err == nil {
			return
		}
	}
	s.planIn(cancelRetryInterval, func() { s.cancel(id) })
}

// randomController draws a controller, which may be down.
func (s *simulation) randomController() *fake.Controller {
	return s.world.Controllers[s.rand.IntN(len(s.world.Controllers))]
}

// runTime draws how long a task runs: from half to one and a half times its job's estimate.
func (s *simulation) runTime(id model.TaskID) time.Duration {
	estimate := s.runTimes[id.Job]
	return estimate/2 + time.Duration(s.taskRand(id).Int64N(int64(estimate)+1))
}

// taskRand returns a task's own source of random numbers. With a common one, simulations of one seed would draw
// different run times as soon as two tasks start in another order.
func (s *simulation) taskRand(id model.TaskID) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", id.Job, id.Index) // a hash returns no error
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}
