package main

import (
	"errors"
	"testing"

	"github.com/alecthomas/kong"
)

func TestSubcommandsKeepTheirFormerNames(t *testing.T) {
	for name, want := range map[string]string{
		"faults":             "faults",
		"troubles":           "faults",
		"overlapping-faults": "overlapping-faults",
		"meetings":           "overlapping-faults",
	} {
		t.Run(name, func(t *testing.T) {
			parser, err := kong.New(&commands{}, kong.Name("clustersim"))
			if err != nil {
				t.Fatalf("building the parser: got error %v, want none", err)
			}
			ctx, err := parser.Parse([]string{name, "--machines", "12", "--at-once", "1"})
			if err != nil {
				t.Fatalf("parsing the command line: got error %v, want none", err)
			}
			if got := ctx.Selected().Name; got != want {
				t.Errorf("got subcommand %q, want %q", got, want)
			}
		})
	}
}

func TestCommandsRefuseValuesOutOfRange(t *testing.T) {
	for name, test := range map[string]struct {
		args []string
		want error
	}{
		"no days":           {[]string{"ledger", "--days", "0"}, errInvalidDays},
		"too many days":     {[]string{"ledger", "--days", "367"}, errInvalidDays},
		"too few machines":  {[]string{"faults", "--machines", "9"}, errInvalidRuns},
		"too many machines": {[]string{"overlapping-faults", "--machines", "2001"}, errInvalidRuns},
		"no runs":           {[]string{"faults", "--runs", "0"}, errInvalidRuns},
	} {
		t.Run(name, func(t *testing.T) {
			parser, err := kong.New(&commands{}, kong.Name("clustersim"))
			if err != nil {
				t.Fatalf("building the parser: got error %v, want none", err)
			}
			ctx, err := parser.Parse(test.args)
			if err != nil {
				t.Fatalf("parsing the command line: got error %v, want none", err)
			}
			if got := ctx.Run(); !errors.Is(got, test.want) {
				t.Errorf("running the subcommand: got error %v, want %v", got, test.want)
			}
		})
	}
}
