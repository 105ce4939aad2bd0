package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/cli"
	"github.com/glentiller/glentiller/internal/config"
)

// adminFlags holds the flags for the connection to the operators' interface of a controller.
type adminFlags struct {
	Admin     string `default:"127.0.0.1:18090" env:"GLENTILLER_ADMIN" placeholder:"ADDR" help:"Address of the operators' interface of any controller."`
	TokenFile string `required:"" env:"GLENTILLER_TOKEN_FILE" placeholder:"FILE" help:"File that holds the bearer token of the operators' interface."`
}

// connect returns a client of the operators' interface. It reads the token but does not contact the controller.
func (f *adminFlags) connect() (*admin.Client, error) {
	token, err := config.ReadSecret(f.TokenFile)
	return &admin.Client{Addr: f.Admin, Token: token}, err
}

// memberStatus requests the status of a controller.
func (f *adminFlags) memberStatus() (*admin.MemberStatus, error) {
	client, err := f.connect()
	if err != nil {
		return nil, err
	}
	return client.MemberStatus()
}

// outputFormat holds the flags that select how a table is printed. Without a flag it is printed for people.
type outputFormat struct {
	JSON bool `xor:"format" help:"Print JSON, with amounts as exact integers."`
	CSV  bool `xor:"format" help:"Print CSV, with amounts as exact integers."`
}

// table is a result in rows and columns.
type table struct {
	header []string
	rows   [][]string // for people, with rounded amounts
	exact  [][]string // for programs, with exact amounts
}

// write writes data as JSON, or t as CSV or as a table for people.
func (f *outputFormat) write(w io.Writer, data any, t table) error {
	switch {
	case f.JSON:
		return cli.WriteJSON(w, data)
	case f.CSV:
		out := csv.NewWriter(w)
		if err := out.WriteAll(append([][]string{t.header}, t.exact...)); err != nil {
			return err
		}
		return out.Error()
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		_, _ = fmt.Fprintln(out, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	return out.Flush()
}

// formatHours formats microseconds as hours.
func formatHours(microseconds uint64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/float64(time.Hour/time.Microsecond))
}
