package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/wire"
)

var (
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	noon       = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testToken  = []byte("a token of sixteen letters or more")

	errUnavailable = errors.New("out")
)

// fakeRecords implements Records in memory.
type fakeRecords struct {
	accounts          []ledger.StoredAccount
	segments          map[string][]ledger.StoredSegment // closed segments by team, in order
	beforeRead        func()                            // called before each read unless nil
	remainingFailures int                               // number of the next reads that fail
	readCount         int                               // number of reads, including failed ones
}

func (r *fakeRecords) read() error {
	r.readCount++
	if r.remainingFailures > 0 {
		r.remainingFailures--
		return errUnavailable
	}
	if r.beforeRead != nil {
		r.beforeRead()
	}
	return nil
}

func (r *fakeRecords) Accounts(context.Context) ([]ledger.StoredAccount, error) {
	return slices.Clone(r.accounts), r.read()
}

func (r *fakeRecords) Segments(
	_ context.Context, team string, after uint64, limit int,
) ([]ledger.StoredSegment, bool, error) {
	if err := r.read(); err != nil {
		return nil, false, err
	}
	segments := r.segments[team]
	i := slices.IndexFunc(segments, func(segment ledger.StoredSegment) bool { return segment.First > after })
	if i < 0 {
		return nil, false, nil
	}
	segments = segments[i:]
	return slices.Clone(segments[:min(limit, len(segments))]), len(segments) > limit, nil
}

func (r *fakeRecords) Intervals(context.Context, uint64, int) ([]ledger.UnaccountedInterval, bool, error) {
	interval := ledger.UnaccountedInterval{Start: noon, End: noon.Add(time.Minute), FencingToken: 4, UnsettledLeaders: 1}
	return []ledger.UnaccountedInterval{interval}, false, r.read()
}

// fakeController implements Controller. Job wk-000001 is unfinished, wk-000002 is done, and no other job exists.
type fakeController struct{}

func (fakeController) Explain(_ context.Context, id string) ([]byte, error) {
	if id == "wk-000001" {
		return []byte(`{"job":"wk-000001","why":["it awaits [wk-000002]"]}`), nil
	}
	return nil, nil
}

func (fakeController) MemberStatus(context.Context) (*MemberStatus, error) {
	return &MemberStatus{
		Member:               "tiller-0",
		State:                "leading",
		VoteRemainingSeconds: map[string]float64{"tiller-1": 2.5},
	}, nil
}

func (fakeController) JobState(_ context.Context, id string) (wire.JobState, error) {
	if id == "wk-000002" {
		return wire.StateDone, nil
	}
	return wire.StateUnknown, nil
}

// newHourlyRecords returns the ledger records of teams that have each used ten CPU-microseconds and started one task
// in every hour of a number of hours, and the settings under which the records were made.
func newHourlyRecords(hours int, teams ...string) (*fakeRecords, ledger.Settings) {
	settings := ledger.Settings{
		SettleInterval: time.Second,
		HalfLife:       time.Hour,
		MaxRecordBytes: 4096,
		Retention:      ledger.Retention{Hours: 48 * time.Hour, Days: 240 * time.Hour},
		Hasher:         ledger.NewSegmentHasher(nil),
	}
	records := &fakeRecords{segments: map[string][]ledger.StoredSegment{}}
	accounts := ledger.NewAccounts(noon, settings, 1, nil)
	last := map[string]ledger.StoredAccount{}
	for hour := range hours {
		now := noon.Add(time.Duration(hour) * time.Hour)
		version := uint64(hour + 1)
		for _, team := range teams {
			accounts.Charge(now, team, "work", ledger.Usage{CPU: 10, Starts: 1})
			settlement := accounts.Settle(now, now, team)
			accounts.SettlementCompleted(team, version)
			last[team] = ledger.StoredAccount{Open: settlement.Open, Version: version}
			if settlement.Closed != nil {
				stored := ledger.StoredSegment{Segment: *settlement.Closed, Version: 1}
				records.segments[team] = append(records.segments[team], stored)
			}
		}
	}
	for _, account := range last {
		records.accounts = append(records.accounts, account)
	}
	return records, settings
}

// newTestClient starts a server that reads from records, and returns a client of it. The server ends with the test.
func newTestClient(t *testing.T, records *fakeRecords, settings ledger.Settings) *Client {
	t.Helper()
	s := New(Settings{
		BearerToken:    testToken,
		LedgerEnabled:  true,
		HalfLife:       settings.HalfLife,
		Weights:        map[string]float64{"red": 1, "blue": 1},
		Hasher:         settings.Hasher,
		ReadsPerSecond: 1e6,
	}, records, fakeController{}, discardLog)
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(listener) }() // returns when the listener is closed
	t.Cleanup(func() { _ = listener.Close() })
	dial := func(string) (net.Conn, error) { return listener.Dial() }
	return &Client{Addr: "controller", Token: testToken, Dial: dial}
}

func totalUsage(entries []Entry) (usage ledger.Usage) {
	for _, entry := range entries {
		usage.Add(entry.Usage())
	}
	return usage
}
