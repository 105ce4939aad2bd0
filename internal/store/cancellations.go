package store

import "github.com/glentiller/glentiller/internal/wire"

// CancellationReport lists for the leader the cancellations that a member may have acknowledged to users. A leader
// that cannot read the job records itself learns of cancellations from such reports.
type CancellationReport struct {
	Cancelled []Cancellation
	Cursor    CancellationCursor // position after this report, to be passed for the next one
	// Complete is true if this report, the earlier reports and the records that the leader has read itself contain
	// every cancellation that the member has acknowledged, in this incarnation or an earlier one.
	Complete bool
}

// Cancellation identifies a cancelled job.
type Cancellation struct {
	ID      string // ID of the job
	Version uint64 // version of the job's ended record
}

// CancellationCursor is a position in the sequence of job ends that one incarnation of a member has learned of: the
// first Count of them have been reported. The zero value is the position before the first report.
type CancellationCursor struct {
	Incarnation, Count uint64
}

// maxReportedCancellations bounds the length of one report. Further cancellations go into the next one.
const maxReportedCancellations = 256

// CancellationsAfter returns the next report for a leader that has read the job records up to a revision and has
// received this member's reports up to a cursor. Cancellations are reported in the order in which this cache
// learned of them, not in the order of their versions, because a job that was cancelled long ago may be
// acknowledged to a user only now. A cursor of another incarnation is ignored, so that the reports begin again.
func (j *JobCache) CancellationsAfter(revision uint64, reported CancellationCursor) CancellationReport {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended := &j.ended
	from := ended.startOffset
	if reported.Incarnation == j.incarnation && reported.Count <= ended.startOffset+uint64(len(ended.order)) {
		from = max(from, reported.Count)
	}
	report := CancellationReport{Cursor: CancellationCursor{j.incarnation, from}}
	for _, id := range ended.order[from-ended.startOffset:] {
		if len(report.Cancelled) == maxReportedCancellations {
			return report
		}
		if record := ended.records[id]; record.State == wire.StateCancelled && record.Version > revision {
			report.Cancelled = append(report.Cancelled, Cancellation{id, record.Version})
		}
		report.Cursor.Count++
	}
	report.Complete = !j.asOf.IsZero() && max(ended.completeAfter, ended.maxEvictedVersion) <= revision
	return report
}

// ApplyCancellations applies the cancellations that another member has reported. Jobs that the cache already knows
// to have ended are skipped.
func (j *JobCache) ApplyCancellations(cancelled []Cancellation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range cancelled {
		if _, known := j.ended.records[c.ID]; known {
			continue
		}
		tasks := j.active[c.ID].Tasks
		j.applyEndAndNotify(c.ID, JobRecord{State: wire.StateCancelled, Tasks: tasks, Version: c.Version})
	}
}
