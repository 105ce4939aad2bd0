package main

import (
	"testing"

	"github.com/alecthomas/kong"
)

func TestSubcommandsKeepTheirFormerNamesAndFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string // the subcommand that is chosen
	}{
		{[]string{"faults", "--machines=10", "--runs=1", "--seed=2", "--at-once=3", "--json"}, "faults"},
		{[]string{"troubles", "--machines=10"}, "faults"},
		{[]string{"overlapping-faults", "--machines=10", "--break=knows"}, "overlapping-faults"},
		{[]string{"meetings", "--runs=1", "--at-once=1", "--break=synced"}, "overlapping-faults"},
		{[]string{
			"election", "--members=2", "--seconds=1", "--faults=1", "--most=9", "--levels", "--blink", "--break=lives",
		}, "election"},
		{[]string{"ledger", "--days=1", "--seed=2", "--json"}, "ledger"},
		{[]string{
			"scale", "--workers=10", "--regions=1", "--zones=1", "--controllers=1", "--seconds=1", "--starts-per-second=1",
			"--teams=1", "--seed=1", "--churn=1", "--fault=leader@1", "--break=twice", "--program=p", "--operator=o",
			"--profile=d", "--logs=d", "--plan=f", "--json",
		}, "scale"},
		{[]string{"capacity", "--runs=docs/capacity"}, "capacity"},
	} {
		parser, err := kong.New(&cli{}, options()...)
		if err != nil {
			t.Fatalf("the subcommands cannot be parsed: %v", err)
		}
		ctx, err := parser.Parse(c.args)
		if err != nil {
			t.Errorf("%v: got %v, want it accepted", c.args, err)
			continue
		}
		if got := ctx.Command(); got != c.want {
			t.Errorf("%v: got the subcommand %q, want %q", c.args, got, c.want)
		}
	}
}

func TestFlagsOutOfRangeAreRejected(t *testing.T) {
	for name, run := range map[string]func() error{
		"days":     (&ledgerCmd{Days: 0}).Run,
		"machines": (&faultsCmd{Machines: 9, Runs: 1, AtOnce: 1}).Run,
		"runs":     (&overlappingFaultsCmd{faultsCmd: faultsCmd{Machines: 10, AtOnce: 1}}).Run,
		"members":  (&electionCmd{Members: 1, Seconds: 1}).Run,
	} {
		if err := run(); err == nil {
			t.Errorf("%s out of range: got no error, want one", name)
		}
	}
}
