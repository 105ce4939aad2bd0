package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// runTimes corrects the job owners' estimates of run times by the observed run times, separately for each job class.
// A run time that is estimated too low makes the slack too large, so the tasks would start too late.
type runTimes map[string]*estimateCorrection

// estimateCorrection is the average ratio of observed to estimated run times of a job class.
type estimateCorrection struct {
	factor       float64
	observations int
}

const (
	observationWeight = 0.05 // minimum weight of a new observation in the moving average
	minObservations   = 20   // observations of a class before its estimates are corrected
	maxCorrection     = 3.0  // limits a ratio and its inverse; a larger ratio is more likely a mistake
)

// observe records the run time of a task that ran from start to end without a restart.
func (r runTimes) observe(spec *model.Spec, runTime time.Duration) {
	if spec.EstimatedRunTime <= 0 || runTime <= 0 {
		return
	}
	correction := r[spec.Class]
	if correction == nil {
		correction = &estimateCorrection{factor: 1}
		r[spec.Class] = correction
	}
	ratio := min(max(float64(runTime)/float64(spec.EstimatedRunTime), 1/maxCorrection), maxCorrection)
	correction.observations++
	weight := max(observationWeight, 1/float64(correction.observations+1))
	correction.factor += (ratio - correction.factor) * weight
}

// estimate returns the run time that a task is expected to need: the owner's estimate, corrected if enough run times
// of the job class were observed.
func (r runTimes) estimate(spec *model.Spec) time.Duration {
	if correction := r[spec.Class]; correction != nil && correction.observations >= minObservations {
		return time.Duration(float64(spec.EstimatedRunTime) * correction.factor)
	}
	return spec.EstimatedRunTime
}
