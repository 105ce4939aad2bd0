package store

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/wire"
)

// Members relay workers' heartbeats to a leader that they cannot reach in batches, and the leader
// answers with batches of responses. Each member reuses a few keys for either in turn.
const (
	heartbeatsPrefix = "relay/q/"
	responsesPrefix  = "relay/a/"
	relaySlots       = 8
)

// RelayBatch is a batch of heartbeats, or of responses to one.
type RelayBatch struct {
	Member string // relays the heartbeats
	wire.RelayBatch
}

// relaySlotKey returns the key of a batch.
func relaySlotKey(prefix, member string, seq uint64) string {
	return prefix + member + "/" + strconv.FormatUint(seq%relaySlots, 10)
}

// watchedPrefix returns where heartbeats are put, or with a member's name the responses to it.
func watchedPrefix(member string) string {
	if member == "" {
		return heartbeatsPrefix
	}
	return responsesPrefix + member + "/"
}

// PutHeartbeats writes a batch of heartbeats for the leader.
func (c *Client) PutHeartbeats(ctx context.Context, batch RelayBatch) error {
	txn := &wire.Txn{}
	put(txn, relaySlotKey(heartbeatsPrefix, batch.Member, batch.Seq), wire.AppendRelayBatch(nil, batch.RelayBatch))
	_, _, err := c.Commit(ctx, txn, false)
	return err
}

// PutHeartbeatResponses writes a leader's responses to a batch, on condition that its fencing token
// is still the last one. ok is false if it is not.
func (c *Client) PutHeartbeatResponses(
	ctx context.Context, tokenVersion uint64, batch RelayBatch,
) (ok bool, err error) {
	txn := &wire.Txn{}
	require(txn, tokenKey, tokenVersion)
	put(txn, relaySlotKey(responsesPrefix, batch.Member, batch.Seq), wire.AppendRelayBatch(nil, batch.RelayBatch))
	_, ok, err = c.Commit(ctx, txn, false)
	return ok, err
}

// DeleteRelayRecords deletes all batches of a member and the responses to it, with at most maxChanges
// keys in a transaction.
func (c *Client) DeleteRelayRecords(ctx context.Context, member string, maxChanges int) error {
	txn := &wire.Txn{}
	for _, prefix := range []string{heartbeatsPrefix, responsesPrefix} {
		for slot := range uint64(relaySlots) {
			remove(txn, relaySlotKey(prefix, member, slot))
		}
	}
	for rest := txn.Changes; len(rest) > 0; {
		n := min(len(rest), maxChanges)
		if _, _, err := c.Commit(ctx, &wire.Txn{Changes: rest[:n]}, false); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// RelayRevision returns the revision after which to watch for batches of heartbeats, or with a
// member's name for responses to it.
func (c *Client) RelayRevision(ctx context.Context, member string) (uint64, error) {
	page, err := c.readPage(ctx, watchedPrefix(member), "", 1)
	return page.Revision, err
}

// WatchRelay waits for batches of heartbeats, or with a member's name for responses to it, that were
// put after a revision. It returns the revision to go on with.
func (c *Client) WatchRelay(
	ctx context.Context, member string, after uint64, wait time.Duration,
) (batches []RelayBatch, revision uint64, err error) {
	prefix := watchedPrefix(member)
	page, err := c.Changes(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range page.Entries {
		if e.Removed {
			continue
		}
		batch, err := wire.DecodeRelayBatch(e.Value)
		if err != nil {
			return nil, page.Revision, &RecordError{Key: e.Key, Err: err}
		}
		sender := member
		if sender == "" {
			sender, _, _ = strings.Cut(e.Key[len(prefix):], "/")
		}
		batches = append(batches, RelayBatch{sender, batch})
	}
	return batches, page.Revision, nil
}
