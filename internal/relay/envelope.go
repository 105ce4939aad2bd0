package relay

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// Envelope is a relayed heartbeat or the response to one.
type Envelope struct {
	ID   uint64 // numbers the heartbeats of an Outbox; a response has the ID of its heartbeat
	Body []byte
}

// ErrMalformedBatch is returned for a payload that Pack cannot have produced.
var ErrMalformedBatch = errors.New("malformed heartbeat batch")

// maxUnpackedBytes bounds the decompressed size of a payload.
const maxUnpackedBytes = 4 << 20

// compressors pools the writers for reuse, since each allocates several hundred KB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // only an invalid compression level is an error
	}
	return w
}}

// Pack encodes the first count envelopes as a payload of at most maxBytes. It tries all envelopes first and halves
// their number until the payload fits; count is 0 if even a single one does not fit. The payload is text, because
// the state service cannot store binary values.
func Pack(envelopes []Envelope, maxBytes int) (payload string, count int) {
	for count = len(envelopes); count > 0; count /= 2 {
		if payload = encode(envelopes[:count]); len(payload) <= maxBytes {
			return payload, count
		}
	}
	return "", 0
}

func encode(envelopes []Envelope) string {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	var header []byte
	for _, e := range envelopes {
		header = binary.AppendUvarint(header[:0], e.ID)
		header = binary.AppendUvarint(header, uint64(len(e.Body)))
		_, _ = w.Write(header) // writing to a bytes.Buffer never fails
		_, _ = w.Write(e.Body)
	}
	_ = w.Close()
	return base64.RawStdEncoding.EncodeToString(out.Bytes())
}

// Unpack decodes a payload of Pack. Its errors wrap ErrMalformedBatch.
func Unpack(payload string) ([]Envelope, error) {
	rest, err := decompress(payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedBatch, err)
	}
	var envelopes []Envelope
	for len(rest) > 0 {
		id, idBytes := binary.Uvarint(rest)
		if idBytes <= 0 {
			return nil, fmt.Errorf("%w: truncated envelope ID", ErrMalformedBatch)
		}
		rest = rest[idBytes:]
		size, sizeBytes := binary.Uvarint(rest)
		if sizeBytes <= 0 || size > uint64(len(rest)-sizeBytes) {
			return nil, fmt.Errorf("%w: truncated envelope body", ErrMalformedBatch)
		}
		rest = rest[sizeBytes:]
		envelopes = append(envelopes, Envelope{id, rest[:size:size]})
		rest = rest[size:]
	}
	return envelopes, nil
}

func decompress(payload string) ([]byte, error) {
	compressed, err := base64.RawStdEncoding.DecodeString(payload)
	if err != nil {
		return nil, err
	}
	r := flate.NewReader(bytes.NewReader(compressed))
	content, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if err := r.Close(); err != nil {
		return nil, err
	}
	if len(content) > maxUnpackedBytes {
		return nil, fmt.Errorf("decompressed payload exceeds %d bytes", maxUnpackedBytes)
	}
	return content, nil
}
