package connquota

import (
	"net"
	"time"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Conn is a connection whose socket counts against the quotas until the connection is closed.
type Conn struct {
	net.Conn
	*Slot
}

// Close releases the slot and closes the connection.
func (c *Conn) Close() error {
	c.Release()
	return c.Conn.Close()
}

// Listener accepts connections that are within the quotas, and closes all others.
type Listener struct {
	net.Listener
	Quotas *Quotas
	Class  Class // class that connections have when they are accepted
	Now    func() time.Time
	Reject func(net.Conn) // answers a connection beyond the quotas before it is closed; may be nil
}

// Accept waits for the next connection that is within the quotas. It returns a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		closeConn := func() { _ = conn.Close() } // the goroutine that reads from the connection gets an error
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

// Dialer returns a wrapper for dial functions. A wrapped function acquires a slot of the class before it makes a
// connection, and returns ErrQuotaExhausted if there is none. Dialer may be called on nil quotas; it then returns nil,
// which stands for no limit.
func (q *Quotas) Dialer(class Class) func(rpc.DialFunc) rpc.DialFunc {
	if q == nil {
		return nil
	}
	return func(dial rpc.DialFunc) rpc.DialFunc { return q.limitDial(class, dial) }
}

// limitDial wraps dial for Dialer. It calls Acquire with the zero time, at which no connection counts as idle long
// enough, so dialing a connection evicts none.
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
