package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// maxNestingDepth bounds the depth of nested maps and arrays, because skipping an unknown field is recursive.
const maxNestingDepth = 16

// Validate checks that b is exactly one well-formed MessagePack value and that all keys of its maps are strings. The
// body of a request is validated as a whole before it is decoded, since decoders stop at the first malformed field.
func Validate(b []byte) error {
	rest, err := validateValue(b, maxNestingDepth)
	if err == nil && len(rest) != 0 {
		err = errTrailingBytes
	}
	return err
}

func validateValue(b []byte, depth int) ([]byte, error) {
	if depth == 0 {
		return b, errors.New("maps and arrays are nested too deeply")
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
		return b, errors.New("invalid MessagePack")
	}
	return msgp.Skip(b)
}
