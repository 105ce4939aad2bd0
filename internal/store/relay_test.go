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

// A member hands batches to a leader by way of the state service and has its answers, under the lowest
// limits and however often its keys come round; a leader that is deposed meanwhile answers nothing, and
// what is left behind is removed.
func TestRelayBatchesReachLeaderAndMember(t *testing.T) {
	s, c := newTestStore()
	ctx := context.Background()
	s.Preload("leader/token", wire.AppendLeaderRecord(nil, 7, "b"))
	token := s.Revision()
	room := wire.MaxBatchPayload(s.MaxValueBytes)
	toLeader, err := c.RelayRevision(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	toMember, err := c.RelayRevision(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	for seq := uint64(1); seq <= 20; seq++ {
		text, n := relay.Pack([]relay.Envelope{{ID: seq, Body: []byte("report " + strings.Repeat("x", 500))}}, room)
		if n != 1 {
			t.Fatal("it does not fit")
		}
		if err := c.PutHeartbeats(ctx, store.RelayBatch{Member: "a", RelayBatch: wire.RelayBatch{Incarnation: 5, Seq: seq, Payload: text}}); err != nil {
			t.Fatal(err)
		}
	}
	batches, at, err := c.WatchRelay(ctx, "", toLeader, time.Second)
	if err != nil || len(batches) != 20 || at <= toLeader {
		t.Fatalf("the leader sees %d batches up to %d: %v", len(batches), at, err)
	}
	for i, b := range batches {
		if b.Member != "a" || b.Incarnation != 5 || b.Seq != uint64(i+1) {
			t.Errorf("batch %d: %+v", i, b)
		}
		b.Payload, _ = relay.Pack([]relay.Envelope{{ID: b.Seq, Body: fmt.Append(nil, "answer ", b.Seq)}}, room)
		if ok, err := c.PutHeartbeatResponses(ctx, token, b); err != nil || !ok {
			t.Fatal(ok, err)
		}
	}
	answers, _, err := c.WatchRelay(ctx, "a", toMember, time.Second)
	if err != nil || len(answers) != 20 {
		t.Fatalf("the member sees %d answers: %v", len(answers), err)
	}
	if other, _, err := c.WatchRelay(ctx, "ab", toMember, time.Second); err != nil || len(other) != 0 {
		t.Errorf("another one sees %d: %v", len(other), err)
	}
	letters, err := relay.Unpack(answers[19].Payload)
	if err != nil || string(letters[0].Body) != "answer 20" {
		t.Error(letters, err)
	}
	s.Preload("leader/token", wire.AppendLeaderRecord(nil, 8, "c"))
	if ok, err := c.PutHeartbeatResponses(ctx, token, batches[0]); ok || err != nil {
		t.Errorf("a deposed leader answers: %v, %v", ok, err)
	}
	if err := c.DeleteRelayRecords(ctx, "a", s.MaxOps); err != nil || len(s.Keys("relay/")) != 0 {
		t.Errorf("left behind: %v, %v", s.Keys("relay/"), err)
	}
}
