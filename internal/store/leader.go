package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys that only the leader writes.
const (
	leaderPrefix        = "leader/"
	leaderKey           = "leader/holder" // attached to the leader's lease
	tokenKey            = "leader/token"  // lasts; every transaction of a leader depends on its version
	levelKey            = "leader/level"  // lasts; programs before levels can't read it, and so never claim
	rolloutPrefix       = "rollout/"      // what members tell of themselves, each attached to a lease of its own
	numberedTasksPrefix = "tasks/"        // finished tasks by the number of a chunk: the layout of the first version
	taskSpanPrefix      = "part/"         // finished tasks from a task on
	layoutPrefix        = "layout/"
	layoutKey           = "layout/numbered" // how many tasks a numbered chunk has
	machinePrefix       = "machine/"
	needPrefix          = "need/"
)

func decodeLeaderRecord(entries []wire.Entry) (election.Record, error) {
	var r election.Record
	for _, e := range entries {
		if e.Removed {
			continue
		}
		if e.Key == levelKey {
			l, err := wire.DecodeFeatureLevel(e.Value)
			if err != nil {
				return r, fmt.Errorf("%s: %w", e.Key, err)
			}
			r.Level, r.LevelVersion = featuregate.Level(l), e.Version
			continue
		}
		token, member, err := wire.DecodeLeaderRecord(e.Value)
		if err != nil {
			return r, fmt.Errorf("%s: %w", e.Key, err)
		}
		switch e.Key {
		case leaderKey:
			r.Held, r.Leader, r.LeaseID = true, member, e.Lease
		case tokenKey:
			r.FencingToken, r.TokenVersion = token, e.Version
		}
	}
	return r, nil
}

// ReadLeaderRecord reads who leads and the last token given out, in one read.
func (c *Client) ReadLeaderRecord(ctx context.Context) (election.Record, uint64, error) {
	entries, rev, err := c.List(ctx, leaderPrefix)
	if err != nil {
		return election.Record{}, 0, err
	}
	r, err := decodeLeaderRecord(entries)
	return r, rev, err
}

// WatchLeader waits for a change of the leader's keys after a revision. vacant
// tells that nobody leads now; leader is the new one's name, if there is one.
func (c *Client) WatchLeader(ctx context.Context, after uint64) (rev uint64, vacant bool, leader string, err error) {
	p, err := c.Changes(ctx, leaderPrefix, after, watchTimeout)
	if err != nil {
		return 0, false, "", err
	}
	var version uint64
	for _, e := range p.Entries {
		if e.Key != leaderKey || e.Version < version {
			continue
		}
		version, vacant, leader = e.Version, e.Removed, ""
		if !e.Removed {
			if _, leader, err = wire.DecodeLeaderRecord(e.Value); err != nil {
				return 0, false, "", err
			}
		}
	}
	return p.Revision, vacant, leader, nil
}

// ClaimLeadership takes the leader's key and the next token in one transaction, under the condition that
// the level in force is still the one that was read; a higher one is written with it.
func (c *Client) ClaimLeadership(ctx context.Context, member string, cl election.Claim) (version uint64, ok bool, err error) {
	v := wire.AppendLeaderRecord(nil, cl.FencingToken, member)
	t := &wire.Txn{
		Conditions: []wire.Condition{{Key: leaderKey}, {Key: tokenKey, Version: cl.TokenVersion}, {Key: levelKey, Version: cl.LevelVersion}},
		Changes:    []wire.Change{{Key: leaderKey, Value: v, Lease: cl.LeaseID}, {Key: tokenKey, Value: v}},
	}
	if cl.NewLevel > 0 {
		t.Changes = append(t.Changes, wire.Change{Key: levelKey, Value: wire.AppendFeatureLevel(nil, uint32(cl.NewLevel), member)})
	}
	return c.Commit(ctx, t, true)
}

// PublishMember writes what this member tells of itself, attached to a lease.
func (c *Client) PublishMember(ctx context.Context, lease uint64, m featuregate.Member) error {
	_, _, err := c.Commit(ctx, &wire.Txn{Changes: []wire.Change{{Key: rolloutPrefix + m.Name, Value: wire.AppendMember(nil, m), Lease: lease}}}, false)
	return err
}

// ListMembers reads what the members tell of themselves; one that is gone, or that has a program
// without levels, is not among them.
func (c *Client) ListMembers(ctx context.Context) (map[string]featuregate.Member, error) {
	entries, _, err := c.List(ctx, rolloutPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]featuregate.Member{}
	for _, e := range entries {
		m, err := wire.DecodeMember(e.Key[len(rolloutPrefix):], e.Value)
		if err != nil {
			return nil, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		out[m.Name] = m
	}
	return out, nil
}

// ReadSnapshot reads what a new leader needs besides the jobs; with the teams' accounts,
// which are as many as the teams however old the ledger is.
func (c *Client) ReadSnapshot(ctx context.Context, accounts bool) (snap *reconciler.Snapshot, err error) {
	snap = &reconciler.Snapshot{FinishedTasks: map[string]map[model.Chunk][]byte{}}
	if accounts {
		if snap.Accounts, err = c.Accounts(ctx); err != nil {
			return nil, err
		}
	}
	done := snap.FinishedTasks
	for _, prefix := range []string{numberedTasksPrefix, taskSpanPrefix} {
		entries, _, err := c.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			id, n, _ := strings.Cut(e.Key[len(prefix):], "/")
			chunk, err := strconv.Atoi(n)
			bits, derr := wire.DecodeTasksDone(e.Value)
			if err != nil || derr != nil || chunk < 0 || chunk > 1<<20 {
				return nil, fmt.Errorf("unreadable record %s", e.Key)
			}
			if done[id] == nil {
				done[id] = map[model.Chunk][]byte{}
			}
			done[id][model.Chunk{StartsAtTask: prefix == taskSpanPrefix, Number: chunk}] = bits
		}
	}
	entries, _, err := c.List(ctx, layoutPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Key == layoutKey {
			if snap.NumberedChunkTasks, err = wire.DecodeChunkLayout(e.Value); err != nil {
				return nil, fmt.Errorf("unreadable record %s: %w", e.Key, err)
			}
		}
	}
	if entries, _, err = c.List(ctx, machinePrefix); err != nil {
		return nil, err
	}
	for _, e := range entries {
		m, err := wire.DecodeMachine(e.Key[len(machinePrefix):], e.Value)
		if err != nil {
			return nil, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		snap.Machines = append(snap.Machines, m)
	}
	if entries, _, err = c.List(ctx, needPrefix); err != nil {
		return nil, err
	}
	for _, e := range entries {
		need, err := wire.DecodeGPUDemand(e.Value)
		if err != nil {
			return nil, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		snap.GPUDemands = append(snap.GPUDemands, need)
	}
	return snap, nil
}

// CommitFenced carries out a leader's saves in one transaction under the condition that
// its token is still the last one. Without an error and with ok false a
// condition has failed. rev is the version of all that it has written.
func (c *Client) CommitFenced(ctx context.Context, tokenVersion uint64, saves []reconciler.Change) (rev uint64, ok bool, err error) {
	t := &wire.Txn{Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}}}
	for _, s := range saves {
		key := changeKey(s)
		switch s.Kind {
		case reconciler.PutMachine:
			t.Changes = append(t.Changes, wire.Change{Key: key, Value: wire.AppendMachine(nil, s.Machine)})
		case reconciler.DeleteMachine:
			t.Changes = append(t.Changes, wire.Change{Key: key})
		case reconciler.PutTasks:
			t.Changes = append(t.Changes, wire.Change{Key: key, Value: wire.AppendTasksDone(nil, s.FinishedBits)})
		case reconciler.DeleteTasks:
			t.Changes = append(t.Changes, wire.Change{Key: key})
		case reconciler.PutChunkLayout:
			t.Changes = append(t.Changes, wire.Change{Key: key, Value: wire.AppendChunkLayout(nil, s.Tasks)})
		case reconciler.PutGPUDemand:
			t.Changes = append(t.Changes, wire.Change{Key: key, Value: wire.AppendGPUDemand(nil, s.GPUDemand)})
		case reconciler.CompleteJob, reconciler.CancelDependent:
			end := wire.StateDone
			if s.Kind == reconciler.CancelDependent {
				end = wire.StateCancelled
			}
			t.Conditions = append(t.Conditions, wire.Condition{Key: activePrefix + s.Job, Version: s.Version}, wire.Condition{Key: key})
			t.Changes = append(t.Changes, wire.Change{Key: activePrefix + s.Job},
				wire.Change{Key: key, Value: wire.AppendEndedJob(nil, end, s.Tasks, s.At)})
		case reconciler.DeleteDependencies:
			// Never of an unfinished job: it may have been accepted since.
			t.Conditions = append(t.Conditions, wire.Condition{Key: activePrefix + s.Job})
			t.Changes = append(t.Changes, wire.Change{Key: key})
		default:
			addLedgerChange(t, s)
		}
	}
	return c.Commit(ctx, t, false)
}

// changeKey names the record that a save is about.
func changeKey(s reconciler.Change) string {
	switch s.Kind {
	case reconciler.PutMachine, reconciler.DeleteMachine:
		return machinePrefix + s.Machine.Name
	case reconciler.PutTasks, reconciler.DeleteTasks:
		prefix := numberedTasksPrefix
		if s.Chunk.StartsAtTask {
			prefix = taskSpanPrefix
		}
		return prefix + s.Job + "/" + strconv.Itoa(s.Chunk.Number)
	case reconciler.PutChunkLayout:
		return layoutKey
	case reconciler.PutGPUDemand:
		return fmt.Sprintf("%s%g-%g-%g", needPrefix, s.GPUDemand.CPU, s.GPUDemand.GPU, s.GPUDemand.MemGB)
	case reconciler.CompleteJob, reconciler.CancelDependent:
		return endedPrefix + s.Job
	case reconciler.DeleteDependencies:
		return s.Key
	case reconciler.SettleAccount:
		return accountPrefix + teamKey(s.Settlement.Open.Team)
	case reconciler.PutUnaccounted:
		return intervalPrefix + sortableNumber(s.Unaccounted.FencingToken)
	case reconciler.CompactAccount:
		return segmentKey(s.Compaction.Result.Team, s.Compaction.Result.First)
	}
	return ""
}

// ChangeKeys names the records that saves are about, for the log.
func ChangeKeys(saves []reconciler.Change) []string {
	var out []string
	for _, s := range saves {
		out = append(out, changeKey(s))
	}
	return out
}

// RewriteToken writes the record of a leader's token anew, under the version that it has: what was sent under
// that version, and is carried out later, fails. It gives the version to go on with. Where the
// outcome is open the record tells: only this leader writes it without another token.
func (c *Client) RewriteToken(ctx context.Context, member string, token, tokenVersion uint64) (version uint64, ok bool, err error) {
	v, ok, err := c.Commit(ctx, &wire.Txn{Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}},
		Changes: []wire.Change{{Key: tokenKey, Value: wire.AppendLeaderRecord(nil, token, member)}}}, false)
	if err == nil && ok || errors.Is(err, ErrNotExecuted) {
		return v, ok, err
	}
	e, found, gerr := c.Get(ctx, tokenKey)
	if gerr != nil {
		return 0, false, gerr
	}
	if !found {
		return 0, false, nil // the record is lost: whoever finds none begins anew
	}
	last, _, gerr := wire.DecodeLeaderRecord(e.Value)
	switch {
	case gerr != nil:
		return 0, false, gerr
	case last != token:
		return 0, false, nil // another leader has taken over
	case e.Version == tokenVersion:
		return 0, false, errors.Join(err, errors.New("not carried out yet"))
	}
	return e.Version, true, nil
}

// TokenUnchanged tells whether a token's record is unchanged.
func (c *Client) TokenUnchanged(ctx context.Context, tokenVersion uint64) (bool, error) {
	e, ok, err := c.Get(ctx, tokenKey)
	return ok && e.Version == tokenVersion, err
}

// Sleep pauses, unless the context ends.
func Sleep(ctx context.Context, d time.Duration) { sleepContext(ctx, d) }
