package store

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/wire"
)

// endedJobs remembers the jobs whose end was learned of last. JobCache.mu guards it.
type endedJobs struct {
	max            int // how many jobs are kept
	records        map[string]JobRecord
	order          []string // ids in the order in which the ends were learned of
	offset         uint64   // number of the first of them, counted from 0 in each incarnation
	evictedVersion uint64   // the highest version of those that were evicted
	learnedSince   uint64   // all ends after this revision were learned of in this incarnation
}

// add remembers the end of a job, and evicts the oldest one if there are too many.
func (e *endedJobs) add(id string, record JobRecord) {
	if _, ok := e.records[id]; !ok {
		e.order = append(e.order, id)
	}
	e.records[id] = record
	for len(e.order) > e.max {
		oldest := e.order[0]
		e.evictedVersion = max(e.evictedVersion, e.records[oldest].Version)
		delete(e.records, oldest)
		e.order, e.offset = e.order[1:], e.offset+1
	}
}

// applyChanges applies changes that were requested at a given time. Changes that are known already do
// no harm: versions only grow, and a job that has ended stays ended.
func (j *JobCache) applyChanges(page wire.Page, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if page.Revision > j.revision {
		j.applyEntries(page)
	}
	if sent.After(j.asOf) {
		j.asOf = sent
	}
}

// applyEntries applies the changes that are newer than the cache.
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

// applyEntry applies one change. ok reports whether a job was accepted or has ended by it.
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
			j.logUnreadable(e.Key, err)
			return JobChange{}, false
		}
		j.active[id] = record
		j.addToGraph(id, record)
		return JobChange{id, record}, true
	case strings.HasPrefix(e.Key, dependencyPrefix):
		j.applyDependencyPart(e)
	case strings.HasPrefix(e.Key, endedPrefix) && !e.Removed:
		id := e.Key[len(endedPrefix):]
		record, err := decodeEnded(e)
		if err != nil {
			j.logUnreadable(e.Key, err)
			return JobChange{}, false
		}
		j.recordEnd(id, record)
		return JobChange{id, record}, true
	}
	return JobChange{}, false
}

// applyDependencyPart applies a change of a part of a dependency list.
func (j *JobCache) applyDependencyPart(e wire.Entry) {
	if e.Removed {
		delete(j.dependencyParts, e.Key)
		return
	}
	ids, err := wire.DecodeDependencies(e.Value)
	if err != nil {
		j.logUnreadable(e.Key, err)
		return
	}
	j.dependencyParts[e.Key] = ids
}

// addToGraph adds an unfinished job to the dependency graph.
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

// recordEnd takes over the final state of a job. Another job's end may be evicted for it: the jobs
// that depend on that one have learned of its end by then.
func (j *JobCache) recordEnd(id string, record JobRecord) {
	delete(j.active, id)
	j.graph.End(id, record.State.Outcome(), record.Timestamp)
	j.ended.add(id, record)
}

// recordEndAndNotify is recordEnd for an end that did not come with the changes. It notifies at once:
// while the state service is unreachable, a leader may learn of a cancellation only from its own
// answer to the user.
func (j *JobCache) recordEndAndNotify(id string, record JobRecord) {
	_, wasActive := j.active[id]
	j.recordEnd(id, record)
	if wasActive {
		j.notify([]JobChange{{id, record}})
	}
}
