package connquota

import (
	"net"
	"time"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Conn is a connection whose socket the budget knows.
type Conn struct {
	net.Conn
	*Slot
}

// Close closes the connection and gives its socket back.
func (c *Conn) Close() error {
	c.Release()
	return c.Conn.Close()
}

// Listener takes connections in under the budget.
type Listener struct {
	net.Listener
	Quotas *Quotas
	Class  Class
	Now    func() time.Time
	Reject func(net.Conn) // answers a connection that there is no socket for; it is closed then
}

// Accept waits for the next connection that there is a socket for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		h, err := l.Quotas.Acquire(l.Now(), l.Class, func() { _ = c.Close() })
		if err == nil {
			return &Conn{c, h}, nil
		}
		if l.Reject != nil {
			l.Reject(c)
		}
		_ = c.Close()
	}
}

// Dialer puts the making of connections for an owner under the budget: the socket is asked for
// first. A nil budget bounds nothing.
func (b *Quotas) Dialer(o Class) func(rpc.DialFunc) rpc.DialFunc {
	if b == nil {
		return nil
	}
	return func(dial rpc.DialFunc) rpc.DialFunc { return b.dial(o, dial) }
}

func (b *Quotas) dial(o Class, dial rpc.DialFunc) rpc.DialFunc {
	return func(addr string) (net.Conn, error) {
		h, err := b.Acquire(time.Time{}, o, nil)
		if err != nil {
			return nil, err
		}
		c, err := dial(addr)
		if err != nil {
			h.Release()
			return nil, err
		}
		return &Conn{c, h}, nil
	}
}
