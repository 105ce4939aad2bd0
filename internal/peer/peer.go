// Package peer exchanges length-delimited protobuf messages between controllers over TCP.
//
// A controller answers the requests of the other controllers with Serve, which calls a Handler, and sends its own
// requests through a Client for each of them. A response carries the ID of its request, so many requests can be
// in flight on one connection. Package peerpb defines the messages.
package peer

//go:generate protoc -I peerpb --go_out=peerpb --go_opt=paths=source_relative peerpb/peer.proto

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
)

const (
	dialTimeout      = time.Second
	writeTimeout     = 2 * time.Second
	idleTimeout      = time.Minute // a server closes a connection that receives nothing for this long
	acceptRetryDelay = 100 * time.Millisecond
	maxMessageBytes  = 1 << 20
	// maxConcurrentRequests bounds the requests that a server handles at the same time on one connection.
	maxConcurrentRequests = 64
)

func readEnvelope(r *bufio.Reader) (*peerpb.Envelope, error) {
	e := &peerpb.Envelope{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(r, e); err != nil {
		return nil, err
	}
	return e, nil
}

// writeEnvelope writes a message. The caller must prevent concurrent writes to conn.
func writeEnvelope(conn net.Conn, e *peerpb.Envelope) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(conn, e)
	return err
}
