package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/url"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys of the ledger. Versions without a ledger ignore them.
const (
	accountPrefix  = "use/o/" // a team's account, with its open segment
	segmentPrefix  = "use/p/" // closed segments, by team and the number of the first hour in them
	intervalPrefix = "use/g/" // unaccounted intervals, by the fencing token of the leader that ended them
)

// maxTeamKeyBytes bounds a team's part of a key, so that keys stay within 200 bytes.
const maxTeamKeyBytes = 120

// teamKey returns a team's part of a key: without spaces and slashes, and of bounded length.
func teamKey(team string) string {
	escaped := url.PathEscape(team)
	if len(escaped) <= maxTeamKeyBytes {
		return escaped
	}
	hash := fnv.New128a()
	_, _ = hash.Write([]byte(team)) // never fails
	return fmt.Sprintf("%s-%x", escaped[:maxTeamKeyBytes/2], hash.Sum(nil))
}

// sortableNumber formats a number so that keys sort like their numbers.
func sortableNumber(n uint64) string { return fmt.Sprintf("%016d", n) }

func segmentKey(team string, first uint64) string {
	return segmentPrefix + teamKey(team) + "/" + sortableNumber(first)
}

// addLedgerChange adds a change of the ledger to a transaction. A settlement and a compaction depend
// on the version that they replace, so that no duplicate is carried out: docs/safety.md, "Ledger".
func addLedgerChange(txn *wire.Txn, ch *record.Change, key string) {
	switch ch.Kind {
	case record.SettleAccount:
		require(txn, key, ch.Settlement.Version)
		put(txn, key, wire.AppendOpenSegment(nil, &ch.Settlement.Open))
		if closed := ch.Settlement.Closed; closed != nil {
			closedKey := segmentKey(closed.Team, closed.First)
			require(txn, closedKey, 0)
			put(txn, closedKey, wire.AppendSegment(nil, closed))
		}
	case record.PutUnaccounted:
		put(txn, key, wire.AppendUnaccountedInterval(nil, *ch.Unaccounted))
	case record.CompactAccount:
		for i := range ch.Compaction.Sources {
			source := &ch.Compaction.Sources[i]
			sourceKey := segmentKey(source.Team, source.First)
			require(txn, sourceKey, source.Version)
			if i > 0 { // the first one's record becomes the result's
				remove(txn, sourceKey)
			}
		}
		put(txn, key, wire.AppendSegment(nil, ch.Compaction.Result))
	}
}

// Accounts reads the accounts of all teams. An unreadable record is returned with its error: it must
// not keep every controller from leading.
func (c *Client) Accounts(ctx context.Context) ([]ledger.StoredAccount, error) {
	entries, _, err := c.List(ctx, accountPrefix)
	if err != nil {
		return nil, err
	}
	accounts := make([]ledger.StoredAccount, 0, len(entries))
	for _, e := range entries {
		open, err := wire.DecodeOpenSegment(e.Value)
		if err != nil {
			open = ledger.OpenSegment{Team: teamOfAccountKey(e.Key)}
		}
		accounts = append(accounts, ledger.StoredAccount{Open: open, Version: e.Version, Err: err})
	}
	return accounts, nil
}

// teamOfAccountKey returns the team that an account's key names; if it names none, the key.
func teamOfAccountKey(key string) string {
	team, err := url.PathUnescape(key[len(accountPrefix):])
	if err != nil || team == "" {
		return key
	}
	return team
}

// Account reads a team's account; its version is 0 if there is none.
func (c *Client) Account(ctx context.Context, team string) (ledger.StoredAccount, error) {
	key := accountPrefix + teamKey(team)
	entry, found, err := c.Get(ctx, key)
	if err != nil || !found {
		return ledger.StoredAccount{}, err
	}
	open, err := wire.DecodeOpenSegment(entry.Value)
	account := ledger.StoredAccount{Open: open, Version: entry.Version}
	if err != nil {
		return account, &RecordError{Key: key, Err: err}
	}
	return account, nil
}

// Segments reads, in one request, up to limit closed segments of a team that follow the one with a
// number, in order. more reports that others follow them.
func (c *Client) Segments(
	ctx context.Context, team string, after uint64, limit int,
) (segments []ledger.StoredSegment, more bool, err error) {
	page, err := c.readPage(ctx, segmentPrefix+teamKey(team)+"/", segmentKey(team, after), limit)
	if err != nil {
		return nil, false, err
	}
	for _, e := range page.Entries {
		segment, err := wire.DecodeSegment(e.Value)
		if err != nil {
			return nil, false, &RecordError{Key: e.Key, Err: err}
		}
		segments = append(segments, ledger.StoredSegment{Segment: segment, Version: e.Version})
	}
	return segments, page.More, nil
}

// Intervals reads, in one request, up to limit unaccounted intervals that follow the one with a
// fencing token, in order. more reports that others follow them.
func (c *Client) Intervals(
	ctx context.Context, after uint64, limit int,
) (intervals []ledger.Interval, more bool, err error) {
	page, err := c.readPage(ctx, intervalPrefix, intervalPrefix+sortableNumber(after), limit)
	if err != nil {
		return nil, false, err
	}
	for _, e := range page.Entries {
		interval, err := wire.DecodeUnaccountedInterval(e.Value)
		if err != nil {
			return nil, false, &RecordError{Key: e.Key, Err: err}
		}
		intervals = append(intervals, interval)
	}
	return intervals, page.More, nil
}
