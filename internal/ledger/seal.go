package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"lukechampine.com/blake3"
)

const (
	sumBytes = 16 // of a segment's hash
	keyBytes = 32 // of the key of a hash

	// keyContext separates the keys of segments from others that are derived from the same secret.
	keyContext = "glentiller ledger pages, version 1"

	// canonicalNumbers is how many amounts the first version hashed. Later ones that are zero do not change a hash.
	canonicalNumbers = 13
)

// What Verify and VerifyOpen find.
var (
	ErrGap     = errors.New("pages are missing")
	ErrChanged = errors.New("the page was changed")
)

// Seal computes the hashes of segments. With a key, only who has it can change a segment without being noticed; without
// one, hashes only reveal accidents.
type Seal struct{ key []byte }

// NewSeal returns a seal with a key that is derived from a secret; an empty secret: without a key.
func NewSeal(secret []byte) *Seal {
	s := &Seal{}
	if len(secret) > 0 {
		s.key = make([]byte, keyBytes)
		blake3.DeriveKey(s.key, keyContext, secret)
	}
	return s
}

// Sum is the hash of a segment's content.
func (s *Seal) Sum(segment *Segment) string {
	hash := blake3.New(sumBytes, s.key)
	_, _ = hash.Write(segment.canonical()) // a hash accepts everything
	return hex.EncodeToString(hash.Sum(nil))
}

// canonical is all that a segment holds but its hash, in a form that does not depend on how records are stored and must
// never change.
func (s *Segment) canonical() []byte {
	b := fmt.Appendf(nil, "1 %q %d %d %d %d %q %q\n", s.Team, s.First, s.Last, s.Unit, s.Start.Unix(), s.Prev, s.Head)
	for _, class := range s.Usage {
		b = strconv.AppendQuote(b, class.Class)
		numbers := class.Numbers()
		for len(numbers) > canonicalNumbers && numbers[len(numbers)-1] == 0 {
			numbers = numbers[:len(numbers)-1]
		}
		for _, n := range numbers {
			b = strconv.AppendUint(append(b, ' '), n, 10)
		}
		b = append(b, '\n')
	}
	return b
}

// Verify checks the segments of one team, in order, that follow a segment with a number and link (0 and "": the first
// one). It returns the number and link of the last segment that is right, to go on from, and what is wrong with the
// next one: ErrGap or ErrChanged.
func (s *Seal) Verify(segments []Segment, last uint64, link string) (uint64, string, error) {
	for i := range segments {
		segment := &segments[i]
		switch {
		case segment.First != last+1 || segment.Last < segment.First:
			return last, link, fmt.Errorf("%w: page %d follows page %d", ErrGap, segment.First, last)
		case segment.Prev != link:
			return last, link, fmt.Errorf("page %d: %w, or the one before it: it names another before it",
				segment.First, ErrChanged)
		case s.Sum(segment) != segment.Sum:
			return last, link, fmt.Errorf("page %d: %w", segment.First, ErrChanged)
		}
		last, link = segment.Last, segment.Link()
	}
	return last, link, nil
}

// VerifyOpen checks that the open segment follows the last closed one. Its error is ErrGap or ErrChanged.
func (o *OpenSegment) VerifyOpen(last uint64, link string) error {
	if o.Number != last+1 {
		return fmt.Errorf("%w: the open page %d follows page %d", ErrGap, o.Number, last)
	}
	if o.Prev != link {
		return fmt.Errorf("page %d: %w: the open page names another before it", last, ErrChanged)
	}
	return nil
}
