package store

import (
	"context"
	"fmt"
	"strconv"

	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// CommitFenced carries out a leader's changes in one transaction, on condition that its fencing token
// is still the last one. ok is false if a condition failed. revision is the version of all records
// that were written. For errors see Commit.
func (c *Client) CommitFenced(
	ctx context.Context, tokenVersion uint64, changes []record.Change,
) (revision uint64, ok bool, err error) {
	txn := &wire.Txn{Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}}}
	for i := range changes {
		addChange(txn, &changes[i])
	}
	return c.Commit(ctx, txn, false)
}

// addChange adds a leader's change, with its own conditions, to a transaction.
func addChange(txn *wire.Txn, ch *record.Change) {
	key := changeKey(ch)
	switch ch.Kind {
	case record.PutMachine:
		put(txn, key, wire.AppendMachine(nil, ch.Machine))
	case record.PutTasks:
		put(txn, key, wire.AppendTasksDone(nil, ch.FinishedBits))
	case record.PutChunkLayout:
		put(txn, key, wire.AppendChunkLayout(nil, ch.Tasks))
	case record.PutGPUDemand:
		put(txn, key, wire.AppendGPUDemand(nil, ch.GPUDemand))
	case record.DeleteMachine, record.DeleteTasks:
		remove(txn, key)
	case record.CompleteJob:
		addJobEnd(txn, ch, key, wire.StateDone)
	case record.CancelDependent:
		addJobEnd(txn, ch, key, wire.StateCancelled)
	case record.DeleteDependencies:
		// Never those of an unfinished job: it may have been accepted since.
		require(txn, activePrefix+ch.Job, 0)
		remove(txn, key)
	default:
		addLedgerChange(txn, ch, key)
	}
}

// addJobEnd moves a job from the active to the ended records.
func addJobEnd(txn *wire.Txn, ch *record.Change, endedKey string, state wire.JobState) {
	require(txn, activePrefix+ch.Job, ch.Version)
	require(txn, endedKey, 0)
	remove(txn, activePrefix+ch.Job)
	put(txn, endedKey, wire.AppendEndedJob(nil, state, ch.Tasks, ch.At))
}

// require adds the condition that a key has a version; 0: that it does not exist.
func require(txn *wire.Txn, key string, version uint64) {
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: version})
}

func put(txn *wire.Txn, key string, value []byte) {
	txn.Changes = append(txn.Changes, wire.Change{Key: key, Value: value})
}

func remove(txn *wire.Txn, key string) {
	txn.Changes = append(txn.Changes, wire.Change{Key: key})
}

// changeKey returns the key of the record that a change is about.
func changeKey(ch *record.Change) string {
	switch ch.Kind {
	case record.PutMachine, record.DeleteMachine:
		return machinePrefix + ch.Machine.Name
	case record.PutTasks, record.DeleteTasks:
		prefix := numberedTasksPrefix
		if ch.Chunk.StartsAtTask {
			prefix = taskSpanPrefix
		}
		return prefix + ch.Job + "/" + strconv.Itoa(ch.Chunk.Number)
	case record.PutChunkLayout:
		return layoutKey
	case record.PutGPUDemand:
		d := &ch.GPUDemand
		return fmt.Sprintf("%s%g-%g-%g", gpuDemandPrefix, d.CPU, d.GPU, d.MemGB)
	case record.CompleteJob, record.CancelDependent:
		return endedPrefix + ch.Job
	case record.DeleteDependencies:
		return ch.Key
	case record.SettleAccount:
		return accountPrefix + teamKey(ch.Settlement.Open.Team)
	case record.PutUnaccounted:
		return intervalPrefix + sortableNumber(ch.Unaccounted.FencingToken)
	case record.CompactAccount:
		return segmentKey(ch.Compaction.Result.Team, ch.Compaction.Result.First)
	}
	return ""
}

// ChangeKeys returns the keys of the records that changes are about, for the log.
func ChangeKeys(changes []record.Change) []string {
	var keys []string
	for i := range changes {
		keys = append(keys, changeKey(&changes[i]))
	}
	return keys
}
