package wire

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// The records that the controllers themselves keep with the state service.

// AppendActive writes the record of an accepted, unfinished job.
func AppendActive(b []byte, s *model.Spec, at time.Time) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, "at", uint64(at.UnixMilli()))
	return appendJob(msgp.AppendString(b, "job"), s)
}

// DecodeActive reads the record of an accepted, unfinished job.
func DecodeActive(b []byte) (*model.Spec, time.Time, error) {
	var body []byte
	var at uint64
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "at":
			return readUint(b, &at)
		case "job":
			return raw(b, &body)
		}
		return b, false, nil
	})
	if err != nil {
		return nil, time.Time{}, err
	}
	s, err := DecodeJob(body)
	return s, time.UnixMilli(int64(at)), err
}

// AppendEnded writes the small record that is kept of an ended job for good.
func AppendEnded(b []byte, s JobState, tasks int) []byte {
	b = appendStr(msgp.AppendMapHeader(b, 2), "end", s.wire())
	return appendUint(b, "n", uint64(tasks))
}

// DecodeEnded reads the record of an ended job.
func DecodeEnded(b []byte) (s JobState, tasks int, err error) {
	var end string
	var n uint64
	err = whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "end":
			return readStr(b, &end)
		case "n":
			return readUint(b, &n)
		}
		return b, false, nil
	})
	for _, s = range [...]JobState{StateDone, StateCancelled} {
		if err == nil && end == s.wire() {
			return s, int(n), nil
		}
	}
	return 0, 0, errors.Join(err, errors.New("not the record of an ended job"))
}

// AppendTasksDone writes one chunk of the finished-task record, a bit a task.
func AppendTasksDone(b []byte, bits []byte) []byte {
	return appendStr(msgp.AppendMapHeader(b, 1), "bits", hex.EncodeToString(bits))
}

// DecodeTasksDone reads one chunk of the finished-task record.
func DecodeTasksDone(b []byte) ([]byte, error) {
	var s string
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "bits" {
			return readStr(b, &s)
		}
		return b, false, nil
	})
	if err != nil {
		return nil, err
	}
	return hex.DecodeString(s)
}

// AppendMachine writes the record of a machine that may hold tasks.
func AppendMachine(b []byte, m model.Listed) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendStr(b, "addr", m.Addr)
	b = appendStr(b, "type", m.Type)
	b = appendStr(b, "zone", m.Zone)
	return appendBool(b, "spot", m.Spot)
}

// DecodeMachine reads the record of a machine.
func DecodeMachine(name string, b []byte) (model.Listed, error) {
	m := model.Listed{Machine: name}
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "addr":
			return readStr(b, &m.Addr)
		case "type":
			return readStr(b, &m.Type)
		case "zone":
			return readStr(b, &m.Zone)
		case "spot":
			return readBool(b, &m.Spot)
		}
		return b, false, nil
	})
	return m, err
}

// AppendNeed writes the record of a GPU request that was seen.
func AppendNeed(b []byte, r model.Resources) []byte {
	b = appendNum(msgp.AppendMapHeader(b, 3), "cpu", r.CPU)
	b = appendNum(b, "gpu", r.GPU)
	return appendNum(b, "mem", r.MemGB)
}

// DecodeNeed reads the record of a GPU request.
func DecodeNeed(b []byte) (r model.Resources, err error) {
	err = whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "cpu":
			return readNum(b, &r.CPU)
		case "gpu":
			return readNum(b, &r.GPU)
		case "mem":
			return readNum(b, &r.MemGB)
		}
		return b, false, nil
	})
	return r, err
}

// AppendToken writes the token's or the leader's record.
func AppendToken(b []byte, token uint64, member string) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 2), "token", token)
	return appendStr(b, "member", member)
}

// DecodeToken reads the token's or the leader's record.
func DecodeToken(b []byte) (token uint64, member string, err error) {
	err = whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "token":
			return readUint(b, &token)
		case "member":
			return readStr(b, &member)
		}
		return b, false, nil
	})
	if err == nil && (token == 0 || member == "") {
		err = errors.New("not a token's record")
	}
	return token, member, err
}
