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

// Run reads the entries, adds them up by group and prints the sums.
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
	fmt.Println("\nHours of CPUs, GPUs and GB; hours that tasks waited, by cause.")
	return c.printUnaccounted(client)
}

// query has the filters that were given.
func (c *ledgerShowCmd) query() url.Values {
	query := url.Values{}
	for name, value := range map[string]string{"team": c.Team, "class": c.Class, "from": c.From, "to": c.To} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}

// usageTable makes the table of usage: hours for people, exact numbers for programs.
func usageTable(by string, groups []ledgerGroup) table {
	t := table{head: []string{by, "cpu", "gpu", "mem_gb", "lost_cpu", "starts", "taken_over"}}
	for cause := range ledger.NumWaitCauses {
		t.head = append(t.head, "wait_"+cause.String())
	}
	for _, group := range groups {
		usage := group.Usage()
		row := []string{
			group.Key,
			formatHours(usage.CPU),
			formatHours(usage.GPU),
			formatHours(usage.Mem),
			formatHours(usage.Lost),
			fmt.Sprint(usage.Starts),
			fmt.Sprint(usage.TakenOver),
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

// printUnaccounted prints the intervals that no entry covers.
func (c *ledgerShowCmd) printUnaccounted(client *admin.Client) error {
	intervals, err := client.Intervals()
	if err != nil {
		return err
	}
	from, to := time.Time{}, time.Unix(1<<40, 0) // by default all time there is
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
			fmt.Printf("Not accounted: %s to %s (%d leaders without a ledger in between)\n",
				interval.Start.Format(time.RFC3339), interval.End.Format(time.RFC3339), interval.UnsettledLeaders)
		}
	}
	return nil
}

// groupEntries adds entries up by team, class, day or hour, in the order of the keys.
func groupEntries(entries []admin.Entry, by string) []ledgerGroup {
	sums := map[string]*ledger.Usage{}
	for _, entry := range entries {
		key := groupKey(entry, by)
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

// groupKey is the group of an entry. One that was compacted to a day or a month is not split again.
func groupKey(entry admin.Entry, by string) string {
	switch by {
	case "class":
		return entry.Class
	case "day", "hour":
		switch {
		case entry.Unit == ledger.Month.String():
			return entry.Start.Format("2006-01")
		case by == "hour" && entry.Unit == ledger.Hour.String():
			return entry.Start.Format("2006-01-02T15")
		}
		return entry.Start.Format(time.DateOnly)
	}
	return entry.Team
}

type ledgerVerifyCmd struct {
	adminFlags
	JSON bool `help:"Write JSON."`
}

// errLedgerIncomplete is returned if segments are missing or were changed.
var errLedgerIncomplete = errors.New("the ledger is not whole")

// Run has a controller verify the ledger segments of all teams.
func (c *ledgerVerifyCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	verifications, err := client.Verify()
	if err != nil {
		return err
	}
	t := table{head: []string{"team", "pages", "through", "state"}}
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
