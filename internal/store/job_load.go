package store

import (
	"context"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// recentRevisions is the number of revisions before the first load from which the cache reads the ends of jobs.
// They cover some seconds of changes.
const recentRevisions = 2000

// loadedRecords holds the records that load has read.
type loadedRecords struct {
	requestedAt     time.Time    // when the first request was sent
	revision        uint64       // revision of the active records
	active          []wire.Entry // records of unfinished jobs
	dependencyParts []wire.Entry // parts of dependency lists
	recentChanges   []wire.Entry // changes after the revision recentAfter
	recentAfter     uint64
}

// load reads the records of all unfinished jobs. The records of ended jobs are read when they are needed.
func (j *JobCache) load(ctx context.Context) error {
	requestedAt := j.client.now()
	active, revision, err := j.client.List(ctx, activePrefix)
	if err != nil {
		return err
	}
	// The parts of a job's dependency list are written before the job's record and deleted after it. If a part is
	// missing here, its job has ended since the list of active records was read, and the changes will show that.
	dependencyParts, _, err := j.client.List(ctx, dependencyPartPrefix)
	if err != nil {
		return err
	}
	loaded := loadedRecords{
		requestedAt:     requestedAt,
		revision:        revision,
		active:          active,
		dependencyParts: dependencyParts,
		recentAfter:     revision,
	}
	if j.AsOf().IsZero() {
		// An earlier incarnation may have acknowledged ends of jobs to users. The latest ends are read again, so that the
		// cancellation reports are complete even for a leader that has read the records up to a slightly lower revision.
		after := revision - min(revision, recentRevisions)
		if page, err := j.client.Changes(ctx, jobPrefix, after, 0); err == nil {
			loaded.recentChanges, loaded.recentAfter = page.Entries, after
		}
	}
	j.applyLoaded(loaded)
	return nil
}

// applyLoaded replaces the unfinished jobs in the cache by those that were read, and calls notify with the differences.
func (j *JobCache) applyLoaded(loaded loadedRecords) {
	j.mu.Lock()
	defer j.mu.Unlock()
	completeAfter := loaded.recentAfter
	if !j.applyRecentEnds(loaded.recentChanges) {
		completeAfter = loaded.revision
	}
	j.dependencyParts = map[string][]string{}
	for _, e := range loaded.dependencyParts {
		j.applyDependencyPart(e)
	}
	active, changes := j.decodeActiveJobs(loaded.active)
	if j.asOf.IsZero() {
		j.ended.completeAfter = completeAfter
	}
	j.active, j.revision, j.loaded, j.asOf = active, loaded.revision, true, loaded.requestedAt
	j.graph = model.NewDependencyGraph()
	for id, record := range active {
		j.addToGraph(id, record)
	}
	j.notify(changes)
}

// applyRecentEnds applies the ends of jobs among recent changes, and reports whether all of them could be decoded.
func (j *JobCache) applyRecentEnds(recent []wire.Entry) bool {
	allDecoded := true
	for _, e := range recent {
		id, ok := strings.CutPrefix(e.Key, endedPrefix)
		if !ok || e.Removed {
			continue
		}
		record, err := decodeEnded(e)
		if err != nil {
			j.logDecodeError(e.Key, err)
			allDecoded = false
			continue
		}
		j.applyEnd(id, record)
	}
	return allDecoded
}

// decodeActiveJobs returns the unfinished jobs by ID, and the changes compared with the cache. For a job that has
// ended since, the change does not say how.
func (j *JobCache) decodeActiveJobs(entries []wire.Entry) (active map[string]JobRecord, changes []JobChange) {
	active = make(map[string]JobRecord, len(entries))
	for _, e := range entries {
		id := e.Key[len(activePrefix):]
		record, known := j.active[id]
		if !known {
			var err error
			if record, err = decodeActive(e, j.dependencyParts); err != nil {
				j.logDecodeError(e.Key, err)
				continue
			}
			changes = append(changes, JobChange{id, record})
		}
		active[id] = record
	}
	for id := range j.active {
		if _, ok := active[id]; !ok {
			changes = append(changes, JobChange{id, JobRecord{State: wire.StateUnknown}})
		}
	}
	return active, changes
}

// AddToSnapshot adds the unfinished jobs in the cache to the snapshot that a new leader reads, and a change that
// deletes each part of a dependency list whose job is not active.
func (j *JobCache) AddToSnapshot(snap *record.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	snap.Revision = j.revision
	for id, job := range j.active {
		if _, ended := j.ended.records[id]; !ended {
			snap.Jobs = append(snap.Jobs, job.unfinishedJob())
		}
	}
	for key := range j.dependencyParts {
		id, _, _ := strings.Cut(key[len(dependencyPartPrefix):], "/")
		if _, ok := j.active[id]; !ok {
			orphan := record.Change{Kind: record.DeleteDependencies, Job: id, DependencyKey: key}
			snap.OrphanedDependencies = append(snap.OrphanedDependencies, orphan)
		}
	}
}
