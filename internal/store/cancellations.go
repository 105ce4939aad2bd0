package store

import "github.com/glentiller/glentiller/internal/wire"

// CancellationReport reports to a leader which cancellations a member may have acknowledged to users,
// for the case that the leader cannot read the records itself.
type CancellationReport struct {
	Cancelled []Cancellation
	Cursor    CancellationCursor // where the next report goes on
	// Complete: with this report, the earlier ones and what it has read itself, the leader knows of
	// every cancellation that the member has acknowledged, in this incarnation or an earlier one.
	Complete bool
}

// Cancellation is a job that was cancelled, and the version of the record that says so.
type Cancellation struct {
	ID      string
	Version uint64
}

// CancellationCursor is how many ends that one incarnation of a member has learned of were reported
// to a leader.
type CancellationCursor struct {
	Incarnation, Count uint64
}

// maxReportedCancellations bounds one report; the next one goes on behind it.
const maxReportedCancellations = 256

// CancellationsAfter reports the cancellations that this controller knows of to a leader that has read
// the records up to a revision and has received the reports up to a cursor. They are in the order in
// which they were learned of, not in that of their versions: a job that was cancelled long ago may be
// acknowledged to a user only now.
func (j *JobCache) CancellationsAfter(revision uint64, reported CancellationCursor) CancellationReport {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended := &j.ended
	from := ended.offset
	if reported.Incarnation == j.incarnation && reported.Count <= ended.offset+uint64(len(ended.order)) {
		from = max(from, reported.Count)
	}
	report := CancellationReport{Cursor: CancellationCursor{j.incarnation, from}}
	for _, id := range ended.order[from-ended.offset:] {
		if len(report.Cancelled) == maxReportedCancellations {
			return report
		}
		if record := ended.records[id]; record.State == wire.StateCancelled && record.Version > revision {
			report.Cancelled = append(report.Cancelled, Cancellation{id, record.Version})
		}
		report.Cursor.Count++
	}
	report.Complete = !j.asOf.IsZero() && max(ended.learnedSince, ended.evictedVersion) <= revision
	return report
}

// ApplyCancellations records the cancellations that another member has reported.
func (j *JobCache) ApplyCancellations(cancelled []Cancellation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range cancelled {
		if _, known := j.ended.records[c.ID]; known {
			continue
		}
		tasks := j.active[c.ID].Tasks
		j.recordEndAndNotify(c.ID, JobRecord{State: wire.StateCancelled, Tasks: tasks, Version: c.Version})
	}
}
