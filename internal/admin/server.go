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
	Accounts(ctx context.Context) ([]ledger.OnRecord, error)
	Segments(ctx context.Context, team string, after uint64, most int) (pages []ledger.Stored, more bool, err error)
	Intervals(ctx context.Context, after uint64, most int) (list []ledger.Stretch, more bool, err error)
}

// Leader is what the interface asks of the leader's picture, and of the job records.
type Leader interface {
	// Explain says why a job's tasks wait, as JSON; empty: it is not unfinished.
	Explain(ctx context.Context, id string) ([]byte, error)
	// Members tells where this controller stands in the election.
	Members(ctx context.Context) (*Member, error)
	// State tells how a job stands.
	State(ctx context.Context, id string) (wire.JobState, error)
}

// Settings are the interface's.
type Settings struct {
	Token   []byte
	Ledger  bool // a ledger is kept
	Orders  bool // fair share is on
	Half    time.Duration
	Weights map[string]float64
	Seal    *ledger.Seal
	Rate    float64 // requests to the state service in a second, at most
}

// Server answers operators.
type Server struct {
	set     Settings
	records Records
	leader  Leader
	log     *slog.Logger
	pace    *rate.Limiter
	httpSrv *fasthttp.Server
}

// New makes a server.
func New(set Settings, records Records, leader Leader, log *slog.Logger) *Server {
	s := &Server{set: set, records: records, leader: leader, log: log, pace: rate.NewLimiter(rate.Limit(set.Rate), 4)}
	s.httpSrv = &fasthttp.Server{Handler: s.Handle, Name: "glentiller", NoDefaultServerHeader: true, MaxRequestBodySize: 4096, ReadBufferSize: 4096,
		Concurrency: maxConns, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, ReduceMemoryUsage: true,
		CloseOnShutdown: true, Logger: quiet{}}
	return s
}

const (
	maxConns = 16              // operators are few
	askWait  = 5 * time.Second // for one answer
	pageRows = 60              // pages of the ledger in one answer
)

// quiet drops the HTTP library's own log.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.httpSrv.Serve(l) }

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.httpSrv.Shutdown() }

// The errors that operators are told apart.
var (
	errBad   = errors.New("malformed request")
	errNone  = errors.New("not found")
	errMoved = errors.New("pages were folded meanwhile: begin again without a cursor")
)

// Handle answers one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	if !s.knows(c) {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		s.reply(c, fasthttp.StatusUnauthorized, Problem{"a bearer token is needed"})
		return
	}
	if !c.IsGet() {
		c.Response.Header.Set("Allow", fasthttp.MethodGet)
		s.reply(c, fasthttp.StatusMethodNotAllowed, Problem{"method not allowed"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	body, err := s.answer(ctx, string(c.Path()), c.QueryArgs())
	switch {
	case err == nil:
		s.reply(c, fasthttp.StatusOK, body)
	case errors.Is(err, errBad):
		s.reply(c, fasthttp.StatusBadRequest, Problem{err.Error()})
	case errors.Is(err, errNone):
		s.reply(c, fasthttp.StatusNotFound, Problem{err.Error()})
	case errors.Is(err, errMoved):
		s.reply(c, fasthttp.StatusConflict, Problem{err.Error()})
	default:
		s.log.Info("operators' request not answered", "path", string(c.Path()), "err", err)
		c.Response.Header.Set("Retry-After", "1")
		s.reply(c, fasthttp.StatusServiceUnavailable, Problem{"the records cannot be read now: " + err.Error()})
	}
}

// knows tells whether the request carries the token.
func (s *Server) knows(c *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	return ok && len(s.set.Token) > 0 && subtle.ConstantTimeCompare([]byte(token), s.set.Token) == 1
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
	if id, ok := strings.CutPrefix(path, JobsPath); ok && strings.HasSuffix(id, explainEnd) {
		return s.explain(ctx, strings.TrimSuffix(id, explainEnd))
	}
	if path == MemberPath {
		return s.leader.Members(ctx)
	}
	known := map[string][]string{LedgerPath: {"team", "class", "from", "to", "cursor"}, VerifyPath: {"cursor"}, StretchesPath: {"cursor"}, SharesPath: nil}
	names, ok := known[path]
	if !ok {
		return nil, fmt.Errorf("%w: no such path", errNone)
	}
	if !s.set.Ledger {
		return nil, fmt.Errorf("%w: no ledger is kept; <ledger> in the operators' settings turns it on", errNone)
	}
	for k := range q.All() {
		if !slices.Contains(names, string(k)) {
			return nil, fmt.Errorf("%w: there is no parameter %q", errBad, k)
		}
	}
	switch path {
	case LedgerPath:
		return s.ledger(ctx, q)
	case VerifyPath:
		return s.verify(ctx, string(q.Peek("cursor")))
	case StretchesPath:
		return s.stretches(ctx, string(q.Peek("cursor")))
	}
	return s.shares(ctx)
}

// explain has the leader say why a job's tasks wait.
func (s *Server) explain(ctx context.Context, id string) (any, error) {
	if !model.ValidJobID(id) {
		return nil, fmt.Errorf("%w: %q is not the id of a job", errBad, id)
	}
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	body, err := s.leader.Explain(ctx, id)
	if err != nil || len(body) > 0 {
		return json.RawMessage(body), err
	}
	state, err := s.leader.State(ctx, id)
	switch {
	case err != nil:
		return nil, err
	case state == wire.StateUnknown:
		return nil, fmt.Errorf("%w: no job %s was ever accepted", errNone, id)
	case state.Ended():
		return nil, fmt.Errorf("%w: job %s is over: %s", errNone, id, state)
	}
	return nil, errors.New("the leader has not heard of the job yet")
}

// wait keeps the interface's reading within its pace, so that it slows nobody.
func (s *Server) wait(ctx context.Context) error { return s.pace.Wait(ctx) }

// accounts reads the accounts, in the order of their teams.
func (s *Server) accounts(ctx context.Context) ([]ledger.OnRecord, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	list, err := s.records.Accounts(ctx)
	for _, r := range list {
		if r.Err != nil && err == nil {
			err = fmt.Errorf("the account of team %q: %w", r.Open.Team, r.Err)
		}
	}
	slices.SortFunc(list, func(a, b ledger.OnRecord) int { return strings.Compare(a.Open.Team, b.Open.Team) })
	return list, err
}

func (s *Server) pages(ctx context.Context, team string, after uint64) ([]ledger.Stored, bool, error) {
	if err := s.wait(ctx); err != nil {
		return nil, false, err
	}
	return s.records.Segments(ctx, team, after, pageRows)
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
		return c, fmt.Errorf("%w: not a cursor", errBad)
	}
	first, err1 := strconv.ParseUint(parts[0], 10, 64)
	last, err2 := strconv.ParseUint(parts[1], 10, 64)
	if err1 != nil || err2 != nil || parts[2] == "" {
		return c, fmt.Errorf("%w: not a cursor", errBad)
	}
	return cursor{parts[2], first, last}, nil
}

// behind finds the first account whose team comes after a name; "": there is none.
func behind(list []ledger.OnRecord, team string) string {
	for _, r := range list {
		if r.Open.Team > team {
			return r.Open.Team
		}
	}
	return ""
}

// ledger answers one page of what was used. Pages are read before the account that
// stands behind them: what closes in between is read next, and never missed or told
// twice.
func (s *Server) ledger(ctx context.Context, q *fasthttp.Args) (*Rows, error) {
	only, class := string(q.Peek("team")), string(q.Peek("class"))
	from, err := day(q, "from", time.Time{})
	if err != nil {
		return nil, err
	}
	to, err := day(q, "to", time.Unix(1<<40, 0))
	if err != nil {
		return nil, err
	}
	at := cursor{team: only}
	if text := string(q.Peek("cursor")); text != "" {
		if at, err = parseCursor(text); err != nil {
			return nil, err
		}
		if only != "" && at.team != only {
			return nil, fmt.Errorf("%w: the cursor is of another team", errBad)
		}
	} else if only == "" {
		list, err := s.accounts(ctx)
		if err != nil || len(list) == 0 {
			return &Rows{Rows: []Row{}}, err
		}
		at.team = list[0].Open.Team
	}
	out := &Rows{Rows: []Row{}}
	add := func(unit ledger.Unit, start time.Time, cells []ledger.Cell) {
		if start.Before(unit.Start(from)) || !start.Before(to) {
			return
		}
		for _, c := range cells {
			if class == "" || c.Class == class {
				out.Rows = append(out.Rows, Row{at.team, c.Class, start, unit.String(), AmountsOf(c.Use)})
			}
		}
	}
	pages, more, err := s.pages(ctx, at.team, at.first)
	if err != nil {
		return nil, err
	}
	for _, p := range pages {
		if p.First != at.last+1 {
			return nil, errMoved
		}
		add(p.Unit, p.From, p.Cells)
		at.first, at.last = p.First, p.Last
	}
	if more {
		out.Next = at.String()
		return out, nil
	}
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(list, func(r ledger.OnRecord) bool { return r.Open.Team == at.team })
	switch {
	case i < 0 && s.set.Weights[at.team] == 0:
		return nil, fmt.Errorf("%w: no team %q", errNone, at.team)
	case i >= 0 && list[i].Open.Number > at.last+1:
		out.Next = at.String() // a page was closed meanwhile
		return out, nil
	case i >= 0 && list[i].Open.Number <= at.last:
		return nil, errMoved // an older answer of the state service
	case i >= 0:
		add(ledger.Hour, list[i].Open.From, list[i].Open.Cells)
	}
	if next := behind(list, at.team); next != "" && only == "" {
		out.Next = cursor{team: next}.String()
	}
	return out, nil
}

// day reads a moment: RFC 3339, or a day in UTC.
func day(q *fasthttp.Args, name string, none time.Time) (time.Time, error) {
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
	return time.Time{}, fmt.Errorf("%w: %s: %q is neither like 2006-01-02 nor like 2006-01-02T15:04:05Z", errBad, name, text)
}

// verify checks the pages of one team, and names the next one.
func (s *Server) verify(ctx context.Context, team string) (*Verified, error) {
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	if team == "" && len(list) > 0 {
		team = list[0].Open.Team
	}
	v := &Verified{Team: team, Next: behind(list, team)}
	for range verifyTries {
		// Pages that are folded or closed meanwhile look like a gap: then once more.
		if v.Problem, err = s.verifyTeam(ctx, v); err != nil || v.Problem == "" {
			break
		}
	}
	return v, err
}

// verifyTries is how often a team's pages are read before something is wrong with them.
const verifyTries = 3

func (s *Server) verifyTeam(ctx context.Context, v *Verified) (problem string, err error) {
	v.Pages, v.Through = 0, 0
	var link string
	var first uint64
	for more := true; more; {
		var pages []ledger.Stored
		if pages, more, err = s.pages(ctx, v.Team, first); err != nil {
			return "", err
		}
		for _, p := range pages {
			if v.Through, link, err = s.set.Seal.Verify([]ledger.Page{p.Page}, v.Through, link); err != nil {
				return err.Error(), nil
			}
			first = p.First
			v.Pages++
		}
	}
	list, err := s.accounts(ctx)
	if err != nil {
		return "", err
	}
	for _, r := range list {
		if r.Open.Team == v.Team {
			if err := r.Open.VerifyOpen(v.Through, link); err != nil {
				return err.Error(), nil
			}
			return "", nil
		}
	}
	if v.Pages > 0 {
		return "the account that stands behind the pages is missing", nil
	}
	return "", nil
}

func (s *Server) stretches(ctx context.Context, text string) (*Stretches, error) {
	var after uint64
	if text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, fmt.Errorf("%w: not a cursor", errBad)
		}
	}
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	list, more, err := s.records.Intervals(ctx, after, 4*pageRows)
	if err != nil {
		return nil, err
	}
	out := &Stretches{Stretches: []Stretch{}}
	for _, st := range list {
		out.Stretches = append(out.Stretches, Stretch(st))
		after = st.Token
	}
	if more {
		out.Next = strconv.FormatUint(after, 10)
	}
	return out, nil
}

func (s *Server) shares(ctx context.Context) (*Shares, error) {
	list, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	by := map[string]ledger.Open{}
	for _, r := range list {
		by[r.Open.Team] = r.Open
	}
	out := &Shares{Orders: s.set.Orders, HalfLife: s.set.Half.Seconds(), Teams: []Share{}}
	for _, st := range ledger.Standings(s.set.Weights, func(team string) uint64 { return by[team].Decayed }) {
		out.Teams = append(out.Teams, Share{st.Place, st.Team, st.Weight, st.Decayed, st.Part, st.Factor, st.Band, by[st.Team].At})
	}
	return out, nil
}
