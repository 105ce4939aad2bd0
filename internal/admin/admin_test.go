package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/wire"
)

var (
	quietLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	noon     = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	secret   = []byte("a token of sixteen letters or more")
)

// books stands in for the records: teams with pages; between says what happens between
// two reads.
type books struct {
	accounts []ledger.OnRecord
	pages    map[string][]ledger.Stored
	between  func()
	down     int // reads that fail
	reads    int
}

func (b *books) read() error {
	b.reads++
	if b.down > 0 {
		b.down--
		return errors.New("out")
	}
	if b.between != nil {
		b.between()
	}
	return nil
}

func (b *books) Accounts(context.Context) ([]ledger.OnRecord, error) {
	return slices.Clone(b.accounts), b.read()
}

func (b *books) Segments(_ context.Context, team string, after uint64, most int) ([]ledger.Stored, bool, error) {
	if err := b.read(); err != nil {
		return nil, false, err
	}
	list := b.pages[team]
	i := slices.IndexFunc(list, func(p ledger.Stored) bool { return p.First > after })
	if i < 0 {
		return nil, false, nil
	}
	list = list[i:]
	return slices.Clone(list[:min(most, len(list))]), len(list) > most, nil
}

func (b *books) Intervals(context.Context, uint64, int) ([]ledger.Stretch, bool, error) {
	return []ledger.Stretch{{From: noon, To: noon.Add(time.Minute), Token: 4, Without: 1}}, false, b.read()
}

// picture stands in for the leader.
type picture struct{}

func (picture) Explain(_ context.Context, id string) ([]byte, error) {
	if id == "wk-000001" {
		return []byte(`{"job":"wk-000001","why":["it awaits [wk-000002]"]}`), nil
	}
	return nil, nil
}

func (picture) Members(context.Context) (*Member, error) {
	return &Member{Member: "tiller-0", State: "leading", Promises: map[string]float64{"tiller-1": 2.5}}, nil
}

func (picture) State(_ context.Context, id string) (wire.JobState, error) {
	if id == "wk-000002" {
		return wire.StateDone, nil
	}
	return wire.StateUnknown, nil
}

// month keeps accounts of some teams for some hours.
func month(hours int, teams ...string) (*books, ledger.Settings) {
	set := ledger.Settings{Settle: time.Second, Half: time.Hour, Most: 4096, Keep: ledger.Retention{Hours: 48 * time.Hour, Days: 240 * time.Hour}, Seal: ledger.NewSeal(nil)}
	b := &books{pages: map[string][]ledger.Stored{}}
	book := ledger.NewBook(noon, set, 1, nil)
	last := map[string]ledger.OnRecord{}
	for h := range hours {
		now := noon.Add(time.Duration(h) * time.Hour)
		for _, team := range teams {
			book.Charge(now, team, "work", ledger.Use{CPU: 10, Starts: 1})
			s := book.Settle(now, now, team)
			book.Settled(team, uint64(h+1))
			last[team] = ledger.OnRecord{Open: s.Open, Version: uint64(h + 1)}
			if s.Closed != nil {
				b.pages[team] = append(b.pages[team], ledger.Stored{Page: *s.Closed, Version: 1})
			}
		}
	}
	for _, r := range last {
		b.accounts = append(b.accounts, r)
	}
	return b, set
}

// served is a client of a server over these records.
func served(t *testing.T, b *books, set ledger.Settings) *Client {
	t.Helper()
	s := New(Settings{Token: secret, Ledger: true, Half: set.Half, Weights: map[string]float64{"red": 1, "blue": 1}, Seal: set.Seal, Rate: 1e6}, b, picture{}, quietLog)
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }() // ends with the listener
	t.Cleanup(func() { _ = l.Close() })
	return &Client{Addr: "controller", Token: secret, Dial: func(string) (net.Conn, error) { return l.Dial() }}
}

func total(rows []Row) (u ledger.Use) {
	for _, r := range rows {
		u.Add(r.Use())
	}
	return u
}

func TestEverythingIsReadOnceAlsoWhilePagesAreFolded(t *testing.T) {
	b, set := month(300, "red", "blue")
	c := served(t, b, set)
	rows, err := c.Ledger(url.Values{})
	if err != nil || total(rows).CPU != 6000 || len(rows) != 600 {
		t.Fatalf("%d rows, %+v, %v", len(rows), total(rows), err)
	}
	// One fold of a day between any two reads, until all that is old is folded.
	now := noon.Add(300 * time.Hour)
	folds := 0
	b.between = func() {
		for team, pages := range b.pages {
			if into, from, n := ledger.Fold(&set, pages, now, 12); n > 0 && folds < 3 {
				b.pages[team] = append(pages[:from:from], append([]ledger.Stored{{Page: *into}}, pages[from+n:]...)...)
				folds++
				return
			}
		}
	}
	rows, err = c.Ledger(url.Values{})
	if err != nil || total(rows).CPU != 6000 || total(rows).Starts != 600 || folds != 3 {
		t.Errorf("while pages are folded: %+v, %v, %d folds", total(rows), err, folds)
	}
	folds = -1000
	for range 100 {
		b.between()
	}
	b.between = nil
	list, err := c.Verify()
	if err != nil || len(list) != 2 || list[0].Problem != "" || list[1].Problem != "" || list[0].Through != 299 || list[0].Pages >= 120 {
		t.Errorf("%+v, %v", list, err)
	}
	b.reads = 0
	if rows, err = c.Ledger(url.Values{"team": {"red"}, "from": {"2026-03-10"}}); err != nil || total(rows).CPU == 0 || total(rows).CPU >= 3000 || b.reads > 4 {
		t.Errorf("a part: %+v, %v, %d reads", total(rows), err, b.reads)
	}
	b.pages["red"] = b.pages["red"][1:]
	if list, _ = c.Verify(); list[1].Problem == "" || list[0].Problem != "" {
		t.Errorf("a missing page: %+v", list)
	}
}

func TestAnswersToBadRequests(t *testing.T) {
	b, set := month(3, "red", "blue")
	c := served(t, b, set)
	for query, want := range map[string]string{"from=yesterday": "neither like", "cursor=x": "not a cursor", "teem=red": "no parameter", "team=green": "no team"} {
		q, _ := url.ParseQuery(query)
		if err := c.get(LedgerPath, q, &Rows{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", query, err)
		}
	}
	if err := c.get("/v1/none", nil, &Rows{}); err == nil || !strings.Contains(err.Error(), "no such path") {
		t.Errorf("an unknown path: %v", err)
	}
	if e, err := c.Explain("wk-000001"); err != nil || len(e.Reasons) != 1 {
		t.Errorf("explain: %+v, %v", e, err)
	}
	if m, err := c.Member(); err != nil || m.State != "leading" || m.Promises["tiller-1"] != 2.5 {
		t.Errorf("member: %+v, %v", m, err)
	}
	for id, want := range map[string]string{"wk-000002": "is over: done", "wk-000003": "ever accepted", "wk-1": "not the id"} {
		if _, err := c.Explain(id); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("explain %s: %v", id, err)
		}
	}
	b.down = 1 // asked again after a moment
	if s, err := c.Shares(); err != nil || len(s.Teams) != 2 || s.Teams[0].Factor != 1 {
		t.Errorf("after an outage: %+v, %v", s, err)
	}
	c.Token = []byte("some other token")
	if _, err := c.Shares(); err == nil || !strings.Contains(err.Error(), "token") {
		t.Errorf("without the token: %v", err)
	}
	s := New(Settings{Token: secret, Rate: 1}, b, picture{}, quietLog)
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(SharesPath)
	ctx.Request.Header.Set("Authorization", "Bearer "+string(secret))
	if s.Handle(&ctx); ctx.Response.StatusCode() != fasthttp.StatusNotFound || !strings.Contains(string(ctx.Response.Body()), "no ledger is kept") {
		t.Errorf("without a ledger: %d %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
}
