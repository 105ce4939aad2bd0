package main

import (
	"context"
	"encoding/json"
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

var errScaleFailed = errors.New("a rule was broken, a controller ended by itself, or nothing was started")

// Help tells what a run is.
func (*scaleCmd) Help() string {
	return `Plays real controllers, which it builds and starts as processes, against stand-ins for the state service, the
cloud and the users on loopback addresses, and against hollow workers: these speak the whole worker protocol (leases,
sessions, tokens, gangs, images as delays) and do no work. First the fleet comes up and services are placed on it; then
jobs arrive at the rate that is asked for, and what everything costs is measured. It holds what happens against the rules.

What it takes of the machine is worked out before anything is started, and refused if the machine does not have it.
The last line is one JSON object; docs/rehearse.md tells what its fields mean. All that it starts ends with it.`
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

func override[T any](to *T, flag *T) {
	if flag != nil {
		*to = *flag
	}
}

// Run plays the plan and prints what was measured.
func (c *scaleCmd) Run() error {
	p, err := c.buildPlan()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	say := func(format string, args ...any) { fmt.Fprintf(os.Stderr, "scale: "+format+"\n", args...) }
	if c.JSON && !isTerminal(os.Stderr) {
		say = func(string, ...any) {}
	}
	r, err := scale.Run(ctx, p, say)
	if err != nil {
		return err
	}
	if !c.JSON {
		printScale(r)
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if !r.Good() {
		return errScaleFailed
	}
	return nil
}

// isTerminal tells whether somebody looks on.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printScale prints a result for people.
func printScale(r *scale.Result) {
	fmt.Printf("%d hollow workers in %d regions, real controllers, %.0f s:\n", r.Workers, r.Regions, r.Seconds)
	fmt.Printf(
		"  starts       %.1f/s of %.1f/s asked for; urgent tasks start after %d ms (p50), %d ms (p99); other jobs %d, %d ms\n",
		r.Starts,
		r.RequestedStarts,
		r.UrgentP50,
		r.UrgentP99,
		r.OthersP50,
		r.OthersP99,
	)
	fmt.Printf(
		"  reports      %.1f/s; round trip %.1f ms (p50), %.1f ms (p99); %.3f%% later than 4 s; %d leases ran out\n",
		r.Heartbeats,
		r.HeartbeatP50,
		r.HeartbeatP99,
		100*r.LateHeartbeatShare,
		r.LeaseExpiries,
	)
	fmt.Printf(
		"  leader       %.2f of a core, %.0f MB, %d open files; its loop was held for %.0f ms at the longest (%s)\n",
		r.LeaderCores,
		r.LeaderMB,
		r.LeaderSockets,
		r.LongestHoldMs,
		r.LongestHoldBy,
	)
	fmt.Printf("  members      %.3f of a core, %.0f MB, %d open files\n", r.MemberCores, r.MemberMB, r.MemberSockets)
	fmt.Printf("  state        %.1f requests/s, %.1f changes/s\n", r.StateRPS, r.StateWrites)
	fmt.Printf("  worker       %.0f bytes/s each\n", r.WorkerBytes)
	fmt.Printf(
		"  stand-ins    %.2f cores, %.0f MB (hollow workers, state service, cloud and users in one process)\n",
		r.StandInCores,
		r.StandInMB,
	)
	fmt.Printf("  rules        %d broken; %d controllers ended by themselves\n", len(r.Violations), r.EndedProcesses)
	for i, b := range r.Violations {
		if i == 10 {
			fmt.Printf("               and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("               %s\n", b)
	}
}
