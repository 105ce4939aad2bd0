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
	Plan        string   `placeholder:"FILE"         help:"A plan (TOML) with the same names as the flags; flags that are given go before it."`
	Workers     *int     `placeholder:"N"            help:"Hollow workers over all regions (1000)."`
	Regions     *int     `placeholder:"R"            help:"Regions: deployments of their own, side by side (1)."`
	Zones       *int     `placeholder:"Z"            help:"Zones of each region (3)."`
	Controllers *int     `placeholder:"C"            help:"Controllers of each region, real processes (3)."`
	Seconds     *int     `placeholder:"S"            help:"Seconds that are measured, once the fleet is up (40)."`
	Starts      *float64 `placeholder:"P"            help:"Task starts a second that are asked for (a fortieth of the workers)."               name:"starts-per-second"`
	Teams       *int     `placeholder:"N"            help:"Teams with limits (140)."`
	Seed        *uint64  `placeholder:"N"            help:"Of what is drawn (1)."`
	Churn       *float64 `placeholder:"X"            help:"Machines are replaced at X times the target's daily rate (0: none)."`
	Fault       []string `placeholder:"KIND@SECONDS" help:"A failure on schedule: leader, rack or zone."`
	Break       *string  `placeholder:"KIND"         help:"A fault of the stand-ins on purpose, so that a check has to fail: twice."`
	Program     *string  `placeholder:"FILE"         help:"A controller that is built already; by default it is built here."`
	Operator    *string  `placeholder:"FILE"         help:"The operators' settings of all controllers (deploy/run.xml)."`
	Profile     *string  `placeholder:"DIR"          help:"Write the controllers' processor profiles there."`
	Logs        *string  `placeholder:"DIR"          help:"Keep the controllers' logs there."`
	JSON        bool     `                           help:"Only the result, as one JSON object."`
}

var errScaleFailed = errors.New("an invariant was broken, a controller crashed, or no task was started")

// Help describes a run.
func (*scaleCmd) Help() string {
	return `Runs real controllers, which it builds and starts as processes, against stand-ins for the state service, the
cloud and the users on loopback addresses, and against hollow workers: these speak the whole worker protocol (leases,
epochs, fencing tokens, gangs, images as delays) and do no work. First the fleet comes up and services are placed on it;
then jobs arrive at the requested rate, and what everything costs is measured. The invariants are checked all along.

What a run requires of the machine is estimated before anything is started, and refused if the machine does not have it.
The last line is one JSON object; docs/clustersim.md describes its fields. All that a run starts ends with it.`
}

// buildPlan puts the defaults, the plan's file and the flags together.
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
		f, err := scale.ParseFault(text)
		if err != nil {
			return p, err
		}
		p.Faults = append(p.Faults, f)
	}
	return p, nil
}

// override sets a setting to a flag's value if the flag was given.
func override[T any](setting *T, flag *T) {
	if flag != nil {
		*setting = *flag
	}
}

// Run carries the plan out and prints what was measured.
func (c *scaleCmd) Run() error {
	p, err := c.buildPlan()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logf := func(format string, args ...any) { fmt.Fprintf(os.Stderr, "scale: "+format+"\n", args...) }
	if c.JSON && !isTerminal(os.Stderr) {
		logf = func(string, ...any) {}
	}
	r, err := scale.Run(ctx, p, logf)
	if err != nil {
		return err
	}
	if !c.JSON {
		printScale(r)
	}
	if err := printJSON(r); err != nil {
		return err
	}
	if !r.Good() {
		return errScaleFailed
	}
	return nil
}

// isTerminal tells whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// maxPrinted is how many violations are printed.
const maxPrinted = 10

// printScale prints a result for people.
func printScale(r *scale.Result) {
	fmt.Printf("%d hollow workers in %d regions, real controllers, %.0f s:\n", r.Workers, r.Regions, r.Seconds)
	fmt.Printf("  starts       %.1f/s of %.1f/s requested; ", r.Starts, r.RequestedStarts)
	fmt.Printf("urgent tasks start after %d ms (p50), %d ms (p99); other jobs %d, %d ms\n",
		r.UrgentP50, r.UrgentP99, r.OthersP50, r.OthersP99)
	fmt.Printf("  heartbeats   %.1f/s; round trip %.1f ms (p50), %.1f ms (p99); ", r.Heartbeats, r.HeartbeatP50, r.HeartbeatP99)
	fmt.Printf("%.3f%% later than 4 s; %d leases expired\n", 100*r.LateHeartbeatShare, r.LeaseExpiries)
	fmt.Printf("  leader       %.2f of a core, %.0f MB, %d open files; ", r.LeaderCores, r.LeaderMB, r.LeaderSockets)
	fmt.Printf("its loop was held for %.0f ms at the longest (%s)\n", r.LongestHoldMs, r.LongestHoldBy)
	fmt.Printf("  members      %.3f of a core, %.0f MB, %d open files\n", r.MemberCores, r.MemberMB, r.MemberSockets)
	fmt.Printf("  state        %.1f requests/s, %.1f changes/s\n", r.StateRPS, r.StateWrites)
	fmt.Printf("  worker       %.0f bytes/s each\n", r.WorkerBytes)
	fmt.Printf("  stand-ins    %.2f cores, %.0f MB (hollow workers, state service, cloud and users in one process)\n",
		r.StandInCores, r.StandInMB)
	fmt.Printf("  invariants   %d broken; %d controllers crashed\n", len(r.Violations), r.EndedProcesses)
	for i, violation := range r.Violations {
		if i == maxPrinted {
			fmt.Printf("               and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("               %s\n", violation)
	}
}
