package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// Records is what the interface reads of the state service.
type Records interface {
	Accounts(ctx context.Context) ([]ledger.StoredAccount, error)
	Segments(ctx context.Context, team string, after uint64, most int) (pages []ledger.StoredSegment, more bool, err error)
	Intervals(ctx context.Context, after uint64, most int) (list []ledger.Interval, more bool, err error)
}

// Controller is what the interface asks of the leader's picture, and of the job records.
type Controller interface {
	// Explain says why a job's tasks wait, as JSON; empty: it is not unfinished.
	Explain(ctx context.Context, id string) ([]byte, error)
	// MemberStatus tells where this controller stands in the election.
	MemberStatus(ctx context.Context) (*MemberStatus, error)
	// JobState tells how a job stands.
	JobState(ctx context.Context, id string) (wire.JobState, error)
}

// Settings are the interface's.
type Settings struct {
	BearerToken      []byte
	LedgerEnabled    bool // a ledger is kept
	FairShareEnabled bool // fair share is on
	HalfLife         time.Duration
	Weights          map[string]float64
	Seal             *ledger.Seal
	ReadsPerSecond   float64 // requests to the state service in a second, at most
}

// Server answers operators.
type Server struct {
	settings   Settings
	records    Records
	controller Controller
	log        *slog.Logger
	limiter    *rate.Limiter
	httpServer *fasthttp.Server
}

// New makes a server.
func New(set Settings, records Records, leader Controller, log *slog.Logger) *Server {
	s := &Server{settings: set, records: records, controller: leader, log: log, limiter: rate.NewLimiter(rate.Limit(set.ReadsPerSecond), 4)}
	s.httpServer = &fasthttp.Server{Handler: s.Handle, Name: "glentiller", NoDefaultServerHeader: true, MaxRequestBodySize: 4096, ReadBufferSize: 4096,
		Concurrency: maxConns, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, ReduceMemoryUsage: true,
		CloseOnShutdown: true, Logger: discardLogger{}}
	return s
}

const (
	maxConns        = 16              // operators are few
	requestTimeout  = 5 * time.Second // for one answer
	segmentsPerRead = 60              // pages of the ledger in one answer
)

// discardLogger drops the HTTP library's own log.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.httpServer.Serve(l) }

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.httpServer.Shutdown() }

// The errors that operators are told apart.
var (
	errBadRequest     = errors.New("malformed request")
	errNotFound       = errors.New("not found")
	errSegmentsFolded = errors.New("pages were folded meanwhile: begin again without a cursor")
)

// Handle answers one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	if !s.authorized(c) {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		s.reply(c, fasthttp.StatusUnauthorized, ErrorResponse{"a bearer token is needed"})
		return
	}
	if !c.IsGet() {
		c.Response.Header.Set("Allow", fasthttp.MethodGet)
		s.reply(c, fasthttp.StatusMethodNotAllowed, ErrorResponse{"method not allowed"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body, err := s.answer(ctx, string(c.Path()), c.QueryArgs())
	switch {
	case err == nil:
		s.reply(c, fasthttp.StatusOK, body)
	case errors.Is(err, errBadRequest):
		s.reply(c, fasthttp.StatusBadRequest, ErrorResponse{err.Error()})
	case errors.Is(err, errNotFound):
		s.reply(c, fasthttp.StatusNotFound, ErrorResponse{err.Error()})
	case errors.Is(err, errSegmentsFolded):
		s.reply(c, fasthttp.StatusConflict, ErrorResponse{err.Error()})
	default:
		s.log.Info("operators' request not answered", "path", string(c.Path()), "err", err)
		c.Response.Header.Set("Retry-After", "1")
		s.reply(c, fasthttp.StatusServiceUnavailable, ErrorResponse{"the records cannot be read now: " + err.Error()})
	}
}

// authorized tells whether the request carries the token.
func (s *Server) authorized(c *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	return ok && len(s.settings.BearerToken) > 0 && subtle.ConstantTimeCompare([]byte(token), s.settings.BearerToken) == 1
}

func (s *Server) reply(c *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil { // a value of ours that JSON cannot hold
		status, b = fasthttp.StatusInternalServerError, []byte(`{"error":"internal error"}`)
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(b)
}

func (s *Server) answer(ctx context.Context, path string, q *fasthttp.Args) (any, error) {
	if id, ok := strings.CutPrefix(path, JobsPath); ok && strings.HasSuffix(id, explainSuffix) {
		return s.explain(ctx, strings.TrimSuffix(id, explainSuffix))
	}
	if path == MemberPath {
		return s.controller.MemberStatus(ctx)
	}
	known := map[string][]string{LedgerPath: {"team", "class", "from", "to", "cursor"}, VerifyPath: {"cursor"}, IntervalsPath: {"cursor"}, FairSharesPath: nil}
	names, ok := known[path]
	if !ok {
		return nil, fmt.Errorf("%w: no such path", errNotFound)
	}
	if !s.settings.LedgerEnabled {
		return nil, fmt.Errorf("%w: no ledger is kept; <ledger> in the operators' settings turns it on", errNotFound)
	}
	for k := range q.All() {
		if !slices.Contains(names, string(k)) {
			return nil, fmt.Errorf("%w: there is no parameter %q", errBadRequest, k)
		}
	}
	switch path {
	case LedgerPath:
		return s.ledgerEntries(ctx, q)
	case VerifyPath:
		return s.verifyNextTeam(ctx, string(q.Peek("cursor")))
	case IntervalsPath:
		return s.intervals(ctx, string(q.Peek("cursor")))
	}
	return s.fairShares(ctx)
}

// explain has the leader say why a job's tasks wait.
func (s *Server) explain(ctx context.Context, id string) (any, error) {
	if !model.ValidJobID(id) {
		return nil, fmt.Errorf("%w: %q is not the id of a job", errBadRequest, id)
	}
	if err := s.throttle(ctx); err != nil {
		return nil, err
	}
	body, err := s.controller.Explain(ctx, id)
	if err != nil || len(body) > 0 {
		return json.RawMessage(body), err
	}
	state, err := s.controller.JobState(ctx, id)
	switch {
	case err != nil:
		return nil, err
	case state == wire.StateUnknown:
		return nil, fmt.Errorf("%w: no job %s was ever accepted", errNotFound, id)
	case state.Ended():
		return nil, fmt.Errorf("%w: job %s is over: %s", errNotFound, id, state)
	}
	return nil, errors.New("the leader has not heard of the job yet")
}

// throttle keeps the interface's reading within its pace, so that it slows nobody.
func (s *Server) throttle(ctx context.Context) error { return s.limiter.Wait(ctx) }

// accounts reads the accounts, in the order of their teams.
func (s *Server) accounts(ctx context.Context) ([]ledger.StoredAccount, error) {
	if err := s.throttle(ctx); err != nil {
		return nil, err
	}
	list, err := s.records.Accounts(ctx)
	for _, r := range list {
		if r.Err != nil && err == nil {
			err = fmt.Errorf("the account of team %q: %w", r.Open.Team, r.Err)
		}
	}
	slices.SortFunc(list, func(a, b ledger.StoredAccount) int { return strings.Compare(a.Open.Team, b.Open.Team) })
	return list, err
}

func (s *Server) segments(ctx context.Context, team string, after uint64) ([]ledger.StoredSegment, bool, error) {
	if err := s.throttle(ctx); err != nil {
		return nil, false, err
	}
	return s.records.Segments(ctx, team, after, segmentsPerRead)
}

// cursor is where the next page of an answer begins: with a team, behind a page.
type cursor struct {
	team        string
	first, last uint64 // of the page before; 0: the beginning
}

func (c cursor) String() string { return fmt.Sprintf("%d.%d.%s", c.first, c.last, c.team) }

func parseCursor(s string) (c cursor, err error) {
	parts := strings.SplitN(s, ".", 3)
	if len(parts) != 3 {
		return c, fmt.Errorf("%w: not a cursor", errBadRequest)
	}
	first, err1 := strconv.ParseUint(parts[0], 10, 64)
	last, err2 := strconv.ParseUint(parts[1], 10, 64)
	if err1 != nil || err2 != nil || parts[2] == "" {
		return c, fmt.Errorf("%w: not a cursor", errBadRequest)
	}
	return cursor{parts[2], first, last}, nil
}

// teamAfter finds the first account whose team comes after a name; "": there is none.
func teamAfter(list []ledger.StoredAccount, team string) string {
	for _, r := range list {
		if r.Open.Team > team {
			return r.Open.Team
		}
	}
	return ""
}

// ledgerEntries answers one page of what was used. Pages are read before the account that
// stands behind them: what closes in between is read next, and never missed or told
// twice.
func (s *Server) ledgerEntries(ctx context.Context, q *fasthttp.Args) (*Entries, error) {
	only, class := string(q.Peek("team")), string(q.Peek("class"))
	from, err := timeArgument(q, "from", time.Time{})
	if err != nil {
		return nil, err
	}
	to, err := timeArgument(q, "to", time.Unix(1<<40, 0))
	if err != nil {
		return nil, err
	}
	at := cursor{team: only}
	if text := string(q.Peek("cursor")); text != "" {
		if at, err = parseCursor(text); err != nil {
			return nil, err
		}
		if only != "" && at.team != only {
			return nil, fmt.Errorf("%w: the cursor is of another team", errBadRequest)
		}
	} else if only == "" {
		list, err := s.accounts(ctx)
		if err != nil || len(list) == 0 {
			return &Entries{Entries: []Entry{}}, err
		}
		at.team = list[0].Open.Team
	}
	out := &Entries{Entries: []Entry{}}
	add := func(unit ledger.Unit, start time.Time, cells []ledger.ClassUsage) {
		if start.Before(unit.Start(from)) || !start.Before(to) {
			return
		}
		for _, c := range cells {
			if class == "" || c.Class == class {
				out.Entries = append(out.Entries, Entry{at.team, c.Class, start, unit.String(), AmountsOf(c.Usage)})
			}
		}
	}
	pages, more, err := s.segments(ctx, at.team, at.first)
	if err != nil {
		return nil, err
	}
	for _, p := range pages {
		if p.First != at.last+1 {
			return nil, errSegmentsFolded
		}
		add(p.Unit, p.Start, p.Usage)
		at.first, at.last = p.First, p.Last
	}
	if more {
		out.NextCursor = at.String()
		return out, nil
	}
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(list, func(r ledger.StoredAccount) bool { return r.Open.Team == at.team })
	switch {
	case i < 0 && s.settings.Weights[at.team] == 0:
		return nil, fmt.Errorf("%w: no team %q", errNotFound, at.team)
	case i >= 0 && list[i].Open.Number > at.last+1:
		out.NextCursor = at.String() // a page was closed meanwhile
		return out, nil
	case i >= 0 && list[i].Open.Number <= at.last:
		return nil, errSegmentsFolded // an older answer of the state service
	case i >= 0:
		add(ledger.Hour, list[i].Open.Start, list[i].Open.Usage)
	}
	if next := teamAfter(list, at.team); next != "" && only == "" {
		out.NextCursor = cursor{team: next}.String()
	}
	return out, nil
}

// timeArgument reads a moment: RFC 3339, or a day in UTC.
func timeArgument(q *fasthttp.Args, name string, none time.Time) (time.Time, error) {
	text := string(q.Peek(name))
	if text == "" {
		return none, nil
	}
	return ParseTime(name, text)
}

// ParseTime reads a moment: RFC 3339, or a day in UTC.
func ParseTime(name, text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%w: %s: %q is neither like 2006-01-02 nor like 2006-01-02T15:04:05Z", errBadRequest, name, text)
}

// verifyNextTeam checks the pages of one team, and names the next one.
func (s *Server) verifyNextTeam(ctx context.Context, team string) (*Verification, error) {
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	if team == "" && len(list) > 0 {
		team = list[0].Open.Team
	}
	v := &Verification{Team: team, NextCursor: teamAfter(list, team)}
	for range maxVerifyAttempts {
		// Pages that are folded or closed meanwhile look like a gap: then once more.
		if v.Problem, err = s.verifyTeam(ctx, v); err != nil || v.Problem == "" {
			break
		}
	}
	return v, err
}

// maxVerifyAttempts is how often a team's pages are read before something is wrong with them.
const maxVerifyAttempts = 3

func (s *Server) verifyTeam(ctx context.Context, v *Verification) (problem string, err error) {
	v.Segments, v.VerifiedThrough = 0, 0
	var link string
	var first uint64
	for more := true; more; {
		var pages []ledger.StoredSegment
		if pages, more, err = s.segments(ctx, v.Team, first); err != nil {
			return "", err
		}
		for _, p := range pages {
			if v.VerifiedThrough, link, err = s.settings.Seal.Verify([]ledger.Segment{p.Segment}, v.VerifiedThrough, link); err != nil {
				return err.Error(), nil
			}
			first = p.First
			v.Segments++
		}
	}
	list, err := s.accounts(ctx)
	if err != nil {
		return "", err
	}
	for _, r := range list {
		if r.Open.Team == v.Team {
			if err := r.Open.VerifyOpen(v.VerifiedThrough, link); err != nil {
				return err.Error(), nil
			}
			return "", nil
		}
	}
	if v.Segments > 0 {
		return "the account that stands behind the pages is missing", nil
	}
	return "", nil
}

func (s *Server) intervals(ctx context.Context, text string) (*Intervals, error) {
	var after uint64
	if text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, fmt.Errorf("%w: not a cursor", errBadRequest)
		}
	}
	if err := s.throttle(ctx); err != nil {
		return nil, err
	}
	list, more, err := s.records.Intervals(ctx, after, 4*segmentsPerRead)
	if err != nil {
		return nil, err
	}
	out := &Intervals{Intervals: []Interval{}}
	for _, st := range list {
		out.Intervals = append(out.Intervals, Interval(st))
		after = st.FencingToken
	}
	if more {
		out.NextCursor = strconv.FormatUint(after, 10)
	}
	return out, nil
}

func (s *Server) fairShares(ctx context.Context) (*FairShares, error) {
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	by := map[string]ledger.OpenSegment{}
	for _, r := range list {
		by[r.Open.Team] = r.Open
	}
	out := &FairShares{Enabled: s.settings.FairShareEnabled, HalfLife: s.settings.HalfLife.Seconds(), Teams: []FairShare{}}
	for _, st := range ledger.FairShares(s.settings.Weights, func(team string) uint64 { return by[team].DecayedUsage }) {
		out.Teams = append(out.Teams, FairShare{st.Rank, st.Team, st.Weight, st.DecayedUsage, st.UsageFraction, st.Factor, st.Band, by[st.Team].SettledAt})
	}
	return out, nil
}
