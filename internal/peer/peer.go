// Package peer carries protobuf messages between controllers over TCP, each with its length before
// it. A controller answers the others with Serve, which calls a Handler; it sends its own requests
// through one Client for each other controller. Requests and answers carry an id, so that many are
// under way on one connection. The messages are in package peerpb.
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
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	idleTimeout     = time.Minute // after which a server closes a connection that brings nothing
	acceptRetryWait = 100 * time.Millisecond
	maxMessageBytes = 1 << 20
	// maxConcurrentRequests is how many requests a server answers at once for each connection.
	maxConcurrentRequests = 64
)

// readEnvelope reads the next message.
func readEnvelope(r *bufio.Reader) (*peerpb.Envelope, error) {
	e := &peerpb.Envelope{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(r, e); err != nil {
		return nil, err
	}
	return e, nil
}

// writeEnvelope writes a message. The caller keeps others from writing to the connection.
func writeEnvelope(conn net.Conn, e *peerpb.Envelope) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(conn, e)
	return err
}
