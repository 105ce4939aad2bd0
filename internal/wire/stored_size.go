package wire

import (
	"math"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

const (
	// storedSizeMarginBytes allows for numbers that the state service encodes in more characters than msgp does.
	storedSizeMarginBytes = 64
	// escapeOverheadBytes is the number of bytes by which escaping lengthens each byte of a non-ASCII character.
	escapeOverheadBytes = 2
)

// StoredSize returns an upper bound on the size in bytes that the state service counts for an encoded value. It counts
// the JSON form of the value; the bound holds however it formats numbers and non-ASCII characters. The result is
// math.MaxInt if value is malformed.
func StoredSize(value []byte) int {
	var size byteCounter
	if _, err := msgp.UnmarshalAsJSON(&size, value); err != nil {
		return math.MaxInt
	}
	return int(size) + storedSizeMarginBytes
}

// byteCounter is an io.Writer that counts bytes as if all non-ASCII characters were escaped.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	for _, b := range p {
		*c++
		if b >= utf8.RuneSelf {
			*c += escapeOverheadBytes
		}
	}
	return len(p), nil
}
