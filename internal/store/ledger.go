package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys of the ledger. Versions without one skip them.
const (
	accountPrefix  = "use/o/" // a team's account, with the page that is being written
	segmentPrefix  = "use/p/" // closed pages, by team and the number of the first hour in them
	intervalPrefix = "use/g/" // stretches that are not accounted, by the token that ended them
)

// teamKey is a team's name as a part of a key: no spaces and slashes, and not too long.
func teamKey(team string) string {
	k := url.PathEscape(team)
	if len(k) <= maxTeamKeyBytes {
		return k
	}
	h := fnv.New128a()
	_, _ = h.Write([]byte(team)) // a hash takes everything
	return fmt.Sprintf("%s-%x", k[:maxTeamKeyBytes/2], h.Sum(nil))
}

// maxTeamKeyBytes keeps keys within 200 bytes.
const maxTeamKeyBytes = 120

// sortableNumber writes a number so that keys are in its order.
func sortableNumber(n uint64) string { return fmt.Sprintf("%016d", n) }

func segmentKey(team string, first uint64) string {
	return segmentPrefix + teamKey(team) + "/" + sortableNumber(first)
}

// addLedgerChange adds a save of the ledger to a transaction. Each goes under a condition of its
// own, so that no copy of it is carried out twice: docs/safety.md, "Ledger".
func addLedgerChange(t *wire.Txn, s reconciler.Change) {
	switch s.Kind {
	case reconciler.SettleAccount:
		o := &s.Settlement.Open
		t.Conditions = append(t.Conditions, wire.Condition{Key: changeKey(s), Version: s.Settlement.Version})
		t.Changes = append(t.Changes, wire.Change{Key: changeKey(s), Value: wire.AppendOpenSegment(nil, o)})
		if p := s.Settlement.Closed; p != nil {
			key := segmentKey(p.Team, p.First)
			t.Conditions = append(t.Conditions, wire.Condition{Key: key})
			t.Changes = append(t.Changes, wire.Change{Key: key, Value: wire.AppendSegment(nil, p)})
		}
	case reconciler.PutUnaccounted:
		t.Changes = append(t.Changes, wire.Change{Key: changeKey(s), Value: wire.AppendUnaccountedInterval(nil, *s.Unaccounted)})
	case reconciler.CompactAccount:
		for i := range s.Compaction.Sources {
			p := &s.Compaction.Sources[i]
			t.Conditions = append(t.Conditions, wire.Condition{Key: segmentKey(p.Team, p.First), Version: p.Version})
			if i > 0 {
				t.Changes = append(t.Changes, wire.Change{Key: segmentKey(p.Team, p.First)})
			}
		}
		t.Changes = append(t.Changes, wire.Change{Key: changeKey(s), Value: wire.AppendSegment(nil, s.Compaction.Result)})
	}
}

// Accounts reads the accounts of all teams.
func (c *Client) Accounts(ctx context.Context) ([]ledger.StoredAccount, error) {
	entries, _, err := c.List(ctx, accountPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]ledger.StoredAccount, 0, len(entries))
	for _, e := range entries {
		// Guards against one record that keeps everybody from leading: it is told, and
		// the others are kept.
		o, err := wire.DecodeOpenSegment(e.Value)
		if err != nil {
			if o.Team, _ = url.PathUnescape(e.Key[len(accountPrefix):]); o.Team == "" {
				o.Team = e.Key
			}
			o = ledger.OpenSegment{Team: o.Team}
		}
		out = append(out, ledger.StoredAccount{Open: o, Version: e.Version, Err: err})
	}
	return out, nil
}

// Account reads a team's account; without one its version is 0.
func (c *Client) Account(ctx context.Context, team string) (ledger.StoredAccount, error) {
	e, ok, err := c.Get(ctx, accountPrefix+teamKey(team))
	if err != nil || !ok {
		return ledger.StoredAccount{}, err
	}
	o, err := wire.DecodeOpenSegment(e.Value)
	return ledger.StoredAccount{Open: o, Version: e.Version}, err
}

// Segments reads some closed pages of a team behind the one that begins with a number, in
// order, in one request. more tells that there are others behind them.
func (c *Client) Segments(ctx context.Context, team string, after uint64, most int) (pages []ledger.StoredSegment, more bool, err error) {
	p, err := c.readPage(ctx, segmentPrefix+teamKey(team)+"/", segmentKey(team, after), most)
	if err != nil {
		return nil, false, err
	}
	for _, e := range p.Entries {
		page, err := wire.DecodeSegment(e.Value)
		if err != nil {
			return nil, false, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		pages = append(pages, ledger.StoredSegment{Segment: page, Version: e.Version})
	}
	return pages, p.More, nil
}

// Intervals reads some stretches that are not accounted, behind the one with a token.
func (c *Client) Intervals(ctx context.Context, after uint64, most int) (list []ledger.Interval, more bool, err error) {
	p, err := c.readPage(ctx, intervalPrefix, intervalPrefix+sortableNumber(after), most)
	if err != nil {
		return nil, false, err
	}
	for _, e := range p.Entries {
		s, err := wire.DecodeUnaccountedInterval(e.Value)
		if err != nil {
			return nil, false, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		list = append(list, s)
	}
	return list, p.More, nil
}

// readPage reads one page of keys.
func (c *Client) readPage(ctx context.Context, prefix, after string, most int) (wire.Page, error) {
	if err := c.waitForBudget(ctx, 0); err != nil {
		return wire.Page{}, err
	}
	uri := "/keys?prefix=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(most)
	if after != "" {
		uri += "&after=" + url.QueryEscape(after)
	}
	out, err := c.call(fasthttp.MethodGet, uri, nil)
	if err != nil {
		return wire.Page{}, err
	}
	return wire.DecodePage(out)
}
