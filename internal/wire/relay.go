package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// batchOverhead is how much of a value is no payload, at the most.
const batchOverhead = 100

// RelayBatch is a batch of heartbeats that a member relays through the state service,
// or of the answers to one.
type RelayBatch struct {
	Incarnation uint64 // of the member's process, drawn at its start
	Seq         uint64 // numbers the batches of the incarnation
	Payload     string // envelopes, as package relay packs them
}

// AppendRelayBatch appends the record of a batch.
func AppendRelayBatch(b []byte, batch RelayBatch) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendUint(b, recordBatchIncarnation, batch.Incarnation)
	b = appendUint(b, recordBatchSeq, batch.Seq)
	return appendString(b, recordBatchPayload, batch.Payload)
}

// DecodeRelayBatch reads the record of a batch.
func DecodeRelayBatch(b []byte) (batch RelayBatch, err error) {
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordBatchIncarnation:
			return readUint(b, &batch.Incarnation)
		case recordBatchSeq:
			return readUint(b, &batch.Seq)
		case recordBatchPayload:
			return readString(b, &batch.Payload)
		}
		return b, false, nil
	})
	if err == nil && (batch.Seq == 0 || batch.Payload == "") {
		err = errors.New("not a batch")
	}
	return batch, err
}

// MaxBatchPayload returns how long the payload of a batch may be where a value may
// have maxValueBytes.
func MaxBatchPayload(maxValueBytes int) int { return maxValueBytes - batchOverhead }
