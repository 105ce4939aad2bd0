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

// adminFlags say which operators' interface a command queries.
type adminFlags struct {
	Admin     string `default:"127.0.0.1:18090" env:"GLENTILLER_ADMIN" placeholder:"ADDR" help:"The operators' interface of any controller."`
	TokenFile string `required:"" env:"GLENTILLER_TOKEN_FILE" placeholder:"FILE" help:"File with its bearer token."`
}

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

// outputFormat is how a table is printed.
type outputFormat struct {
	JSON bool `xor:"format" help:"Write JSON, amounts in integers."`
	CSV  bool `xor:"format" help:"Write CSV, amounts in integers."`
}

// table is a result as rows of text.
type table struct {
	head  []string
	rows  [][]string // for people
	exact [][]string // with all digits
}

// write writes a table for people or as CSV, or the data itself as JSON.
func (f *outputFormat) write(w io.Writer, data any, t table) error {
	switch {
	case f.JSON:
		return cli.WriteJSON(w, data)
	case f.CSV:
		out := csv.NewWriter(w)
		if err := out.WriteAll(append([][]string{t.head}, t.exact...)); err != nil {
			return err
		}
		return out.Error()
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		_, _ = fmt.Fprintln(out, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	return out.Flush()
}

// formatHours formats microseconds as hours.
func formatHours(microseconds uint64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/float64(time.Hour/time.Microsecond))
}
