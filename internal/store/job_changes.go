package store

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/wire"
)

// endedJobs holds the jobs whose end the cache learned of last. JobCache.mu guards it.
type endedJobs struct {
	maxJobs           int // maximum number of jobs in records
	records           map[string]JobRecord
	order             []string // job IDs in the order in which the cache learned of the ends
	startOffset       uint64   // position of order[0] among all ends that this incarnation has learned of
	maxEvictedVersion uint64   // highest version among the evicted ends
	completeAfter     uint64   // revision after which this incarnation has learned of all ends
}

// add stores the end of a job, and evicts the ends that were learned of first if there are too many.
func (e *endedJobs) add(id string, record JobRecord) {
	if _, ok := e.records[id]; !ok {
		e.order = append(e.order, id)
	}
	e.records[id] = record
	for len(e.order) > e.maxJobs {
		oldest := e.order[0]
		e.maxEvictedVersion = max(e.maxEvictedVersion, e.records[oldest].Version)
		delete(e.records, oldest)
		e.order, e.startOffset = e.order[1:], e.startOffset+1
	}
}

// applyChanges applies the changes that were read by a request sent at requestedAt. Changes that are applied
// already have no effect: versions only grow, and a job that has ended stays ended.
func (j *JobCache) applyChanges(page wire.Page, requestedAt time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if page.Revision > j.revision {
		j.applyEntries(page)
	}
	if requestedAt.After(j.asOf) {
		j.asOf = requestedAt
	}
}

// applyEntries applies the changes that are newer than the cache's revision, in the order of their versions.
func (j *JobCache) applyEntries(page wire.Page) {
	slices.SortStableFunc(page.Entries, func(a, b wire.Entry) int { return cmp.Compare(a.Version, b.Version) })
	var changes []JobChange
	for _, e := range page.Entries {
		if e.Version <= j.revision {
			continue
		}
		if change, ok := j.applyEntry(e); ok {
			changes = append(changes, change)
		}
	}
	j.revision = page.Revision
	j.notify(changes)
}

// applyEntry applies the change of one key. ok reports whether it means that a job was accepted or has ended.
func (j *JobCache) applyEntry(e wire.Entry) (change JobChange, ok bool) {
	switch {
	case strings.HasPrefix(e.Key, activePrefix):
		id := e.Key[len(activePrefix):]
		if e.Removed {
			delete(j.active, id)
			return JobChange{}, false
		}
		record, err := decodeActive(e, j.dependencyParts)
		if err != nil {
			j.logDecodeError(e.Key, err)
			return JobChange{}, false
		}
		j.active[id] = record
		j.addToGraph(id, record)
		return JobChange{id, record}, true
	case strings.HasPrefix(e.Key, dependencyPartPrefix):
		j.applyDependencyPart(e)
	case strings.HasPrefix(e.Key, endedPrefix) && !e.Removed:
		id := e.Key[len(endedPrefix):]
		record, err := decodeEnded(e)
		if err != nil {
			j.logDecodeError(e.Key, err)
			return JobChange{}, false
		}
		j.applyEnd(id, record)
		return JobChange{id, record}, true
	}
	return JobChange{}, false
}

// applyDependencyPart applies the change of a record that holds a part of a dependency list.
func (j *JobCache) applyDependencyPart(e wire.Entry) {
	if e.Removed {
		delete(j.dependencyParts, e.Key)
		return
	}
	ids, err := wire.DecodeDependencyPart(e.Value)
	if err != nil {
		j.logDecodeError(e.Key, err)
		return
	}
	j.dependencyParts[e.Key] = ids
}

// addToGraph adds an unfinished job to the dependency graph, and applies those ends of its dependencies that are in
// the cache.
func (j *JobCache) addToGraph(id string, record JobRecord) {
	if _, ended := j.ended.records[id]; ended {
		return
	}
	j.graph.Add(id, record.Spec.Dependencies, record.Timestamp)
	for _, dependency := range record.Spec.Dependencies {
		if e, ok := j.ended.records[dependency]; ok {
			j.graph.End(dependency, e.State.Outcome(), e.Timestamp)
		}
	}
}

// applyEnd applies the end of a job to the cache and the dependency graph. It may evict the end of another job,
// which was propagated to that job's dependents when it was applied.
func (j *JobCache) applyEnd(id string, record JobRecord) {
	delete(j.active, id)
	j.graph.End(id, record.State.Outcome(), record.Timestamp)
	j.ended.add(id, record)
}

// applyEndAndNotify applies an end that was not read with the changes, and calls notify at once. A leader that
// acknowledges a cancellation to a user cannot rely on reading the change later, because the state service may become
// unreachable before that.
func (j *JobCache) applyEndAndNotify(id string, record JobRecord) {
	_, wasActive := j.active[id]
	j.applyEnd(id, record)
	if wasActive {
		j.notify([]JobChange{{id, record}})
	}
}
