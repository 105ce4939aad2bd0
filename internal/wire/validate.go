package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// maxNesting bounds how deep a message may nest: skipping an unknown field
// recurses.
const maxNesting = 16

// Validate checks that b is exactly one well-formed MessagePack value whose map keys
// are texts. Decoders stop at the first field that is malformed, so the body of a
// request is validated as a whole before it is decoded.
func Validate(b []byte) error {
	rest, err := validateValue(b, maxNesting)
	if err == nil && len(rest) != 0 {
		err = errTrailingBytes
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
