package relay

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// compressors are kept: each holds some hundred KB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // of a level that does not exist
	}
	return w
}}

// Pack makes one text of as many letters as fit into a size, the first ones; 0: not even one does.
// Values at the state service hold nothing binary, so what is compressed is written as base64.
func Pack(letters []Envelope, size int) (text string, n int) {
	for n = len(letters); n > 0; n /= 2 {
		if text = encode(letters[:n]); len(text) <= size {
			return text, n
		}
	}
	return "", 0
}

func encode(letters []Envelope) string {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	var head []byte
	for _, l := range letters {
		head = binary.AppendUvarint(binary.AppendUvarint(head[:0], l.ID), uint64(len(l.Body)))
		_, _ = w.Write(head) // a buffer takes everything
		_, _ = w.Write(l.Body)
	}
	_ = w.Close()
	return base64.RawStdEncoding.EncodeToString(out.Bytes())
}

// maxUnpackedBytes bounds what a batch may unfold to.
const maxUnpackedBytes = 4 << 20

// Unpack reads letters back.
func Unpack(text string) ([]Envelope, error) {
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	all, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(all) > maxUnpackedBytes {
		return nil, errors.New("a batch of letters that unfolds to too much")
	}
	var out []Envelope
	for len(all) > 0 {
		id, n := binary.Uvarint(all)
		if n <= 0 {
			return nil, ErrMalformedBatch
		}
		size, k := binary.Uvarint(all[n:])
		if k <= 0 || size > uint64(len(all)-n-k) {
			return nil, ErrMalformedBatch
		}
		all = all[n+k:]
		out = append(out, Envelope{id, all[:size:size]})
		all = all[size:]
	}
	return out, nil
}

var ErrMalformedBatch = errors.New("not a batch of letters")
