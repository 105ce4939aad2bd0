// Package wire holds the messages of the outside interfaces and the records at the
// state service: their field names, their MessagePack forms and the checks on what
// comes in.
//
// An Append function appends the encoded form of a message or record to a slice; the
// Decode function of the same name reads it back. Decoders skip fields that they do not
// know, so that later versions may add some. The names that only the outside protocols
// use are mapped to the usual terms in names.go and nowhere else. The errors of Decode
// functions say what is malformed, for display; callers do not tell kinds of them
// apart.
package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// The reasons for which a message is malformed. Users see the texts.
var (
	errWrongType     = errors.New("wrong type")
	errTrailingBytes = errors.New("bytes behind the message")
	errOutOfRange    = errors.New("out of range")
	errUnknownValue  = errors.New("unknown")
	errEmptyValue    = errors.New("empty")
)

// maxAmount bounds amounts and durations, so that no sum of them overflows.
const maxAmount = 1e8

// A fieldFunc consumes the value of a field at the start of b and returns what is
// left, or returns handled=false to have the value skipped.
type fieldFunc func(name string, b []byte) (rest []byte, handled bool, err error)

// eachField reads a map with text keys and calls decode for every field that is not
// null. Null stands for an absent field.
func eachField(b []byte, decode fieldFunc) ([]byte, error) {
	if msgp.NextType(b) != msgp.MapType {
		return b, errWrongType
	}
	n, b, err := msgp.ReadMapHeaderBytes(b)
	if err != nil {
		return b, err
	}
	for ; n > 0; n-- {
		if msgp.NextType(b) != msgp.StrType {
			return b, errWrongType
		}
		var name []byte
		if name, b, err = msgp.ReadStringZC(b); err != nil {
			return b, err
		}
		if len(b) == 0 {
			return b, msgp.ErrShortBytes
		}
		if msgp.IsNil(b) {
			b = b[1:]
			continue
		}
		rest, handled, err := decode(string(name), b)
		if err != nil {
			return b, fmt.Errorf("%.40q: %w", name, err)
		}
		if !handled {
			if rest, err = msgp.Skip(b); err != nil {
				return b, err
			}
		}
		b = rest
	}
	return b, nil
}

// decodeMap decodes a message that is one map with nothing behind it.
func decodeMap(b []byte, decode fieldFunc) error {
	rest, err := eachField(b, decode)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return errTrailingBytes
	}
	return nil
}

// eachItem reads a list and calls decode for every item.
func eachItem(b []byte, decode func(b []byte) (rest []byte, err error)) ([]byte, error) {
	if msgp.NextType(b) != msgp.ArrayType {
		return b, errWrongType
	}
	n, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return b, err
	}
	for ; n > 0; n-- {
		if b, err = decode(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// The read functions below read the value of a field into dst and return what a
// fieldFunc returns.

func readString(b []byte, dst *string) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.StrType {
		return b, true, errWrongType
	}
	s, rest, err := msgp.ReadStringBytes(b)
	*dst = s
	return rest, true, err
}

func readBool(b []byte, dst *bool) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.BoolType {
		return b, true, errWrongType
	}
	v, rest, err := msgp.ReadBoolBytes(b)
	*dst = v
	return rest, true, err
}

// readUint reads an integer of zero or more.
func readUint(b []byte, dst *uint64) ([]byte, bool, error) {
	switch msgp.NextType(b) {
	case msgp.UintType:
		v, rest, err := msgp.ReadUint64Bytes(b)
		*dst = v
		return rest, true, err
	case msgp.IntType:
		v, rest, err := msgp.ReadInt64Bytes(b)
		if err == nil && v < 0 {
			err = errors.New("negative")
		}
		*dst = uint64(v)
		return rest, true, err
	}
	return b, true, errWrongType
}

// readFloat reads a finite decimal or integer.
func readFloat(b []byte, dst *float64) ([]byte, bool, error) {
	var v float64
	var rest []byte
	var err error
	switch msgp.NextType(b) {
	case msgp.Float64Type:
		v, rest, err = msgp.ReadFloat64Bytes(b)
	case msgp.Float32Type:
		var f float32
		f, rest, err = msgp.ReadFloat32Bytes(b)
		v = float64(f)
	case msgp.UintType:
		var u uint64
		u, rest, err = msgp.ReadUint64Bytes(b)
		v = float64(u)
	case msgp.IntType:
		var i int64
		i, rest, err = msgp.ReadInt64Bytes(b)
		v = float64(i)
	default:
		return b, true, errWrongType
	}
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = errors.New("not a finite number")
	}
	*dst = v
	return rest, true, err
}

// readStrings appends a list of texts to dst.
func readStrings(b []byte, dst *[]string) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var s string
		rest, _, err := readString(b, &s)
		*dst = append(*dst, s)
		return rest, err
	})
	return rest, true, err
}

// readRaw copies a value in its encoded form.
func readRaw(b []byte, dst *[]byte) ([]byte, bool, error) {
	rest, err := msgp.Skip(b)
	if err == nil {
		*dst = append([]byte(nil), b[:len(b)-len(rest)]...)
	}
	return rest, true, err
}

// decodeField decodes a message of which one field matters.
func decodeField[T any](
	b []byte, field string, read func(b []byte, dst *T) (rest []byte, handled bool, err error),
) (T, error) {
	var v T
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		if name == field {
			return read(b, &v)
		}
		return b, false, nil
	})
	return v, err
}

// decodeUint decodes a message of which one field matters, an integer above zero.
func decodeUint(b []byte, field string) (uint64, error) {
	v, err := decodeField(b, field, readUint)
	if err == nil && v == 0 {
		err = errors.New(field + " is missing")
	}
	return v, err
}

// seconds converts a duration on the wire, in seconds.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// The append functions below append a field's name and value.

func appendString(b []byte, name, v string) []byte {
	return msgp.AppendString(msgp.AppendString(b, name), v)
}

func appendStrings(b []byte, name string, list []string) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(b, name), uint32(len(list)))
	for _, s := range list {
		b = msgp.AppendString(b, s)
	}
	return b
}

func appendUint(b []byte, name string, v uint64) []byte {
	return msgp.AppendUint64(msgp.AppendString(b, name), v)
}

func appendFloat(b []byte, name string, v float64) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, name), v)
}

func appendBool(b []byte, name string, v bool) []byte {
	return msgp.AppendBool(msgp.AppendString(b, name), v)
}
