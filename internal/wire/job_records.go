package wire

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	maxDependencyParts = 1 << 10 // more than the dependencies of any submission take
	maxChunkTasks      = 1 << 24 // more tasks than a chunk can hold under any limit on the size of values
)

// DependencyParts locates the parts of a dependency list that is too long for the record of its job. Each part is a
// separate record. The zero value means that there are no parts.
type DependencyParts struct {
	Count int    // number of parts
	Hash  string // hash of the list, which is contained in the keys of the parts
}

// AppendActiveJob appends the record of an accepted, unfinished job. The record holds the given dependencies instead of
// those in spec, and refers to parts for the others.
func AppendActiveJob(
	b []byte, spec *model.Spec, submittedAt time.Time, dependencies []string, parts DependencyParts,
) []byte {
	n := uint32(2)
	if len(dependencies) > 0 {
		n++
	}
	if parts.Count > 0 {
		n += 2
	}
	b = msgp.AppendMapHeader(b, n)
	b = appendUint(b, recordSubmittedAt, uint64(submittedAt.UnixMilli()))
	b = AppendJob(msgp.AppendString(b, recordSpec), spec)
	if len(dependencies) > 0 {
		b = appendStrings(b, recordDependencies, dependencies)
	}
	if parts.Count > 0 {
		b = appendUint(b, recordDependencyParts, uint64(parts.Count))
		b = appendString(b, recordDependencyPartsHash, parts.Hash)
	}
	return b
}

// DecodeActiveJob decodes the record of an accepted, unfinished job into the job, the time of its submission and the
// parts of its dependency list. The dependencies in the job are complete only if there are no parts; otherwise the
// caller has to add those of the parts.
func DecodeActiveJob(b []byte) (*model.Spec, time.Time, DependencyParts, error) {
	var encodedSpec []byte
	var submittedMilliseconds, count uint64
	var dependencies []string
	var parts DependencyParts
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordSubmittedAt:
			return readUint(b, &submittedMilliseconds)
		case recordSpec:
			return readRaw(b, &encodedSpec)
		case recordDependencies:
			return readStrings(b, &dependencies)
		case recordDependencyParts:
			return readUint(b, &count)
		case recordDependencyPartsHash:
			return readString(b, &parts.Hash)
		}
		return b, false, nil
	})
	if err == nil && count > maxDependencyParts {
		err = errors.New("too many parts of the dependency list")
	}
	if err != nil {
		return nil, time.Time{}, parts, err
	}
	parts.Count = int(count)
	spec, err := DecodeJob(encodedSpec)
	if err == nil {
		spec.Dependencies = dependencies
	}
	return spec, time.UnixMilli(int64(submittedMilliseconds)), parts, err
}

// AppendDependencyPart appends the record of one part of a dependency list.
func AppendDependencyPart(b []byte, ids []string) []byte {
	return appendStrings(msgp.AppendMapHeader(b, 1), recordDependencies, ids)
}

// DecodeDependencyPart decodes the record of one part of a dependency list.
func DecodeDependencyPart(b []byte) ([]string, error) {
	return decodeSingleField(b, recordDependencies, readStrings)
}

// AppendEndedJob appends the small record of an ended job, which is kept forever. state must be StateDone or
// StateCancelled, and tasks is the job's number of tasks.
func AppendEndedJob(b []byte, state JobState, tasks int, endedAt time.Time) []byte {
	b = appendString(msgp.AppendMapHeader(b, 3), recordOutcome, state.String())
	b = appendUint(b, recordTaskCount, uint64(tasks))
	return appendUint(b, recordEndedAt, uint64(endedAt.UnixMilli()))
}

// DecodeEndedJob decodes the record of an ended job. Versions without dependencies did not store when a job ended. For
// their records endedAt is the zero time, which is before the submission of any job that depends on the ended one.
func DecodeEndedJob(b []byte) (state JobState, tasks int, endedAt time.Time, err error) {
	var outcome string
	var count, endedMilliseconds uint64
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordOutcome:
			return readString(b, &outcome)
		case recordTaskCount:
			return readUint(b, &count)
		case recordEndedAt:
			return readUint(b, &endedMilliseconds)
		}
		return b, false, nil
	})
	if endedMilliseconds > 0 {
		endedAt = time.UnixMilli(int64(endedMilliseconds))
	}
	for _, state = range [...]JobState{StateDone, StateCancelled} {
		if err == nil && outcome == state.String() {
			return state, int(count), endedAt, nil
		}
	}
	return 0, 0, endedAt, errors.Join(err, errors.New("invalid record of an ended job"))
}

// AppendChunkLayout appends the record of the number of tasks in a chunk of the finished-task records. It applies to
// chunks that are stored by their number.
func AppendChunkLayout(b []byte, tasks int) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), recordChunkTasks, uint64(tasks))
}

// DecodeChunkLayout decodes the number of tasks in a numbered chunk of the finished-task records.
func DecodeChunkLayout(b []byte) (int, error) {
	n, err := decodePositiveUint(b, recordChunkTasks)
	if err == nil && n > maxChunkTasks {
		err = errOutOfRange
	}
	return int(n), err
}

// AppendFinishedTasks appends one chunk of the finished-task records. bits is a bitmap with one bit per task.
func AppendFinishedTasks(b []byte, bits []byte) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), recordDoneBits, hex.EncodeToString(bits))
}

// DecodeFinishedTasks decodes one chunk of the finished-task records into its bitmap.
func DecodeFinishedTasks(b []byte) ([]byte, error) {
	digits, err := decodeSingleField(b, recordDoneBits, readString)
	if err != nil {
		return nil, err
	}
	return hex.DecodeString(digits)
}
