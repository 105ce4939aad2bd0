package connquota

import (
	"net"
	"time"

	"github.com/glentiller/glentiller/internal/rpc"
)

// Conn is a connection whose socket the budget knows.
type Conn struct {
	net.Conn
	*Holder
}

// Close closes the connection and gives its socket back.
func (c *Conn) Close() error {
	c.Leave()
	return c.Conn.Close()
}

// Listener takes connections in under the budget.
type Listener struct {
	net.Listener
	Budget *Budget
	Owner  Owner
	Now    func() time.Time
	Refuse func(net.Conn) // answers a connection that there is no socket for; it is closed then
}

// Accept waits for the next connection that there is a socket for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		h, err := l.Budget.Enter(l.Now(), l.Owner, func() { _ = c.Close() })
		if err == nil {
			return &Conn{c, h}, nil
		}
		if l.Refuse != nil {
			l.Refuse(c)
		}
		_ = c.Close()
	}
}

// Dial puts the making of connections for an owner under the budget: the socket is asked for
// first. A nil budget bounds nothing.
func (b *Budget) Dial(o Owner) func(rpc.DialFunc) rpc.DialFunc {
	if b == nil {
		return nil
	}
	return func(dial rpc.DialFunc) rpc.DialFunc { return b.dial(o, dial) }
}

func (b *Budget) dial(o Owner, dial rpc.DialFunc) rpc.DialFunc {
	return func(addr string) (net.Conn, error) {
		h, err := b.Enter(time.Time{}, o, nil)
		if err != nil {
			return nil, err
		}
		c, err := dial(addr)
		if err != nil {
			h.Leave()
			return nil, err
		}
		return &Conn{c, h}, nil
	}
}
