package store

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/wire"
)

// A member that cannot reach the leader writes its workers' heartbeats in batches to the state service, and the
// leader writes batches of responses. Each member has relaySlots keys for its batches and as many for the
// responses, which are reused in turn.
const (
	heartbeatsPrefix = "relay/q/"
	responsesPrefix  = "relay/a/"
	relaySlots       = 8
)

// RelayBatch is a batch of heartbeats, or of the responses to such a batch.
type RelayBatch struct {
	Member string // name of the member that relays the heartbeats
	wire.RelayBatch
}

// relaySlotKey returns the key that a member's batch with a sequence number is written to.
func relaySlotKey(prefix, member string, seq uint64) string {
	return prefix + member + "/" + strconv.FormatUint(seq%relaySlots, 10)
}

// relayWatchPrefix returns the key prefix of all batches of heartbeats if member is empty, otherwise that of the
// responses to the member.
func relayWatchPrefix(member string) string {
	if member == "" {
		return heartbeatsPrefix
	}
	return responsesPrefix + member + "/"
}

// PutHeartbeats writes a batch of heartbeats for the leader.
func (c *Client) PutHeartbeats(ctx context.Context, batch RelayBatch) error {
	txn := &wire.Txn{}
	addPut(txn, relaySlotKey(heartbeatsPrefix, batch.Member, batch.Seq), wire.AppendRelayBatch(nil, batch.RelayBatch))
	_, _, err := c.Commit(ctx, txn, false)
	return err
}

// PutHeartbeatResponses writes the leader's responses to a batch, on condition that the record of its fencing token
// still has the given version. ok is false if it does not.
func (c *Client) PutHeartbeatResponses(
	ctx context.Context, tokenVersion uint64, batch RelayBatch,
) (ok bool, err error) {
	txn := &wire.Txn{}
	requireVersion(txn, tokenKey, tokenVersion)
	addPut(txn, relaySlotKey(responsesPrefix, batch.Member, batch.Seq), wire.AppendRelayBatch(nil, batch.RelayBatch))
	_, ok, err = c.Commit(ctx, txn, false)
	return ok, err
}

// DeleteRelayRecords deletes all batches of a member and all responses to it. It deletes at most maxChanges keys in
// one transaction, and stops at the first error.
func (c *Client) DeleteRelayRecords(ctx context.Context, member string, maxChanges int) error {
	txn := &wire.Txn{}
	for _, prefix := range []string{heartbeatsPrefix, responsesPrefix} {
		for slot := range uint64(relaySlots) {
			addDelete(txn, relaySlotKey(prefix, member, slot))
		}
	}
	for rest := txn.Changes; len(rest) > 0; {
		count := min(len(rest), maxChanges)
		if _, _, err := c.Commit(ctx, &wire.Txn{Changes: rest[:count]}, false); err != nil {
			return err
		}
		rest = rest[count:]
	}
	return nil
}

// RelayRevision returns the revision after which WatchRelay has to start to see all batches that are written from
// now on. member selects the batches as in WatchRelay.
func (c *Client) RelayRevision(ctx context.Context, member string) (uint64, error) {
	page, err := c.readPage(ctx, relayWatchPrefix(member), "", 1)
	return page.Revision, err
}

// WatchRelay returns the batches of heartbeats from all members if member is empty, otherwise the responses to the
// member, that were written after a revision. If there are none, it waits up to the given time for one. It returns
// the revision from which to continue.
func (c *Client) WatchRelay(
	ctx context.Context, member string, after uint64, wait time.Duration,
) (batches []RelayBatch, revision uint64, err error) {
	prefix := relayWatchPrefix(member)
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
