package admin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// cursor is where the next page of entries begins.
type cursor struct {
	team        string
	first, last uint64 // numbers of the segment before; 0: the team's first one is next
}

// cursorFields is the number of fields of an encoded cursor.
const cursorFields = 3

// String encodes the cursor; parseCursor decodes it.
func (c cursor) String() string { return fmt.Sprintf("%d.%d.%s", c.first, c.last, c.team) }

func parseCursor(text string) (cursor, error) {
	fields := strings.SplitN(text, ".", cursorFields)
	if len(fields) != cursorFields {
		return cursor{}, errMalformedCursor
	}
	first, firstErr := strconv.ParseUint(fields[0], 10, 64)
	last, lastErr := strconv.ParseUint(fields[1], 10, 64)
	if firstErr != nil || lastErr != nil || fields[2] == "" {
		return cursor{}, errMalformedCursor
	}
	return cursor{team: fields[2], first: first, last: last}, nil
}

// entriesQuery is a request for entries.
type entriesQuery struct {
	team     string // "": all
	class    string // "": all
	from, to time.Time
	cursor   cursor // its team is "" if the request names neither a team nor a cursor
}

// endOfTime is later than any entry.
var endOfTime = time.Unix(1<<40, 0)

func parseEntriesQuery(args *fasthttp.Args) (query entriesQuery, err error) {
	query.team = string(args.Peek(teamParameter))
	query.class = string(args.Peek(classParameter))
	if query.from, err = timeArgument(args, fromParameter, time.Time{}); err != nil {
		return query, err
	}
	if query.to, err = timeArgument(args, toParameter, endOfTime); err != nil {
		return query, err
	}
	query.cursor = cursor{team: query.team}
	text := string(args.Peek(cursorParameter))
	if text == "" {
		return query, nil
	}
	if query.cursor, err = parseCursor(text); err != nil {
		return query, err
	}
	if query.team != "" && query.cursor.team != query.team {
		return query, fmt.Errorf("%w: the cursor is of another team", errBadRequest)
	}
	return query, nil
}

// appendEntries appends the entries of the cursor's team for one segment, as far as the
// query requests them.
func (q *entriesQuery) appendEntries(
	entries []Entry, unit ledger.Unit, start time.Time, usage []ledger.ClassUsage,
) []Entry {
	if start.Before(unit.Start(q.from)) || !start.Before(q.to) {
		return entries
	}
	for _, class := range usage {
		if q.class != "" && class.Class != q.class {
			continue
		}
		entries = append(entries, Entry{
			Team:    q.cursor.team,
			Class:   class.Class,
			Start:   start,
			Unit:    unit.String(),
			Amounts: AmountsOf(class.Usage),
		})
	}
	return entries
}

// ledgerEntries answers one page of entries. Closed segments are read before the
// account with the open one: a segment that is closed in between is read with the next
// page, and so none is missed or read twice.
func (s *Server) ledgerEntries(ctx context.Context, args *fasthttp.Args) (*Entries, error) {
	query, err := parseEntriesQuery(args)
	if err != nil {
		return nil, err
	}
	page := &Entries{Entries: []Entry{}}
	if query.cursor.team == "" {
		accounts, err := s.accounts(ctx)
		if err != nil || len(accounts) == 0 {
			return page, err
		}
		query.cursor.team = accounts[0].Open.Team
	}
	segments, more, err := s.segments(ctx, query.cursor.team, query.cursor.first)
	if err != nil {
		return nil, err
	}
	for _, segment := range segments {
		if segment.First != query.cursor.last+1 {
			return nil, errSegmentsFolded
		}
		page.Entries = query.appendEntries(page.Entries, segment.Unit, segment.Start, segment.Usage)
		query.cursor.first, query.cursor.last = segment.First, segment.Last
	}
	if more {
		page.NextCursor = query.cursor.String()
		return page, nil
	}
	return s.appendOpenSegment(ctx, &query, page)
}

// appendOpenSegment completes a page with the team's open segment, and sets the cursor
// to the next team.
func (s *Server) appendOpenSegment(ctx context.Context, query *entriesQuery, page *Entries) (*Entries, error) {
	accounts, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	team := query.cursor.team
	i := slices.IndexFunc(accounts, func(account ledger.StoredAccount) bool { return account.Open.Team == team })
	switch {
	case i < 0 && s.settings.Weights[team] == 0:
		return nil, fmt.Errorf("%w: no team %q", errNotFound, team)
	case i >= 0 && accounts[i].Open.Number > query.cursor.last+1:
		page.NextCursor = query.cursor.String() // a segment was closed meanwhile
		return page, nil
	case i >= 0 && accounts[i].Open.Number <= query.cursor.last:
		return nil, errSegmentsFolded // an older response of the state service
	case i >= 0:
		open := &accounts[i].Open
		page.Entries = query.appendEntries(page.Entries, ledger.Hour, open.Start, open.Usage)
	}
	if next := teamAfter(accounts, team); next != "" && query.team == "" {
		page.NextCursor = cursor{team: next}.String()
	}
	return page, nil
}

// timeArgument parses a parameter with ParseTime; without it, it returns absent.
func timeArgument(args *fasthttp.Args, name string, absent time.Time) (time.Time, error) {
	text := string(args.Peek(name))
	if text == "" {
		return absent, nil
	}
	return ParseTime(name, text)
}

// ParseTime parses a time as RFC 3339, or a day in UTC. name is the parameter's, for
// the error.
func ParseTime(name, text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf(
		"%w: %s: %q is neither like 2006-01-02 nor like 2006-01-02T15:04:05Z", errBadRequest, name, text)
}
