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

// The keys of the job records. A job moves from the active to the ended records in one transaction,
// and never back.
const (
	jobPrefix        = "job/"
	activePrefix     = "job/a/"
	endedPrefix      = "job/e/"
	dependencyPrefix = "job/w/" // parts of dependency lists, written before the job's record
)

// Limits are limits of the state service: the smaller of what it accepts now and of what it will
// accept, since that changes without notice.
type Limits struct {
	MaxValueBytes int // of a value
	MaxChanges    int // of a transaction; it accepts conditionsPerChange times as many conditions
}

// Sizes that bound the records of a job.
const (
	partOverheadBytes   = 100      // of a part of a dependency list, besides the ids
	idOverheadBytes     = 4        // of an id, besides its characters
	conditionsPerChange = 4        // conditions that a transaction may have for each change
	maxTxnValueBytes    = 48 << 10 // of a transaction's values: the published limit of 64 KiB, less the rest
)

// latestTime is a submission time whose encoding is as long as any.
var latestTime = time.UnixMilli(0).Add(1 << 62)

// JobRecord is what is known of a job.
type JobRecord struct {
	State          wire.JobState // StateQueued for every unfinished job
	Spec           *model.Spec   // of an unfinished job only
	Timestamp      time.Time     // when an unfinished job was submitted, or when an ended one ended
	Version        uint64
	Tasks          int
	DependencyKeys []string // keys of the parts of its dependency list
}

// unfinished returns the record of an unfinished job as the reconciler takes it.
func (r JobRecord) unfinished() record.Job {
	return record.Job{
		Spec:           r.Spec,
		SubmittedAt:    r.Timestamp,
		Version:        r.Version,
		DependencyKeys: r.DependencyKeys,
	}
}

// end returns the end of a job that has ended.
func (r JobRecord) end(id string) record.JobEnd {
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

// decodeActive decodes the record of an unfinished job. It fails if a part of its dependency list is
// not known: the job must not start before the list is complete. parts are the known parts by key.
func decodeActive(e wire.Entry, parts map[string][]string) (JobRecord, error) {
	spec, submittedAt, list, err := wire.DecodeActiveJob(e.Value)
	if err != nil {
		return JobRecord{}, err
	}
	record := JobRecord{State: wire.StateQueued, Spec: spec, Timestamp: submittedAt, Version: e.Version}
	for n := range list.Count {
		key := dependencyPartKey(spec.ID, list.Sum, n)
		ids, ok := parts[key]
		if !ok {
			return JobRecord{}, fmt.Errorf("%s is missing", key)
		}
		spec.Dependencies = append(spec.Dependencies, ids...)
		record.DependencyKeys = append(record.DependencyKeys, key)
	}
	record.Tasks = spec.Tasks
	return record, nil
}

// dependencyPartKey returns the key of a part of a dependency list.
func dependencyPartKey(id, sum string, n int) string {
	return dependencyPrefix + id + "/" + sum + "/" + strconv.Itoa(n)
}

// encodeNewJob returns the records of a new job: the parts of its dependency list, which are written
// first if the list does not fit into the job's record, and the record with which it is accepted.
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
	list := wire.DependencyParts{Sum: dependencySum(spec.Dependencies)}
	for rest := spec.Dependencies; len(rest) > 0; {
		n := idsThatFit(rest, limits.MaxValueBytes)
		if n == 0 {
			return nil, record, ErrTooLarge
		}
		parts = append(parts, wire.Change{
			Key:   dependencyPartKey(spec.ID, list.Sum, list.Count),
			Value: wire.AppendDependencies(nil, rest[:n]),
		})
		list.Count++
		rest = rest[n:]
	}
	record.Value = wire.AppendActiveJob(nil, spec, submittedAt, nil, list)
	conditions := len(parts) + 2 // that the parts are unchanged, and that the job is new
	if wire.StoredSize(record.Value) > limits.MaxValueBytes || conditions > conditionsPerChange*limits.MaxChanges {
		return nil, record, ErrTooLarge
	}
	return parts, record, nil
}

// dependencySum returns a hash of a dependency list, which keeps the parts of different lists apart.
func dependencySum(ids []string) string {
	hash := fnv.New64a()
	for _, id := range ids {
		_, _ = hash.Write([]byte(id)) // never fails
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// idsThatFit returns how many of the first ids fit into one value.
func idsThatFit(ids []string, maxValueBytes int) int {
	size := partOverheadBytes
	for n, id := range ids {
		size += len(id) + idOverheadBytes
		if size > maxValueBytes {
			return n
		}
	}
	return len(ids)
}
