package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

type scaleCmd struct {
	Plan        string   `placeholder:"FILE"         help:"A plan (TOML) with the same names as the flags, which override it."`
	Workers     *int     `placeholder:"N"            help:"Hollow workers over all regions (1000)."`
	Regions     *int     `placeholder:"R"            help:"Regions: independent deployments (1)."`
	Zones       *int     `placeholder:"Z"            help:"Zones of each region (3)."`
	Controllers *int     `placeholder:"C"            help:"Controllers of each region, real processes (3)."`
	Seconds     *int     `placeholder:"S"            help:"Seconds to measure, once all workers are connected (40)."`
	Starts      *float64 `placeholder:"P"            help:"Requested task starts a second (a fortieth of the workers)."               name:"starts-per-second"`
	Teams       *int     `placeholder:"N"            help:"Teams with quotas (140)."`
	Seed        *uint64  `placeholder:"N"            help:"Seed of the random choices (1)."`
	Churn       *float64 `placeholder:"X"            help:"Replace machines at X times the target's daily rate (0: none)."`
	Fault       []string `placeholder:"KIND@SECONDS" help:"A scheduled fault: leader, rack or zone."`
	Break       *string  `placeholder:"KIND"         help:"A deliberate fault of the stand-ins that the checks must detect: twice."`
	Program     *string  `placeholder:"FILE"         help:"The controller to run; it is built by default."`
	Operator    *string  `placeholder:"FILE"         help:"The operators' settings of all controllers (deploy/run.xml)."`
	Profile     *string  `placeholder:"DIR"          help:"Where to write the controllers' CPU profiles."`
	Logs        *string  `placeholder:"DIR"          help:"Where to keep the controllers' logs."`
	JSON        bool     `                           help:"Print only the result, as one JSON object."`
}

var errScaleFailed = errors.New("an invariant is violated, a controller ended by itself, or no task started")

// Help returns the detailed help.
func (*scaleCmd) Help() string {
	return `Runs real controllers, which it builds and starts as processes, against stand-ins for the state service, the
cloud and the users on loopback addresses, and against hollow workers: these speak the whole worker protocol (leases,
epochs, fencing tokens, gangs, image fetches as delays) and run nothing. First all workers connect and services are
placed on them; then jobs arrive at the requested rate, and the load is measured. The invariants are checked all along.

The resources that a run needs are estimated before anything starts, and the run is refused if the machine lacks them.
The last line is one JSON object; docs/clustersim.md describes its fields. All processes end with the run.`
}

// buildPlan combines the defaults, the plan's file and the flags.
func (c *scaleCmd) buildPlan() (scale.Plan, error) {
	p := scale.DefaultPlan()
	if c.Plan != "" {
		var err error
		if p, err = scale.ReadPlan(c.Plan, p); err != nil {
			return p, err
		}
	}
	override(&p.Workers, c.Workers)
	override(&p.Regions, c.Regions)
	override(&p.Zones, c.Zones)
	override(&p.Controllers, c.Controllers)
	override(&p.Seconds, c.Seconds)
	override(&p.Starts, c.Starts)
	override(&p.Teams, c.Teams)
	override(&p.Seed, c.Seed)
	override(&p.Churn, c.Churn)
	override(&p.Program, c.Program)
	override(&p.Operator, c.Operator)
	override(&p.Profile, c.Profile)
	override(&p.Logs, c.Logs)
	if c.Break != nil {
		p.Mutation = scale.Mutation(*c.Break)
	}
	for _, text := range c.Fault {
		fault, err := scale.ParseFault(text)
		if err != nil {
			return p, err
		}
		p.Faults = append(p.Faults, fault)
	}
	return p, nil
}

// override sets a value from a flag that is given.
func override[T any](value *T, flag *T) {
	if flag != nil {
		*value = *flag
	}
}

// Run simulates the plan and prints what was measured.
func (c *scaleCmd) Run() error {
	p, err := c.buildPlan()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := scale.Run(ctx, p, c.progress())
	if err != nil {
		return err
	}
	if !c.JSON {
		printScale(r)
	}
	return printResult(r, r.Good(), errScaleFailed)
}

// progress returns the function that prints what a run is doing. With --json it prints only to a terminal.
func (c *scaleCmd) progress() func(format string, args ...any) {
	if c.JSON && !isTerminal(os.Stderr) {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) { fmt.Fprintf(os.Stderr, "scale: "+format+"\n", args...) }
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// maxPrintedViolations is how many violations are printed one by one.
const maxPrintedViolations = 10

// printScale prints a result for people.
func printScale(r *scale.Result) {
	fmt.Printf("%d hollow workers in %d regions, real controllers, %.0f s:\n", r.Workers, r.Regions, r.Seconds)
	printLatencies(r)
	printLoad(r)
	printViolations(r)
}

// printLatencies prints how fast tasks started and heartbeats were answered.
func printLatencies(r *scale.Result) {
	fmt.Printf("  starts       %.1f/s of %.1f/s asked for; ", r.Starts, r.RequestedStarts)
	fmt.Printf("urgent tasks start after %d ms (p50), %d ms (p99); ", r.UrgentP50, r.UrgentP99)
	fmt.Printf("other jobs %d, %d ms\n", r.OthersP50, r.OthersP99)
	fmt.Printf("  reports      %.1f/s; ", r.Heartbeats)
	fmt.Printf("round trip %.1f ms (p50), %.1f ms (p99); ", r.HeartbeatP50, r.HeartbeatP99)
	fmt.Printf("%.3f%% later than 4 s; %d leases ran out\n", 100*r.LateHeartbeatShare, r.LeaseExpiries)
}

// printLoad prints the load on each role.
func printLoad(r *scale.Result) {
	fmt.Printf("  leader       %.2f of a core, %.0f MB, %d open files; ", r.LeaderCores, r.LeaderMB, r.LeaderSockets)
	fmt.Printf("its loop was held for %.0f ms at the longest (%s)\n", r.LongestHoldMs, r.LongestHoldBy)
	fmt.Printf("  members      %.3f of a core, %.0f MB, %d open files\n", r.MemberCores, r.MemberMB, r.MemberSockets)
	fmt.Printf("  state        %.1f requests/s, %.1f changes/s\n", r.StateRPS, r.StateWrites)
	fmt.Printf("  worker       %.0f bytes/s each\n", r.WorkerBytes)
	fmt.Printf("  stand-ins    %.2f cores, %.0f MB ", r.StandInCores, r.StandInMB)
	fmt.Print("(hollow workers, state service, cloud and users in one process)\n")
}

// printViolations prints the first violations and how many there are.
func printViolations(r *scale.Result) {
	fmt.Printf("  rules        %d broken; %d controllers ended by themselves\n", len(r.Violations), r.EndedProcesses)
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("               and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("               %s\n", violation)
	}
}
