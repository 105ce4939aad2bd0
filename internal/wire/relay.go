package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// RelayBatch is a batch of reports that a member hands over by way of the state service, or of the
// answers to one.
type RelayBatch struct {
	Incarnation uint64 // drawn at the start of the member's process
	Seq         uint64 // numbers that life's batches
	Payload     string // letters, as package courier packs them
}

// AppendRelayBatch writes a batch.
func AppendRelayBatch(b []byte, v RelayBatch) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 3), "life", v.Incarnation)
	b = appendUint(b, "seq", v.Seq)
	return appendString(b, "text", v.Payload)
}

// DecodeRelayBatch reads a batch.
func DecodeRelayBatch(b []byte) (v RelayBatch, err error) {
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "life":
			return readUint(b, &v.Incarnation)
		case "seq":
			return readUint(b, &v.Seq)
		case "text":
			return readString(b, &v.Payload)
		}
		return b, false, nil
	})
	if err == nil && (v.Seq == 0 || v.Payload == "") {
		err = errors.New("not a batch")
	}
	return v, err
}

// MaxBatchPayload is how much text a batch may have where values are bounded.
func MaxBatchPayload(value int) int { return value - 100 }
