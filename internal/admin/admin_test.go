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
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	noon       = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testToken  = []byte("a token of sixteen letters or more")
)

// fakeRecords stands in for the records: teams with pages; between says what happens between
// two reads.
type fakeRecords struct {
	accounts     []ledger.StoredAccount
	segments     map[string][]ledger.StoredSegment
	beforeRead   func()
	failingReads int // reads that fail
	reads        int
}

func (b *fakeRecords) read() error {
	b.reads++
	if b.failingReads > 0 {
		b.failingReads--
		return errors.New("out")
	}
	if b.beforeRead != nil {
		b.beforeRead()
	}
	return nil
}

func (b *fakeRecords) Accounts(context.Context) ([]ledger.StoredAccount, error) {
	return slices.Clone(b.accounts), b.read()
}

func (b *fakeRecords) Segments(_ context.Context, team string, after uint64, most int) ([]ledger.StoredSegment, bool, error) {
	if err := b.read(); err != nil {
		return nil, false, err
	}
	list := b.segments[team]
	i := slices.IndexFunc(list, func(p ledger.StoredSegment) bool { return p.First > after })
	if i < 0 {
		return nil, false, nil
	}
	list = list[i:]
	return slices.Clone(list[:min(most, len(list))]), len(list) > most, nil
}

func (b *fakeRecords) Intervals(context.Context, uint64, int) ([]ledger.Interval, bool, error) {
	return []ledger.Interval{{Start: noon, End: noon.Add(time.Minute), FencingToken: 4, UnsettledLeaders: 1}}, false, b.read()
}

// fakeController stands in for the leader.
type fakeController struct{}

func (fakeController) Explain(_ context.Context, id string) ([]byte, error) {
	if id == "wk-000001" {
		return []byte(`{"job":"wk-000001","why":["it awaits [wk-000002]"]}`), nil
	}
	return nil, nil
}

func (fakeController) MemberStatus(context.Context) (*MemberStatus, error) {
	return &MemberStatus{Member: "tiller-0", State: "leading", VotesSeconds: map[string]float64{"tiller-1": 2.5}}, nil
}

func (fakeController) JobState(_ context.Context, id string) (wire.JobState, error) {
	if id == "wk-000002" {
		return wire.StateDone, nil
	}
	return wire.StateUnknown, nil
}

// recordsOfHours keeps accounts of some teams for some hours.
func recordsOfHours(hours int, teams ...string) (*fakeRecords, ledger.Settings) {
	set := ledger.Settings{SettleInterval: time.Second, HalfLife: time.Hour, MaxRecordBytes: 4096, Retention: ledger.Retention{Hours: 48 * time.Hour, Days: 240 * time.Hour}, Seal: ledger.NewSeal(nil)}
	b := &fakeRecords{segments: map[string][]ledger.StoredSegment{}}
	book := ledger.NewAccounts(noon, set, 1, nil)
	last := map[string]ledger.StoredAccount{}
	for h := range hours {
		now := noon.Add(time.Duration(h) * time.Hour)
		for _, team := range teams {
			book.Charge(now, team, "work", ledger.Usage{CPU: 10, Starts: 1})
			s := book.Settle(now, now, team)
			book.SettlementCompleted(team, uint64(h+1))
			last[team] = ledger.StoredAccount{Open: s.Open, Version: uint64(h + 1)}
			if s.Closed != nil {
				b.segments[team] = append(b.segments[team], ledger.StoredSegment{Segment: *s.Closed, Version: 1})
			}
		}
	}
	for _, r := range last {
		b.accounts = append(b.accounts, r)
	}
	return b, set
}

// newTestClient is a client of a server over these records.
func newTestClient(t *testing.T, b *fakeRecords, set ledger.Settings) *Client {
	t.Helper()
	s := New(Settings{BearerToken: testToken, LedgerEnabled: true, HalfLife: set.HalfLife, Weights: map[string]float64{"red": 1, "blue": 1}, Seal: set.Seal, ReadsPerSecond: 1e6}, b, fakeController{}, discardLog)
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }() // ends with the listener
	t.Cleanup(func() { _ = l.Close() })
	return &Client{Addr: "controller", Token: testToken, Dial: func(string) (net.Conn, error) { return l.Dial() }}
}

func totalUsage(rows []Entry) (u ledger.Usage) {
	for _, r := range rows {
		u.Add(r.Usage())
	}
	return u
}

func TestLedgerReadDuringFoldReturnsEachEntryOnce(t *testing.T) {
	b, set := recordsOfHours(300, "red", "blue")
	c := newTestClient(t, b, set)
	rows, err := c.Ledger(url.Values{})
	if err != nil || totalUsage(rows).CPU != 6000 || len(rows) != 600 {
		t.Fatalf("%d rows, %+v, %v", len(rows), totalUsage(rows), err)
	}
	// One fold of a day between any two reads, until all that is old is folded.
	now := noon.Add(300 * time.Hour)
	folds := 0
	b.beforeRead = func() {
		for team, pages := range b.segments {
			if into, from, n := ledger.Fold(&set, pages, now, 12); n > 0 && folds < 3 {
				b.segments[team] = append(pages[:from:from], append([]ledger.StoredSegment{{Segment: *into}}, pages[from+n:]...)...)
				folds++
				return
			}
		}
	}
	rows, err = c.Ledger(url.Values{})
	if err != nil || totalUsage(rows).CPU != 6000 || totalUsage(rows).Starts != 600 || folds != 3 {
		t.Errorf("while pages are folded: %+v, %v, %d folds", totalUsage(rows), err, folds)
	}
	folds = -1000
	for range 100 {
		b.beforeRead()
	}
	b.beforeRead = nil
	list, err := c.Verify()
	if err != nil || len(list) != 2 || list[0].Problem != "" || list[1].Problem != "" || list[0].VerifiedThrough != 299 || list[0].Segments >= 120 {
		t.Errorf("%+v, %v", list, err)
	}
	b.reads = 0
	if rows, err = c.Ledger(url.Values{"team": {"red"}, "from": {"2026-03-10"}}); err != nil || totalUsage(rows).CPU == 0 || totalUsage(rows).CPU >= 3000 || b.reads > 4 {
		t.Errorf("a part: %+v, %v, %d reads", totalUsage(rows), err, b.reads)
	}
	b.segments["red"] = b.segments["red"][1:]
	if list, _ = c.Verify(); list[1].Problem == "" || list[0].Problem != "" {
		t.Errorf("a missing page: %+v", list)
	}
}

func TestBadRequestsAreRejectedWithReason(t *testing.T) {
	b, set := recordsOfHours(3, "red", "blue")
	c := newTestClient(t, b, set)
	for query, want := range map[string]string{"from=yesterday": "neither like", "cursor=x": "not a cursor", "teem=red": "no parameter", "team=green": "no team"} {
		q, _ := url.ParseQuery(query)
		if err := c.get(LedgerPath, q, &Entries{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", query, err)
		}
	}
	if err := c.get("/v1/none", nil, &Entries{}); err == nil || !strings.Contains(err.Error(), "no such path") {
		t.Errorf("an unknown path: %v", err)
	}
	if e, err := c.Explain("wk-000001"); err != nil || len(e.Reasons) != 1 {
		t.Errorf("explain: %+v, %v", e, err)
	}
	if m, err := c.MemberStatus(); err != nil || m.State != "leading" || m.VotesSeconds["tiller-1"] != 2.5 {
		t.Errorf("member: %+v, %v", m, err)
	}
	for id, want := range map[string]string{"wk-000002": "is over: done", "wk-000003": "ever accepted", "wk-1": "not the id"} {
		if _, err := c.Explain(id); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("explain %s: %v", id, err)
		}
	}
	b.failingReads = 1 // asked again after a moment
	if s, err := c.FairShares(); err != nil || len(s.Teams) != 2 || s.Teams[0].Factor != 1 {
		t.Errorf("after an outage: %+v, %v", s, err)
	}
	c.Token = []byte("some other token")
	if _, err := c.FairShares(); err == nil || !strings.Contains(err.Error(), "token") {
		t.Errorf("without the token: %v", err)
	}
	s := New(Settings{BearerToken: testToken, ReadsPerSecond: 1}, b, fakeController{}, discardLog)
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(FairSharesPath)
	ctx.Request.Header.Set("Authorization", "Bearer "+string(testToken))
	if s.Handle(&ctx); ctx.Response.StatusCode() != fasthttp.StatusNotFound || !strings.Contains(string(ctx.Response.Body()), "no ledger is kept") {
		t.Errorf("without a ledger: %d %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
}
