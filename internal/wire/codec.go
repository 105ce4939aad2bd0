// Package wire encodes, decodes and validates the MessagePack messages that controllers exchange with users, workers,
// the cloud and the state service, and the records that they store in the state service.
//
// An Append function appends the encoding of a message or record to a slice and returns the extended slice. The Decode
// function of the same name decodes it. Decoders skip fields that they do not know, so that later versions can add
// fields. The published protocols use unconventional names; names.go maps them to the terms that the code uses. The
// errors of Decode functions are for display only: they describe what is malformed, and callers do not distinguish
// between them.
package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Common reasons why a message is malformed. The texts are shown to users.
var (
	errWrongType     = errors.New("unexpected MessagePack type")
	errTrailingBytes = errors.New("trailing bytes after the message")
	errOutOfRange    = errors.New("value out of range")
	errUnknownValue  = errors.New("unknown value")
	errEmptyValue    = errors.New("must not be empty")
)

// maxAmount bounds resource amounts, and durations in seconds, so that sums of them cannot overflow.
const maxAmount = 1e8

// A fieldFunc decodes the value of the named field, which is at the start of b, and returns the bytes after it. If it
// returns handled=false, the caller skips the value instead.
type fieldFunc func(name string, b []byte) (rest []byte, handled bool, err error)

// eachField decodes a map with string keys. It calls decode for every field that is not null, since null stands for an
// absent field, and returns the bytes after the map.
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
			return b, fmt.Errorf("field %.40q: %w", name, err)
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

// decodeMap decodes a message that must consist of exactly one map.
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

// eachItem decodes an array. It calls decode for every element, and returns the bytes after the array.
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

// The read functions below decode the value of a field into dst. They return the results of a fieldFunc, with
// handled=true.

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

// readUint reads an integer that must not be negative, whether it is encoded as signed or unsigned.
func readUint(b []byte, dst *uint64) ([]byte, bool, error) {
	switch msgp.NextType(b) {
	case msgp.UintType:
		v, rest, err := msgp.ReadUint64Bytes(b)
		*dst = v
		return rest, true, err
	case msgp.IntType:
		v, rest, err := msgp.ReadInt64Bytes(b)
		if err == nil && v < 0 {
			err = errors.New("must not be negative")
		}
		*dst = uint64(v)
		return rest, true, err
	}
	return b, true, errWrongType
}

// readFloat reads a finite floating-point number or an integer.
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
		err = errors.New("must be a finite number")
	}
	*dst = v
	return rest, true, err
}

// readStrings appends the elements of an array of strings to dst.
func readStrings(b []byte, dst *[]string) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var s string
		rest, _, err := readString(b, &s)
		*dst = append(*dst, s)
		return rest, err
	})
	return rest, true, err
}

// readRaw copies the encoded value without decoding it.
func readRaw(b []byte, dst *[]byte) ([]byte, bool, error) {
	rest, err := msgp.Skip(b)
	if err == nil {
		*dst = append([]byte(nil), b[:len(b)-len(rest)]...)
	}
	return rest, true, err
}

// decodeSingleField decodes one field of a message and skips the others. The zero value stands for an absent field.
func decodeSingleField[T any](
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

// decodePositiveUint decodes one integer field of a message, which must be present and positive. It skips the others.
func decodePositiveUint(b []byte, field string) (uint64, error) {
	v, err := decodeSingleField(b, field, readUint)
	if err == nil && v == 0 {
		err = errors.New(field + " is missing or zero")
	}
	return v, err
}

// secondsToDuration converts a number of seconds, the unit of durations on the wire.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}

// The append functions below append the name and the value of a field.

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
