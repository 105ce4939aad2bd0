package store

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/control"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys that only the leader writes.
const (
	leaderPrefix  = "leader/"
	holderKey     = "leader/holder" // attached to the leader's lease
	tokenKey      = "leader/token"  // lasts; every transaction of a leader depends on its version
	tasksPrefix   = "tasks/"
	machinePrefix = "machine/"
	needPrefix    = "need/"
)

func record(entries []wire.Entry) (election.Record, error) {
	var r election.Record
	for _, e := range entries {
		if e.Removed {
			continue
		}
		token, member, err := wire.DecodeToken(e.Value)
		if err != nil {
			return r, fmt.Errorf("%s: %w", e.Key, err)
		}
		switch e.Key {
		case holderKey:
			r.Held, r.Leader, r.Lease = true, member, e.Lease
		case tokenKey:
			r.Token, r.TokenVersion = token, e.Version
		}
	}
	return r, nil
}

// Look reads who leads and the last token given out, in one read.
func (c *Client) Look(ctx context.Context) (election.Record, uint64, error) {
	entries, rev, err := c.List(ctx, leaderPrefix)
	if err != nil {
		return election.Record{}, 0, err
	}
	r, err := record(entries)
	return r, rev, err
}

// WatchLeader waits for a change of the leader's keys after a revision. vacant
// tells that nobody leads now; leader is the new one's name, if there is one.
func (c *Client) WatchLeader(ctx context.Context, after uint64) (rev uint64, vacant bool, leader string, err error) {
	p, err := c.Changes(ctx, leaderPrefix, after, watchTime)
	if err != nil {
		return 0, false, "", err
	}
	var version uint64
	for _, e := range p.Entries {
		if e.Key != holderKey || e.Version < version {
			continue
		}
		version, vacant, leader = e.Version, e.Removed, ""
		if !e.Removed {
			if _, leader, err = wire.DecodeToken(e.Value); err != nil {
				return 0, false, "", err
			}
		}
	}
	return p.Revision, vacant, leader, nil
}

// Claim takes the leader's key and the next token in one transaction.
func (c *Client) Claim(ctx context.Context, member string, cl election.Claim) (version uint64, ok bool, err error) {
	v := wire.AppendToken(nil, cl.Token, member)
	return c.Commit(ctx, &wire.Txn{
		If:   []wire.Cond{{Key: holderKey}, {Key: tokenKey, Version: cl.TokenVersion}},
		Then: []wire.Change{{Key: holderKey, Value: v, Lease: cl.Lease}, {Key: tokenKey, Value: v}},
	}, true)
}

// Records reads what a new leader needs besides the jobs.
func (c *Client) Records(ctx context.Context) (*control.Snapshot, error) {
	snap := &control.Snapshot{Done: map[string]map[int][]byte{}}
	done := snap.Done
	entries, _, err := c.List(ctx, tasksPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		id, n, _ := strings.Cut(e.Key[len(tasksPrefix):], "/")
		chunk, err := strconv.Atoi(n)
		bits, derr := wire.DecodeTasksDone(e.Value)
		if err != nil || derr != nil || chunk < 0 || chunk > 1<<20 {
			return nil, fmt.Errorf("unreadable record %s", e.Key)
		}
		if done[id] == nil {
			done[id] = map[int][]byte{}
		}
		done[id][chunk] = bits
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
		need, err := wire.DecodeNeed(e.Value)
		if err != nil {
			return nil, fmt.Errorf("unreadable record %s: %w", e.Key, err)
		}
		snap.Needs = append(snap.Needs, need)
	}
	return snap, nil
}

// Save carries out a leader's saves in one transaction under the condition that
// its token is still the last one. Without an error and with ok false a
// condition has failed.
func (c *Client) Save(ctx context.Context, tokenVersion uint64, saves []control.Save) (ok bool, err error) {
	t := &wire.Txn{If: []wire.Cond{{Key: tokenKey, Version: tokenVersion}}}
	for _, s := range saves {
		switch s.Kind {
		case control.SaveMachine:
			t.Then = append(t.Then, wire.Change{Key: machinePrefix + s.Machine.Machine, Value: wire.AppendMachine(nil, s.Machine)})
		case control.DropMachine:
			t.Then = append(t.Then, wire.Change{Key: machinePrefix + s.Machine.Machine})
		case control.SaveTasks:
			t.Then = append(t.Then, wire.Change{Key: tasksKey(s), Value: wire.AppendTasksDone(nil, s.Bits)})
		case control.DropTasks:
			t.Then = append(t.Then, wire.Change{Key: tasksKey(s)})
		case control.SaveNeed:
			key := fmt.Sprintf("%s%g-%g-%g", needPrefix, s.Need.CPU, s.Need.GPU, s.Need.MemGB)
			t.Then = append(t.Then, wire.Change{Key: key, Value: wire.AppendNeed(nil, s.Need)})
		case control.EndJob:
			t.If = append(t.If, wire.Cond{Key: activePrefix + s.Job, Version: s.Version}, wire.Cond{Key: endedPrefix + s.Job})
			t.Then = append(t.Then, wire.Change{Key: activePrefix + s.Job},
				wire.Change{Key: endedPrefix + s.Job, Value: wire.AppendEnded(nil, wire.StateDone, s.Tasks)})
		}
	}
	_, ok, err = c.Commit(ctx, t, false)
	return ok, err
}

func tasksKey(s control.Save) string { return tasksPrefix + s.Job + "/" + strconv.Itoa(s.Chunk) }

// StillLast tells whether a token's record is unchanged.
func (c *Client) StillLast(ctx context.Context, tokenVersion uint64) (bool, error) {
	e, ok, err := c.Get(ctx, tokenKey)
	return ok && e.Version == tokenVersion, err
}

// Wait pauses, unless the context ends.
func Wait(ctx context.Context, d time.Duration) { sleep(ctx, d) }
