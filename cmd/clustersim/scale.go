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
	Plan        string   `placeholder:"FILE"         help:"Plan of the run (TOML), with the names of the flags; the flags override it."`
	Workers     *int     `placeholder:"N"            help:"Number of hollow workers in all regions together (default 1000)."`
	Regions     *int     `placeholder:"R"            help:"Number of regions, which are independent deployments (default 1)."`
	Zones       *int     `placeholder:"Z"            help:"Number of zones in each region (default 3)."`
	Controllers *int     `placeholder:"C"            help:"Number of controllers in each region, run as real processes (default 3)."`
	Seconds     *int     `placeholder:"S"            help:"Duration of the measurement in seconds, after all workers have connected (default 40)."`
	Starts      *float64 `placeholder:"P"            help:"Requested task starts per second (default: the number of workers / 40)." name:"starts-per-second"`
	Teams       *int     `placeholder:"N"            help:"Number of teams with quotas (default 140)."`
	Seed        *uint64  `placeholder:"N"            help:"Seed of the random choices (default 1)."`
	Churn       *float64 `placeholder:"X"            help:"Rate of machine failures and replacements, as a multiple of the target's daily rate (default 0: none)."`
	Fault       []string `placeholder:"KIND@SECONDS" help:"Fault to inject that many seconds into the measurement: leader, rack or zone."`
	Break       *string  `placeholder:"KIND"         help:"Deliberate fault of the stand-ins, to show that the checks detect it: twice."`
	Program     *string  `placeholder:"FILE"         help:"Controller program to run (default: built by the run)."`
	Operator    *string  `placeholder:"FILE"         help:"Operators' settings of all controllers (default deploy/run.xml)."`
	Profile     *string  `placeholder:"DIR"          help:"Directory to write CPU profiles of the controllers to."`
	Logs        *string  `placeholder:"DIR"          help:"Directory to keep the controllers' logs in."`
	JSON        bool     `                           help:"Print only the result, as one JSON object."`
}

var errScaleFailed = errors.New("an invariant was violated, a controller exited unexpectedly, or no task started")

// Help returns the long description that kong shows with --help.
func (*scaleCmd) Help() string {
	return `Builds the controller and runs it as real processes. The state service, the cloud and the users are stand-ins
on loopback addresses. Hollow workers speak the complete worker protocol (leases, epochs, fencing tokens, gangs, image
fetches as delays) but run no tasks. First all workers connect and services are placed on them. Then jobs arrive at the
requested rate and the load is measured. The invariants are checked throughout the run.

The resources that a run needs are estimated before anything starts. If the machine lacks them, the run is refused.
The last line of the output is one JSON object; docs/clustersim.md describes its fields. All processes that a run starts
end with it.`
}

// buildPlan starts from the default plan and applies the plan file, if there is one, and then the flags.
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

// override sets *value to *flag if the flag was given.
func override[T any](value *T, flag *T) {
	if flag != nil {
		*value = *flag
	}
}

// Run carries out the plan and prints the measurements. It returns an error if a check failed.
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
	return printResult(r, r.Passed(), errScaleFailed)
}

// progress returns the function that prints the progress of a run to standard error. With --json it prints only if
// standard error is a terminal.
func (c *scaleCmd) progress() func(format string, args ...any) {
	if c.JSON && !isTerminal(os.Stderr) {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) { fmt.Fprintf(os.Stderr, "scale: "+format+"\n", args...) }
}

// isTerminal reports whether f is a character device, such as a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// maxPrintedViolations bounds how many violations are printed one by one.
const maxPrintedViolations = 10

// printScale prints a result as text.
func printScale(r *scale.Result) {
	fmt.Printf("%d hollow workers in %d regions, real controllers, %.0f s:\n", r.Workers, r.Regions, r.Seconds)
	printLatencies(r)
	printLoad(r)
	printViolations(r)
}

// printLatencies prints the start latency of tasks and the latency of heartbeats.
func printLatencies(r *scale.Result) {
	fmt.Printf("  starts       %.1f/s of %.1f/s requested; ", r.StartsPerSecond, r.RequestedStartsPerSecond)
	fmt.Printf("start latency of urgent tasks %d ms (p50), %d ms (p99); ", r.UrgentP50Ms, r.UrgentP99Ms)
	fmt.Printf("of other tasks %d ms, %d ms\n", r.OthersP50Ms, r.OthersP99Ms)
	fmt.Printf("  heartbeats   %.1f/s; ", r.HeartbeatsPerSecond)
	fmt.Printf("round trip %.1f ms (p50), %.1f ms (p99); ", r.HeartbeatP50Ms, r.HeartbeatP99Ms)
	fmt.Printf("%.3f%% not answered within 4 s; %d leases expired\n", 100*r.LateHeartbeatShare, r.LeaseExpiries)
}

// printLoad prints the load of each role: leader, other members, state service, worker and stand-ins.
func printLoad(r *scale.Result) {
	fmt.Printf("  leader       %.2f of a core, %.0f MB, %d open files; ", r.LeaderCores, r.LeaderMB, r.LeaderOpenFiles)
	fmt.Printf("its event loop was blocked for up to %.0f ms (%s)\n", r.LongestHoldMs, r.LongestHoldBy)
	fmt.Printf("  members      %.3f of a core, %.0f MB, %d open files\n", r.MemberCores, r.MemberMB, r.MemberOpenFiles)
	fmt.Printf("  state        %.1f requests/s, %.1f writes/s\n", r.StateRPS, r.StateWritesPerSecond)
	fmt.Printf("  worker       %.0f bytes/s each\n", r.WorkerBytesPerSecond)
	fmt.Printf("  stand-ins    %.2f cores, %.0f MB ", r.StandInCores, r.StandInMB)
	fmt.Print("(hollow workers, state service, cloud and users in one process)\n")
}

// printViolations prints the number of violations and the first of them.
func printViolations(r *scale.Result) {
	fmt.Printf("  invariants   %d violations; %d controllers exited unexpectedly\n",
		len(r.Violations), r.CrashedControllers)
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("               and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("               %s\n", violation)
	}
}
