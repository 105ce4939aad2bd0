package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// recorder is a transport that records every request. It returns the canned answer for the request's path, or
// status 404 if there is none.
type recorder struct {
	t        *testing.T
	answers  map[string][]byte // by prefix of "METHOD path"
	requests strings.Builder
}

func (r *recorder) Call(method, uri string, body []byte, _ time.Duration) ([]byte, error) {
	fmt.Fprintf(&r.requests, "%s %s", method, uri)
	if len(body) > 0 {
		fmt.Fprintf(&r.requests, " %s %x", golden.JSON(r.t, body), body)
	}
	r.requests.WriteByte('\n')
	for prefix, answer := range r.answers {
		if strings.HasPrefix(method+" "+uri, prefix) {
			return answer, nil
		}
	}
	return nil, &rpc.StatusError{Status: 404}
}

func newRecorder(t *testing.T) (*recorder, *store.Client) {
	t.Helper()
	numberAnswer := func(key string) []byte {
		return msgp.AppendUint64(msgp.AppendString(msgp.AppendMapHeader(nil, 1), key), 77)
	}
	r := &recorder{t: t, answers: map[string][]byte{
		"POST /commit":   numberAnswer("epoch"),
		"POST /grants":   numberAnswer("tenancy"),
		"DELETE /grants": msgp.AppendMapHeader(nil, 0),
		"GET /keys?":     numberAnswer("epoch"),
		"GET /changes":   numberAnswer("epoch"),
	}}
	c := store.NewWithTransports(r, r, time.Second)
	c.SetRateLimits(1e9, 1e9)
	return r, c
}

// Guards all that is sent to the state service, since controllers of other versions read the same records: the path
// of each request, the keys and conditions of its transaction, and the encoding of its records.
func TestStateServiceRequestsKeepTheirBytes(t *testing.T) {
	at := time.UnixMilli(1_790_000_000_123)
	usage := ledger.UsageFromNumbers([]uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
	classUsage := []ledger.ClassUsage{{Class: "train", Usage: usage}}
	openSegment := ledger.OpenSegment{Team: "vision/a b", Number: 4, Settlements: 9, FencingToken: 41,
		Start: at, SettledAt: at, Usage: classUsage, PrevLink: "00ff", DecayedUsage: 5}
	segment := ledger.Segment{Team: "vision/a b", First: 3, Last: 3, Unit: ledger.Hour,
		Start: at, Usage: classUsage, PrevLink: "00ff", Hash: "22dd"}
	nextSegment := segment
	nextSegment.First, nextSegment.Last = 4, 4
	compacted := segment
	compacted.Last, compacted.Unit, compacted.LastMergedLink = 4, ledger.Day, "11ee"
	interval := ledger.UnaccountedInterval{Start: at, End: at.Add(time.Minute), FencingToken: 41, UnsettledLeaders: 2}
	const id = "wk-000412"
	bits := []byte{0xff, 0x5a}
	numbered, taskRange := model.Chunk{Number: 6}, model.Chunk{StartsAtTask: true, Number: 2048}
	machine := model.MachineInfo{Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true}
	newSpec := func(dependencies int) *model.Spec {
		spec := &model.Spec{ID: "wk-000412", Class: "train", Team: "vision", Shape: model.Gang,
			Priority: model.PriorityHigh, Tasks: 16, Demand: model.Resources{CPU: 8, GPU: 1, MemGB: 64}}
		for i := range dependencies {
			spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%06d", i))
		}
		return spec
	}
	batch := store.RelayBatch{
		Member:     "tiller-1",
		RelayBatch: wire.RelayBatch{Incarnation: 7, Seq: 12, Payload: "AQNhYmM"},
	}
	newJobCache := func(c *store.Client) *store.JobCache {
		return newEmptyCache(c, 7, 100, lowestLimits)
	}
	ctx := context.Background()
	commit := func(changes ...record.Change) func(c *store.Client) error {
		return func(c *store.Client) error {
			_, _, err := c.CommitFenced(ctx, 12, changes)
			return err
		}
	}
	for _, c := range []struct {
		name string
		call func(c *store.Client) error
	}{
		{"machine", commit(
			record.Change{Kind: record.PutMachine, Machine: machine},
			record.Change{Kind: record.DeleteMachine, Machine: machine})},
		{"finished-tasks", commit(
			record.Change{Kind: record.PutTasks, Job: id, Chunk: numbered, FinishedBits: bits},
			record.Change{Kind: record.PutTasks, Job: id, Chunk: taskRange, FinishedBits: bits},
			record.Change{Kind: record.DeleteTasks, Job: id, Chunk: numbered},
			record.Change{Kind: record.DeleteTasks, Job: id, Chunk: taskRange})},
		{"layout", commit(record.Change{Kind: record.PutChunkLayout, Tasks: 16384})},
		{"gpu-request", commit(record.Change{
			Kind: record.PutGPUDemand, GPUDemand: model.Resources{CPU: 8, GPU: 0.5, MemGB: 1e8}})},
		{"job-done", commit(record.Change{
			Kind: record.CompleteJob, Job: id, Version: 3, Tasks: 16, EndedAt: at})},
		{"job-doomed", commit(record.Change{
			Kind: record.CancelDependent, Job: id, Version: 3, Tasks: 16, EndedAt: at})},
		{"awaits-dropped", commit(record.Change{
			Kind: record.DeleteDependencies, Job: id, DependencyKey: "job/w/wk-000412/ff/0"})},
		{"ledger-settled", commit(record.Change{Kind: record.SettleAccount,
			Settlement: &ledger.Settlement{Version: 5, Open: openSegment, Closed: &segment}})},
		{"ledger-unaccounted", commit(record.Change{Kind: record.PutUnaccounted, Unaccounted: &interval})},
		{"ledger-folded", commit(record.Change{Kind: record.CompactAccount,
			Compaction: &record.Compaction{
				Sources: []ledger.StoredSegment{{Segment: segment, Version: 5}, {Segment: nextSegment, Version: 6}},
				Result:  &compacted,
			}})},
		{"ledger-read", func(c *store.Client) error {
			_, err := c.Accounts(ctx)
			_, accountErr := c.Account(ctx, strings.Repeat("long ", 60))
			_, _, segmentsErr := c.Segments(ctx, "vision/a b", 7, 50)
			_, _, intervalsErr := c.Intervals(ctx, 41, 50)
			return errors.Join(err, accountErr, segmentsErr, intervalsErr)
		}},
		{"leader-claimed", func(c *store.Client) error {
			_, _, err := c.ClaimLeadership(ctx, "tiller-1", election.Claim{
				FencingToken: 41, TokenVersion: 12, LevelVersion: 3, LeaseID: 9, NewLevel: 1})
			return err
		}},
		{"leader-claimed-first", func(c *store.Client) error {
			_, _, err := c.ClaimLeadership(ctx, "tiller-1", election.Claim{FencingToken: 1, LeaseID: 9})
			return err
		}},
		{"leader-fenced", func(c *store.Client) error {
			_, _, err := c.RewriteToken(ctx, "tiller-1", 41, 12)
			return err
		}},
		{"leader-read", func(c *store.Client) error {
			_, _, err := c.ReadLeaderRecord(ctx)
			_, _, _, watchErr := c.WatchLeader(ctx, 5)
			_, tokenErr := c.TokenUnchanged(ctx, 12)
			return errors.Join(err, watchErr, tokenErr)
		}},
		{"member-announced", func(c *store.Client) error {
			err := c.PublishMember(ctx, 9, featuregate.Member{
				Name: "tiller-1", Release: "1.2.3", Supported: 1, Incarnation: 7})
			_, listErr := c.ListMembers(ctx)
			return errors.Join(err, listErr)
		}},
		{"lease", func(c *store.Client) error {
			id, err := c.GrantLease(4 * time.Second)
			return errors.Join(err, c.RenewLease(id), c.RevokeLease(id))
		}},
		{"relay", func(c *store.Client) error {
			err := c.PutHeartbeats(ctx, batch)
			_, responsesErr := c.PutHeartbeatResponses(ctx, 12, batch)
			_, leaderRevisionErr := c.RelayRevision(ctx, "")
			_, memberRevisionErr := c.RelayRevision(ctx, "tiller-1")
			_, _, leaderWatchErr := c.WatchRelay(ctx, "", 5, time.Second)
			_, _, memberWatchErr := c.WatchRelay(ctx, "tiller-1", 5, time.Second)
			return errors.Join(err, responsesErr, leaderRevisionErr, memberRevisionErr, leaderWatchErr, memberWatchErr,
				c.DeleteRelayRecords(ctx, "tiller-1", 12))
		}},
		{"takeover-read", func(c *store.Client) error {
			_, err := c.ReadSnapshot(ctx, true)
			return err
		}},
		{"job-accepted", func(c *store.Client) error {
			_, _, err := newJobCache(c).Accept(ctx, newSpec(2), false, at)
			return err
		}},
		{"job-accepted-parts", func(c *store.Client) error {
			_, _, err := newJobCache(c).Accept(ctx, newSpec(400), false, at)
			return err
		}},
		{"job-accepted-doomed", func(c *store.Client) error {
			_, _, err := newJobCache(c).Accept(ctx, newSpec(2), true, at)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, client := newRecorder(t)
			if err := c.call(client); err != nil {
				t.Error(err)
			}
			golden.Check(t, c.name+".txt", []byte(r.requests.String()))
		})
	}
	t.Run("job-cancelled", func(t *testing.T) {
		r, client := newRecorder(t)
		entry := msgp.AppendString(msgp.AppendString(msgp.AppendMapHeader(nil, 3), "k"), "job/a/wk-000412")
		record := wire.AppendActiveJob(nil, newSpec(0), at, nil, wire.DependencyParts{})
		entry = append(msgp.AppendString(entry, "value"), record...)
		r.answers["GET /keys/job/a/wk-000412"] = msgp.AppendUint64(msgp.AppendString(entry, "stamp"), 3)
		if _, err := newJobCache(client).Cancel(ctx, "wk-000412", at); err != nil {
			t.Error(err)
		}
		golden.Check(t, "job-cancelled.txt", []byte(r.requests.String()))
	})
}
