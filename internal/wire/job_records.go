package wire

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	maxDependencyParts = 1 << 10 // more than any submission needs
	maxChunkTasks      = 1 << 24 // more than a chunk holds under any limit on values
)

// DependencyParts says where the rest of a list of dependencies is that is too long
// for the record of its job: in Count records of their own, whose keys contain the
// hash of the list.
type DependencyParts struct {
	Count int
	Sum   string
}

// AppendActiveJob appends the record of an accepted, unfinished job. It holds the
// given dependencies; the rest are in its parts.
func AppendActiveJob(
	b []byte, s *model.Spec, submitted time.Time, dependencies []string, parts DependencyParts,
) []byte {
	n := uint32(2)
	if len(dependencies) > 0 {
		n++
	}
	if parts.Count > 0 {
		n += 2
	}
	b = msgp.AppendMapHeader(b, n)
	b = appendUint(b, recordSubmittedAt, uint64(submitted.UnixMilli()))
	b = AppendJob(msgp.AppendString(b, recordSpec), s)
	if len(dependencies) > 0 {
		b = appendStrings(b, recordDependencies, dependencies)
	}
	if parts.Count > 0 {
		b = appendUint(b, recordDependencyParts, uint64(parts.Count))
		b = appendString(b, recordPartsSum, parts.Sum)
	}
	return b
}

// DecodeActiveJob reads the record of an accepted, unfinished job. Its list of
// dependencies is complete only together with its parts.
func DecodeActiveJob(b []byte) (*model.Spec, time.Time, DependencyParts, error) {
	var spec []byte
	var submitted, count uint64
	var dependencies []string
	var parts DependencyParts
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordSubmittedAt:
			return readUint(b, &submitted)
		case recordSpec:
			return readRaw(b, &spec)
		case recordDependencies:
			return readStrings(b, &dependencies)
		case recordDependencyParts:
			return readUint(b, &count)
		case recordPartsSum:
			return readString(b, &parts.Sum)
		}
		return b, false, nil
	})
	if err == nil && count > maxDependencyParts {
		err = errors.New("too many parts")
	}
	if err != nil {
		return nil, time.Time{}, parts, err
	}
	parts.Count = int(count)
	s, err := DecodeJob(spec)
	if err == nil {
		s.Dependencies = dependencies
	}
	return s, time.UnixMilli(int64(submitted)), parts, err
}

// AppendDependencies appends one part of a list of dependencies.
func AppendDependencies(b []byte, ids []string) []byte {
	return appendStrings(msgp.AppendMapHeader(b, 1), recordDependencies, ids)
}

// DecodeDependencies reads one part of a list of dependencies.
func DecodeDependencies(b []byte) ([]string, error) {
	return decodeField(b, recordDependencies, readStrings)
}

// AppendEndedJob appends the small record that is kept of an ended job for good.
func AppendEndedJob(b []byte, s JobState, tasks int, ended time.Time) []byte {
	b = appendString(msgp.AppendMapHeader(b, 3), recordOutcome, s.String())
	b = appendUint(b, recordTaskCount, uint64(tasks))
	return appendUint(b, recordEndedAt, uint64(ended.UnixMilli()))
}

// DecodeEndedJob reads the record of an ended job. Records of the versions without
// dependencies do not say when it ended: then the time is zero, which is before the
// submission of any job that depends on it.
func DecodeEndedJob(b []byte) (s JobState, tasks int, ended time.Time, err error) {
	var outcome string
	var count, milliseconds uint64
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordOutcome:
			return readString(b, &outcome)
		case recordTaskCount:
			return readUint(b, &count)
		case recordEndedAt:
			return readUint(b, &milliseconds)
		}
		return b, false, nil
	})
	if milliseconds > 0 {
		ended = time.UnixMilli(int64(milliseconds))
	}
	for _, s = range [...]JobState{StateDone, StateCancelled} {
		if err == nil && outcome == s.String() {
			return s, int(count), ended, nil
		}
	}
	return 0, 0, ended, errors.Join(err, errors.New("not the record of an ended job"))
}

// AppendChunkLayout appends the record of how many tasks a numbered chunk of the
// finished-task record has.
func AppendChunkLayout(b []byte, tasks int) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), recordChunkTasks, uint64(tasks))
}

// DecodeChunkLayout reads how many tasks a numbered chunk of the finished-task record
// has.
func DecodeChunkLayout(b []byte) (int, error) {
	n, err := decodeUint(b, recordChunkTasks)
	if err == nil && n > maxChunkTasks {
		err = errOutOfRange
	}
	return int(n), err
}

// AppendTasksDone appends one chunk of the finished-task record, one bit a task.
func AppendTasksDone(b []byte, bits []byte) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), recordDoneBits, hex.EncodeToString(bits))
}

// DecodeTasksDone reads one chunk of the finished-task record.
func DecodeTasksDone(b []byte) ([]byte, error) {
	digits, err := decodeField(b, recordDoneBits, readString)
	if err != nil {
		return nil, err
	}
	return hex.DecodeString(digits)
}
