// Package wire holds the messages of the outside interfaces: their field names,
// their MessagePack forms and the checks on what comes in. The names that only
// the wire uses (baton, tiller, shift, ...) stay in here.
package wire

import (
	"errors"
	"fmt"
	"math"

	"github.com/tinylib/msgp/msgp"
)

// errWrongType is returned for a field of a wrong type.
var errWrongType = errors.New("wrong type")

// maxNesting bounds how deep a message may nest: skipping an unknown field
// recurses.
const maxNesting = 16

// eachField walks a map with text keys. For every field that is not null it
// calls f, which consumes the value, or returns handled=false to have it
// skipped. Null stands for an absent field.
func eachField(b []byte, f func(key string, b []byte) (rest []byte, handled bool, err error)) ([]byte, error) {
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
		var key []byte
		if key, b, err = msgp.ReadStringZC(b); err != nil {
			return b, err
		}
		if len(b) == 0 {
			return b, msgp.ErrShortBytes
		}
		if msgp.IsNil(b) {
			b = b[1:]
			continue
		}
		rest, handled, err := f(string(key), b)
		if err != nil {
			return b, fmt.Errorf("%.40q: %w", key, err)
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
func decodeMap(b []byte, f func(key string, b []byte) ([]byte, bool, error)) error {
	rest, err := eachField(b, f)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return errors.New("bytes behind the message")
	}
	return nil
}

// eachItem walks a list.
func eachItem(b []byte, f func(b []byte) ([]byte, error)) ([]byte, error) {
	if msgp.NextType(b) != msgp.ArrayType {
		return b, errWrongType
	}
	n, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return b, err
	}
	for ; n > 0; n-- {
		if b, err = f(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// readString reads a text.
func readString(b []byte, to *string) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.StrType {
		return b, true, errWrongType
	}
	s, rest, err := msgp.ReadStringBytes(b)
	*to = s
	return rest, true, err
}

// readBool reads a boolean.
func readBool(b []byte, to *bool) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.BoolType {
		return b, true, errWrongType
	}
	v, rest, err := msgp.ReadBoolBytes(b)
	*to = v
	return rest, true, err
}

// readUint reads an integer of zero or more.
func readUint(b []byte, to *uint64) ([]byte, bool, error) {
	switch msgp.NextType(b) {
	case msgp.UintType:
		v, rest, err := msgp.ReadUint64Bytes(b)
		*to = v
		return rest, true, err
	case msgp.IntType:
		v, rest, err := msgp.ReadInt64Bytes(b)
		if err == nil && v < 0 {
			err = errors.New("negative")
		}
		*to = uint64(v)
		return rest, true, err
	}
	return b, true, errWrongType
}

// readFloat reads a decimal; an integer is a good decimal. It must be finite.
func readFloat(b []byte, to *float64) ([]byte, bool, error) {
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
	*to = v
	return rest, true, err
}

// readStrings reads a list of texts.
func readStrings(b []byte, to *[]string) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var s string
		rest, _, err := readString(b, &s)
		*to = append(*to, s)
		return rest, err
	})
	return rest, true, err
}

// Validate tells whether b is exactly one well-formed MessagePack value. Decoders
// below stop at what they need, so a body from outside passes this first.
func Validate(b []byte) error {
	rest, err := validateValue(b, maxNesting)
	if err == nil && len(rest) != 0 {
		err = errors.New("bytes behind the message")
	}
	return err
}

func validateValue(b []byte, depth int) ([]byte, error) {
	if depth == 0 {
		return b, errors.New("nested too deep")
	}
	switch msgp.NextType(b) {
	case msgp.MapType:
		n, b, err := msgp.ReadMapHeaderBytes(b)
		for ; err == nil && n > 0; n-- {
			if msgp.NextType(b) != msgp.StrType {
				return b, errWrongType
			}
			if b, err = msgp.Skip(b); err == nil {
				b, err = validateValue(b, depth-1)
			}
		}
		return b, err
	case msgp.ArrayType:
		n, b, err := msgp.ReadArrayHeaderBytes(b)
		for ; err == nil && n > 0; n-- {
			b, err = validateValue(b, depth-1)
		}
		return b, err
	case msgp.InvalidType:
		return b, errors.New("not MessagePack")
	}
	return msgp.Skip(b)
}

func appendString(b []byte, key, v string) []byte {
	return msgp.AppendString(msgp.AppendString(b, key), v)
}

func appendStrings(b []byte, key string, list []string) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(b, key), uint32(len(list)))
	for _, s := range list {
		b = msgp.AppendString(b, s)
	}
	return b
}

func appendUint(b []byte, key string, v uint64) []byte {
	return msgp.AppendUint64(msgp.AppendString(b, key), v)
}

func appendFloat(b []byte, key string, v float64) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, key), v)
}

func appendBool(b []byte, key string, v bool) []byte {
	return msgp.AppendBool(msgp.AppendString(b, key), v)
}
