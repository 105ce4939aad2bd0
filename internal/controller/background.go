package controller

import (
	"runtime/metrics"
	"time"
)

// memoryInterval is the time between samples of how much memory is live.
const memoryInterval = time.Second

// watchMemory samples how much memory is live.
func (c *Controller) watchMemory() error {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	for c.tasks.running() {
		metrics.Read(samples)
		c.memory.Observe(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		c.tasks.sleep(memoryInterval)
	}
	return nil
}

const (
	catalogRetry   = time.Second     // while no machine types are known
	catalogRefresh = 5 * time.Minute // once they are
)

// refreshMachineTypes keeps the machine types current, against which submissions are checked.
func (c *Controller) refreshMachineTypes() error {
	for c.tasks.running() {
		wait := catalogRetry
		if len(c.MachineTypes()) > 0 {
			wait = catalogRefresh
		}
		if _, err := c.publishingCloud().Catalog(c.tasks.ctx); err == nil {
			wait = catalogRefresh
		} else {
			c.log.Debug("reading the catalog failed", "err", err)
		}
		c.tasks.sleep(wait)
	}
	return nil
}
