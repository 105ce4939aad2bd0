package main

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/ledger"
)

// adminFlags is where the operators' interface is that a command asks.
type adminFlags struct {
	Admin     string `default:"127.0.0.1:18090" env:"GLENTILLER_ADMIN" placeholder:"ADDR" help:"The operators' interface of any controller."`
	TokenFile string `required:"" env:"GLENTILLER_TOKEN_FILE" placeholder:"FILE" help:"File with its bearer token."`
}

func (r *adminFlags) connect() (*admin.Client, error) {
	token, err := config.ReadSecret(r.TokenFile)
	return &admin.Client{Addr: r.Admin, Token: token}, err
}

// outputFormat is how a table is written.
type outputFormat struct {
	JSON bool `xor:"format" help:"Write JSON, amounts in integers."`
	CSV  bool `xor:"format" help:"Write CSV, amounts in integers."`
}

// writeTable writes a table: for people, or its data for programs.
func (f *outputFormat) writeTable(to io.Writer, data any, head []string, rows, exact [][]string) error {
	switch {
	case f.JSON:
		e := json.NewEncoder(to)
		e.SetIndent("", "  ")
		return e.Encode(data)
	case f.CSV:
		w := csv.NewWriter(to)
		if err := w.WriteAll(append([][]string{head}, exact...)); err != nil {
			return err
		}
		return w.Error()
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{head}, rows...) {
		fmt.Fprintln(w, strings.TrimRight(strings.Join(r, "\t"), "\t"))
	}
	return w.Flush()
}

type ledgerCmd struct {
	Show   ledgerShowCmd   `cmd:"" default:"withargs" help:"Use and waiting time by team, class or time."`
	Verify ledgerVerifyCmd `cmd:"" help:"Check that no closed page is missing or changed."`
}

type ledgerShowCmd struct {
	adminFlags
	outputFormat
	Team  string `placeholder:"T" help:"Only this team."`
	Class string `placeholder:"C" help:"Only this class of jobs."`
	From  string `placeholder:"TIME" help:"From here on: 2006-01-02 or 2006-01-02T15:04:05Z. Pages count by their beginning."`
	To    string `placeholder:"TIME" help:"Up to here."`
	By    string `enum:"team,class,day,hour" default:"team" help:"A row for each team, class, day or hour (${enum})."`
}

// ledgerGroup is a row of the table.
type ledgerGroup struct {
	Key string `json:"key"`
	admin.Amounts
}

// Run asks, adds up and writes.
func (c *ledgerShowCmd) Run() error {
	q := url.Values{}
	for name, v := range map[string]string{"team": c.Team, "class": c.Class, "from": c.From, "to": c.To} {
		if v != "" {
			q.Set(name, v)
		}
	}
	client, err := c.connect()
	if err != nil {
		return err
	}
	rows, err := client.Ledger(q)
	if err != nil {
		return err
	}
	groups := groupRows(rows, c.By)
	var people, exact [][]string
	head := []string{c.By, "cpu", "gpu", "mem_gb", "lost_cpu", "starts", "taken_over"}
	for w := range ledger.NumWaitCauses {
		head = append(head, "wait_"+w.String())
	}
	for _, g := range groups {
		u := g.Usage()
		p := []string{g.Key, formatHours(u.CPU), formatHours(u.GPU), formatHours(u.Mem), formatHours(u.Lost), fmt.Sprint(u.Starts), fmt.Sprint(u.TakenOver)}
		for _, ms := range u.Wait {
			p = append(p, formatHours(ms*1000))
		}
		e := []string{g.Key}
		for _, n := range u.Numbers() {
			e = append(e, strconv.FormatUint(n, 10))
		}
		people, exact = append(people, p), append(exact, e)
	}
	if err := c.writeTable(os.Stdout, groups, head, people, exact); err != nil || c.JSON || c.CSV {
		return err
	}
	fmt.Println("\nHours of CPUs, GPUs and GB; hours that tasks waited, by cause.")
	return c.printUnaccounted(client)
}

// printUnaccounted tells of the stretches that are in no row.
func (c *ledgerShowCmd) printUnaccounted(client *admin.Client) error {
	list, err := client.Intervals()
	if err != nil {
		return err
	}
	from, to := time.Time{}, time.Unix(1<<40, 0)
	if c.From != "" {
		if from, err = admin.ParseTime("from", c.From); err != nil {
			return err
		}
	}
	if c.To != "" {
		if to, err = admin.ParseTime("to", c.To); err != nil {
			return err
		}
	}
	for _, s := range list {
		if s.End.After(from) && s.Start.Before(to) {
			fmt.Printf("Not accounted: %s to %s (%d leaders without a ledger in between)\n", s.Start.Format(time.RFC3339), s.End.Format(time.RFC3339), s.UnsettledLeaders)
		}
	}
	return nil
}

// groupRows adds rows up by team, class, day or hour.
func groupRows(rows []admin.Entry, by string) []ledgerGroup {
	sums := map[string]*ledger.Usage{}
	for _, r := range rows {
		key := r.Team
		switch by {
		case "class":
			key = r.Class
		case "day", "hour":
			key = r.Start.Format(time.DateOnly)
			if r.Unit == ledger.Month.String() {
				key = r.Start.Format("2006-01")
			} else if by == "hour" && r.Unit == ledger.Hour.String() {
				key = r.Start.Format("2006-01-02T15")
			}
		}
		if sums[key] == nil {
			sums[key] = &ledger.Usage{}
		}
		sums[key].Add(r.Usage())
	}
	out := []ledgerGroup{}
	for key, u := range sums {
		out = append(out, ledgerGroup{key, admin.AmountsOf(*u)})
	}
	slices.SortFunc(out, func(a, b ledgerGroup) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// formatHours writes microseconds as hours.
func formatHours(us uint64) string {
	return fmt.Sprintf("%.2f", float64(us)/float64(time.Hour/time.Microsecond))
}

type ledgerVerifyCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// errLedgerIncomplete is returned where pages are missing or changed.
var errLedgerIncomplete = errors.New("the ledger is not whole")

// Run has a controller check all pages.
func (c *ledgerVerifyCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	list, err := client.Verify()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, v := range list {
		state := "whole"
		if v.Problem != "" {
			state, err = v.Problem, errLedgerIncomplete
		}
		rows = append(rows, []string{v.Team, fmt.Sprint(v.Segments), fmt.Sprint(v.VerifiedThrough), state})
	}
	f := outputFormat{JSON: c.JSON}
	return errors.Join(f.writeTable(os.Stdout, list, []string{"team", "pages", "through", "state"}, rows, nil), err)
}

type sharesCmd struct {
	adminFlags
	outputFormat
}

// Run asks and writes.
func (c *sharesCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	s, err := client.FairShares()
	if err != nil {
		return err
	}
	var people, exact [][]string
	for _, t := range s.Teams {
		people = append(people, []string{fmt.Sprint(t.Rank), t.Team, fmt.Sprintf("%.3f", t.Weight), formatHours(t.DecayedUsage), fmt.Sprintf("%.3f", t.UsageFraction), fmt.Sprintf("%.3f", t.Factor), fmt.Sprint(t.Band)})
		exact = append(exact, []string{fmt.Sprint(t.Rank), t.Team, fmt.Sprint(t.Weight), fmt.Sprint(t.DecayedUsage), fmt.Sprint(t.UsageFraction), fmt.Sprint(t.Factor), fmt.Sprint(t.Band)})
	}
	if err := c.writeTable(os.Stdout, s, []string{"place", "team", "weight", "decayed", "part", "factor", "band"}, people, exact); err != nil || c.JSON || c.CSV {
		return err
	}
	orders := "Bands order what goes beyond guarantees: lower ones first."
	if !s.Enabled {
		orders = "Fair share is off: it orders nothing."
	}
	fmt.Printf("\nDecayed use in CPU-hours by the weights, half-life %v. %s\n", time.Duration(s.HalfLife*float64(time.Second)), orders)
	return nil
}
