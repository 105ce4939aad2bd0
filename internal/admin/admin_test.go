package admin

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/ledger"
)

func TestLedgerReadDuringFoldReturnsEachEntryOnce(t *testing.T) {
	records, settings := recordsOfHours(300, "red", "blue")
	client := newTestClient(t, records, settings)
	entries, err := client.Ledger(url.Values{})
	if err != nil || totalUsage(entries).CPU != 6000 || len(entries) != 600 {
		t.Fatalf("got %d entries, %+v, %v, want 600 entries with 6000 CPU-microseconds",
			len(entries), totalUsage(entries), err)
	}
	// One fold of a day between any two reads, three of them while entries are read.
	now := noon.Add(300 * time.Hour)
	folds := 0
	records.beforeRead = func() {
		for team, segments := range records.segments {
			folded, first, n := ledger.Fold(&settings, segments, now, 12)
			if n == 0 || folds >= 3 {
				continue
			}
			behind := segments[first+n:]
			segments = append(segments[:first:first], ledger.StoredSegment{Segment: *folded})
			records.segments[team] = append(segments, behind...)
			folds++
			return
		}
	}
	entries, err = client.Ledger(url.Values{})
	usage := totalUsage(entries)
	if err != nil || usage.CPU != 6000 || usage.Starts != 600 || folds != 3 {
		t.Errorf("while segments are folded: got %+v, %v, %d folds, want 6000 CPU-microseconds, 600 starts, 3 folds",
			usage, err, folds)
	}
	folds = -1000 // fold all that is old enough
	for range 100 {
		records.beforeRead()
	}
	records.beforeRead = nil
	list, err := client.Verify()
	if err != nil || len(list) != 2 || list[0].Problem != "" || list[1].Problem != "" ||
		list[0].VerifiedThrough != 299 || list[0].Segments >= 120 {
		t.Errorf("verification: got %+v, %v, want two teams without a problem, verified through 299, folded", list, err)
	}
	records.reads = 0
	entries, err = client.Ledger(url.Values{"team": {"red"}, "from": {"2026-03-10"}})
	usage = totalUsage(entries)
	if err != nil || usage.CPU == 0 || usage.CPU >= 3000 || records.reads > 4 {
		t.Errorf("entries from a day on: got %+v, %v, %d reads, want below 3000 CPU-microseconds in at most 4 reads",
			usage, err, records.reads)
	}
	records.segments["red"] = records.segments["red"][1:]
	if list, err = client.Verify(); err != nil || list[1].Problem == "" || list[0].Problem != "" {
		t.Errorf("with a segment missing: got %+v, %v, want a problem of the second team alone", list, err)
	}
}

func TestBadRequestsAreRejectedWithReason(t *testing.T) {
	records, settings := recordsOfHours(3, "red", "blue")
	client := newTestClient(t, records, settings)
	for query, want := range map[string]string{
		"from=yesterday": "neither like",
		"cursor=x":       "not a cursor",
		"teem=red":       "no parameter",
		"team=green":     "no team",
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if err := client.get(LedgerPath, values, &Entries{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", query, err, want)
		}
	}
	err := client.get("/v1/none", nil, &Entries{})
	if err == nil || !strings.Contains(err.Error(), "no such path") {
		t.Errorf("unknown path: got error %v, want %q", err, "no such path")
	}
	if explanation, err := client.Explain("wk-000001"); err != nil || len(explanation.Reasons) != 1 {
		t.Errorf("explanation: got %+v, %v, want one reason", explanation, err)
	}
	status, err := client.MemberStatus()
	if err != nil || status.State != "leading" || status.VotesSeconds["tiller-1"] != 2.5 {
		t.Errorf("status: got %+v, %v, want leading with a vote of tiller-1 for 2.5 s", status, err)
	}
	for id, want := range map[string]string{
		"wk-000002": "is over: done",
		"wk-000003": "ever accepted",
		"wk-1":      "not the id",
	} {
		if _, err := client.Explain(id); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("explanation of %s: got error %v, want %q", id, err, want)
		}
	}
	records.failingReads = 1 // the client retries
	if shares, err := client.FairShares(); err != nil || len(shares.Teams) != 2 || shares.Teams[0].Factor != 1 {
		t.Errorf("after an outage: got %+v, %v, want two teams, the first with factor 1", shares, err)
	}
	client.Token = []byte("some other token")
	if _, err := client.FairShares(); err == nil || !strings.Contains(err.Error(), "token") {
		t.Errorf("wrong token: got error %v, want %q", err, "token")
	}
}

func TestLedgerPathWithoutLedgerIsNotFound(t *testing.T) {
	records, _ := recordsOfHours(3, "red", "blue")
	s := New(Settings{BearerToken: testToken, ReadsPerSecond: 1}, records, fakeController{}, discardLog)
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(FairSharesPath)
	ctx.Request.Header.Set("Authorization", "Bearer "+string(testToken))
	s.Handle(&ctx)
	status, body := ctx.Response.StatusCode(), string(ctx.Response.Body())
	if status != fasthttp.StatusNotFound || !strings.Contains(body, "no ledger is kept") {
		t.Errorf("got %d %s, want %d, no ledger is kept", status, body, fasthttp.StatusNotFound)
	}
}
