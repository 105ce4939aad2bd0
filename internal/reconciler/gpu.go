package reconciler

import "github.com/glentiller/glentiller/internal/model"

// gpuReservations determines the machine types that are reserved for GPU tasks. The GPU demands that were seen are
// kept in the state service. Otherwise a new leader without a current GPU job would use, or provision, the most
// expensive machines for tasks that need no GPU.
type gpuReservations struct {
	demands        map[model.Resources]bool    // distinct resource demands that include GPUs
	reservedByType map[*model.MachineType]bool // results of reserves, cached since the start of the last pass
}

// maxGPUDemands bounds the number of distinct GPU demands that are kept.
const maxGPUDemands = 64

func newGPUReservations() gpuReservations {
	return gpuReservations{demands: map[model.Resources]bool{}, reservedByType: map[*model.MachineType]bool{}}
}

// add adds a demand if it includes GPUs, and reports whether it was added. It ignores known demands, and new ones
// beyond maxGPUDemands.
func (g *gpuReservations) add(demand model.Resources) bool {
	if demand.GPU <= 0 || g.demands[demand] || len(g.demands) >= maxGPUDemands {
		return false
	}
	g.demands[demand] = true
	return true
}

// restore adds a demand that was read from the state service.
func (g *gpuReservations) restore(demand model.Resources) { g.demands[demand] = true }

// beginPass clears the cached results, because the catalog and the demands may have changed.
func (g *gpuReservations) beginPass() { clear(g.reservedByType) }

// reserves reports whether machines of a type are reserved for GPU tasks. That is the case if any known GPU demand
// fits the type. Spot machines are never reserved, because few GPU tasks may use them and their CPUs are the
// cheapest.
func (g *gpuReservations) reserves(machineType *model.MachineType, spot bool) bool {
	if spot || machineType.Capacity.GPU == 0 {
		return false
	}
	reserved, known := g.reservedByType[machineType]
	if !known {
		for demand := range g.demands {
			reserved = reserved || demand.Fits(machineType.Capacity)
		}
		g.reservedByType[machineType] = reserved
	}
	return reserved
}

// needsGPUMachines reports whether a job that demands no GPU can run only on machine types that are reserved for GPU
// tasks, because no other type can run it on an on-demand machine. Such a job may use the reserved types; otherwise
// it would wait forever for machines that do not exist. Spot machines are not considered as an alternative, because
// they may never become available.
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
