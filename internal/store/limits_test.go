package store_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// A record that exceeds the limits of the state service could never be written. So each record of a leader, with
// the longest values that it can have, must fit the lowest limits, alone and together with as many others as go
// into one transaction.
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
	taskRange := model.Chunk{StartsAtTask: true, Number: 98304}
	machine := model.MachineInfo{Name: "n-" + long[:40], Addr: "100.100.100.100:10000", Type: long, Zone: long}
	demand := model.Resources{CPU: 1e8, GPU: 1e8, MemGB: 1e8}
	for name, changes := range map[string][]record.Change{
		"finished tasks": {
			{Kind: record.PutTasks, Job: id, Chunk: taskRange, FinishedBits: bits},
			{Kind: record.PutTasks, Job: id, FinishedBits: bits},
			{Kind: record.DeleteTasks, Job: id, Chunk: model.Chunk{Number: 6}},
			{Kind: record.DeleteTasks, Job: id, Chunk: taskRange},
		},
		"machines": {
			{Kind: record.PutMachine, Machine: machine},
			{Kind: record.DeleteMachine, Machine: machine},
		},
		"chunk layout and GPU demand": {
			{Kind: record.PutChunkLayout, Tasks: 16384},
			{Kind: record.PutGPUDemand, GPUDemand: demand},
		},
		"a part of a dependency list": {
			{Kind: record.DeleteDependencies, Job: "wk-000001", DependencyKey: "job/w/wk-000001/ffffffffffffffff/13"},
		},
		"the end of a job": {
			{Kind: record.CompleteJob, Job: id, Version: 3, Tasks: 100_000, EndedAt: time.Unix(4e9, 0)},
		},
	} {
		if _, ok, err := c.CommitFenced(context.Background(), token, changes); err != nil || !ok {
			t.Errorf("%s: got ok=%v, error %v; want true and none", name, ok, err)
		}
		if keys := store.ChangeKeys(changes); len(keys) != len(changes) || slices.Contains(keys, "") {
			t.Errorf("%s: got keys %q, want one for each of %d changes", name, keys, len(changes))
		}
	}
}

// With a high limit for a single value, the parts of a long dependency list could exceed the limit for the values
// of a transaction.
func TestLongDependencyListFitsTransaction(t *testing.T) {
	s, c := newTestStore()
	s.MaxValueBytes, s.MaxOps = ordinaryLimits.MaxValueBytes, ordinaryLimits.MaxChanges
	jobs := newEmptyCache(c, 1, 10, ordinaryLimits)
	spec := newTestSpec("wk-000001")
	for i := range 7000 { // as many short IDs as a submission can hold
		spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%06d", i))
	}
	created, _, err := jobs.Accept(context.Background(), spec, false, time.Unix(4e9, 0))
	if err != nil || !created {
		t.Errorf("got created=%v, error %v; want true and none", created, err)
	}
}

// largeSpec returns a job with long values in all fields. Its names are repetitions of text.
func largeSpec(text string, types, dependencies int) *model.Spec {
	spec := &model.Spec{
		ID:               "wk-" + strings.Repeat("1", 37),
		Class:            strings.Repeat(text, 100/len(text)),
		Team:             strings.Repeat(text, 100/len(text)),
		Image:            strings.Repeat(text, 200/len(text)),
		Zone:             "zone",
		Shape:            model.Array,
		Priority:         model.PriorityNormal,
		Tasks:            100_000,
		Demand:           model.Resources{CPU: 0.1, GPU: 1e8, MemGB: 12345.678},
		ImageGB:          0.3,
		EstimatedRunTime: 1e8 * time.Second,
		Deadline:         time.Second,
	}
	for i := range types {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("machine-type-of-some-length-%d", i))
	}
	for i := range dependencies {
		spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%037d", i))
	}
	return spec
}

// A submission must either be stored within the limits or be rejected as too large before anything is written, also
// with characters that take several bytes or are escaped in JSON.
func TestSubmissionIsStoredOrRejectedAsTooLarge(t *testing.T) {
	stored, rejected := 0, 0
	for _, text := range []string{"x", "ü", "\x01", "世"} {
		for _, types := range []int{0, 20, 64} {
			for _, dependencies := range []int{0, 30, 300, 1400} {
				name := fmt.Sprintf("%q, %d types, %d dependencies", text, types, dependencies)
				if checkStoredOrTooLarge(t, name, text, types, dependencies) {
					stored++
				} else {
					rejected++
				}
			}
		}
	}
	if stored < 8 || rejected < 8 {
		t.Errorf("got %d stored and %d rejected of 48, want at least 8 of each", stored, rejected)
	}
}

// checkStoredOrTooLarge submits a job and reports whether it was stored.
func checkStoredOrTooLarge(t *testing.T, name, text string, types, dependencies int) bool {
	t.Helper()
	s, c := newTestStore()
	jobs := newEmptyCache(c, 1, 10, lowestLimits)
	if err := jobs.LoadAndApplyChanges(context.Background()); err != nil {
		t.Fatalf("%s: LoadAndApplyChanges: got error %v, want none", name, err)
	}
	spec := largeSpec(text, types, dependencies)
	sizeErr := jobs.CheckSize(spec)
	created, _, err := jobs.Accept(context.Background(), spec, false, time.Unix(4e9, 0))
	switch {
	case sizeErr == nil:
		if err != nil || !created {
			t.Errorf("%s: fits, but got created=%v, error %v; want true and none", name, created, err)
		}
		if err := jobs.LoadAndApplyChanges(context.Background()); err != nil {
			t.Fatalf("%s: LoadAndApplyChanges: got error %v, want none", name, err)
		}
		if record := jobs.Peek(spec.ID); record.Spec == nil || len(record.Spec.Dependencies) != dependencies {
			t.Errorf("%s: read back as %+v, want a spec with %d dependencies", name, record, dependencies)
		}
		return true
	case errors.Is(sizeErr, store.ErrTooLarge):
		if !errors.Is(err, store.ErrTooLarge) || len(s.Keys("job/")) != 0 {
			t.Errorf("%s: does not fit, but got error %v, keys %v; want ErrTooLarge and none", name, err, s.Keys("job/"))
		}
	default:
		t.Errorf("%s: CheckSize: got error %v, want none or ErrTooLarge", name, sizeErr)
	}
	return false
}

// Users' polls must not use up the rate limit. Reads at the minimum interval have to leave half of the requests to
// submissions and to the watch.
func TestMinReadIntervalLeavesHalfOfRequests(t *testing.T) {
	_, c := newTestStore()
	c.SetRateLimits(20, 5)
	if reads := time.Second / c.MinReadInterval(); reads != 10 {
		t.Errorf("got %d reads a second out of 20 requests, want 10", reads)
	}
}
