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
	if !c.chunks[key] {
		c.chunks[key] = true
		c.saves = append(c.saves, Save{Kind: SaveTasks, Job: job, Chunk: chunk})
	}
}

// leaves has a save leave with what it is to hold by now. It is false where nothing is to be written any more: the
// record of a job's end stands for those of its tasks.
func (c *Core) leaves(s *Save) bool {
	if s.Kind != SaveTasks || s.Solo {
		return true
	}
	delete(c.chunks, chunkKey{s.Job, s.Chunk})
	j := c.jobs[s.Job]
	if j == nil {
		return false
	}
	from := s.Chunk.Number / 8
	s.Bits = append([]byte(nil), j.DoneBits[from:min(from+model.ChunkTasks/8, len(j.DoneBits))]...)
	return true
}

// requeue puts saves that may not have been carried out in front of the others. Of a chunk that waits again already
// nothing is put back: the later save holds as much and more.
func (c *Core) requeue(saves []Save) {
	back := make([]Save, 0, len(saves)+len(c.saves))
	for _, s := range saves {
		key := chunkKey{s.Job, s.Chunk}
		if s.Kind == SaveTasks && !s.Solo {
			if c.chunks[key] {
				continue
			}
			c.chunks[key] = true
		}
		back = append(back, s)
	}
	c.saves = append(back, c.saves...)
}

// flush queues the changed chunks of finished-task records.
func (c *Core) flush(now time.Time) {
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
	c.flushAt = now.Add(c.set.Flush)
}

// commit sends the next batch of records, one transaction at a time. Ends of jobs
// that are done and new machines go first, since somebody waits for them; then saves
// that go alone take turns with batches of the others.
func (c *Core) commit(now time.Time) {
	if c.saving || len(c.saves) == 0 || now.Before(c.saveAt) {
		return
	}
	if c.fence {
		c.saving = true
		c.emit(Fence{})
		return
	}
	first, other := -1, -1
	for i := range c.saves {
		s := &c.saves[i]
		instead, waits := c.heldUp(now, s)
		if waits && instead < 0 {
			continue
		}
		if s.Kind == EndJob || s.Kind == SaveMachine {
			if first = i; waits {
				first = instead
			}
			break
		}
		if other < 0 || c.lone && c.saves[other].alone() && !s.alone() {
			other = i
		}
	}
	if first < 0 {
		first = other
	}
	if first < 0 {
		return // all that there is waits for a reading
	}
	var batch []Save
	c.lone = c.saves[first].alone()
	if c.lone {
		if batch, c.saves = c.together(now, first); len(batch) == 0 {
			return
		}
	} else if batch = c.batch(); len(batch) == 0 {
		return
	}
	c.saving = true
	c.emit(Commit{batch})
}

// batch takes as many of the saves that may go together as fit into a transaction, new machines first. Those that are
// left stay in their order and where they are.
func (c *Core) batch() []Save {
	var batch []Save
	take := func(machines bool) {
		c.saves = slices.DeleteFunc(c.saves, func(s Save) bool {
			if s.alone() || (s.Kind == SaveMachine) != machines || len(batch) >= c.set.TxnOps {
				return false
			}
			if c.leaves(&s) {
				batch = append(batch, s)
			}
			return true
		})
	}
	take(true)
	take(false)
	return batch
}

// saveBack takes what became of a transaction.
func (c *Core) saveBack(now time.Time, ev SaveBack) {
	c.saving = false
	switch ev.Outcome {
	case Unknown, NotSent:
		// Every save may be repeated: it writes whole values, under the condition
		// that this leader's token is still the last one.
		c.requeue(ev.Saves)
		c.saveAt = now.Add(saveRetry)
		c.fence = c.fence || ev.Outcome == Unknown
		return
	case Rejected:
		c.rejected(now, ev.Saves)
		return
	}
	saves := ev.Saves
	if ev.Outcome == Refused {
		saves = c.refusedEnds(saves)
	}
	for _, s := range saves {
		switch s.Kind {
		case SaveUse, FoldUse:
			c.settled(now, s, ev)
		case SaveMachine:
			if m := c.machines[s.Machine.Name]; m != nil && ev.Outcome == OK {
				m.Registered = true
				c.dirty = true
			}
		case SaveTasks:
			if j := c.jobs[s.Job]; j != nil && ev.Outcome == OK {
				j.MarkDurable(s.Chunk.Number, s.Bits)
			}
		case EndJob, EndDoomed:
			// Done: the watch tells of it too. Refused: somebody else has ended the
			// job, or an earlier copy of this very save has; the watch tells.
			if ev.Outcome == OK {
				end := model.OutcomeDone
				if s.Kind == EndDoomed {
					end = model.OutcomeCancelled
				}
				c.endJob(now, JobEnded{ID: s.Job, End: end, At: s.At})
			}
		}
	}
}

// rejected takes saves that the state service will not carry out as they stand.
// Guards against an endless loop round one record that is too large: of several each
// is tried alone, and one that was alone is dropped, or tried again much later where
// a job hangs on it.
func (c *Core) rejected(now time.Time, saves []Save) {
	if len(saves) > 1 {
		for i := range saves {
			saves[i].Solo = true
		}
		c.saves = append(c.saves, saves...)
		return
	}
	switch saves[0].Kind {
	case SaveUse:
		c.unsettled(now, saves[0])
	case FoldUse:
		c.settled(now, saves[0], SaveBack{Outcome: Rejected})
	}
	if j := c.jobs[saves[0].Job]; j != nil && (saves[0].Kind == EndJob || saves[0].Kind == EndDoomed) {
		j.Transition(model.JobActive)
		j.RetryNotBefore = now.Add(c.set.BackoffMost)
	}
}
