package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"lukechampine.com/blake3"
)

const (
	hashBytes = 16 // size of a segment's hash
	keyBytes  = 32 // size of the key of a keyed hash

	// keyContext is the key derivation context. It separates the key from others that are derived from the same
	// secret.
	keyContext = "glentiller ledger pages, version 1"

	// minHashedAmounts is the number of amounts that the first version of the ledger hashed. Amounts that were added
	// later are only hashed up to the last one that is not zero, so that the hashes of older segments stay valid.
	minHashedAmounts = 13
)

// The errors of SegmentHasher.Verify and OpenSegment.VerifyOpen.
var (
	// ErrGap means that at least one segment of the chain is missing.
	ErrGap = errors.New("segments are missing")
	// ErrChanged means that a segment was changed after it was closed, or was not hashed with the same key.
	ErrChanged = errors.New("content was changed")
)

// SegmentHasher computes the hashes of segments. If it has a key, a segment can be changed undetected only by someone
// who knows the key. Without a key, hashes reveal only accidental changes.
type SegmentHasher struct{ key []byte }

// NewSegmentHasher returns a SegmentHasher whose key is derived from the secret. If the secret is empty, the hasher has
// no key.
func NewSegmentHasher(secret []byte) *SegmentHasher {
	hasher := &SegmentHasher{}
	if len(secret) > 0 {
		hasher.key = make([]byte, keyBytes)
		blake3.DeriveKey(hasher.key, keyContext, secret)
	}
	return hasher
}

// Hash returns the hexadecimal hash of a segment's content, which excludes Segment.Hash.
func (s *SegmentHasher) Hash(segment *Segment) string {
	hash := blake3.New(hashBytes, s.key)
	_, _ = hash.Write(segment.canonical()) // never returns an error
	return hex.EncodeToString(hash.Sum(nil))
}

// canonical returns the hashed encoding of a segment: all fields except Hash. It is independent of the encoding of
// stored records and must never change, because stored hashes would become invalid.
func (s *Segment) canonical() []byte {
	encoded := fmt.Appendf(nil, "1 %q %d %d %d %d %q %q\n",
		s.Team, s.First, s.Last, s.Unit, s.Start.Unix(), s.PrevLink, s.LastMergedLink)
	for _, class := range s.Usage {
		encoded = strconv.AppendQuote(encoded, class.Class)
		numbers := class.Numbers()
		for len(numbers) > minHashedAmounts && numbers[len(numbers)-1] == 0 {
			numbers = numbers[:len(numbers)-1]
		}
		for _, n := range numbers {
			encoded = strconv.AppendUint(append(encoded, ' '), n, 10)
		}
		encoded = append(encoded, '\n')
	}
	return encoded
}

// Verify checks consecutive closed segments of one team. last and link are the number and the link of the segment
// before them; they are 0 and "" if segments starts with the team's first one. Verify returns the number and the link
// of the last valid segment, from which a later call can continue. If a segment is not valid, the error wraps ErrGap
// or ErrChanged.
func (s *SegmentHasher) Verify(segments []Segment, last uint64, link string) (uint64, string, error) {
	for i := range segments {
		segment := &segments[i]
		switch {
		case segment.First != last+1 || segment.Last < segment.First:
			return last, link, fmt.Errorf("%w: segment %d follows segment %d", ErrGap, segment.First, last)
		case segment.PrevLink != link:
			return last, link, fmt.Errorf("segment %d does not link to the segment before it: %w in one of them",
				segment.First, ErrChanged)
		case s.Hash(segment) != segment.Hash:
			return last, link, fmt.Errorf("segment %d: %w", segment.First, ErrChanged)
		}
		last, link = segment.Last, segment.Link()
	}
	return last, link, nil
}

// VerifyOpen checks that the open segment directly follows the last closed one, which has the number last and the
// given link. An error wraps ErrGap or ErrChanged.
func (o *OpenSegment) VerifyOpen(last uint64, link string) error {
	if o.Number != last+1 {
		return fmt.Errorf("%w: open segment %d follows segment %d", ErrGap, o.Number, last)
	}
	if o.PrevLink != link {
		return fmt.Errorf("segment %d: %w: the link of the open segment does not match", last, ErrChanged)
	}
	return nil
}
