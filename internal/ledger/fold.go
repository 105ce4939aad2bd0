package ledger

import (
	"slices"
	"time"
)

// Retention says for how long segments keep their unit.
type Retention struct {
	Hours time.Duration // hourly segments older than this are folded into days
	Days  time.Duration // daily segments older than this are folded into months
}

// unitAt is the unit that a segment should have by its age.
func (r Retention) unitAt(now time.Time, segment *Segment) Unit {
	age := now.Sub(segment.Start)
	switch {
	case segment.Unit < Month && age > r.Days:
		return Month
	case segment.Unit < Day && age > r.Hours:
		return Day
	}
	return segment.Unit
}

// Fold looks for the first run of segments, in order, that are old enough to become one segment of a day or a month,
// and returns that: at most maxCount segments in one, and no larger than a record may be. It replaces count segments
// from index first on; count is 0 where there is no such run.
func Fold(
	settings *Settings, segments []StoredSegment, now time.Time, maxCount int,
) (folded *Segment, first, count int) {
	for first := range segments {
		run := segments[first:min(len(segments), first+max(maxCount, 1))]
		if folded, count := foldRun(settings, run, now); count > 1 {
			folded.Sum = settings.Seal.Sum(folded)
			return folded, first, count
		}
	}
	return nil, 0, 0
}

// foldRun folds the first of some segments with as many of those behind it as belong to it, and returns how many it
// folded.
func foldRun(settings *Settings, segments []StoredSegment, now time.Time) (folded *Segment, count int) {
	result := segments[0].Segment
	result.Unit = settings.Retention.unitAt(now, &result)
	result.Start = result.Unit.Start(result.Start)
	result.Usage = slices.Clone(result.Usage)
	count = 1
	for i := range segments[1:] {
		next := &segments[1+i].Segment
		if settings.Retention.unitAt(now, next) != result.Unit || !result.accepts(next) {
			break
		}
		grown := result.with(next)
		if RecordSize(grown.Team, grown.Usage) > settings.MaxRecordBytes {
			break
		}
		result = grown
		count++
	}
	return &result, count
}

// accepts reports whether the next segment can be folded into this one.
func (s *Segment) accepts(next *Segment) bool {
	if s.Unit == Hour || next.Unit > s.Unit || next.First != s.Last+1 {
		return false
	}
	return s.Unit.Start(next.Start).Equal(s.Start)
}

// with is the segment with the next one folded into it; Sum is not computed.
func (s *Segment) with(next *Segment) Segment {
	grown := *s
	grown.Usage = slices.Clone(s.Usage)
	for _, class := range next.Usage {
		grown.Usage = AddUsage(grown.Usage, class.Class, class.Usage)
	}
	grown.Last, grown.Head = next.Last, next.Link()
	return grown
}
