package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/rpc"
)

// Client sends requests to one other controller over a single connection, which it opens on demand. It is safe
// for concurrent use. A method that gets no response returns a *RequestError. The context bounds the wait for the
// response but not the dialing of the connection, which has its own timeout. A controller of an older version
// does not respond to request types that it does not know.
type Client struct {
	addr              string
	dial              rpc.DialFunc
	responsesReceived atomic.Uint64 // over all connections

	mu      sync.Mutex                // guards the fields below and writes to conn
	conn    net.Conn                  // nil if there is no open connection
	dialing bool                      // whether a caller is opening a connection
	lastID  uint64                    // ID of the last registered request
	pending map[uint64]pendingRequest // by request ID
}

// pendingRequest is a request whose response has not arrived yet.
type pendingRequest struct {
	conn     net.Conn              // the connection it was sent on, or nil if it has not been sent yet
	response chan *peerpb.Envelope // closed without a value if the connection is lost
}

// NewClient returns a client of the controller at addr. It does not connect yet. wrapDial can wrap the dial
// function to restrict when connections are opened, as with rpc.New. A nil wrapDial means no restriction.
func NewClient(addr string, wrapDial func(rpc.DialFunc) rpc.DialFunc) *Client {
	c := &Client{addr: addr, dial: dialTCP, pending: map[uint64]pendingRequest{}}
	if wrapDial != nil {
		c.dial = wrapDial(c.dial)
	}
	return c
}

func dialTCP(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// RelayHeartbeat relays a worker's encoded heartbeat and returns the response to it.
func (c *Client) RelayHeartbeat(ctx context.Context, heartbeat []byte) (*peerpb.RelayAnswer, error) {
	body := &peerpb.Envelope_Relay{Relay: &peerpb.Relay{Report: heartbeat}}
	response, err := c.roundTrip(ctx, &peerpb.Envelope{Body: body})
	return response.GetRelayAnswer(), err
}

// Explain forwards an operator's request to explain why a job is waiting and returns the response.
func (c *Client) Explain(ctx context.Context, request *peerpb.Ask) (*peerpb.AskAnswer, error) {
	response, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Ask{Ask: request}})
	return response.GetAskAnswer(), err
}

// RequestVote requests the other controller's vote, releases that vote, or asks whether the other controller
// leads. The fields of request determine which.
func (c *Client) RequestVote(ctx context.Context, request *peerpb.PromiseAsk) (*peerpb.PromiseAnswer, error) {
	response, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_PromiseAsk{PromiseAsk: request}})
	return response.GetPromiseAnswer(), err
}

// ForwardRequest forwards a user's request and returns the response. If the context ends first, the connection is
// closed only if no response to any other request has arrived in the meantime: a single slow request does not
// mean that the connection is dead.
func (c *Client) ForwardRequest(ctx context.Context, request *peerpb.Hand) (*peerpb.HandAnswer, error) {
	receivedBefore := c.responsesReceived.Load()
	response, abandoned, err := c.exchange(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Hand{Hand: request}})
	if abandoned && c.responsesReceived.Load() == receivedBefore {
		c.closeCurrent()
	}
	return response.GetHandAnswer(), err
}

// SendProgress sends the progress of unfinished jobs. The message has no response: a nil error means only that it
// was written to the connection.
func (c *Client) SendProgress(p *peerpb.Progress) error {
	return c.send(&peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: p}})
}

// roundTrip sends a request and waits for its response. If the context ends first, the connection is closed: it
// may be dead even though it has not been reset.
func (c *Client) roundTrip(ctx context.Context, request *peerpb.Envelope) (*peerpb.Envelope, error) {
	response, abandoned, err := c.exchange(ctx, request)
	if abandoned {
		c.closeCurrent()
	}
	return response, err
}

// exchange sends a request and waits for its response. abandoned reports that the context ended before the
// response arrived.
func (c *Client) exchange(
	ctx context.Context, request *peerpb.Envelope,
) (response *peerpb.Envelope, abandoned bool, err error) {
	id, responses := c.register()
	defer c.unregister(id)
	request.Id = id
	if err := c.send(request); err != nil {
		return nil, false, err
	}
	select {
	case response, ok := <-responses:
		if !ok {
			return nil, false, &RequestError{Addr: c.addr, Err: ErrConnectionLost}
		}
		return response, false, nil
	case <-ctx.Done():
		return nil, true, &RequestError{Addr: c.addr, Err: ctx.Err()}
	}
}

// register adds a pending request and returns its ID and the channel that delivers its response.
func (c *Client) register() (id uint64, responses <-chan *peerpb.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	ch := make(chan *peerpb.Envelope, 1)
	c.pending[c.lastID] = pendingRequest{response: ch}
	return c.lastID, ch
}

func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// send writes a message to the connection and opens one if necessary.
func (c *Client) send(e *peerpb.Envelope) error {
	conn, err := c.connect()
	if err != nil {
		return &RequestError{Addr: c.addr, NotSent: true, Err: err}
	}
	if err := c.write(conn, e); err != nil {
		c.closeAndFailPending(conn)
		return &RequestError{Addr: c.addr, Err: err}
	}
	return nil
}

// write writes a message to conn. If the message is a pending request, write also records conn in it, so that the
// request fails when conn is lost.
func (c *Client) write(conn net.Conn, e *peerpb.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[e.GetId()]; ok && e.GetId() != 0 {
		p.conn = conn
		c.pending[e.GetId()] = p
	}
	return writeEnvelope(conn, e)
}

// connect returns the open connection or dials a new one. Only one caller dials at a time. Meanwhile the others
// fail with ErrDialing, so that they do not queue up behind an unreachable address.
func (c *Client) connect() (net.Conn, error) {
	c.mu.Lock()
	if c.conn != nil || c.dialing {
		defer c.mu.Unlock()
		if c.conn == nil {
			return nil, ErrDialing
		}
		return c.conn, nil
	}
	c.dialing = true
	c.mu.Unlock()
	conn, err := c.dial(c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = false
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.readLoop(conn)
	return conn, nil
}

// readLoop delivers responses to the pending requests until the connection fails.
func (c *Client) readLoop(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		e, err := readEnvelope(r)
		if err != nil {
			c.closeAndFailPending(conn)
			return
		}
		c.responsesReceived.Add(1)
		c.mu.Lock()
		p, ok := c.pending[e.GetId()]
		delete(c.pending, e.GetId())
		c.mu.Unlock()
		if ok {
			p.response <- e
		}
	}
}

// closeCurrent closes the current connection, if any, and fails the requests that are pending on it.
func (c *Client) closeCurrent() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.closeAndFailPending(conn)
	}
}

// closeAndFailPending closes a connection and immediately fails the requests that are pending on it, so that they
// do not wait for their timeouts when the other controller has crashed.
func (c *Client) closeAndFailPending(conn net.Conn) {
	_ = conn.Close() // a failed close needs no handling: the connection is discarded
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	for id, p := range c.pending {
		if p.conn == conn {
			delete(c.pending, id)
			close(p.response)
		}
	}
}
