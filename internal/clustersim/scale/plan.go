// Package scale load-tests real controllers at the size of a whole fleet. It runs the built controller program as
// processes, and serves them stand-ins for the state service, the cloud and the users over loopback sockets. All
// workers are hollow: they speak the complete worker protocol, but only simulate the execution of tasks. A Plan
// describes a simulation; Run verifies that the machine has the resources for it, carries it out and returns the
// measurements.
package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/glentiller/glentiller/internal/model"
)

// Plan describes a simulation. Each region is an independent deployment with its own state service, cloud, users and
// controllers. Zones and Controllers are counted per region, while Workers and Starts are totals over all regions.
// All regions have the same teams.
type Plan struct {
	Workers     int      `toml:"workers"`
	Regions     int      `toml:"regions"`
	Zones       int      `toml:"zones"`
	Controllers int      `toml:"controllers"`
	Seconds     int      `toml:"seconds"`           // duration of the measurement, which begins after the warm-up
	Starts      float64  `toml:"starts_per_second"` // task starts per second; 0 means one for every workersPerStart workers
	Teams       int      `toml:"teams"`
	Seed        uint64   `toml:"seed"`
	Churn       float64  `toml:"churn"`    // rate of machine failures and replacements, as a multiple of the target's
	Faults      []Fault  `toml:"fault"`    // scheduled faults
	Mutation    Mutation `toml:"break"`    // deliberate fault of the stand-ins that the checks must detect
	Program     string   `toml:"program"`  // path of the controller program; "" means that Run builds it
	Operator    string   `toml:"operator"` // path of the operators' settings, which all controllers use
	Profile     string   `toml:"profile"`  // directory for the controllers' CPU profiles; "" disables profiling
	Logs        string   `toml:"logs"`     // directory to which the controllers' logs are copied; "" discards them
}

// Fault is a scheduled fault.
type Fault struct {
	Kind FaultKind `toml:"kind"`
	At   float64   `toml:"at_s"` // seconds after the beginning of the measurement
}

// FaultKind is the kind of a scheduled fault. The affected region, rack and zone are drawn at random.
type FaultKind string

// The kinds of scheduled faults.
const (
	LeaderCrash FaultKind = "leader" // the leader of a region is killed and restarted
	RackHang    FaultKind = "rack"   // the machines of a rack hang for less than a lease
	ZoneOutage  FaultKind = "zone"   // the machines of a zone hang for longer than a lease, and its controllers crash
)

// Mutation is a deliberate fault of the stand-ins, with which a run shows that its checks detect violations.
type Mutation string

// The mutations.
const (
	NoMutation  Mutation = ""
	LaunchTwice Mutation = "twice" // a second worker also carries out each launch
)

// DefaultPlan returns the plan that applies without a plan file and flags.
func DefaultPlan() Plan {
	return Plan{
		Workers:     1000,
		Regions:     1,
		Zones:       3,
		Controllers: 3,
		Seconds:     40,
		Teams:       140,
		Seed:        1,
		Operator:    "deploy/run.xml",
	}
}

// ReadPlan reads a plan from a TOML file. Keys that the file omits keep their values from p. An unknown key is an
// error.
func ReadPlan(path string, p Plan) (Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return p, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	d := toml.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParseFault parses a fault of the command line, such as leader@20. It does not check the kind and the time;
// Plan.Check does.
func ParseFault(text string) (Fault, error) {
	kind, at, ok := strings.Cut(text, "@")
	seconds, err := strconv.ParseFloat(at, 64)
	if !ok || err != nil {
		return Fault{}, fmt.Errorf("fault %q: want the form KIND@SECONDS", text)
	}
	return Fault{FaultKind(kind), seconds}, nil
}

// The upper bounds of the values of a plan.
const (
	maxWorkers     = 50_000
	maxRegions     = 16
	maxZones       = 16
	maxControllers = 9
	maxSeconds     = 3600
	maxStarts      = 50_000
	maxTeams       = 1000
	maxChurn       = 10_000
	maxFaults      = 100
)

// Check returns an error that lists every invalid value of the plan, or nil if the plan is valid.
func (p *Plan) Check() error {
	var errs []error
	checkRange := func(name string, value, low, high float64) {
		if !(value >= low && value <= high) {
			errs = append(errs, fmt.Errorf("%s: got %v, want %v to %v", name, value, low, high))
		}
	}
	checkRange("workers", float64(p.Workers), 10, maxWorkers)
	checkRange("regions", float64(p.Regions), 1, maxRegions)
	checkRange("zones", float64(p.Zones), 1, maxZones)
	checkRange("controllers", float64(p.Controllers), 1, maxControllers)
	checkRange("seconds", float64(p.Seconds), 1, maxSeconds)
	checkRange("starts-per-second", p.Starts, 0, maxStarts)
	checkRange("teams", float64(p.Teams), 1, maxTeams)
	checkRange("churn", p.Churn, 0, maxChurn)
	checkRange("faults", float64(len(p.Faults)), 0, maxFaults)
	if p.Workers < 10*p.Regions {
		errs = append(errs, fmt.Errorf("workers: got %d, want at least 10 for each of %d regions", p.Workers, p.Regions))
	}
	for _, f := range p.Faults {
		if f.Kind != LeaderCrash && f.Kind != RackHang && f.Kind != ZoneOutage {
			errs = append(errs, fmt.Errorf("fault: unknown kind %q", f.Kind))
		}
		checkRange("fault", f.At, 0, float64(p.Seconds))
	}
	if p.Mutation != NoMutation && p.Mutation != LaunchTwice {
		errs = append(errs, fmt.Errorf("break: unknown kind %q", p.Mutation))
	}
	return errors.Join(errs...)
}

// startRate returns the requested number of task starts per second over all regions.
func (p *Plan) startRate() float64 {
	if p.Starts > 0 {
		return p.Starts
	}
	return float64(p.Workers) / workersPerStart
}

// workersPerStart is the number of workers per requested start a second if the plan does not set the start rate.
const workersPerStart = 40

// Values in the controllers' settings files. The hollow workers use the same durations of the worker protocol. Of the
// limits of the state service and the cloud, the stand-ins enforce only stateValueKB and stateTxnOps.
const (
	heartbeatInterval = 6 * time.Second
	leaseTime         = 30 * time.Second // duration of a worker's lease
	gangWait          = 60 * time.Second // time for which a gang's task waits for the other tasks
	gangPeer          = 10 * time.Second // not used by controllers and hollow workers
	cancelDeadline    = 60 * time.Second // maximum time from a job's cancellation to the end of its tasks
	listLag           = 5 * time.Second  // maximum lag of the cloud's machine list
	stateRPS          = 1000             // requests per second to the state service
	stateWriteRPS     = 400              // changes per second in the state service
	stateValueKB      = 16               // size of a value
	stateTxnOps       = 48               // changes in a transaction
	cloudRPS          = 10               // requests per second to the cloud
)

// Streams of random numbers. Those of workers, users and faults are seeded with the plan's seed, and that of each job
// with a number that the users' stream draws.
const (
	workerStream = 1
	userStream   = 2
	jobStream    = 3
	faultStream  = 4
)

// Durations on the simulated machines, and the number of service replicas.
const (
	fetchTime         = 200 * time.Millisecond // to fetch an image
	meanTaskTime      = 6 * time.Second        // mean run time of the tasks of arrays and gangs
	bootTime          = 10 * time.Second       // from the provisioning of a machine until it is up
	replicasPerWorker = 0.5                    // service replicas per worker
)

// The two machine types. One in machinesPerGPUMachine machines is of the type with GPUs.
const (
	cpuMachineType        = "plain-8"
	gpuMachineType        = "gpu-16"
	machinesPerGPUMachine = 6
	gpusPerMachine        = 8
)

// machineTypes returns the machine types of the cloud's catalog, which are all offered in the given zones.
func machineTypes(zones []string) []model.MachineType {
	return []model.MachineType{
		{
			Name:             cpuMachineType,
			Capacity:         model.Resources{CPU: 8, MemGB: 32},
			CacheGB:          200,
			FetchGBPerS:      1,
			PricePerHour:     0.4,
			SpotPricePerHour: 0.1,
			BootTime:         bootTime,
			Zones:            zones,
		},
		{
			Name:             gpuMachineType,
			Capacity:         model.Resources{CPU: 16, GPU: gpusPerMachine, MemGB: 128},
			CacheGB:          200,
			FetchGBPerS:      1,
			PricePerHour:     8,
			SpotPricePerHour: 3,
			BootTime:         bootTime,
			Zones:            zones,
		},
	}
}

// machineTypeAt returns the type of a region's initial machine with the given index.
func machineTypeAt(i int) string {
	if i%machinesPerGPUMachine == 0 {
		return gpuMachineType
	}
	return cpuMachineType
}

// maxGangTasks bounds the number of tasks of a gang.
const maxGangTasks = 256

// teams returns the teams of one region with their guarantees and quotas. A team's quota is divided evenly among the
// regions: they do not coordinate, and so stay within the whole quota only if each stays within its share. A share
// leaves room for two of the largest gangs.
func (p *Plan) teams() []model.Team {
	workers := float64(p.Workers) / float64(p.Regions)
	meanCPUs := workers * 9 / float64(p.Teams) // CPUs per team, at about 9 per machine
	out := make([]model.Team, p.Teams)
	for i := range out {
		quota := max(4*meanCPUs, 2*maxGangTasks)
		out[i] = model.Team{
			Name:      fmt.Sprintf("team-%03d", i),
			Guarantee: model.Resources{CPU: meanCPUs / 2},
			Quota:     model.NewQuota(quota, 0),
		}
	}
	return out
}
