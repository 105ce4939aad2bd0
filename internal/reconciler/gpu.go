package reconciler

import "github.com/glentiller/glentiller/internal/model"

// gpuReservations are the machine types that are reserved for GPU tasks. Demands for GPUs are on record, so that a new
// leader that has no GPU job at the moment does not fill, or provision, the most expensive machines for anything.
type gpuReservations struct {
	demands  map[model.Resources]bool    // demands for GPUs that were seen
	reserved map[*model.MachineType]bool // by type, as far as was asked since the last pass began
}

// maxGPUDemands bounds the demands that are kept.
const maxGPUDemands = 64

func newGPUReservations() gpuReservations {
	return gpuReservations{demands: map[model.Resources]bool{}, reserved: map[*model.MachineType]bool{}}
}

// add records a demand, and reports whether it is for GPUs and new.
func (g *gpuReservations) add(demand model.Resources) bool {
	if demand.GPU <= 0 || g.demands[demand] || len(g.demands) >= maxGPUDemands {
		return false
	}
	g.demands[demand] = true
	return true
}

// restore adds a demand that is on record.
func (g *gpuReservations) restore(demand model.Resources) { g.demands[demand] = true }

// beginPass forgets which types are reserved: the catalog and the demands may have changed.
func (g *gpuReservations) beginPass() { clear(g.reserved) }

// reserves reports whether machines of a type are reserved for GPU tasks: a demand for GPUs was seen that fits them.
// Spot machines are not, since GPU tasks that may use them are rare, and their CPUs are the cheapest.
func (g *gpuReservations) reserves(machineType *model.MachineType, spot bool) bool {
	if spot || machineType.Capacity.GPU == 0 {
		return false
	}
	reserved, known := g.reserved[machineType]
	if !known {
		for demand := range g.demands {
			reserved = reserved || demand.Fits(machineType.Capacity)
		}
		g.reserved[machineType] = reserved
	}
	return reserved
}

// needsGPUMachines reports whether a job that demands no GPU can run only on machines that are reserved for GPU
// tasks, since no other type takes it as an on-demand machine. Otherwise it would wait for ever for machines that do
// not exist. Spot machines do not count, as there may never be any.
func (c *Core) needsGPUMachines(job *model.Job) bool {
	spec := job.Spec
	if spec.Demand.GPU > 0 {
		return false
	}
	rules := c.constraintsOf(job)
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		if c.gpus.reserves(machineType, false) || !spec.AllowsType(machineType.Name) ||
			!spec.Demand.Fits(machineType.Capacity) {
			continue
		}
		for _, zone := range machineType.Zones {
			if (spec.Zone == "" || spec.Zone == zone) && rules.AcceptsOffer(machineType, zone, false) {
				return false
			}
		}
	}
	return true
}
