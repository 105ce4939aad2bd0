package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// runTimes corrects owners' estimates, class by class, by how long tasks have
// really run. The design's first crack: run times that are estimated too low
// inflate slack, so those tasks start late.
type runTimes map[string]*estimateCorrection

// estimateCorrection is how far the estimates of a class are off.
type estimateCorrection struct {
	factor       float64
	observations int
}

const (
	observationWeight = 0.05 // of one more observation
	minObservations   = 20   // observations before a class is corrected at all
	maxCorrection     = 3.0  // a correction beyond this is more likely a mistake
)

// observe takes the run time of a task that ran through in one go.
func (r runTimes) observe(s *model.Spec, ran time.Duration) {
	if s.EstimatedRunTime <= 0 || ran <= 0 {
		return
	}
	t := r[s.Class]
	if t == nil {
		t = &estimateCorrection{factor: 1}
		r[s.Class] = t
	}
	ratio := min(max(float64(ran)/float64(s.EstimatedRunTime), 1/maxCorrection), maxCorrection)
	t.observations++
	t.factor += (ratio - t.factor) * max(observationWeight, 1/float64(t.observations+1))
}

// estimate is the owner's estimate of a task's run time, corrected.
func (r runTimes) estimate(s *model.Spec) time.Duration {
	if t := r[s.Class]; t != nil && t.observations >= minObservations {
		return time.Duration(float64(s.EstimatedRunTime) * t.factor)
	}
	return s.EstimatedRunTime
}
