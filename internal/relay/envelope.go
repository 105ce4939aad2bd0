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

// Envelope is a heartbeat in flight, or the response to one.
type Envelope struct {
	ID   uint64
	Body []byte
}

// ErrMalformedBatch says that a payload was not made by Pack.
var ErrMalformedBatch = errors.New("malformed batch of heartbeats")

// maxUnpackedBytes bounds what a payload may decompress to.
const maxUnpackedBytes = 4 << 20

// compressors are reused, since each holds some hundred KB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // of a level that does not exist
	}
	return w
}}

// Pack makes a payload of at most maxBytes from the first envelopes, and returns how many of them it
// holds; 0: not even one fits. It is text, since values at the state service can't be binary.
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
		_, _ = w.Write(header) // a buffer takes everything
		_, _ = w.Write(e.Body)
	}
	_ = w.Close()
	return base64.RawStdEncoding.EncodeToString(out.Bytes())
}

// Unpack returns the envelopes of a payload. Its errors are ErrMalformedBatch.
func Unpack(payload string) ([]Envelope, error) {
	rest, err := decompress(payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedBatch, err)
	}
	var envelopes []Envelope
	for len(rest) > 0 {
		id, idBytes := binary.Uvarint(rest)
		if idBytes <= 0 {
			return nil, fmt.Errorf("%w: an id is cut off", ErrMalformedBatch)
		}
		rest = rest[idBytes:]
		size, sizeBytes := binary.Uvarint(rest)
		if sizeBytes <= 0 || size > uint64(len(rest)-sizeBytes) {
			return nil, fmt.Errorf("%w: a body is cut off", ErrMalformedBatch)
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
		return nil, fmt.Errorf("more than %d bytes", maxUnpackedBytes)
	}
	return content, nil
}
