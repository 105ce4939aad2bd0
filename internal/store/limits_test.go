package store_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// newTestStore is a state service with low limits, and a client of it.
func newTestStore() (*fake.State, *store.Client) {
	now := time.Unix(1000, 0)
	s := fake.NewState(func() time.Time { return now })
	s.MaxValueBytes, s.MaxOps = 2048, 4
	c := store.NewOver(s, s, time.Second)
	c.SetRateLimits(1e9, 1e9)
	return s, c
}

// Every record that a leader writes is taken under the lowest limits, alone and as
// many together as go into one transaction.
func TestLeaderRecordsFitLowestLimits(t *testing.T) {
	s, c := newTestStore()
	long := strings.Repeat("x", 200)
	id := "wk-" + strings.Repeat("9", 37)
	s.Preload("leader/token", wire.AppendLeaderRecord(nil, 7, long))
	token := uint64(2)
	s.Preload("job/a/"+id, wire.AppendEndedJob(nil, wire.StateDone, 1, time.Unix(0, 0)))
	bits := make([]byte, model.ChunkTasks/8)
	for i := range bits {
		bits[i] = 0xff
	}
	span := model.Chunk{StartsAtTask: true, Number: 98304}
	machine := model.MachineInfo{Name: "n-" + long[:40], Addr: "100.100.100.100:10000", Type: long, Zone: long}
	for name, saves := range map[string][]reconciler.Change{
		"finished tasks": {{Kind: reconciler.PutTasks, Job: id, Chunk: span, FinishedBits: bits}, {Kind: reconciler.PutTasks, Job: id, FinishedBits: bits},
			{Kind: reconciler.DeleteTasks, Job: id, Chunk: model.Chunk{Number: 6}}, {Kind: reconciler.DeleteTasks, Job: id, Chunk: span}},
		"machines":            {{Kind: reconciler.PutMachine, Machine: machine}, {Kind: reconciler.DeleteMachine, Machine: machine}},
		"layout and requests": {{Kind: reconciler.PutChunkLayout, Tasks: 16384}, {Kind: reconciler.PutGPUDemand, GPUDemand: model.Resources{CPU: 1e8, GPU: 1e8, MemGB: 1e8}}},
		"a part of a list":    {{Kind: reconciler.DeleteDependencies, Job: "wk-000001", Key: "job/w/wk-000001/ffffffffffffffff/13"}},
		"the end of a job":    {{Kind: reconciler.CompleteJob, Job: id, Version: 3, Tasks: 100_000, At: time.Unix(4e9, 0)}},
	} {
		if _, ok, err := c.CommitFenced(context.Background(), token, saves); err != nil || !ok {
			t.Errorf("%s: %v, %v", name, ok, err)
		}
		if len(store.ChangeKeys(saves)) != len(saves) || strings.Contains(fmt.Sprint(store.ChangeKeys(saves)), " ]") {
			t.Errorf("%s: a record has no name: %q", name, store.ChangeKeys(saves))
		}
	}
}

// The bound on a whole transaction holds too, where values may be large.
func TestLongDependencyListFitsTransaction(t *testing.T) {
	s, c := newTestStore()
	s.MaxValueBytes, s.MaxOps = 16<<10, 12
	jobs := store.NewJobCache(c, 1, 10, store.Limits{MaxValueBytes: 16 << 10, MaxChanges: 12}, func([]store.JobChange) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	spec := &model.Spec{ID: "wk-000001", Class: "c", Team: "t", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1, Demand: model.Resources{CPU: 1}}
	for i := range 7000 { // as many short ids as a submission can hold
		spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%06d", i))
	}
	if created, _, err := jobs.Accept(context.Background(), spec, false, time.Unix(4e9, 0)); err != nil || !created {
		t.Errorf("accepted=%v, %v", created, err)
	}
}

// A submission is taken under the limits, or refused before anything is written.
func TestSubmissionIsStoredOrRejectedAsTooLarge(t *testing.T) {
	limits := store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	kept, refused := 0, 0
	for _, text := range []string{"x", "ü", "\x01", "世"} {
		for _, types := range []int{0, 20, 64} {
			for _, needs := range []int{0, 30, 300, 1400} {
				s, c := newTestStore()
				jobs := store.NewJobCache(c, 1, 10, limits, func([]store.JobChange) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
				if err := jobs.Refresh(context.Background()); err != nil {
					t.Fatal(err)
				}
				spec := &model.Spec{ID: "wk-" + strings.Repeat("1", 37), Class: strings.Repeat(text, 100/len(text)), Team: strings.Repeat(text, 100/len(text)),
					Image: strings.Repeat(text, 200/len(text)), Zone: "zone", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 100_000,
					Demand: model.Resources{CPU: 0.1, GPU: 1e8, MemGB: 12345.678}, ImageGB: 0.3, EstimatedRunTime: 1e8 * time.Second, Deadline: time.Second}
				for i := range types {
					spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("machine-type-of-some-length-%d", i))
				}
				for i := range needs {
					spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%037d", i))
				}
				err := jobs.CheckSize(spec)
				created, _, aerr := jobs.Accept(context.Background(), spec, false, time.Unix(4e9, 0))
				switch {
				case err == nil:
					kept++
					if aerr != nil || !created {
						t.Errorf("%q, %d types, awaits %d: it fits, but %v", text, types, needs, aerr)
					}
					if err := jobs.Refresh(context.Background()); err != nil {
						t.Fatal(err)
					}
					if v := jobs.Peek(spec.ID); v.Spec == nil || len(v.Spec.Dependencies) != needs {
						t.Errorf("%q, %d types, awaits %d: read back as %+v", text, types, needs, v)
					}
				case errors.Is(err, store.ErrTooLarge):
					refused++
					if !errors.Is(aerr, store.ErrTooLarge) || len(s.Keys("job/")) != 0 {
						t.Errorf("%q, %d types, awaits %d: refused, but %v and %v", text, types, needs, aerr, s.Keys("job/"))
					}
				default:
					t.Errorf("%v", err)
				}
			}
		}
	}
	if kept < 8 || refused < 8 { // of 48
		t.Errorf("%d kept, %d refused: the cases do not tell them apart", kept, refused)
	}
}

// Guards against polls that spend the whole budget: reads at this pace leave half of
// the requests to submissions and to the watch.
func TestMinReadIntervalLeavesHalfOfRequests(t *testing.T) {
	_, c := newTestStore()
	c.SetRateLimits(20, 5)
	if reads := time.Second / c.MinReadInterval(); reads != 10 {
		t.Errorf("%d reads a second out of 20 requests", reads)
	}
}
