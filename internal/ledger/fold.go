package ledger

import (
	"slices"
	"time"
)

// Retention defines the age up to which hourly and daily segments are kept. Age is measured from a segment's Start.
type Retention struct {
	Hours time.Duration // older hourly segments are compacted into daily ones
	Days  time.Duration // older hourly and daily segments are compacted into monthly ones
}

// targetUnit returns the unit that a segment of this age is compacted to, or its present unit if it is not old
// enough.
func (r Retention) targetUnit(timeOfDay time.Time, segment *Segment) Unit {
	age := timeOfDay.Sub(segment.Start)
	switch {
	case segment.Unit < Month && age > r.Days:
		return Month
	case segment.Unit < Day && age > r.Hours:
		return Day
	}
	return segment.Unit
}

// Compact compacts the first run of at least two segments that are old enough to be merged into one daily or monthly
// segment. segments are the closed segments of one team in the order of their numbers. At most maxCount segments are
// merged, and the size of the result is at most settings.MaxRecordBytes. The result replaces count segments, starting
// with the one at index first. If there is no such run, compacted is nil and count is 0.
func Compact(
	settings *Settings, segments []StoredSegment, timeOfDay time.Time, maxCount int,
) (compacted *Segment, first, count int) {
	for first := range segments {
		run := segments[first:min(len(segments), first+max(maxCount, 1))]
		if compacted, count := compactRun(settings, run, timeOfDay); count > 1 {
			compacted.Hash = settings.Hasher.Hash(compacted)
			return compacted, first, count
		}
	}
	return nil, 0, 0
}

// compactRun merges the first segment with as many of the following ones as possible. count is the number of merged
// segments, including the first. compacted.Hash is not up to date.
func compactRun(settings *Settings, segments []StoredSegment, timeOfDay time.Time) (compacted *Segment, count int) {
	result := segments[0].Segment
	result.Unit = settings.Retention.targetUnit(timeOfDay, &result)
	result.Start = result.Unit.Start(result.Start)
	result.Usage = slices.Clone(result.Usage)
	count = 1
	for i := range segments[1:] {
		next := &segments[1+i].Segment
		if settings.Retention.targetUnit(timeOfDay, next) != result.Unit || !result.canMerge(next) {
			break
		}
		merged := result.mergedWith(next)
		if RecordSizeBound(merged.Team, merged.Usage) > settings.MaxRecordBytes {
			break
		}
		result = merged
		count++
	}
	return &result, count
}

// canMerge reports whether next can be merged into s: it has to have the next number, lie in the same day or month,
// and have no larger unit than s.
func (s *Segment) canMerge(next *Segment) bool {
	if s.Unit == Hour || next.Unit > s.Unit || next.First != s.Last+1 {
		return false
	}
	return s.Unit.Start(next.Start).Equal(s.Start)
}

// mergedWith returns a copy of s with next merged into it. Its Hash is not up to date.
func (s *Segment) mergedWith(next *Segment) Segment {
	merged := *s
	merged.Usage = slices.Clone(s.Usage)
	for _, class := range next.Usage {
		merged.Usage = AddUsage(merged.Usage, class.Class, class.Usage)
	}
	merged.Last, merged.LastMergedLink = next.Last, next.Link()
	return merged
}
