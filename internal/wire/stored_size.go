package wire

import (
	"math"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

const (
	// storedSizeMarginBytes allows for numbers that the state service encodes in more characters than msgp does.
	storedSizeMarginBytes = 64
	// escapeOverheadBytes is how many bytes the \uXXXX escape of a non-ASCII character adds, at most, for each byte
	// of the character in UTF-8.
	escapeOverheadBytes = 2
)

// StoredSize returns an upper bound on the size in bytes of an encoded value as the state service measures it, which is
// the length of the value in JSON. The bound holds however the state service writes numbers and non-ASCII characters.
// The result is math.MaxInt if the value is malformed.
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
