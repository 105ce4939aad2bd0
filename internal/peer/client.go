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

// Client sends requests to one other controller over one connection, which it makes when it needs it.
// Its methods may be called concurrently, and return a *RequestError where there is no answer. The
// context bounds the wait for it, not the making of a connection. An old version of the other
// controller leaves requests that it does not know unanswered.
type Client struct {
	addr      string
	dial      rpc.DialFunc
	responses atomic.Uint64 // that have arrived

	mu      sync.Mutex // guards all below, and writes to conn
	conn    net.Conn   // nil: there is none
	dialing bool       // some caller makes a connection
	lastID  uint64
	pending map[uint64]pendingRequest
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	conn     net.Conn              // nil: it has not been sent yet
	response chan *peerpb.Envelope // closed without an answer if the connection is lost
}

// NewClient returns a client of the controller at an address. wrapDial may put the making of
// connections under a condition, see rpc.New; nil: there is none.
func NewClient(addr string, wrapDial func(rpc.DialFunc) rpc.DialFunc) *Client {
	c := &Client{addr: addr, dial: dialTCP, pending: map[uint64]pendingRequest{}}
	if wrapDial != nil {
		c.dial = wrapDial(c.dial)
	}
	return c
}

func dialTCP(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// RelayHeartbeat relays a worker's heartbeat and returns the answer to it.
func (c *Client) RelayHeartbeat(ctx context.Context, heartbeat []byte) (*peerpb.RelayAnswer, error) {
	body := &peerpb.Envelope_Relay{Relay: &peerpb.Relay{Report: heartbeat}}
	answer, err := c.roundTrip(ctx, &peerpb.Envelope{Body: body})
	return answer.GetRelayAnswer(), err
}

// Explain forwards an operator's request to explain why a job waits, and returns the answer.
func (c *Client) Explain(ctx context.Context, request *peerpb.Ask) (*peerpb.AskAnswer, error) {
	answer, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Ask{Ask: request}})
	return answer.GetAskAnswer(), err
}

// RequestVote requests a vote, releases one, or asks whether the other controller leads.
func (c *Client) RequestVote(ctx context.Context, request *peerpb.PromiseAsk) (*peerpb.PromiseAnswer, error) {
	answer, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_PromiseAsk{PromiseAsk: request}})
	return answer.GetPromiseAnswer(), err
}

// ForwardRequest forwards a user's request and returns the answer. If it comes too late, the
// connection is closed only if nothing else has arrived on it meanwhile: one late request says
// nothing about the others.
func (c *Client) ForwardRequest(ctx context.Context, request *peerpb.Hand) (*peerpb.HandAnswer, error) {
	responses := c.responses.Load()
	answer, late, err := c.exchange(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Hand{Hand: request}})
	if late && c.responses.Load() == responses {
		c.closeCurrent()
	}
	return answer.GetHandAnswer(), err
}

// SendProgress sends the leader's progress of unfinished jobs. It waits for no answer: without an
// error it was written to the connection.
func (c *Client) SendProgress(p *peerpb.Progress) error {
	return c.send(&peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: p}})
}

// roundTrip sends a request and waits for its answer. If none comes in time the connection is closed:
// it may be dead although it has not been reset.
func (c *Client) roundTrip(ctx context.Context, request *peerpb.Envelope) (*peerpb.Envelope, error) {
	answer, late, err := c.exchange(ctx, request)
	if late {
		c.closeCurrent()
	}
	return answer, err
}

// exchange sends a request and waits for its answer. late reports that none came in time.
func (c *Client) exchange(
	ctx context.Context, request *peerpb.Envelope,
) (answer *peerpb.Envelope, late bool, err error) {
	id, response := c.register()
	defer c.unregister(id)
	request.Id = id
	if err := c.send(request); err != nil {
		return nil, false, err
	}
	select {
	case answer, ok := <-response:
		if !ok {
			return nil, false, &RequestError{Addr: c.addr, Err: ErrConnectionLost}
		}
		return answer, false, nil
	case <-ctx.Done():
		return nil, true, &RequestError{Addr: c.addr, Err: ctx.Err()}
	}
}

// register adds a pending request.
func (c *Client) register() (id uint64, response <-chan *peerpb.Envelope) {
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

// send writes a message, on a new connection if there is none.
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

// write writes a message, and notes on which connection its answer is to come.
func (c *Client) write(conn net.Conn, e *peerpb.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[e.GetId()]; ok && e.GetId() != 0 {
		p.conn = conn
		c.pending[e.GetId()] = p
	}
	return writeEnvelope(conn, e)
}

// connect returns the connection. Only one caller at a time makes one; the others fail with
// ErrDialing meanwhile, rather than queue behind a dead address.
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

// readLoop passes answers to those who wait for them, until the connection breaks.
func (c *Client) readLoop(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		e, err := readEnvelope(r)
		if err != nil {
			c.closeAndFailPending(conn)
			return
		}
		c.responses.Add(1)
		c.mu.Lock()
		p, ok := c.pending[e.GetId()]
		delete(c.pending, e.GetId())
		c.mu.Unlock()
		if ok {
			p.response <- e
		}
	}
}

// closeCurrent closes the connection, if there is one.
func (c *Client) closeCurrent() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.closeAndFailPending(conn)
	}
}

// closeAndFailPending closes a connection and fails the requests on it at once: a member that has just
// crashed must not hold a request up for all of its time.
func (c *Client) closeAndFailPending(conn net.Conn) {
	_ = conn.Close() // there is nothing to do about the error
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
