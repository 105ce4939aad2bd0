// Package peer carries protobuf messages between controllers over TCP.
package peer

//go:generate protoc -I peerpb --go_out=peerpb --go_opt=paths=source_relative peerpb/peer.proto

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/rpc"
)

// Handler is what a controller does with messages of the others.
type Handler interface {
	// HandleHeartbeat answers a worker's report that another controller hands over.
	HandleHeartbeat(ctx context.Context, report []byte) *peerpb.RelayAnswer
	// HandleExplain answers an operator's question that another controller hands over.
	HandleExplain(ctx context.Context, q *peerpb.Ask) *peerpb.AskAnswer
	// HandleVoteRequest answers a leader that asks for a promise, or a member that asks who leads.
	HandleVoteRequest(ctx context.Context, q *peerpb.PromiseAsk) *peerpb.PromiseAnswer
	// HandleForwardedRequest answers a user's request that another controller cannot take.
	HandleForwardedRequest(ctx context.Context, q *peerpb.Hand) *peerpb.HandAnswer
	// HandleProgress takes what the leader tells for display.
	HandleProgress(p *peerpb.Progress)
}

const (
	dialTimeout           = time.Second
	writeTimeout          = 2 * time.Second
	idleTimeout           = time.Minute
	maxMessageBytes       = 1 << 20
	maxConcurrentRequests = 64 // at once, for each connection
)

// Serve answers the other controllers until the listener is closed.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) {
				time.Sleep(100 * time.Millisecond) // out of sockets for a moment
				continue
			}
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			serveConn(ctx, c, h)
		}()
	}
}

func serveConn(ctx context.Context, c net.Conn, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	var mu sync.Mutex
	room := make(chan struct{}, maxConcurrentRequests)
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		e := &peerpb.Envelope{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(r, e); err != nil {
			return
		}
		switch b := e.Body.(type) {
		case *peerpb.Envelope_Progress:
			h.HandleProgress(b.Progress)
		case *peerpb.Envelope_Relay, *peerpb.Envelope_Ask, *peerpb.Envelope_PromiseAsk, *peerpb.Envelope_Hand:
			select {
			case room <- struct{}{}:
			default:
				if e.GetHand() == nil {
					continue // the other side's wait runs out; it tries again
				}
				// A user waits: the other side has it answered elsewhere, or sends the user away.
				mu.Lock()
				err := writeEnvelope(c, &peerpb.Envelope{Id: e.GetId(), Body: &peerpb.Envelope_HandAnswer{HandAnswer: &peerpb.HandAnswer{Cause: uint32(route.Overloaded)}}})
				mu.Unlock()
				if err != nil {
					return
				}
				continue
			}
			go func() {
				defer func() { <-room }()
				a := &peerpb.Envelope{Id: e.GetId()}
				if q := e.GetPromiseAsk(); q != nil {
					a.Body = &peerpb.Envelope_PromiseAnswer{PromiseAnswer: h.HandleVoteRequest(ctx, q)}
				} else if q := e.GetHand(); q != nil {
					a.Body = &peerpb.Envelope_HandAnswer{HandAnswer: h.HandleForwardedRequest(ctx, q)}
				} else if ask := e.GetAsk(); ask != nil {
					a.Body = &peerpb.Envelope_AskAnswer{AskAnswer: h.HandleExplain(ctx, ask)}
				} else {
					a.Body = &peerpb.Envelope_RelayAnswer{RelayAnswer: h.HandleHeartbeat(ctx, e.GetRelay().GetReport())}
				}
				mu.Lock()
				defer mu.Unlock()
				if writeEnvelope(c, a) != nil {
					_ = c.Close()
				}
			}()
		}
	}
}

func writeEnvelope(c net.Conn, e *peerpb.Envelope) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := protodelim.MarshalTo(c, e)
	return err
}

// Client talks to one other controller over one connection, which it makes when
// it needs it.
type Client struct {
	addr      string
	dial      rpc.DialFunc
	responses atomic.Uint64 // answers that have come

	mu      sync.Mutex
	conn    net.Conn
	dialing bool
	lastID  uint64
	pending map[uint64]pendingRequest
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	conn     net.Conn // nil: it has not been sent yet
	response chan *peerpb.Envelope
}

// NewClient makes a client; connections are made under a condition (rpc.New).
func NewClient(addr string, under func(rpc.DialFunc) rpc.DialFunc) *Client {
	c := &Client{addr: addr, dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) },
		pending: map[uint64]pendingRequest{}}
	if under != nil {
		c.dial = under(c.dial)
	}
	return c
}

// ErrDialing says that a connection is being made, for somebody else.
var ErrDialing = errors.New("a connection is being made")

// connect returns the connection. Only one caller at a time makes one; the
// others are turned away meanwhile, rather than queued behind a dead address.
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

func (c *Client) readLoop(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		e := &peerpb.Envelope{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(r, e); err != nil {
			c.closeAndFailPending(conn)
			return
		}
		c.responses.Add(1)
		c.mu.Lock()
		w, ok := c.pending[e.GetId()]
		delete(c.pending, e.GetId())
		c.mu.Unlock()
		if ok {
			w.response <- e
		}
	}
}

// closeAndFailPending closes a connection. What waits for an answer on it waits no longer: guards against a
// request that is held up for all of its time by a member that has just crashed.
func (c *Client) closeAndFailPending(conn net.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	for id, w := range c.pending {
		if w.conn == conn {
			delete(c.pending, id)
			close(w.response)
		}
	}
}

func (c *Client) send(e *peerpb.Envelope) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	c.mu.Lock()
	if w, ok := c.pending[e.GetId()]; ok && e.GetId() != 0 {
		w.conn = conn
		c.pending[e.GetId()] = w
	}
	err = writeEnvelope(conn, e)
	c.mu.Unlock()
	if err != nil {
		c.closeAndFailPending(conn)
	}
	return err
}

// RelayHeartbeat hands a worker's report to this controller and waits for its answer.
func (c *Client) RelayHeartbeat(ctx context.Context, report []byte) (*peerpb.RelayAnswer, error) {
	a, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Relay{Relay: &peerpb.Relay{Report: report}}})
	return a.GetRelayAnswer(), err
}

// Explain hands an operator's question to this controller and waits for its answer. An old
// version does not answer.
func (c *Client) Explain(ctx context.Context, q *peerpb.Ask) (*peerpb.AskAnswer, error) {
	a, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Ask{Ask: q}})
	return a.GetAskAnswer(), err
}

// RequestVote asks this member for its promise, or whether it leads. An old version does not
// answer.
func (c *Client) RequestVote(ctx context.Context, q *peerpb.PromiseAsk) (*peerpb.PromiseAnswer, error) {
	a, err := c.roundTrip(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_PromiseAsk{PromiseAsk: q}})
	return a.GetPromiseAnswer(), err
}

// ForwardRequest hands a user's request to this controller and waits for its answer. An old version does
// not answer. A connection on which nothing at all has come meanwhile may be dead without a word:
// it is closed.
func (c *Client) ForwardRequest(ctx context.Context, q *peerpb.Hand) (*peerpb.HandAnswer, error) {
	heard := c.responses.Load()
	a, late, err := c.exchange(ctx, &peerpb.Envelope{Body: &peerpb.Envelope_Hand{Hand: q}})
	if late && c.responses.Load() == heard {
		c.closeCurrent()
	}
	return a.GetHandAnswer(), err
}

// closeCurrent closes the connection.
func (c *Client) closeCurrent() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.closeAndFailPending(conn)
	}
}

// roundTrip sends a request and waits for its answer. A connection that does not answer may be dead
// without a word: it is closed.
func (c *Client) roundTrip(ctx context.Context, q *peerpb.Envelope) (*peerpb.Envelope, error) {
	a, late, err := c.exchange(ctx, q)
	if late {
		c.closeCurrent()
	}
	return a, err
}

var ErrConnectionLost = errors.New("the connection was lost")

// exchange sends a request and waits for its answer; late tells that none came in time.
func (c *Client) exchange(ctx context.Context, q *peerpb.Envelope) (a *peerpb.Envelope, late bool, err error) {
	got := make(chan *peerpb.Envelope, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = pendingRequest{response: got}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	q.Id = id
	if err := c.send(q); err != nil {
		return nil, false, err
	}
	select {
	case a, ok := <-got:
		if !ok {
			return nil, false, ErrConnectionLost
		}
		return a, false, nil
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
}

// SendProgress tells this controller how far jobs are.
func (c *Client) SendProgress(p *peerpb.Progress) error {
	return c.send(&peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: p}})
}
