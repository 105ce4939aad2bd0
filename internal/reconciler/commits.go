package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// chunkKey names a chunk of a job's finished-task record.
type chunkKey struct {
	job   string
	chunk model.Chunk
}

// queueChunk queues a chunk of a finished-task record, unless it waits already: what it holds is taken from the job as
// it leaves. Guards against a queue that grows for as long as tasks end faster than the state service takes their
// records, with every state that a chunk ever had in it: each transaction then went through tens of thousands of
// saves, for up to a second, and workers' leases ran out behind it.
func (c *Core) queueChunk(job string, chunk model.Chunk) {
	key := chunkKey{job, chunk}
	if !c.queuedChunks[key] {
		c.queuedChunks[key] = true
		c.pendingChanges = append(c.pendingChanges, Change{Kind: PutTasks, Job: job, Chunk: chunk})
	}
}

// fillChunk has a save leave with what it is to hold by now. It is false where nothing is to be written any more: the
// record of a job's end stands for those of its tasks.
func (c *Core) fillChunk(s *Change) bool {
	if s.Kind != PutTasks || s.CommitAlone {
		return true
	}
	delete(c.queuedChunks, chunkKey{s.Job, s.Chunk})
	j := c.jobs[s.Job]
	if j == nil {
		return false
	}
	from := s.Chunk.Number / 8
	s.FinishedBits = append([]byte(nil), j.DoneBits[from:min(from+model.ChunkTasks/8, len(j.DoneBits))]...)
	return true
}

// requeue puts saves that may not have been carried out in front of the others. Of a chunk that waits again already
// nothing is put back: the later save holds as much and more.
func (c *Core) requeue(saves []Change) {
	back := make([]Change, 0, len(saves)+len(c.pendingChanges))
	for _, s := range saves {
		key := chunkKey{s.Job, s.Chunk}
		if s.Kind == PutTasks && !s.CommitAlone {
			if c.queuedChunks[key] {
				continue
			}
			c.queuedChunks[key] = true
		}
		back = append(back, s)
	}
	c.pendingChanges = append(back, c.pendingChanges...)
}

// queueDirtyChunks queues the changed chunks of finished-task records.
func (c *Core) queueDirtyChunks(now time.Time) {
	for id := range c.dirtyJobs {
		j := c.jobs[id]
		delete(c.dirtyJobs, id)
		if j == nil || j.State != model.JobActive {
			continue
		}
		for k := range j.DirtyChunks {
			c.queueChunk(id, k)
			delete(j.DirtyChunks, k)
			j.RecordedChunks[k] = true
		}
	}
	c.flushAt = now.Add(c.settings.FlushInterval)
}

// startCommit sends the next batch of records, one transaction at a time. Ends of jobs
// that are done and new machines go first, since somebody waits for them; then saves
// that go alone take turns with batches of the others.
func (c *Core) startCommit(now time.Time) {
	if c.commitInFlight || len(c.pendingChanges) == 0 || now.Before(c.commitAt) {
		return
	}
	if c.fenceNeeded {
		c.commitInFlight = true
		c.emit(Fence{})
		return
	}
	first, other := -1, -1
	for i := range c.pendingChanges {
		s := &c.pendingChanges[i]
		instead, waits := c.blockedBySettlement(now, s)
		if waits && instead < 0 {
			continue
		}
		if s.Kind == CompleteJob || s.Kind == PutMachine {
			if first = i; waits {
				first = instead
			}
			break
		}
		if other < 0 || c.lastCommitAlone && c.pendingChanges[other].needsOwnCommit() && !s.needsOwnCommit() {
			other = i
		}
	}
	if first < 0 {
		first = other
	}
	if first < 0 {
		return // all that there is waits for a reading
	}
	var batch []Change
	c.lastCommitAlone = c.pendingChanges[first].needsOwnCommit()
	if c.lastCommitAlone {
		if batch, c.pendingChanges = c.takeOwnCommit(now, first); len(batch) == 0 {
			return
		}
	} else if batch = c.takeBatch(); len(batch) == 0 {
		return
	}
	c.commitInFlight = true
	c.emit(Commit{batch})
}

// takeBatch takes as many of the saves that may go together as fit into a transaction, new machines first. Those that are
// left stay in their order and where they are.
func (c *Core) takeBatch() []Change {
	var batch []Change
	take := func(machines bool) {
		c.pendingChanges = slices.DeleteFunc(c.pendingChanges, func(s Change) bool {
			if s.needsOwnCommit() || (s.Kind == PutMachine) != machines || len(batch) >= c.settings.MaxTxnOps {
				return false
			}
			if c.fillChunk(&s) {
				batch = append(batch, s)
			}
			return true
		})
	}
	take(true)
	take(false)
	return batch
}

// commitCompleted takes what became of a transaction.
func (c *Core) commitCompleted(now time.Time, ev CommitCompleted) {
	c.commitInFlight = false
	switch ev.Outcome {
	case Unknown, NotSent:
		// Every save may be repeated: it writes whole values, under the condition
		// that this leader's token is still the last one.
		c.requeue(ev.Changes)
		c.commitAt = now.Add(commitRetryDelay)
		c.fenceNeeded = c.fenceNeeded || ev.Outcome == Unknown
		return
	case Rejected:
		c.commitRejected(now, ev.Changes)
		return
	}
	saves := ev.Changes
	if ev.Outcome == Refused {
		saves = c.deferRefusedEnds(saves)
	}
	for _, s := range saves {
		switch s.Kind {
		case SettleAccount, CompactAccount:
			c.settlementCompleted(now, s, ev)
		case PutMachine:
			if m := c.machines[s.Machine.Name]; m != nil && ev.Outcome == OK {
				m.Registered = true
				c.passNeeded = true
			}
		case PutTasks:
			if j := c.jobs[s.Job]; j != nil && ev.Outcome == OK {
				j.MarkDurable(s.Chunk.Number, s.FinishedBits)
			}
		case CompleteJob, CancelDependent:
			// Done: the watch tells of it too. Refused: somebody else has ended the
			// job, or an earlier copy of this very save has; the watch tells.
			if ev.Outcome == OK {
				end := model.OutcomeDone
				if s.Kind == CancelDependent {
					end = model.OutcomeCancelled
				}
				c.endJob(now, JobEnded{ID: s.Job, Outcome: end, EndedAt: s.At})
			}
		}
	}
}

// commitRejected takes saves that the state service will not carry out as they stand.
// Guards against an endless loop round one record that is too large: of several each
// is tried alone, and one that was alone is dropped, or tried again much later where
// a job hangs on it.
func (c *Core) commitRejected(now time.Time, saves []Change) {
	if len(saves) > 1 {
		for i := range saves {
			saves[i].CommitAlone = true
		}
		c.pendingChanges = append(c.pendingChanges, saves...)
		return
	}
	switch saves[0].Kind {
	case SettleAccount:
		c.retrySettlementLater(now, saves[0])
	case CompactAccount:
		c.settlementCompleted(now, saves[0], CommitCompleted{Outcome: Rejected})
	}
	if j := c.jobs[saves[0].Job]; j != nil && (saves[0].Kind == CompleteJob || saves[0].Kind == CancelDependent) {
		j.Transition(model.JobActive)
		j.RetryNotBefore = now.Add(c.settings.MaxBackoff)
	}
}
