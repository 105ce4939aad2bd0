package route

import (
	"testing"
	"time"
)

// simulateService sends requestCount requests to a service, requestRate of them per second. The service
// processes throughput requests per second, one after another, and answers each after a further delay in
// seconds. simulateService returns the highest latency among the admitted requests of the second half, and how
// many requests the limit admitted.
func simulateService(
	limit *concurrencyLimit, throughput, delay float64, requestCount int, requestRate float64,
) (highestLatency time.Duration, admitted int) {
	type queued struct{ start, end float64 }
	seconds := func(s float64) time.Duration { return time.Duration(s * 1e9) }
	idleAt := 0.0
	var queue []queued
	for i := range requestCount {
		now := float64(i) / requestRate
		for len(queue) > 0 && queue[0].end <= now {
			limit.release()
			limit.observe(seconds(queue[0].end - queue[0].start))
			queue = queue[1:]
		}
		if !limit.acquire() {
			continue
		}
		idleAt = max(idleAt, now) + 1/throughput
		queue = append(queue, queued{now, idleAt + delay})
		admitted++
		if i > requestCount/2 {
			highestLatency = max(highestLatency, seconds(idleAt+delay-now))
		}
	}
	for range queue {
		limit.release()
	}
	return highestLatency, admitted
}

// Guards against a limit that lets a queue build up under overload, or that stays low after it. Under
// overload, admitted requests must be answered soon and the others rejected at once. After the overload,
// the limit must grow again.
func TestConcurrencyLimitAdaptsToThroughput(t *testing.T) {
	limit := newConcurrencyLimit(256, false)
	highestLatency, admitted := simulateService(&limit, 100, 0, 400, 50)
	if admitted != 400 || highestLatency > 20*time.Millisecond {
		t.Errorf("at half the capacity: got %d admitted, highest latency %v, want 400, at most 20ms",
			admitted, highestLatency)
	}
	highestLatency, admitted = simulateService(&limit, 10, 0, 3000, 50)
	if highestLatency > 1500*time.Millisecond || admitted < 550 {
		t.Errorf("at five times the capacity: got %d admitted, highest latency %v, want 550 of 600, at most 1.5s",
			admitted, highestLatency)
	}
	overloadLimit := limit.limit
	simulateService(&limit, 1000, 0.1, 6000, 300) // about 30 requests are in flight
	if _, admitted = simulateService(&limit, 1000, 0.1, 6000, 300); admitted < 5900 {
		t.Errorf("after the overload: got %d admitted, want 5900 of 6000; limit %v, under overload %v",
			admitted, limit.limit, overloadLimit)
	}
}

func TestFixedConcurrencyLimitStaysAtCeiling(t *testing.T) {
	limit := newConcurrencyLimit(256, true)
	for i := range 256 {
		limit.backOff()
		limit.observe(time.Hour)
		if !limit.acquire() {
			t.Fatalf("cancellation %d: got rejected, want admitted", i)
		}
	}
	if limit.acquire() {
		t.Error("cancellation 257: got admitted, want rejected")
	}
}
