package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// pendingCommits are the changes of records that wait for their transaction. One transaction is in flight at a time.
type pendingCommits struct {
	changes      []record.Change
	queuedChunks map[chunkKey]bool // the PutTasks among the changes
	inFlight     bool              // a transaction or a fence is not answered yet
	fenceNeeded  bool              // a transaction that was not answered may yet be carried out
	lastAlone    bool              // the last transaction was for a change that needs its own
	notBefore    time.Time         // of the next transaction
}

// chunkKey names a chunk of a job's finished-task record.
type chunkKey struct {
	job   string
	chunk model.Chunk
}

// needsOwnCommit reports whether a change has a condition of its own. Its failure must not keep other changes back, so
// it goes in a transaction of its own.
func needsOwnCommit(change *record.Change) bool {
	switch change.Kind {
	case record.CompleteJob, record.CancelDependent, record.DeleteDependencies, record.SettleAccount,
		record.CompactAccount:
		return true
	}
	return change.CommitAlone
}

// endsJob reports whether a change records the end of a job.
func endsJob(change *record.Change) bool {
	return change.Kind == record.CompleteJob || change.Kind == record.CancelDependent
}

// commitRetryDelay is the pause after a transaction that was not carried out, or not answered.
const commitRetryDelay = 300 * time.Millisecond

func newPendingCommits() pendingCommits { return pendingCommits{queuedChunks: map[chunkKey]bool{}} }

func (p *pendingCommits) add(changes ...record.Change) { p.changes = append(p.changes, changes...) }

// queueChunk queues a chunk of a finished-task record unless it waits already: its content is taken from the job when
// its transaction leaves. Otherwise the queue would grow with every state that a chunk ever had, for as long as tasks
// finish faster than the state service writes.
func (p *pendingCommits) queueChunk(job string, chunk model.Chunk) {
	key := chunkKey{job, chunk}
	if !p.queuedChunks[key] {
		p.queuedChunks[key] = true
		p.add(record.Change{Kind: record.PutTasks, Job: job, Chunk: chunk})
	}
}

// requeue puts changes that may not have been carried out in front of the others. A chunk that waits again already is
// not put back: the later change holds as much and more.
func (p *pendingCommits) requeue(changes []record.Change) {
	front := make([]record.Change, 0, len(changes)+len(p.changes))
	for _, change := range changes {
		if change.Kind == record.PutTasks && !change.CommitAlone {
			key := chunkKey{change.Job, change.Chunk}
			if p.queuedChunks[key] {
				continue
			}
			p.queuedChunks[key] = true
		}
		front = append(front, change)
	}
	p.changes = append(front, p.changes...)
}

// retryLater puts the next transaction off.
func (p *pendingCommits) retryLater(now time.Time) { p.notBefore = now.Add(commitRetryDelay) }

// ready reports whether a transaction may leave now.
func (p *pendingCommits) ready(now time.Time) bool {
	return !p.inFlight && len(p.changes) > 0 && !now.Before(p.notBefore)
}

// next is the index of the change that the next transaction is for; -1: all wait. Completed jobs and new machines go
// first, since users and tasks wait for them; then changes that need their own transaction take turns with batches of
// the others. blocked says of a change whether it has to wait, and the index of the change that goes instead (-1:
// none).
func (p *pendingCommits) next(blocked func(*record.Change) (instead int, waits bool)) int {
	other := -1
	for i := range p.changes {
		change := &p.changes[i]
		instead, waits := blocked(change)
		if waits && instead < 0 {
			continue
		}
		if change.Kind == record.CompleteJob || change.Kind == record.PutMachine {
			if waits {
				return instead
			}
			return i
		}
		if other < 0 || p.lastAlone && needsOwnCommit(&p.changes[other]) && !needsOwnCommit(change) {
			other = i
		}
	}
	return other
}

// takeBatch takes up to limit of the changes that may share a transaction, new machines first. fill completes a
// change as it leaves, and reports false where nothing is to be written any more. The rest stay in their order.
func (p *pendingCommits) takeBatch(limit int, fill func(*record.Change) bool) []record.Change {
	var batch []record.Change
	take := func(machines bool) {
		p.changes = slices.DeleteFunc(p.changes, func(change record.Change) bool {
			if needsOwnCommit(&change) || (change.Kind == record.PutMachine) != machines || len(batch) >= limit {
				return false
			}
			if fill(&change) {
				batch = append(batch, change)
			}
			return true
		})
	}
	take(true)
	take(false)
	return batch
}

// startCommit sends the next transaction, or a fence where one is needed first.
func (c *Core) startCommit(now time.Time) {
	if !c.commits.ready(now) {
		return
	}
	if c.commits.fenceNeeded {
		c.commits.inFlight = true
		c.emit(Fence{})
		return
	}
	next := c.commits.next(func(change *record.Change) (int, bool) { return c.blockedBySettlement(now, change) })
	if next < 0 {
		return
	}
	var batch []record.Change
	c.commits.lastAlone = needsOwnCommit(&c.commits.changes[next])
	if c.commits.lastAlone {
		batch, c.commits.changes = c.takeOwnCommit(now, next)
	} else {
		batch = c.commits.takeBatch(c.settings.MaxTxnOps, c.fillChunk)
	}
	if len(batch) == 0 {
		return
	}
	c.commits.inFlight = true
	c.emit(Commit{batch})
}

// fillChunk gives a chunk that leaves its present content. It reports false where the job has ended: the record of
// the end covers its tasks.
func (c *Core) fillChunk(change *record.Change) bool {
	if change.Kind != record.PutTasks || change.CommitAlone {
		return true
	}
	delete(c.commits.queuedChunks, chunkKey{change.Job, change.Chunk})
	job := c.jobs[change.Job]
	if job == nil {
		return false
	}
	first := change.Chunk.Number / 8
	end := min(first+model.ChunkTasks/8, len(job.DoneBits))
	change.FinishedBits = append([]byte(nil), job.DoneBits[first:end]...)
	return true
}

// commitCompleted handles the outcome of a transaction.
func (c *Core) commitCompleted(now time.Time, event CommitCompleted) {
	c.commits.inFlight = false
	changes := event.Changes
	switch event.Outcome {
	case Unknown, NotSent:
		// Each change may be repeated: it writes whole values, under the condition that this leader's token is still
		// the last one.
		c.commits.requeue(changes)
		c.commits.retryLater(now)
		c.commits.fenceNeeded = c.commits.fenceNeeded || event.Outcome == Unknown
		return
	case Rejected:
		c.commitRejected(now, changes)
		return
	case Refused:
		changes = c.accounting.deferRefusedEnds(changes)
	}
	for _, change := range changes {
		c.changeCompleted(now, change, event)
	}
}

// changeCompleted handles the outcome of a transaction, OK or Refused, for one of its changes.
func (c *Core) changeCompleted(now time.Time, change record.Change, event CommitCompleted) {
	if change.Kind == record.SettleAccount || change.Kind == record.CompactAccount {
		c.accounting.changeCompleted(now, change, event)
		return
	}
	if event.Outcome != OK {
		return // a job's end: another leader or the user has recorded it, and the watch will report it
	}
	switch change.Kind {
	case record.PutMachine:
		if machine := c.machines[change.Machine.Name]; machine != nil {
			machine.Registered = true
			c.passes.request()
		}
	case record.PutTasks:
		if job := c.jobs[change.Job]; job != nil {
			job.MarkDurable(change.Chunk.Number, change.FinishedBits)
		}
	case record.CompleteJob:
		c.endJob(now, JobEnded{ID: change.Job, Outcome: model.OutcomeDone, EndedAt: change.At})
	case record.CancelDependent:
		c.endJob(now, JobEnded{ID: change.Job, Outcome: model.OutcomeCancelled, EndedAt: change.At})
	}
}

// commitRejected handles changes that the state service will not carry out as they are. Of several, each is tried
// alone; one that was alone is dropped, or tried again much later where the end of a job depends on it. So one record
// that is too large does not block all others.
func (c *Core) commitRejected(now time.Time, changes []record.Change) {
	if len(changes) > 1 {
		for i := range changes {
			changes[i].CommitAlone = true
		}
		c.commits.add(changes...)
		return
	}
	change := changes[0]
	switch change.Kind {
	case record.SettleAccount:
		c.accounting.retrySettlementLater(change, now.Add(c.settings.MaxBackoff))
	case record.CompactAccount:
		c.accounting.changeCompleted(now, change, CommitCompleted{Outcome: Rejected})
	}
	if job := c.jobs[change.Job]; job != nil && endsJob(&change) {
		job.Transition(model.JobActive)
		job.RetryNotBefore = now.Add(c.settings.MaxBackoff)
	}
}

// fenceCompleted handles the outcome of a fence. A transaction that was not answered may be carried out late, after
// newer ones; it could make finished tasks unfinished again, or bring back machines that are gone. So a fence goes
// before the next transaction: it writes the token's record anew, and what was sent under the former version of that
// record fails from then on (docs/safety.md, "Delayed transactions").
func (c *Core) fenceCompleted(now time.Time, event FenceCompleted) {
	c.commits.inFlight = false
	if event.Outcome == OK {
		c.commits.fenceNeeded = false
		return
	}
	c.commits.retryLater(now)
}
