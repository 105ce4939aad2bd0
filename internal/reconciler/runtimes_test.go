package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestEstimatesAreCorrectedByObservedRunTimes(t *testing.T) {
	estimates := runTimes{}
	spec := &model.Spec{Class: "low", EstimatedRunTime: 10 * time.Second}
	for range minObservations - 1 {
		estimates.observe(spec, 20*time.Second)
	}
	if got := estimates.estimate(spec); got != spec.EstimatedRunTime {
		t.Errorf("after too few tasks: got %v, want %v", got, spec.EstimatedRunTime)
	}
	for range 100 {
		estimates.observe(spec, 20*time.Second)
	}
	if got := estimates.estimate(spec); got < 19*time.Second || got > 21*time.Second {
		t.Errorf("tasks run twice as long as estimated: got %v, want 19s to 21s", got)
	}
	estimates.observe(spec, time.Hour) // a task that hung
	if got := estimates.estimate(spec); got > 22*time.Second {
		t.Errorf("after a single outlier: got %v, want 22s at most", got)
	}
	other := &model.Spec{Class: "other", EstimatedRunTime: time.Second}
	if got := estimates.estimate(other); got != time.Second {
		t.Errorf("another class: got %v, want 1s", got)
	}
}
