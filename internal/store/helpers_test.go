package store_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

var (
	lowestLimits   = store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	ordinaryLimits = store.Limits{MaxValueBytes: 16 << 10, MaxChanges: 12}
)

// newTestStore returns a fake state service with the lowest limits, and a client for it.
func newTestStore() (*fake.State, *store.Client) {
	now := time.Unix(1000, 0)
	state := fake.NewState(func() time.Time { return now })
	state.MaxValueBytes, state.MaxOps = lowestLimits.MaxValueBytes, lowestLimits.MaxChanges
	client := store.NewWithTransports(state, state, time.Second)
	client.SetRateLimits(1e9, 1e9)
	return state, client
}

// newEmptyCache returns a cache that is not loaded.
func newEmptyCache(c *store.Client, incarnation uint64, maxEnded int, limits store.Limits) *store.JobCache {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return store.NewJobCache(c, incarnation, maxEnded, limits, func([]store.JobChange) {}, log)
}

// newTestCache returns a loaded cache for an incarnation of a member.
func newTestCache(t *testing.T, c *store.Client, incarnation uint64, maxEnded int) *store.JobCache {
	t.Helper()
	j := newEmptyCache(c, incarnation, maxEnded, ordinaryLimits)
	if err := j.LoadAndApplyChanges(context.Background()); err != nil {
		t.Fatalf("LoadAndApplyChanges: got error %v, want none", err)
	}
	return j
}

// newTestSpec returns a job with one task.
func newTestSpec(id string) *model.Spec {
	return &model.Spec{
		ID: id, Class: "c", Team: "t", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 1, MemGB: 1},
	}
}

// acceptAndCancel accepts and cancels count jobs, whose IDs are numbered from first on.
func acceptAndCancel(t *testing.T, j *store.JobCache, first, count int) {
	t.Helper()
	now := time.Unix(1000, 0)
	for i := first; i < first+count; i++ {
		id := fmt.Sprintf("wk-%06d", i)
		if _, _, err := j.Accept(context.Background(), newTestSpec(id), false, now); err != nil {
			t.Fatalf("Accept %s: got error %v, want none", id, err)
		}
		if record, err := j.Cancel(context.Background(), id, now); err != nil || record.State != wire.StateCancelled {
			t.Fatalf("Cancel %s: got state %v, error %v; want cancelled and none", id, record.State, err)
		}
	}
}
