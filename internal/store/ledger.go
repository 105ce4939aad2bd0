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

// Key prefixes of the ledger's records. Program versions without a ledger ignore these records.
const (
	accountPrefix  = "use/o/" // accounts with their open segments, by team
	segmentPrefix  = "use/p/" // closed segments, by team and number of the first hourly segment
	intervalPrefix = "use/g/" // unaccounted intervals, by fencing token of the leader that took over
)

// maxTeamKeyBytes bounds the part of a key that names the team, so that no key exceeds 200 bytes.
const maxTeamKeyBytes = 120

// teamKeyPart returns the part of a key that names a team. It contains neither spaces nor slashes. A long name is
// cut and extended by a hash, so that different teams have different keys.
func teamKeyPart(team string) string {
	escaped := url.PathEscape(team)
	if len(escaped) <= maxTeamKeyBytes {
		return escaped
	}
	hash := fnv.New128a()
	_, _ = hash.Write([]byte(team)) // never fails
	return fmt.Sprintf("%s-%x", escaped[:maxTeamKeyBytes/2], hash.Sum(nil))
}

// sortableNumber formats a number with leading zeros, so that keys sort in the order of their numbers.
func sortableNumber(n uint64) string { return fmt.Sprintf("%016d", n) }

func segmentKey(team string, first uint64) string {
	return segmentPrefix + teamKeyPart(team) + "/" + sortableNumber(first)
}

// addLedgerChange adds a change of the ledger to a transaction. A settlement and a compaction require the versions of
// the records that they replace, so that a duplicate of the transaction is not executed (docs/safety.md, "Ledger").
func addLedgerChange(txn *wire.Txn, ch *record.Change, key string) {
	switch ch.Kind {
	case record.SettleAccount:
		requireVersion(txn, key, ch.Settlement.Version)
		addPut(txn, key, wire.AppendOpenSegment(nil, &ch.Settlement.Open))
		if closed := ch.Settlement.Closed; closed != nil {
			closedKey := segmentKey(closed.Team, closed.First)
			requireVersion(txn, closedKey, 0)
			addPut(txn, closedKey, wire.AppendSegment(nil, closed))
		}
	case record.PutUnaccounted:
		addPut(txn, key, wire.AppendUnaccountedInterval(nil, *ch.Unaccounted))
	case record.CompactAccount:
		for i := range ch.Compaction.Sources {
			source := &ch.Compaction.Sources[i]
			sourceKey := segmentKey(source.Team, source.First)
			requireVersion(txn, sourceKey, source.Version)
			if i > 0 { // the result overwrites the first record
				addDelete(txn, sourceKey)
			}
		}
		addPut(txn, key, wire.AppendSegment(nil, ch.Compaction.Result))
	}
}

// Accounts reads the accounts of all teams. The decoding error of a record is returned in that account's Err field,
// since a single unreadable record must not prevent every controller from leading.
func (c *Client) Accounts(ctx context.Context) ([]ledger.StoredAccount, error) {
	entries, _, err := c.List(ctx, accountPrefix)
	if err != nil {
		return nil, err
	}
	accounts := make([]ledger.StoredAccount, 0, len(entries))
	for _, e := range entries {
		open, err := wire.DecodeOpenSegment(e.Value)
		if err != nil {
			open = ledger.OpenSegment{Team: teamFromAccountKey(e.Key)}
		}
		accounts = append(accounts, ledger.StoredAccount{Open: open, Version: e.Version, Err: err})
	}
	return accounts, nil
}

// teamFromAccountKey returns the name of the team in an account's key, which is cut if it is long, or the key
// itself if it contains no valid name.
func teamFromAccountKey(key string) string {
	team, err := url.PathUnescape(key[len(accountPrefix):])
	if err != nil || team == "" {
		return key
	}
	return team
}

// Account reads a team's account. The version is 0 if the team has no account.
func (c *Client) Account(ctx context.Context, team string) (ledger.StoredAccount, error) {
	key := accountPrefix + teamKeyPart(team)
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

// Segments reads with one request, in the order of their numbers, up to limit closed segments of a team whose First
// is greater than after. more reports whether there are further segments.
func (c *Client) Segments(
	ctx context.Context, team string, after uint64, limit int,
) (segments []ledger.StoredSegment, more bool, err error) {
	page, err := c.readPage(ctx, segmentPrefix+teamKeyPart(team)+"/", segmentKey(team, after), limit)
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

// Intervals reads with one request, in the order of their fencing tokens, up to limit unaccounted intervals whose
// token is greater than after. more reports whether there are further intervals.
func (c *Client) Intervals(
	ctx context.Context, after uint64, limit int,
) (intervals []ledger.UnaccountedInterval, more bool, err error) {
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
