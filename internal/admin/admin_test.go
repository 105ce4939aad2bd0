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
	records, settings := newHourlyRecords(300, "red", "blue")
	client := newTestClient(t, records, settings)
	entries, err := client.Ledger(url.Values{})
	if err != nil || totalUsage(entries).CPU != 6000 || len(entries) != 600 {
		t.Fatalf("got %d entries, %+v, %v, want 600 entries with 6000 CPU-microseconds",
			len(entries), totalUsage(entries), err)
	}
	// Before each read the segments of one day of one team are compacted, up to three times in all.
	now := noon.Add(300 * time.Hour)
	compactions := 0
	records.beforeRead = func() {
		for team, segments := range records.segments {
			compacted, first, count := ledger.Compact(&settings, segments, now, 12)
			if count == 0 || compactions >= 3 {
				continue
			}
			following := segments[first+count:]
			segments = append(segments[:first:first], ledger.StoredSegment{Segment: *compacted})
			records.segments[team] = append(segments, following...)
			compactions++
			return
		}
	}
	entries, err = client.Ledger(url.Values{})
	usage := totalUsage(entries)
	if err != nil || usage.CPU != 6000 || usage.Starts != 600 || compactions != 3 {
		t.Errorf("during compaction: got %+v, %v, %d compactions, want 6000 CPU-microseconds, 600 starts, 3 compactions",
			usage, err, compactions)
	}
	compactions = -1000 // so that all segments that are old enough are compacted
	for range 100 {
		records.beforeRead()
	}
	records.beforeRead = nil
	verifications, err := client.Verify()
	if err != nil || len(verifications) != 2 || verifications[0].Problem != "" || verifications[1].Problem != "" ||
		verifications[0].VerifiedThrough != 299 || verifications[0].Segments >= 120 {
		t.Errorf("after compaction: got %+v, %v, want two teams without a problem, verified through 299, below 120 segments",
			verifications, err)
	}
	records.readCount = 0
	entries, err = client.Ledger(url.Values{"team": {"red"}, "from": {"2026-03-10"}})
	usage = totalUsage(entries)
	if err != nil || usage.CPU == 0 || usage.CPU >= 3000 || records.readCount > 4 {
		t.Errorf("entries since 2026-03-10: got %+v, %v, %d reads, want fewer than 3000 CPU-microseconds in at most 4 reads",
			usage, err, records.readCount)
	}
	records.segments["red"] = records.segments["red"][1:]
	if verifications, err = client.Verify(); err != nil ||
		verifications[1].Problem == "" || verifications[0].Problem != "" {
		t.Errorf("with a segment missing: got %+v, %v, want a problem only for the second team", verifications, err)
	}
}

func TestBadRequestsAreRejectedWithReason(t *testing.T) {
	records, settings := newHourlyRecords(3, "red", "blue")
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
		if err := client.get(LedgerPath, values, &EntryPage{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", query, err, want)
		}
	}
	err := client.get("/v1/none", nil, &EntryPage{})
	if err == nil || !strings.Contains(err.Error(), "no such path") {
		t.Errorf("unknown path: got error %v, want %q", err, "no such path")
	}
	if explanation, err := client.Explain("wk-000001"); err != nil || len(explanation.Reasons) != 1 {
		t.Errorf("explanation: got %+v, %v, want one reason", explanation, err)
	}
	status, err := client.MemberStatus()
	if err != nil || status.State != "leading" || status.VoteRemainingSeconds["tiller-1"] != 2.5 {
		t.Errorf("status: got %+v, %v, want state leading and a vote of tiller-1 that is valid for 2.5 s", status, err)
	}
	for id, want := range map[string]string{
		"wk-000002": "is over: done",
		"wk-000003": "ever accepted",
		"wk-1":      "not the id",
	} {
		if _, err := client.Explain(id); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("explanation of job %s: got error %v, want %q", id, err, want)
		}
	}
	records.remainingFailures = 1 // the client retries after one failed read
	if shares, err := client.FairShares(); err != nil || len(shares.Teams) != 2 || shares.Teams[0].Factor != 1 {
		t.Errorf("after a failed read: got %+v, %v, want two teams, the first with factor 1", shares, err)
	}
	client.Token = []byte("some other token")
	if _, err := client.FairShares(); err == nil || !strings.Contains(err.Error(), "token") {
		t.Errorf("wrong token: got error %v, want %q", err, "token")
	}
}

func TestLedgerPathWithoutLedgerIsNotFound(t *testing.T) {
	records, _ := newHourlyRecords(3, "red", "blue")
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
