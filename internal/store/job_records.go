package store

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// Key prefixes of the job records. When a job ends, one transaction deletes its active record and writes its ended
// record. An ended job never becomes active again.
const (
	jobPrefix            = "job/"
	activePrefix         = "job/a/"
	endedPrefix          = "job/e/"
	dependencyPartPrefix = "job/w/" // parts of dependency lists; written before the job's active record
)

// Limits are the limits of the state service within which records are kept. If a limit is known to change, the field
// holds the smaller of the present and the future value, because the change takes effect without notice.
type Limits struct {
	MaxValueBytes int // maximum size of a value
	MaxChanges    int // maximum number of changes in a transaction
}

// Sizes that bound the records of a job and the transactions that write them.
const (
	dependencyPartOverheadBytes = 100      // upper bound on the size of a dependency list part without its job IDs
	dependencyIDOverheadBytes   = 4        // upper bound on what the encoding of a job ID adds to its characters
	conditionsPerChange         = 4        // conditions that a transaction may have for each of MaxChanges
	maxTxnValueBytes            = 48 << 10 // maximum size of a transaction's values; the published limit is 64 KiB
)

// longestEncodedTime is a time whose encoding is at least as long as that of any submission time.
var longestEncodedTime = time.UnixMilli(0).Add(1 << 62)

// JobRecord is the stored state of a job as the cache holds it.
type JobRecord struct {
	State          wire.JobState // StateQueued for every unfinished job
	Spec           *model.Spec   // nil unless the job is unfinished
	Timestamp      time.Time     // when the job was submitted if it is unfinished, otherwise when it ended
	Version        uint64        // version of the record
	Tasks          int           // number of tasks
	DependencyKeys []string      // keys of the parts of the job's dependency list
}

// unfinishedJob converts the record of an unfinished job for the reconciler.
func (r JobRecord) unfinishedJob() record.Job {
	return record.Job{
		Spec:           r.Spec,
		SubmittedAt:    r.Timestamp,
		Version:        r.Version,
		DependencyKeys: r.DependencyKeys,
	}
}

// jobEnd converts the record of an ended job for the reconciler.
func (r JobRecord) jobEnd(id string) record.JobEnd {
	ended := record.JobEnd{ID: id, Outcome: r.State.Outcome()}
	if ended.Outcome != model.OutcomeUnknown {
		ended.EndedAt = r.Timestamp
	}
	return ended
}

func decodeEnded(e wire.Entry) (JobRecord, error) {
	state, tasks, endedAt, err := wire.DecodeEndedJob(e.Value)
	return JobRecord{State: state, Tasks: tasks, Version: e.Version, Timestamp: endedAt}, err
}

// decodeActive decodes the record of an unfinished job; parts holds the parts of dependency lists by key. It fails
// if a part of the job's list is missing, because the job must not start before the list is complete.
func decodeActive(e wire.Entry, parts map[string][]string) (JobRecord, error) {
	spec, submittedAt, list, err := wire.DecodeActiveJob(e.Value)
	if err != nil {
		return JobRecord{}, err
	}
	record := JobRecord{State: wire.StateQueued, Spec: spec, Timestamp: submittedAt, Version: e.Version}
	for n := range list.Count {
		key := dependencyPartKey(spec.ID, list.Hash, n)
		ids, ok := parts[key]
		if !ok {
			return JobRecord{}, fmt.Errorf("missing dependency list part %s", key)
		}
		spec.Dependencies = append(spec.Dependencies, ids...)
		record.DependencyKeys = append(record.DependencyKeys, key)
	}
	record.Tasks = spec.Tasks
	return record, nil
}

// dependencyPartKey returns the key of part n of a job's dependency list; hash is that of the list.
func dependencyPartKey(id, hash string, n int) string {
	return dependencyPartPrefix + id + "/" + hash + "/" + strconv.Itoa(n)
}

// encodeNewJob returns the records of a new job: the active record, with which the job is accepted, and the parts
// of its dependency list if the list does not fit into that record. The parts have to be written first. It returns
// ErrTooLarge if the records exceed the limits.
func encodeNewJob(
	spec *model.Spec, submittedAt time.Time, limits Limits,
) (parts []wire.Change, record wire.Change, err error) {
	record = wire.Change{
		Key:   activePrefix + spec.ID,
		Value: wire.AppendActiveJob(nil, spec, submittedAt, spec.Dependencies, wire.DependencyParts{}),
	}
	if wire.StoredSize(record.Value) <= limits.MaxValueBytes {
		return nil, record, nil
	}
	list := wire.DependencyParts{Hash: dependencyHash(spec.Dependencies)}
	for rest := spec.Dependencies; len(rest) > 0; {
		n := countFittingIDs(rest, limits.MaxValueBytes)
		if n == 0 {
			return nil, record, ErrTooLarge
		}
		parts = append(parts, wire.Change{
			Key:   dependencyPartKey(spec.ID, list.Hash, list.Count),
			Value: wire.AppendDependencyPart(nil, rest[:n]),
		})
		list.Count++
		rest = rest[n:]
	}
	record.Value = wire.AppendActiveJob(nil, spec, submittedAt, nil, list)
	conditions := len(parts) + 2 // each part is unchanged, and the job has neither an active nor an ended record
	if wire.StoredSize(record.Value) > limits.MaxValueBytes || conditions > conditionsPerChange*limits.MaxChanges {
		return nil, record, ErrTooLarge
	}
	return parts, record, nil
}

// dependencyHash returns the hash of a dependency list. It is in the keys of the list's parts, so that two submissions
// of a job with different lists do not overwrite each other's parts.
func dependencyHash(ids []string) string {
	hash := fnv.New64a()
	for _, id := range ids {
		_, _ = hash.Write([]byte(id)) // never fails
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// countFittingIDs returns how many of the IDs, from the first on, fit into one value.
func countFittingIDs(ids []string, maxValueBytes int) int {
	size := dependencyPartOverheadBytes
	for n, id := range ids {
		size += len(id) + dependencyIDOverheadBytes
		if size > maxValueBytes {
			return n
		}
	}
	return len(ids)
}
