package store

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/wire"
)

// Batches of workers' reports that their members hand to a leader out of reach, and the answers. A
// member has some keys of each, which it uses in turns.
const (
	heartbeatsPrefix = "relay/q/"
	responsesPrefix  = "relay/a/"
	relaySlots       = 8
)

// RelayBatch is one batch of reports, or of answers to one.
type RelayBatch struct {
	Member string // that handed the reports over
	wire.RelayBatch
}

func relaySlotKey(prefix, member string, seq uint64) string {
	return prefix + member + "/" + strconv.FormatUint(seq%relaySlots, 10)
}

// PutHeartbeats writes a batch of reports of this member.
func (c *Client) PutHeartbeats(ctx context.Context, b RelayBatch) error {
	_, _, err := c.Commit(ctx, &wire.Txn{Changes: []wire.Change{{Key: relaySlotKey(heartbeatsPrefix, b.Member, b.Seq), Value: wire.AppendRelayBatch(nil, b.RelayBatch)}}}, false)
	return err
}

// PutHeartbeatResponses writes a leader's answers to a batch, if its token is still the last one.
func (c *Client) PutHeartbeatResponses(ctx context.Context, tokenVersion uint64, b RelayBatch) (ok bool, err error) {
	_, ok, err = c.Commit(ctx, &wire.Txn{Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}},
		Changes: []wire.Change{{Key: relaySlotKey(responsesPrefix, b.Member, b.Seq), Value: wire.AppendRelayBatch(nil, b.RelayBatch)}}}, false)
	return ok, err
}

// DeleteRelayRecords removes what a member and its leader have left behind.
func (c *Client) DeleteRelayRecords(ctx context.Context, member string, ops int) error {
	var all []wire.Change
	for _, p := range []string{heartbeatsPrefix, responsesPrefix} {
		for i := range uint64(relaySlots) {
			all = append(all, wire.Change{Key: relaySlotKey(p, member, i)})
		}
	}
	for len(all) > 0 {
		n := min(len(all), ops)
		if _, _, err := c.Commit(ctx, &wire.Txn{Changes: all[:n]}, false); err != nil {
			return err
		}
		all = all[n:]
	}
	return nil
}

// RelayRevision is the revision from which on batches of reports are waited for, or with a member's name
// answers to it.
func (c *Client) RelayRevision(ctx context.Context, member string) (uint64, error) {
	prefix := heartbeatsPrefix
	if member != "" {
		prefix = responsesPrefix + member + "/"
	}
	p, err := c.readPage(ctx, prefix, "", 1)
	return p.Revision, err
}

// WatchRelay waits for batches of reports, or with a member's name for answers to it.
func (c *Client) WatchRelay(ctx context.Context, member string, after uint64, wait time.Duration) (out []RelayBatch, rev uint64, err error) {
	prefix := heartbeatsPrefix
	if member != "" {
		prefix = responsesPrefix + member + "/"
	}
	p, err := c.Changes(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range p.Entries {
		if e.Removed {
			continue
		}
		b, err := wire.DecodeRelayBatch(e.Value)
		if err != nil {
			return nil, p.Revision, fmt.Errorf("%s: %w", e.Key, err)
		}
		who := member
		if who == "" {
			who, _, _ = strings.Cut(e.Key[len(prefix):], "/")
		}
		out = append(out, RelayBatch{who, b})
	}
	return out, p.Revision, nil
}
