package store

import (
	"context"
	"errors"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/wire"
)

// Keys of the leader election.
const (
	leaderPrefix = "leader/"
	leaderKey    = "leader/holder" // attached to the leader's lease, so that it is deleted when the lease expires
	tokenKey     = "leader/token"  // permanent; each transaction of a leader requires the version of this record
	levelKey     = "leader/level"  // permanent; programs without feature levels fail to decode it, so they never claim
)

// ReadLeaderRecord reads all keys of the election with one request, and returns the revision of that read.
func (c *Client) ReadLeaderRecord(ctx context.Context) (election.Record, uint64, error) {
	entries, revision, err := c.List(ctx, leaderPrefix)
	if err != nil {
		return election.Record{}, 0, err
	}
	record, err := decodeLeaderRecord(entries)
	return record, revision, err
}

func decodeLeaderRecord(entries []wire.Entry) (election.Record, error) {
	var record election.Record
	for _, e := range entries {
		if e.Removed {
			continue
		}
		if e.Key == levelKey {
			level, err := wire.DecodeFeatureLevel(e.Value)
			if err != nil {
				return record, &RecordError{Key: e.Key, Err: err}
			}
			record.Level, record.LevelVersion = featuregate.Level(level), e.Version
			continue
		}
		token, member, err := wire.DecodeLeaderRecord(e.Value)
		if err != nil {
			return record, &RecordError{Key: e.Key, Err: err}
		}
		switch e.Key {
		case leaderKey:
			record.Held, record.Leader, record.LeaseID = true, member, e.Lease
		case tokenKey:
			record.FencingToken, record.TokenVersion = token, e.Version
		}
	}
	return record, nil
}

// WatchLeader waits up to watchTimeout for changes of the election's keys after a revision, and returns the revision
// from which to continue. vacant is true if the last of the changes ended a leadership. leader is the name of a new
// leader, or empty if the leader has not changed or the leadership is vacant.
func (c *Client) WatchLeader(
	ctx context.Context, after uint64,
) (revision uint64, vacant bool, leader string, err error) {
	page, err := c.Changes(ctx, leaderPrefix, after, watchTimeout)
	if err != nil {
		return 0, false, "", err
	}
	var version uint64
	for _, e := range page.Entries {
		if e.Key != leaderKey || e.Version < version {
			continue
		}
		version, vacant, leader = e.Version, e.Removed, ""
		if e.Removed {
			continue
		}
		if _, leader, err = wire.DecodeLeaderRecord(e.Value); err != nil {
			return 0, false, "", &RecordError{Key: e.Key, Err: err}
		}
	}
	return page.Revision, vacant, leader, nil
}

// ClaimLeadership writes the leader's key and the next fencing token in one transaction, on condition that no
// leader's key exists and that the token and the feature level in force are those that the claim is based on. A new
// feature level is written in the same transaction. version is that of the token's new record; ok is false if a
// condition failed.
func (c *Client) ClaimLeadership(
	ctx context.Context, member string, claim election.Claim,
) (version uint64, ok bool, err error) {
	value := wire.AppendLeaderRecord(nil, claim.FencingToken, member)
	txn := &wire.Txn{
		Conditions: []wire.Condition{
			{Key: leaderKey},
			{Key: tokenKey, Version: claim.TokenVersion},
			{Key: levelKey, Version: claim.LevelVersion},
		},
		Changes: []wire.Change{
			{Key: leaderKey, Value: value, Lease: claim.LeaseID},
			{Key: tokenKey, Value: value},
		},
	}
	if claim.NewLevel > 0 {
		level := wire.AppendFeatureLevel(nil, uint32(claim.NewLevel), member)
		txn.Changes = append(txn.Changes, wire.Change{Key: levelKey, Value: level})
	}
	return c.Commit(ctx, txn, true)
}

// RewriteToken writes the record of a leader's fencing token again, on condition that it still has the given
// version. Transactions that require the former version and are executed later fail. It returns the new version,
// which the leader's next transactions have to require; ok is false if another leader has taken over. If the
// outcome of the write is unknown, it is derived from the record, since no other controller writes a record with
// this token.
func (c *Client) RewriteToken(
	ctx context.Context, member string, token, tokenVersion uint64,
) (version uint64, ok bool, err error) {
	version, ok, err = c.Commit(ctx, &wire.Txn{
		Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}},
		Changes:    []wire.Change{{Key: tokenKey, Value: wire.AppendLeaderRecord(nil, token, member)}},
	}, false)
	if err == nil && ok || errors.Is(err, ErrNotExecuted) {
		return version, ok, err
	}
	entry, found, readErr := c.Get(ctx, tokenKey)
	if readErr != nil {
		return 0, false, readErr
	}
	if !found {
		return 0, false, nil // the state service has lost the record; the next claim starts again with the first token
	}
	storedToken, _, decodeErr := wire.DecodeLeaderRecord(entry.Value)
	switch {
	case decodeErr != nil:
		return 0, false, &RecordError{Key: tokenKey, Err: decodeErr}
	case storedToken != token:
		return 0, false, nil // another leader has taken over
	case entry.Version == tokenVersion:
		return 0, false, errors.Join(err, ErrOutcomeUnknown) // not executed, or not yet
	}
	return entry.Version, true, nil
}

// TokenUnchanged reports whether the record of the last fencing token still has the given version. It does not if
// another leader has taken over or the token was rewritten.
func (c *Client) TokenUnchanged(ctx context.Context, tokenVersion uint64) (bool, error) {
	entry, found, err := c.Get(ctx, tokenKey)
	return found && entry.Version == tokenVersion, err
}
