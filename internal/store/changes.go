package store

import (
	"context"
	"fmt"
	"strconv"

	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// CommitFenced commits a leader's changes in one transaction, on condition that its fencing token has not been
// superseded: tokenVersion must be the version of the token's record. ok is false if this or another condition
// failed. revision is the version of all records that were written. For errors see Commit.
func (c *Client) CommitFenced(
	ctx context.Context, tokenVersion uint64, changes []record.Change,
) (revision uint64, ok bool, err error) {
	txn := &wire.Txn{Conditions: []wire.Condition{{Key: tokenKey, Version: tokenVersion}}}
	for i := range changes {
		addChange(txn, &changes[i])
	}
	return c.Commit(ctx, txn, false)
}

// addChange adds a leader's change to a transaction, with the conditions that this kind of change needs.
func addChange(txn *wire.Txn, ch *record.Change) {
	key := changeKey(ch)
	switch ch.Kind {
	case record.PutMachine:
		addPut(txn, key, wire.AppendMachine(nil, ch.Machine))
	case record.PutTasks:
		addPut(txn, key, wire.AppendFinishedTasks(nil, ch.FinishedBits))
	case record.PutChunkLayout:
		addPut(txn, key, wire.AppendChunkLayout(nil, ch.Tasks))
	case record.PutGPUDemand:
		addPut(txn, key, wire.AppendGPUDemand(nil, ch.GPUDemand))
	case record.DeleteMachine, record.DeleteTasks:
		addDelete(txn, key)
	case record.CompleteJob:
		addJobEnd(txn, ch, key, wire.StateDone)
	case record.CancelDependent:
		addJobEnd(txn, ch, key, wire.StateCancelled)
	case record.DeleteDependencies:
		// The job may have been accepted since, and the list of an unfinished job must not be deleted.
		requireVersion(txn, activePrefix+ch.Job, 0)
		addDelete(txn, key)
	default:
		addLedgerChange(txn, ch, key)
	}
}

// addJobEnd moves a job from the records of active jobs to those of ended jobs.
func addJobEnd(txn *wire.Txn, ch *record.Change, endedKey string, state wire.JobState) {
	requireVersion(txn, activePrefix+ch.Job, ch.Version)
	requireVersion(txn, endedKey, 0)
	addDelete(txn, activePrefix+ch.Job)
	addPut(txn, endedKey, wire.AppendEndedJob(nil, state, ch.Tasks, ch.EndedAt))
}

// requireVersion adds the condition that a key has a version, or that it does not exist if the version is 0.
func requireVersion(txn *wire.Txn, key string, version uint64) {
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: version})
}

func addPut(txn *wire.Txn, key string, value []byte) {
	txn.Changes = append(txn.Changes, wire.Change{Key: key, Value: value})
}

func addDelete(txn *wire.Txn, key string) {
	txn.Changes = append(txn.Changes, wire.Change{Key: key})
}

// changeKey returns the key of the record that a change writes or deletes.
func changeKey(ch *record.Change) string {
	switch ch.Kind {
	case record.PutMachine, record.DeleteMachine:
		return machinePrefix + ch.Machine.Name
	case record.PutTasks, record.DeleteTasks:
		prefix := numberedTasksPrefix
		if ch.Chunk.StartsAtTask {
			prefix = taskRangePrefix
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
		return ch.DependencyKey
	case record.SettleAccount:
		return accountPrefix + teamKeyPart(ch.Settlement.Open.Team)
	case record.PutUnaccounted:
		return intervalPrefix + sortableNumber(ch.Unaccounted.FencingToken)
	case record.CompactAccount:
		return segmentKey(ch.Compaction.Result.Team, ch.Compaction.Result.First)
	}
	return ""
}

// ChangeKeys returns, for log messages, the key of the record that each change writes or deletes.
func ChangeKeys(changes []record.Change) []string {
	var keys []string
	for i := range changes {
		keys = append(keys, changeKey(&changes[i]))
	}
	return keys
}
