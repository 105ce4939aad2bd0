package wire

import (
	"math"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

const (
	// storedSizeMargin covers amounts whose form at the state service is longer
	// than the one here.
	storedSizeMargin = 64
	// escapeBytes is what escaping a byte beyond ASCII adds to it.
	escapeBytes = 2
)

// StoredSize bounds the size at which the state service counts a value: that of its
// JSON form, however it writes amounts and characters beyond ASCII.
func StoredSize(value []byte) int {
	var size byteCounter
	if _, err := msgp.UnmarshalAsJSON(&size, value); err != nil {
		return math.MaxInt
	}
	return int(size) + storedSizeMargin
}

// byteCounter is a writer that counts bytes, as if those beyond ASCII were escaped.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	for _, b := range p {
		*c++
		if b >= utf8.RuneSelf {
			*c += escapeBytes
		}
	}
	return len(p), nil
}
