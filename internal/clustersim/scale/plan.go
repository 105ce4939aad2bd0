// Package scale load-tests real controllers at a fleet's size: the built program as processes, stand-ins for the state
// service, the cloud and the users on loopback sockets, and hollow workers, which speak the whole worker protocol and
// do no work. All machines that it measures are hollow. A Plan says what a run simulates; Run checks what the run
// requires of the machine, carries it out and returns the measurements.
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

// Plan is what a run simulates. Regions are deployments of their own, each with its state service, cloud, users and
// controllers; zones and controllers are counted in each region, workers over all.
type Plan struct {
	Workers     int      `toml:"workers"`
	Regions     int      `toml:"regions"`
	Zones       int      `toml:"zones"`
	Controllers int      `toml:"controllers"`
	Seconds     int      `toml:"seconds"`           // that are measured, after the fleet has come up
	Starts      float64  `toml:"starts_per_second"` // requested task starts; 0: a fortieth of the workers
	Teams       int      `toml:"teams"`
	Seed        uint64   `toml:"seed"`
	Churn       float64  `toml:"churn"`    // machines that fail or are replaced, as a multiple of the target's daily rate
	Faults      []Fault  `toml:"fault"`    // on a schedule
	Mutation    Mutation `toml:"break"`    // a deliberate fault of the stand-ins, to show that the checks can fail
	Program     string   `toml:"program"`  // the built controller; "": the run builds it
	Operator    string   `toml:"operator"` // the operators' settings of all controllers
	Profile     string   `toml:"profile"`  // a folder for the controllers' processor profiles; "": none
	Logs        string   `toml:"logs"`     // a folder for the controllers' logs; "": none
}

// Fault is one scheduled failure.
type Fault struct {
	Kind FaultKind `toml:"kind"`
	At   float64   `toml:"at_s"` // seconds from the beginning of the measurement
}

// FaultKind is what fails.
type FaultKind string

// The kinds of failures: the leader crashes, or machines hang: those of a rack, or those of a zone, whose controllers
// crash too.
const (
	LeaderCrash FaultKind = "leader"
	RackHang    FaultKind = "rack"
	ZoneOutage  FaultKind = "zone"
)

// Mutation is a deliberate fault of the stand-ins.
type Mutation string

// The deliberate faults.
const (
	NoMutation  Mutation = ""
	LaunchTwice Mutation = "twice" // another worker carries launches out too
)

// DefaultPlan is the plan of a run without any setting.
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

// ReadPlan reads a plan; what it leaves out is as in the plan that is given.
func ReadPlan(path string, p Plan) (Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return p, err
	}
	defer func() { _ = f.Close() }() // it was only read
	d := toml.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParseFault reads a failure as it is written on the command line, such as leader@20.
func ParseFault(text string) (Fault, error) {
	kind, at, ok := strings.Cut(text, "@")
	seconds, err := strconv.ParseFloat(at, 64)
	if !ok || err != nil {
		return Fault{}, fmt.Errorf("fault %q: not of the form KIND@SECONDS", text)
	}
	return Fault{FaultKind(kind), seconds}, nil
}

// The bounds of a plan.
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

// Check returns what is wrong with a plan.
func (p *Plan) Check() error {
	var errs []error
	within := func(name string, v, low, high float64) {
		if !(v >= low && v <= high) {
			errs = append(errs, fmt.Errorf("%s: %v is not between %v and %v", name, v, low, high))
		}
	}
	within("workers", float64(p.Workers), 10, maxWorkers)
	within("regions", float64(p.Regions), 1, maxRegions)
	within("zones", float64(p.Zones), 1, maxZones)
	within("controllers", float64(p.Controllers), 1, maxControllers)
	within("seconds", float64(p.Seconds), 1, maxSeconds)
	within("starts-per-second", p.Starts, 0, maxStarts)
	within("teams", float64(p.Teams), 1, maxTeams)
	within("churn", p.Churn, 0, maxChurn)
	within("faults", float64(len(p.Faults)), 0, maxFaults)
	if p.Workers < 10*p.Regions {
		errs = append(errs, fmt.Errorf("workers: %d are fewer than ten for each of %d regions", p.Workers, p.Regions))
	}
	for _, f := range p.Faults {
		if f.Kind != LeaderCrash && f.Kind != RackHang && f.Kind != ZoneOutage {
			errs = append(errs, fmt.Errorf("fault: there is no kind %q", f.Kind))
		}
		within("fault", f.At, 0, float64(p.Seconds))
	}
	if p.Mutation != NoMutation && p.Mutation != LaunchTwice {
		errs = append(errs, fmt.Errorf("break: there is no %q", p.Mutation))
	}
	return errors.Join(errs...)
}

// startRate is the requested number of task starts a second.
func (p *Plan) startRate() float64 {
	if p.Starts > 0 {
		return p.Starts
	}
	return float64(p.Workers) / workersPerStart
}

// workersPerStart is the number of workers for each requested start a second where the plan does not say.
const workersPerStart = 40

// What the published settings of a run's deployments say.
const (
	heartbeatInterval = 6 * time.Second
	leaseTime         = 30 * time.Second
	gangWait          = 60 * time.Second
	gangPeer          = 10 * time.Second
	cancelDeadline    = 60 * time.Second
	listLag           = 5 * time.Second
	stateRPS          = 1000
	writeRPS          = 400
	valueKB           = 16
	txnOps            = 48
	cloudRPS          = 10
)

// The streams of random numbers that a plan's seed gives.
const (
	workerStream = 1
	userStream   = 2
	jobStream    = 3
	faultStream  = 4
)

// How long things take on hollow workers.
const (
	fetchTime         = 200 * time.Millisecond
	meanTaskTime      = 6 * time.Second // mean run time of a task of an array or gang
	bootTime          = 10 * time.Second
	replicasPerWorker = 0.5 // service replicas for each worker
)

// The two types of machines: one in gpuShare has GPUs.
const (
	plainType = "plain-8"
	gpuType   = "gpu-16"
	gpuShare  = 6
	gpuCards  = 8
)

// machineTypes are the types that the cloud offers.
func machineTypes(zones []string) []model.MachineType {
	return []model.MachineType{
		{
			Name:             plainType,
			Capacity:         model.Resources{CPU: 8, MemGB: 32},
			CacheGB:          200,
			FetchGBPerS:      1,
			PricePerHour:     0.4,
			SpotPricePerHour: 0.1,
			BootTime:         bootTime,
			Zones:            zones,
		},
		{
			Name:             gpuType,
			Capacity:         model.Resources{CPU: 16, GPU: gpuCards, MemGB: 128},
			CacheGB:          200,
			FetchGBPerS:      1,
			PricePerHour:     8,
			SpotPricePerHour: 3,
			BootTime:         bootTime,
			Zones:            zones,
		},
	}
}

// machineTypeAt is the type of the machine with an index.
func machineTypeAt(i int) string {
	if i%gpuShare == 0 {
		return gpuType
	}
	return plainType
}

// largestGang bounds the tasks of a gang.
const largestGang = 256

// teams are the teams of one region. Each region has its share of every quota, so that all regions together stay within
// it without knowing of each other.
func (p *Plan) teams() []model.Team {
	workers := float64(p.Workers) / float64(p.Regions)
	mean := workers * 9 / float64(p.Teams) // CPUs for each team
	out := make([]model.Team, p.Teams)
	for i := range out {
		limit := max(4*mean, 2*largestGang)
		out[i] = model.Team{
			Name:      fmt.Sprintf("team-%03d", i),
			Guarantee: model.Resources{CPU: mean / 2},
			Quota:     model.NewQuota(limit, 0),
		}
	}
	return out
}
