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

// cursor is the position in the ledger at which the next page of entries begins.
type cursor struct {
	team        string
	first, last uint64 // First and Last of the team's previous segment; 0 before its first segment
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

// entriesQuery is a parsed request for entries.
type entriesQuery struct {
	team     string // "" selects all teams
	class    string // "" selects all job classes
	from, to time.Time
	cursor   cursor // its team is "" if the request contains neither a team nor a cursor
}

// endOfTime is later than the start of any entry.
var endOfTime = time.Unix(1<<40, 0)

// parseEntriesQuery parses the query parameters of a request for entries. Its errors wrap errBadRequest.
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

// appendEntries appends the entries of one segment of the cursor's team that match the query. A segment matches if it
// starts before query.to and not before the unit (hour, day or month) that contains query.from.
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

// ledgerEntries returns one page of entries. It reads the closed segments before the account, which contains the open
// segment. A segment that is closed in between is returned with the next page, so that no segment is missed or
// read twice.
func (s *Server) ledgerEntries(ctx context.Context, args *fasthttp.Args) (*EntryPage, error) {
	query, err := parseEntriesQuery(args)
	if err != nil {
		return nil, err
	}
	page := &EntryPage{Entries: []Entry{}}
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
			return nil, errSegmentsCompacted // the segments have been compacted since the previous page
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

// appendOpenSegment appends the entries of the team's open segment to the page, and sets its cursor to the next team.
// If a segment was closed after the closed segments were read, the cursor stays with the team instead.
func (s *Server) appendOpenSegment(ctx context.Context, query *entriesQuery, page *EntryPage) (*EntryPage, error) {
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
		page.NextCursor = query.cursor.String() // a segment was closed in between
		return page, nil
	case i >= 0 && accounts[i].Open.Number <= query.cursor.last:
		return nil, errSegmentsCompacted // the account was read from an older state than the closed segments
	case i >= 0:
		open := &accounts[i].Open
		page.Entries = query.appendEntries(page.Entries, ledger.Hour, open.Start, open.Usage)
	}
	if next := nextTeam(accounts, team); next != "" && query.team == "" {
		page.NextCursor = cursor{team: next}.String()
	}
	return page, nil
}

// timeArgument parses the query parameter name with ParseTime. It returns defaultTime if the parameter is empty
// or missing.
func timeArgument(args *fasthttp.Args, name string, defaultTime time.Time) (time.Time, error) {
	text := string(args.Peek(name))
	if text == "" {
		return defaultTime, nil
	}
	return ParseTime(name, text)
}

// ParseTime parses a time in RFC 3339 format, or a date, which means the start of that day in UTC. name is the name
// of the parameter, for the error message.
func ParseTime(name, text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf(
		"%w: %s: %q is neither like 2006-01-02 nor like 2006-01-02T15:04:05Z", errBadRequest, name, text)
}
