package connquota

import (
	"net"
	"time"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Conn is a connection with a slot in the quotas.
type Conn struct {
	net.Conn
	*Slot
}

// Close closes the connection and releases its slot.
func (c *Conn) Close() error {
	c.Release()
	return c.Conn.Close()
}

// Listener accepts connections within the quotas.
type Listener struct {
	net.Listener
	Quotas *Quotas
	Class  Class // of connections when they are accepted
	Now    func() time.Time
	Reject func(net.Conn) // if not nil, answers a connection beyond the quotas before it is closed
}

// Accept waits for the next connection that there is a socket for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		closeConn := func() { _ = conn.Close() } // its reader gets the error
		slot, err := l.Quotas.Acquire(l.Now(), l.Class, closeConn)
		if err == nil {
			return &Conn{conn, slot}, nil
		}
		if l.Reject != nil {
			l.Reject(conn)
		}
		closeConn()
	}
}

// Dialer returns a wrapper of dial functions that acquires a slot of a class before
// each connection is made. On nil quotas it returns nil: no limit.
func (q *Quotas) Dialer(class Class) func(rpc.DialFunc) rpc.DialFunc {
	if q == nil {
		return nil
	}
	return func(dial rpc.DialFunc) rpc.DialFunc { return q.limitDial(class, dial) }
}

func (q *Quotas) limitDial(class Class, dial rpc.DialFunc) rpc.DialFunc {
	return func(addr string) (net.Conn, error) {
		slot, err := q.Acquire(time.Time{}, class, nil)
		if err != nil {
			return nil, err
		}
		conn, err := dial(addr)
		if err != nil {
			slot.Release()
			return nil, err
		}
		return &Conn{conn, slot}, nil
	}
}
