package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// pendingCommits holds the record changes that wait to be written. One transaction is in flight at a time.
type pendingCommits struct {
	changes               []record.Change
	queuedChunks          map[chunkKey]bool // the chunks that have a PutTasks among the changes
	inFlight              bool              // a transaction or fence has been sent and not answered
	fenceNeeded           bool              // an unanswered transaction may still be executed
	lastHadOwnTransaction bool              // the last transaction was for a change that needs its own transaction
	notBefore             time.Time         // earliest time of the next transaction
}

// chunkKey identifies a chunk of a job's finished-task record.
type chunkKey struct {
	job   string
	chunk model.Chunk
}

// needsOwnTransaction reports whether a change is written in its own transaction, either because it has its own
// condition or because it was part of a rejected transaction. A failure then does not hold up other changes.
func needsOwnTransaction(change *record.Change) bool {
	switch change.Kind {
	case record.CompleteJob, record.CancelDependent, record.DeleteDependencies, record.SettleAccount,
		record.CompactAccount:
		return true
	}
	return change.CommitAlone
}

// endsJob reports whether a change records that a job has ended.
func endsJob(change *record.Change) bool {
	return change.Kind == record.CompleteJob || change.Kind == record.CancelDependent
}

// commitRetryDelay is the delay after a transaction or fence that was not executed or not answered.
const commitRetryDelay = 300 * time.Millisecond

func newPendingCommits() pendingCommits { return pendingCommits{queuedChunks: map[chunkKey]bool{}} }

func (p *pendingCommits) add(changes ...record.Change) { p.changes = append(p.changes, changes...) }

// queueChunk queues a chunk of a finished-task record unless it is already queued. Its content is read from the job
// when the transaction is sent. Otherwise the queue would hold every state of a chunk, and would keep growing while
// tasks finish faster than the state service writes.
func (p *pendingCommits) queueChunk(job string, chunk model.Chunk) {
	key := chunkKey{job, chunk}
	if !p.queuedChunks[key] {
		p.queuedChunks[key] = true
		p.add(record.Change{Kind: record.PutTasks, Job: job, Chunk: chunk})
	}
}

// requeue puts changes that may not have been executed at the front of the queue. A chunk that has been queued again
// in the meantime is skipped, since the later change includes its content.
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

// retryLater delays the next transaction by commitRetryDelay.
func (p *pendingCommits) retryLater(now time.Time) { p.notBefore = now.Add(commitRetryDelay) }

// ready reports whether a transaction may be sent now.
func (p *pendingCommits) ready(now time.Time) bool {
	return !p.inFlight && len(p.changes) > 0 && !now.Before(p.notBefore)
}

// next returns the index of the change that the next transaction is for, or -1 if all changes are blocked. Completed
// jobs and new machines come first, since users and tasks wait for them. After them, changes that need their own
// transaction alternate with batches of the others. blocked reports whether a change has to wait, and returns the
// index of the change to send in its place, or -1 if there is none.
func (p *pendingCommits) next(blocked func(*record.Change) (substitute int, waits bool)) int {
	candidate := -1
	for i := range p.changes {
		change := &p.changes[i]
		substitute, waits := blocked(change)
		if waits && substitute < 0 {
			continue
		}
		if change.Kind == record.CompleteJob || change.Kind == record.PutMachine {
			if waits {
				return substitute
			}
			return i
		}
		if candidate < 0 || p.lastHadOwnTransaction &&
			needsOwnTransaction(&p.changes[candidate]) && !needsOwnTransaction(change) {
			candidate = i
		}
	}
	return candidate
}

// takeBatch removes up to limit changes that can share a transaction from the queue and returns them, new machines
// first. fill completes a change that is about to be sent, and returns false if the change is no longer needed. The
// changes that remain keep their order.
func (p *pendingCommits) takeBatch(limit int, fill func(*record.Change) bool) []record.Change {
	var batch []record.Change
	take := func(machines bool) {
		p.changes = slices.DeleteFunc(p.changes, func(change record.Change) bool {
			if needsOwnTransaction(&change) || (change.Kind == record.PutMachine) != machines || len(batch) >= limit {
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

// startCommit sends the next transaction, or a fence if one is needed first.
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
	c.commits.lastHadOwnTransaction = needsOwnTransaction(&c.commits.changes[next])
	if c.commits.lastHadOwnTransaction {
		batch, c.commits.changes = c.takeOwnTransaction(now, next)
	} else {
		batch = c.commits.takeBatch(c.settings.MaxTxnOps, c.fillChunk)
	}
	if len(batch) == 0 {
		return
	}
	c.commits.inFlight = true
	c.emit(Commit{batch})
}

// fillChunk sets the current content of a chunk that is about to be sent. It returns false if the job has ended,
// since the record of the job's end covers its tasks.
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
	case OutcomeUnknown, OutcomeNotSent:
		// Each change can be repeated: it writes whole values, on the condition that no later fencing token has been
		// assigned.
		c.commits.requeue(changes)
		c.commits.retryLater(now)
		c.commits.fenceNeeded = c.commits.fenceNeeded || event.Outcome == OutcomeUnknown
		return
	case OutcomeRejected:
		c.commitRejected(now, changes)
		return
	case OutcomeRefused:
		changes = c.accounting.deferRefusedJobEnds(changes)
	}
	for _, change := range changes {
		c.changeCompleted(now, change, event)
	}
}

// changeCompleted handles one change of a transaction whose outcome is OutcomeOK or OutcomeRefused.
func (c *Core) changeCompleted(now time.Time, change record.Change, event CommitCompleted) {
	if change.Kind == record.SettleAccount || change.Kind == record.CompactAccount {
		c.accounting.changeCompleted(now, change, event)
		return
	}
	if event.Outcome != OutcomeOK {
		return // another leader or a user's cancellation has already ended the job, and the watch will report it
	}
	switch change.Kind {
	case record.PutMachine:
		if machine := c.machines[change.Machine.Name]; machine != nil {
			machine.RecordDurable = true
			c.passes.request()
		}
	case record.PutTasks:
		if job := c.jobs[change.Job]; job != nil {
			job.MarkDurable(change.Chunk.Number, change.FinishedBits)
		}
	case record.CompleteJob:
		c.endJob(now, JobEnded{ID: change.Job, Outcome: model.OutcomeDone, EndedAt: change.EndedAt})
	case record.CancelDependent:
		c.endJob(now, JobEnded{ID: change.Job, Outcome: model.OutcomeCancelled, EndedAt: change.EndedAt})
	}
}

// commitRejected handles changes that the state service will never write as they stand. If there are several, each is
// retried in its own transaction. A change that was on its own is dropped, or retried after Settings.MaxBackoff if it
// settles an account or ends a job. One record that is too large therefore does not block the others.
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
		c.accounting.changeCompleted(now, change, CommitCompleted{Outcome: OutcomeRejected})
	}
	if job := c.jobs[change.Job]; job != nil && endsJob(&change) {
		job.Transition(model.JobActive)
		job.RetryNotBefore = now.Add(c.settings.MaxBackoff)
	}
}

// fenceCompleted handles the outcome of a fence. An unanswered transaction may be executed late, after newer ones,
// and could mark finished tasks as unfinished or restore the records of released machines. A fence is therefore sent
// before the next transaction. It rewrites the record of the fencing token, and a transaction that was sent under the
// former version of that record then fails (docs/safety.md, "Delayed transactions").
func (c *Core) fenceCompleted(now time.Time, event FenceCompleted) {
	c.commits.inFlight = false
	if event.Outcome == OutcomeOK {
		c.commits.fenceNeeded = false
		return
	}
	c.commits.retryLater(now)
}
