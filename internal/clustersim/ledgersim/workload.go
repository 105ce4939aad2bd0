package ledgersim

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	submitRetry  = 30 * time.Second
	maxSubmits   = 60 // retries of a submission
	cancelRetry  = time.Minute
	minLifetime  = 2 * time.Minute // of a job that is cancelled
	maxLifetime  = 40 * time.Hour
	oneCancelled = 25 // one in so many jobs is cancelled, apart from services
)

// jobClass is a kind of job.
type jobClass struct {
	class, team string
	perDay      int
	draw        func(s *simulation, spec *model.Spec) (runTime time.Duration)
}

// jobClasses are the kinds of jobs.
var jobClasses = []jobClass{
	{"marking", "grading", 26, drawMarking},
	{"lists", "content", 22, drawLists},
	{"serve", "ops", 4, drawServe},
	{"swarm", "guest house", 14, drawSwarm},
	{"train", "vision", 8, drawTrain},
}

func drawMarking(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks, spec.Demand = 2+s.random.IntN(20), model.Resources{CPU: 4, MemGB: 18}
	spec.Deadline = time.Hour
	return s.randomDuration(30*time.Second, 12*time.Minute)
}

func drawLists(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks, spec.Demand = 2+s.random.IntN(16), model.Resources{CPU: 1.5, MemGB: 7.25}
	spec.Priority = model.PriorityLow
	spec.CheckpointInterval, spec.CheckpointTime = 30*time.Second, 3*time.Second
	return s.randomDuration(time.Minute, 25*time.Minute)
}

func drawServe(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape, spec.Priority = model.Service, model.PriorityProduction
	spec.Tasks, spec.Demand = 1+s.random.IntN(3), model.Resources{CPU: 2, MemGB: 8}
	return 0
}

func drawSwarm(s *simulation, spec *model.Spec) time.Duration {
	spec.Tasks, spec.Demand = 4+s.random.IntN(24), model.Resources{CPU: 0.5, MemGB: 1}
	spec.Deadline = 10 * time.Minute
	return s.randomDuration(10*time.Second, 5*time.Minute)
}

func drawTrain(s *simulation, spec *model.Spec) time.Duration {
	spec.Shape, spec.Priority = model.Gang, model.PriorityHigh
	spec.Tasks, spec.Demand = 1+s.random.IntN(3), model.Resources{CPU: 8, GPU: 2, MemGB: 60}
	spec.CheckpointInterval, spec.CheckpointTime = time.Minute, 5*time.Second
	return s.randomDuration(2*time.Minute, 40*time.Minute)
}

// planSubmissions plans the jobs of a day.
func (s *simulation) planSubmissions(begin time.Time) {
	for i := range jobClasses {
		class := &jobClasses[i]
		for range class.perDay {
			s.planOn(begin, func() { s.submit(s.drawJob(class), 0) })
		}
	}
}

// drawJob makes a job of a class.
func (s *simulation) drawJob(class *jobClass) *model.Spec {
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
	spec.EstimatedRunTime = class.draw(s, spec)
	s.runTimes[spec.ID] = spec.EstimatedRunTime
	return spec
}

// submit submits a job, again and again if it is not accepted. Services, and now and then other jobs, are cancelled
// hours or days later.
func (s *simulation) submit(spec *model.Spec, retries int) {
	c := s.randomController()
	if !c.Up || !c.Jobs.Loaded() || s.world.Submit(c, spec) != nil {
		if retries < maxSubmits {
			s.planIn(submitRetry, func() { s.submit(spec, retries+1) })
		}
		return
	}
	s.result.Jobs++
	s.result.Tasks += spec.Tasks
	if spec.Shape == model.Service || s.random.IntN(oneCancelled) == 0 {
		s.planIn(s.randomDuration(minLifetime, maxLifetime), func() { s.cancel(spec.ID) })
	}
}

// cancel cancels a job, again and again until that is answered.
func (s *simulation) cancel(id string) {
	c := s.randomController()
	if c.Up && c.Jobs.Loaded() {
		if _, err := s.world.Cancel(c, id); err == nil {
			return
		}
	}
	s.planIn(cancelRetry, func() { s.cancel(id) })
}
