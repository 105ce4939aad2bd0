// Package cli holds what the commands of this project share: they parse the command line, run a subcommand, report
// its error and print results as JSON in the same way.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Main parses the command line into commands, which is a pointer to a struct with kong tags, and runs the selected
// subcommand. If the subcommand returns an error, Main prints it to standard error and exits with code 1. Kong
// reports an invalid command line together with the usage and exits the process.
func Main(program, description string, commands any) {
	ctx := kong.Parse(commands, kong.Name(program), kong.Description(description), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// WriteJSON writes v to w as one indented JSON value, followed by a newline.
func WriteJSON(w io.Writer, v any) error {
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(v)
}
