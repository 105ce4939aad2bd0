package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/ledger"
)

type ledgerCmd struct {
	Show   ledgerShowCmd   `cmd:"" default:"withargs" help:"Show resource usage and waiting time by team, class, day or hour."`
	Verify ledgerVerifyCmd `cmd:"" help:"Verify that no closed page of the ledger is missing or was changed."`
}

type ledgerShowCmd struct {
	adminFlags
	outputFormat
	Team  string `placeholder:"T" help:"Only usage of this team."`
	Class string `placeholder:"C" help:"Only usage of jobs of this class."`
	From  string `placeholder:"TIME" help:"Only pages from the one that contains this time on: 2006-01-02 or 2006-01-02T15:04:05Z."`
	To    string `placeholder:"TIME" help:"Only pages that begin before this time."`
	By    string `enum:"team,class,day,hour" default:"team" help:"Print one row for each team, class, day or hour (${enum})."`
}

// ledgerGroup holds the summed usage of all entries with the same key, which is a team, a class, a day or an hour.
type ledgerGroup struct {
	Key string `json:"key"`
	admin.Amounts
}

// Run reads the ledger entries that match the flags, sums them by group and prints the sums. If it prints them as a
// table for people, it also prints the unaccounted intervals.
func (c *ledgerShowCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	entries, err := client.Ledger(c.query())
	if err != nil {
		return err
	}
	groups := groupEntries(entries, c.By)
	if err := c.write(os.Stdout, groups, usageTable(c.By, groups)); err != nil || c.JSON || c.CSV {
		return err
	}
	fmt.Println("\nUsage in CPU-hours, GPU-hours and GB-hours; waiting time in task-hours, by cause.")
	return c.printUnaccounted(client)
}

// query returns the filters that were given as flags.
func (c *ledgerShowCmd) query() url.Values {
	query := url.Values{}
	for name, value := range map[string]string{"team": c.Team, "class": c.Class, "from": c.From, "to": c.To} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}

// usageTable returns the table of usage: in hours for people, in exact integers for programs.
func usageTable(groupBy string, groups []ledgerGroup) table {
	t := table{header: []string{groupBy, "cpu", "gpu", "mem_gb", "lost_cpu", "starts", "taken_over"}}
	for cause := range ledger.NumWaitCauses {
		t.header = append(t.header, "wait_"+cause.String())
	}
	for _, group := range groups {
		usage := group.Usage()
		row := []string{
			group.Key,
			formatHours(usage.CPU),
			formatHours(usage.GPU),
			formatHours(usage.Mem),
			formatHours(usage.WastedCPU),
			fmt.Sprint(usage.Starts),
			fmt.Sprint(usage.Adopted),
		}
		for _, milliseconds := range usage.Wait {
			row = append(row, formatHours(milliseconds*1000))
		}
		exact := []string{group.Key}
		for _, number := range usage.Numbers() {
			exact = append(exact, strconv.FormatUint(number, 10))
		}
		t.rows, t.exact = append(t.rows, row), append(t.exact, exact)
	}
	return t
}

// printUnaccounted prints the intervals for which no leader recorded usage, as far as they overlap the time between
// --from and --to.
func (c *ledgerShowCmd) printUnaccounted(client *admin.Client) error {
	intervals, err := client.UnaccountedIntervals()
	if err != nil {
		return err
	}
	from, to := time.Time{}, time.Unix(1<<40, 0) // by default, all intervals
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
	for _, interval := range intervals {
		if interval.End.After(from) && interval.Start.Before(to) {
			fmt.Printf("Not accounted: %s to %s (%d leaders in between wrote no settlement)\n",
				interval.Start.Format(time.RFC3339), interval.End.Format(time.RFC3339), interval.UnsettledLeaders)
		}
	}
	return nil
}

// groupEntries sums entries by team, class, day or hour. The groups are sorted by key.
func groupEntries(entries []admin.Entry, groupBy string) []ledgerGroup {
	sums := map[string]*ledger.Usage{}
	for _, entry := range entries {
		key := groupKey(entry, groupBy)
		if sums[key] == nil {
			sums[key] = &ledger.Usage{}
		}
		sums[key].Add(entry.Usage())
	}
	groups := []ledgerGroup{}
	for key, usage := range sums {
		groups = append(groups, ledgerGroup{key, admin.AmountsOf(*usage)})
	}
	slices.SortFunc(groups, func(a, b ledgerGroup) int { return cmp.Compare(a.Key, b.Key) })
	return groups
}

// groupKey returns the key of the group that an entry belongs to. An entry that was compacted to a day or a month
// cannot be split, so it gets the key of that day or month even if shorter groups are requested.
func groupKey(entry admin.Entry, groupBy string) string {
	switch groupBy {
	case "class":
		return entry.Class
	case "day", "hour":
		switch {
		case entry.Unit == ledger.Month.String():
			return entry.Start.Format("2006-01")
		case groupBy == "hour" && entry.Unit == ledger.Hour.String():
			return entry.Start.Format("2006-01-02T15")
		}
		return entry.Start.Format(time.DateOnly)
	}
	return entry.Team
}

type ledgerVerifyCmd struct {
	adminFlags
	JSON bool `help:"Print JSON."`
}

// errLedgerIncomplete is returned if the verification of any team's ledger segments failed.
var errLedgerIncomplete = errors.New("ledger verification failed: pages are missing or were changed")

// Run asks a controller to verify the ledger segments of all teams and prints the results. It returns an error if
// any verification failed.
func (c *ledgerVerifyCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	verifications, err := client.Verify()
	if err != nil {
		return err
	}
	t := table{header: []string{"team", "pages", "through", "state"}}
	for _, v := range verifications {
		state := "whole"
		if v.Problem != "" {
			state, err = v.Problem, errLedgerIncomplete
		}
		t.rows = append(t.rows, []string{v.Team, fmt.Sprint(v.Segments), fmt.Sprint(v.VerifiedThrough), state})
	}
	format := outputFormat{JSON: c.JSON}
	return errors.Join(format.write(os.Stdout, verifications, t), err)
}
