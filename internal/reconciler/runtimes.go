package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// runTimes corrects owners' estimates, by job class, by how long tasks have really run. Run times that are estimated
// too low inflate slack, so those tasks would start late.
type runTimes map[string]*estimateCorrection

// estimateCorrection is how far the estimates of a class are off.
type estimateCorrection struct {
	factor       float64
	observations int
}

const (
	observationWeight = 0.05 // of one more observation
	minObservations   = 20   // before a class is corrected at all
	maxCorrection     = 3.0  // a correction beyond this is more likely a mistake
)

// observe takes the run time of a task that ran from start to end without a restart.
func (r runTimes) observe(spec *model.Spec, ran time.Duration) {
	if spec.EstimatedRunTime <= 0 || ran <= 0 {
		return
	}
	correction := r[spec.Class]
	if correction == nil {
		correction = &estimateCorrection{factor: 1}
		r[spec.Class] = correction
	}
	ratio := min(max(float64(ran)/float64(spec.EstimatedRunTime), 1/maxCorrection), maxCorrection)
	correction.observations++
	weight := max(observationWeight, 1/float64(correction.observations+1))
	correction.factor += (ratio - correction.factor) * weight
}

// estimate returns the owner's estimate of a task's run time, corrected.
func (r runTimes) estimate(spec *model.Spec) time.Duration {
	if correction := r[spec.Class]; correction != nil && correction.observations >= minObservations {
		return time.Duration(float64(spec.EstimatedRunTime) * correction.factor)
	}
	return spec.EstimatedRunTime
}
