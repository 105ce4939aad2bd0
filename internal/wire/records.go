package wire

import (
	"encoding/hex"
	"errors"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
)

// The records that the controllers themselves keep with the state service.

// DependencyParts tells where the rest of a list stands that is too long for the record of
// its job: in that many records of their own, named by the sum of what they hold.
type DependencyParts struct {
	Count int
	Sum   string
}

// AppendActiveJob writes the record of an accepted, unfinished job. Of what the job
// awaits it holds the ids given here; the rest is in its parts.
func AppendActiveJob(b []byte, s *model.Spec, at time.Time, awaits []string, p DependencyParts) []byte {
	n := uint32(2)
	if len(awaits) > 0 {
		n++
	}
	if p.Count > 0 {
		n += 2
	}
	b = msgp.AppendMapHeader(b, n)
	b = appendUint(b, "at", uint64(at.UnixMilli()))
	b = AppendJob(msgp.AppendString(b, "job"), s)
	if len(awaits) > 0 {
		b = appendStrings(b, "awaits", awaits)
	}
	if p.Count > 0 {
		b = appendString(appendUint(b, "parts", uint64(p.Count)), "sum", p.Sum)
	}
	return b
}

// AppendDependencies writes one part of a list of jobs that a job awaits.
func AppendDependencies(b []byte, ids []string) []byte {
	return appendStrings(msgp.AppendMapHeader(b, 1), "awaits", ids)
}

// DecodeDependencies reads one part of a list of jobs that a job awaits.
func DecodeDependencies(b []byte) (ids []string, err error) {
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "awaits" {
			return readStrings(b, &ids)
		}
		return b, false, nil
	})
	return ids, err
}

// StoredSize bounds the size at which the state service counts a value: that of its
// JSON form, however amounts and letters beyond ASCII are written there.
func StoredSize(value []byte) int {
	var c byteCounter
	if _, err := msgp.UnmarshalAsJSON(&c, value); err != nil {
		return math.MaxInt
	}
	return int(c) + storedSizeMargin
}

// storedSizeMargin covers amounts that are written longer there than here.
const storedSizeMargin = 64

// byteCounter counts what is written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	for _, b := range p {
		if *c++; b >= 0x80 {
			*c += 2 // it may be escaped
		}
	}
	return len(p), nil
}

// DecodeActiveJob reads the record of an accepted, unfinished job. What it awaits is
// whole only together with its parts.
func DecodeActiveJob(b []byte) (*model.Spec, time.Time, DependencyParts, error) {
	var body []byte
	var at, count uint64
	var awaits []string
	var p DependencyParts
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "at":
			return readUint(b, &at)
		case "job":
			return readRaw(b, &body)
		case "awaits":
			return readStrings(b, &awaits)
		case "parts":
			return readUint(b, &count)
		case "sum":
			return readString(b, &p.Sum)
		}
		return b, false, nil
	})
	if err == nil && count > maxDependencyParts {
		err = errors.New("too many parts")
	}
	if err != nil {
		return nil, time.Time{}, p, err
	}
	p.Count = int(count)
	s, err := DecodeJob(body)
	if err == nil {
		s.Dependencies = awaits
	}
	return s, time.UnixMilli(int64(at)), p, err
}

// maxDependencyParts is more parts than any submission needs.
const maxDependencyParts = 1 << 10

// AppendEndedJob writes the small record that is kept of an ended job for good.
func AppendEndedJob(b []byte, s JobState, tasks int, at time.Time) []byte {
	b = appendString(msgp.AppendMapHeader(b, 3), "end", s.wireName())
	return appendUint(appendUint(b, "n", uint64(tasks)), "at", uint64(at.UnixMilli()))
}

// DecodeEndedJob reads the record of an ended job. Records of the version without
// pipelines do not say when it ended: then the time is zero, and lies before the
// submission of any job that awaits another.
func DecodeEndedJob(b []byte) (s JobState, tasks int, at time.Time, err error) {
	var end string
	var n, ms uint64
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "end":
			return readString(b, &end)
		case "n":
			return readUint(b, &n)
		case "at":
			return readUint(b, &ms)
		}
		return b, false, nil
	})
	if ms > 0 {
		at = time.UnixMilli(int64(ms))
	}
	for _, s = range [...]JobState{StateDone, StateCancelled} {
		if err == nil && end == s.wireName() {
			return s, int(n), at, nil
		}
	}
	return 0, 0, at, errors.Join(err, errors.New("not the record of an ended job"))
}

// AppendChunkLayout writes how many tasks a numbered chunk of the finished-task record has.
func AppendChunkLayout(b []byte, tasks int) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), "tasks", uint64(tasks))
}

// maxChunkTasks bounds what a numbered chunk can have held under any limit.
const maxChunkTasks = 1 << 24

// DecodeChunkLayout reads how many tasks a numbered chunk of the finished-task record has.
func DecodeChunkLayout(b []byte) (int, error) {
	n, err := DecodeUintField(b, "tasks")
	if err == nil && n > maxChunkTasks {
		err = errors.New("out of range")
	}
	return int(n), err
}

// AppendTasksDone writes one chunk of the finished-task record, a bit a task.
func AppendTasksDone(b []byte, bits []byte) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), "bits", hex.EncodeToString(bits))
}

// DecodeTasksDone reads one chunk of the finished-task record.
func DecodeTasksDone(b []byte) ([]byte, error) {
	var s string
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "bits" {
			return readString(b, &s)
		}
		return b, false, nil
	})
	if err != nil {
		return nil, err
	}
	return hex.DecodeString(s)
}

// AppendMachine writes the record of a machine that may hold tasks.
func AppendMachine(b []byte, m model.MachineInfo) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, "addr", m.Addr)
	b = appendString(b, "type", m.Type)
	b = appendString(b, "zone", m.Zone)
	return appendBool(b, "spot", m.Spot)
}

// DecodeMachine reads the record of a machine.
func DecodeMachine(name string, b []byte) (model.MachineInfo, error) {
	m := model.MachineInfo{Name: name}
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "addr":
			return readString(b, &m.Addr)
		case "type":
			return readString(b, &m.Type)
		case "zone":
			return readString(b, &m.Zone)
		case "spot":
			return readBool(b, &m.Spot)
		}
		return b, false, nil
	})
	return m, err
}

// AppendGPUDemand writes the record of a GPU request that was seen.
func AppendGPUDemand(b []byte, r model.Resources) []byte {
	b = appendFloat(msgp.AppendMapHeader(b, 3), "cpu", r.CPU)
	b = appendFloat(b, "gpu", r.GPU)
	return appendFloat(b, "mem", r.MemGB)
}

// DecodeGPUDemand reads the record of a GPU request.
func DecodeGPUDemand(b []byte) (r model.Resources, err error) {
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "cpu":
			return readFloat(b, &r.CPU)
		case "gpu":
			return readFloat(b, &r.GPU)
		case "mem":
			return readFloat(b, &r.MemGB)
		}
		return b, false, nil
	})
	return r, err
}

// AppendLeaderRecord writes the token's or the leader's record.
func AppendLeaderRecord(b []byte, token uint64, member string) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 2), "token", token)
	return appendString(b, "member", member)
}

// DecodeLeaderRecord reads the token's or the leader's record.
func DecodeLeaderRecord(b []byte) (token uint64, member string, err error) {
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "token":
			return readUint(b, &token)
		case "member":
			return readString(b, &member)
		}
		return b, false, nil
	})
	if err == nil && (token == 0 || member == "") {
		err = errors.New("not a token's record")
	}
	return token, member, err
}

// AppendFeatureLevel writes the record of the level in force. It must never have both fields of a
// token's record: programs before levels read it as one, fail, and so never claim
// (docs/safety.md, "Levels").
func AppendFeatureLevel(b []byte, level uint32, by string) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 2), "level", uint64(level))
	return appendString(b, "by", by)
}

// DecodeFeatureLevel reads the record of the level in force.
func DecodeFeatureLevel(b []byte) (uint32, error) {
	var v uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "level" {
			return readUint(b, &v)
		}
		return b, false, nil
	})
	if err == nil && (v == 0 || v > math.MaxUint32) {
		err = errors.New("not a level's record")
	}
	return uint32(v), err
}

// AppendMember writes what a member tells of itself.
func AppendMember(b []byte, m featuregate.Member) []byte {
	b = appendString(msgp.AppendMapHeader(b, 3), "release", m.Release)
	b = appendUint(b, "can", uint64(m.Supported))
	return appendUint(b, "life", m.Incarnation)
}

// DecodeMember reads what a member tells of itself.
func DecodeMember(name string, b []byte) (featuregate.Member, error) {
	m := featuregate.Member{Name: name}
	var can uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "release":
			return readString(b, &m.Release)
		case "can":
			return readUint(b, &can)
		case "life":
			return readUint(b, &m.Incarnation)
		}
		return b, false, nil
	})
	if err == nil && can > math.MaxUint32 {
		err = errors.New("not a member's record")
	}
	m.Supported = featuregate.Level(can)
	return m, err
}
