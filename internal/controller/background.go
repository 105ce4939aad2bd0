package controller

import (
	"runtime/metrics"
	"time"
)

// memorySampleInterval is the time between two samples of the live memory of this process.
const memorySampleInterval = time.Second

// watchMemory periodically passes the size of the live heap and of the stacks to the memory monitor.
func (c *Controller) watchMemory() error {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	for c.tasks.running() {
		metrics.Read(samples)
		c.memory.Observe(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		c.tasks.sleep(memorySampleInterval)
	}
	return nil
}

const (
	catalogRetryInterval   = time.Second     // while no machine types are known
	catalogRefreshInterval = 5 * time.Minute // once machine types are known
)

// refreshMachineTypes periodically reads the catalog, so that submissions are checked against current machine
// types.
func (c *Controller) refreshMachineTypes() error {
	for c.tasks.running() {
		wait := catalogRetryInterval
		if len(c.MachineTypes()) > 0 {
			wait = catalogRefreshInterval
		}
		if _, err := c.publishingCloud().Catalog(c.tasks.ctx); err == nil {
			wait = catalogRefreshInterval
		} else {
			c.log.Debug("reading the catalog failed", "err", err)
		}
		c.tasks.sleep(wait)
	}
	return nil
}
