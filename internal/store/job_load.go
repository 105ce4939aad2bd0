package store

import (
	"context"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// recentRevisions is how many revisions before its first load a controller learns the ends of: some
// seconds' worth.
const recentRevisions = 2000

// loadedRecords is what load has read.
type loadedRecords struct {
	sent       time.Time    // when the first read was sent
	revision   uint64       // of the active records
	active     []wire.Entry // records of unfinished jobs
	parts      []wire.Entry // parts of dependency lists
	recent     []wire.Entry // changes since recentFrom
	recentFrom uint64
}

// load reads the records of all unfinished jobs. Those of ended ones are read on demand.
func (j *JobCache) load(ctx context.Context) error {
	sent := j.client.now()
	active, revision, err := j.client.List(ctx, activePrefix)
	if err != nil {
		return err
	}
	// The parts are written before a job's record and deleted after it. So a job whose parts are
	// missing here has ended since, which the changes will show.
	parts, _, err := j.client.List(ctx, dependencyPrefix)
	if err != nil {
		return err
	}
	loaded := loadedRecords{sent: sent, revision: revision, active: active, parts: parts, recentFrom: revision}
	if j.AsOf().IsZero() {
		// An earlier incarnation may have acknowledged ends of jobs to users. The latest ones are
		// learned again, so that reports of cancellations are complete for a leader that has read
		// a little less far.
		from := revision - min(revision, recentRevisions)
		if page, err := j.client.Changes(ctx, jobPrefix, from, 0); err == nil {
			loaded.recent, loaded.recentFrom = page.Entries, from
		}
	}
	j.applyLoaded(loaded)
	return nil
}

// applyLoaded replaces the cache's content.
func (j *JobCache) applyLoaded(loaded loadedRecords) {
	j.mu.Lock()
	defer j.mu.Unlock()
	learnedSince := loaded.recentFrom
	if !j.applyRecentEnds(loaded.recent) {
		learnedSince = loaded.revision
	}
	j.dependencyParts = map[string][]string{}
	for _, e := range loaded.parts {
		j.applyDependencyPart(e)
	}
	active, changes := j.applyActive(loaded.active)
	if j.asOf.IsZero() {
		j.ended.learnedSince = learnedSince
	}
	j.active, j.revision, j.loaded, j.asOf = active, loaded.revision, true, loaded.sent
	j.graph = model.NewDependencyGraph()
	for id, record := range active {
		j.addToGraph(id, record)
	}
	j.notify(changes)
}

// applyRecentEnds learns the ends among the recent changes. It reports whether all were readable.
func (j *JobCache) applyRecentEnds(recent []wire.Entry) bool {
	allReadable := true
	for _, e := range recent {
		id, ok := strings.CutPrefix(e.Key, endedPrefix)
		if !ok || e.Removed {
			continue
		}
		record, err := decodeEnded(e)
		if err != nil {
			j.logUnreadable(e.Key, err)
			allReadable = false
			continue
		}
		j.recordEnd(id, record)
	}
	return allReadable
}

// applyActive returns the unfinished jobs, and what has changed against those in the cache.
func (j *JobCache) applyActive(entries []wire.Entry) (active map[string]JobRecord, changes []JobChange) {
	active = make(map[string]JobRecord, len(entries))
	for _, e := range entries {
		id := e.Key[len(activePrefix):]
		record, known := j.active[id]
		if !known {
			var err error
			if record, err = decodeActive(e, j.dependencyParts); err != nil {
				j.logUnreadable(e.Key, err)
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

// AddToSnapshot adds all unfinished jobs, as of now, to what a new leader reads.
func (j *JobCache) AddToSnapshot(snap *record.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	snap.Revision = j.revision
	for id, job := range j.active {
		if _, ended := j.ended.records[id]; !ended {
			snap.Jobs = append(snap.Jobs, job.unfinished())
		}
	}
	for key := range j.dependencyParts {
		id, _, _ := strings.Cut(key[len(dependencyPrefix):], "/")
		if _, ok := j.active[id]; !ok {
			orphan := record.Change{Kind: record.DeleteDependencies, Job: id, Key: key}
			snap.OrphanedDependencies = append(snap.OrphanedDependencies, orphan)
		}
	}
}
