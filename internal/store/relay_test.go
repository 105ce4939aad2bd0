package store_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// packOne returns the payload of a batch with one envelope, of at most maxBytes.
func packOne(t *testing.T, seq uint64, body string, maxBytes int) string {
	t.Helper()
	payload, count := relay.Pack([]relay.Envelope{{ID: seq, Body: []byte(body)}}, maxBytes)
	if count != 1 {
		t.Fatalf("Pack: got %d envelopes in %d bytes, want 1", count, maxBytes)
	}
	return payload
}

// Batches must reach the leader, and responses the member, under the lowest limits and although the keys are
// reused. A deposed leader must not be able to respond, and DeleteRelayRecords must leave no record behind.
func TestRelayBatchesReachLeaderAndMember(t *testing.T) {
	s, c := newTestStore()
	ctx := context.Background()
	s.Preload("leader/token", wire.AppendLeaderRecord(nil, 7, "b"))
	tokenVersion := s.Revision()
	maxBytes := wire.MaxBatchPayload(s.MaxValueBytes)
	leaderRevision, err := c.RelayRevision(ctx, "")
	if err != nil {
		t.Fatalf("RelayRevision of heartbeats: got error %v, want none", err)
	}
	memberRevision, err := c.RelayRevision(ctx, "a")
	if err != nil {
		t.Fatalf("RelayRevision of responses: got error %v, want none", err)
	}
	for seq := uint64(1); seq <= 20; seq++ {
		payload := packOne(t, seq, "report "+strings.Repeat("x", 500), maxBytes)
		batch := wire.RelayBatch{Incarnation: 5, Seq: seq, Payload: payload}
		if err := c.PutHeartbeats(ctx, store.RelayBatch{Member: "a", RelayBatch: batch}); err != nil {
			t.Fatalf("PutHeartbeats %d: got error %v, want none", seq, err)
		}
	}
	batches, next, err := c.WatchRelay(ctx, "", leaderRevision, time.Second)
	if err != nil || len(batches) != 20 || next <= leaderRevision {
		t.Fatalf("the leader: got %d batches up to revision %d, error %v; want 20, more than %d and none",
			len(batches), next, err, leaderRevision)
	}
	for i, b := range batches {
		if b.Member != "a" || b.Incarnation != 5 || b.Seq != uint64(i+1) {
			t.Errorf("batch %d: got %+v, want member a, incarnation 5, seq %d", i, b, i+1)
		}
		b.Payload = packOne(t, b.Seq, fmt.Sprint("answer ", b.Seq), maxBytes)
		if ok, err := c.PutHeartbeatResponses(ctx, tokenVersion, b); err != nil || !ok {
			t.Fatalf("PutHeartbeatResponses %d: got ok=%v, error %v; want true and none", i, ok, err)
		}
	}
	responses, _, err := c.WatchRelay(ctx, "a", memberRevision, time.Second)
	if err != nil || len(responses) != 20 {
		t.Fatalf("the member: got %d responses, error %v; want 20 and none", len(responses), err)
	}
	if other, _, err := c.WatchRelay(ctx, "ab", memberRevision, time.Second); err != nil || len(other) != 0 {
		t.Errorf("another member: got %d responses, error %v; want 0 and none", len(other), err)
	}
	envelopes, err := relay.Unpack(responses[19].Payload)
	if err != nil || string(envelopes[0].Body) != "answer 20" {
		t.Errorf("the last response: got %v, error %v; want answer 20 and none", envelopes, err)
	}
	s.Preload("leader/token", wire.AppendLeaderRecord(nil, 8, "c"))
	if ok, err := c.PutHeartbeatResponses(ctx, tokenVersion, batches[0]); ok || err != nil {
		t.Errorf("responses from a deposed leader: got ok=%v, error %v; want false and none", ok, err)
	}
	if err := c.DeleteRelayRecords(ctx, "a", s.MaxOps); err != nil || len(s.Keys("relay/")) != 0 {
		t.Errorf("after DeleteRelayRecords: got keys %v, error %v; want neither", s.Keys("relay/"), err)
	}
}
