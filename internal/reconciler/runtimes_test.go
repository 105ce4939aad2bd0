package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestEstimatesAreCorrectedByObservedRunTimes(t *testing.T) {
	r := runTimes{}
	s := &model.Spec{Class: "low", EstimatedRunTime: 10 * time.Second}
	for range minObservations - 1 {
		r.observe(s, 20*time.Second)
	}
	if got := r.estimate(s); got != s.EstimatedRunTime {
		t.Errorf("corrected to %v after too few tasks", got)
	}
	for range 100 {
		r.observe(s, 20*time.Second)
	}
	if got := r.estimate(s); got < 19*time.Second || got > 21*time.Second {
		t.Errorf("tasks run twice as long as estimated: corrected to %v", got)
	}
	r.observe(s, time.Hour) // one that hung
	if got := r.estimate(s); got > 22*time.Second {
		t.Errorf("a single odd one moves the estimate to %v", got)
	}
	if other := (&model.Spec{Class: "other", EstimatedRunTime: time.Second}); r.estimate(other) != time.Second {
		t.Error("another class is corrected too")
	}
}
