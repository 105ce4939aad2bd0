package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// batchOverheadBytes bounds how much larger a stored batch is than its payload.
const batchOverheadBytes = 100

// RelayBatch is a batch of workers' heartbeats that a member relays to the leader through the state service, or a batch
// of the responses to them.
type RelayBatch struct {
	Incarnation uint64 // of the member that relays the heartbeats; a random number drawn when its process starts
	Seq         uint64 // numbers the batches of heartbeats of an incarnation from 1; responses repeat the number
	Payload     string // heartbeats or responses, encoded by relay.Pack
}

// AppendRelayBatch appends the record of a batch.
func AppendRelayBatch(b []byte, batch RelayBatch) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendUint(b, recordBatchIncarnation, batch.Incarnation)
	b = appendUint(b, recordBatchSeq, batch.Seq)
	return appendString(b, recordBatchPayload, batch.Payload)
}

// DecodeRelayBatch decodes the record of a batch. It does not unpack the payload.
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
		err = errors.New("relay batch has no sequence number or no payload")
	}
	return batch, err
}

// MaxBatchPayload returns the maximum length of a batch's payload in bytes if the state service limits values to
// maxValueBytes.
func MaxBatchPayload(maxValueBytes int) int { return maxValueBytes - batchOverheadBytes }
