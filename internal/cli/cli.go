// Package cli is what the project's commands have in common: how a program parses its command line, runs
// the subcommand and ends.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Main parses the command line into commands, a pointer to a struct with kong's tags, and runs the
// subcommand that was chosen. An error of it is printed and ends the process with exit code 1.
func Main(program, description string, commands any) {
	ctx := kong.Parse(commands, kong.Name(program), kong.Description(description), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// WriteJSON writes a result for programs: one JSON value, indented.
func WriteJSON(w io.Writer, v any) error {
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(v)
}
