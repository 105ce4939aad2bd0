package faults

import "github.com/glentiller/glentiller/internal/fake"

// maxHung is how many machines cancelAndHang has hang.
const maxHung = 8

// randomWorkers draws some machines, up to one in a number of them.
func (s *simulation) randomWorkers(oneIn int) []*fake.Worker {
	names := s.world.WorkerNames()
	if len(names) == 0 {
		return nil // all were released
	}
	var workers []*fake.Worker
	for range 1 + s.random.IntN(len(names)/oneIn+1) {
		if worker := s.world.Workers[names[s.random.IntN(len(names))]]; worker != nil {
			workers = append(workers, worker)
		}
	}
	return workers
}

// faultAtWorkers gives a fault to up to a third of all machines.
func (s *simulation) faultAtWorkers(set func(worker *fake.Worker, active bool)) (end func()) {
	return faultAt(s.randomWorkers(3), set)
}

// faultAt gives a fault to machines.
func faultAt(workers []*fake.Worker, set func(worker *fake.Worker, active bool)) (end func()) {
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

func (s *simulation) blockInbound() (end func())     { return s.faultAtWorkers(setInboundBlocked) }
func (s *simulation) blockOutbound() (end func())    { return s.faultAtWorkers(setOutboundBlocked) }
func (s *simulation) partitionWorkers() (end func()) { return s.faultAtWorkers(setPartitioned) }

// blockHalfZone blocks the inbound or the outbound messages of about half of a zone's machines.
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
	return faultAt(workers, set)
}

func (s *simulation) hangWorkers() (end func()) {
	endHang := s.faultAtWorkers(setHung)
	return func() {
		endHang()
		s.world.DeliverHeldCommands()
	}
}

// cancelAndHang cancels jobs at the moment at which the machines with their tasks hang.
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
			if worker := w.Workers[name]; worker.CountTasks(j.spec.ID) > 0 && len(hung) < maxHung {
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

// bootFast has machines boot within two seconds.
func (s *simulation) bootFast() (end func()) {
	former := s.world.BootTime
	s.world.BootTime = s.randomUpTo(2 * second)
	return func() { s.world.BootTime = former }
}
