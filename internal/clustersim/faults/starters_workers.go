package faults

import "github.com/glentiller/glentiller/internal/fake"

// maxHungWorkers bounds the number of workers that cancelAndHang makes hang.
const maxHungWorkers = 8

// randomWorkers draws at least one worker and up to about one in oneIn of all workers. A worker may be drawn more than
// once. It returns nil if there are no workers.
func (s *simulation) randomWorkers(oneIn int) []*fake.Worker {
	names := s.world.WorkerNames()
	if len(names) == 0 {
		return nil // all machines have been released
	}
	var workers []*fake.Worker
	for range 1 + s.random.IntN(len(names)/oneIn+1) {
		if worker := s.world.Workers[names[s.random.IntN(len(names))]]; worker != nil {
			workers = append(workers, worker)
		}
	}
	return workers
}

// startRandomWorkersFault sets a fault at up to about a third of all workers and returns the function that clears it.
func (s *simulation) startRandomWorkersFault(set func(worker *fake.Worker, active bool)) (end func()) {
	return startWorkersFault(s.randomWorkers(3), set)
}

// startWorkersFault sets a fault at the given workers and returns the function that clears it. The callback set sets
// the fault of one worker if active is true, and clears it otherwise.
func startWorkersFault(workers []*fake.Worker, set func(worker *fake.Worker, active bool)) (end func()) {
	for _, worker := range workers {
		set(worker, true)
	}
	return func() {
		for _, worker := range workers {
			set(worker, false)
		}
	}
}

func setInboundBlocked(worker *fake.Worker, active bool)  { worker.InboundBlocked = active }
func setOutboundBlocked(worker *fake.Worker, active bool) { worker.OutboundBlocked = active }
func setPartitioned(worker *fake.Worker, active bool)     { worker.Partitioned = active }
func setHung(worker *fake.Worker, active bool)            { worker.Hung = active }

func (s *simulation) blockInbound() (end func()) { return s.startRandomWorkersFault(setInboundBlocked) }
func (s *simulation) blockOutbound() (end func()) {
	return s.startRandomWorkersFault(setOutboundBlocked)
}
func (s *simulation) partitionWorkers() (end func()) {
	return s.startRandomWorkersFault(setPartitioned)
}

// blockHalfZone blocks the inbound or the outbound messages of about half of the workers in a random zone.
func (s *simulation) blockHalfZone() (end func()) {
	w := s.world
	set := setInboundBlocked
	if s.random.IntN(2) == 0 {
		set = setOutboundBlocked
	}
	zone := w.Types[0].Zones[s.random.IntN(2)]
	var workers []*fake.Worker
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; worker.Zone == zone && s.random.IntN(2) == 0 {
			workers = append(workers, worker)
		}
	}
	return startWorkersFault(workers, set)
}

func (s *simulation) hangWorkers() (end func()) {
	endHang := s.startRandomWorkersFault(setHung)
	return func() {
		endHang()
		s.world.DeliverHeldCommands()
	}
}

// cancelAndHang cancels random jobs and, at the same moment, makes workers that run their tasks hang.
func (s *simulation) cancelAndHang() (end func()) {
	w := s.world
	var hung []*fake.Worker
	for range 4 + s.random.IntN(8) {
		if len(s.jobs) == 0 {
			break
		}
		j, c := s.jobs[s.random.IntN(len(s.jobs))], s.randomController()
		if j.cancelled || !c.Up || c.Frozen {
			continue
		}
		s.cancel(c, j)
		for _, name := range w.WorkerNames() {
			if worker := w.Workers[name]; worker.CountTasks(j.spec.ID) > 0 && len(hung) < maxHungWorkers {
				worker.Hung = true
				hung = append(hung, worker)
			}
		}
	}
	return func() {
		for _, worker := range hung {
			worker.Hung = false
		}
		w.DeliverHeldCommands()
	}
}

func (s *simulation) restartWorkers() (end func()) {
	for _, worker := range s.randomWorkers(4) {
		s.world.RestartWorker(worker)
	}
	return noEnd
}

// shortenBootTime makes new machines boot within two seconds.
func (s *simulation) shortenBootTime() (end func()) {
	originalBootTime := s.world.BootTime
	s.world.BootTime = s.randomDuration(2 * second)
	return func() { s.world.BootTime = originalBootTime }
}
