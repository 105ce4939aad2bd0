package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

// Handler answers the messages of other controllers. Its methods are called concurrently.
type Handler interface {
	// HandleHeartbeat answers a worker's heartbeat that another controller relays.
	HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer
	// HandleExplain answers an operator's request for an explanation that another controller forwards.
	HandleExplain(ctx context.Context, request *peerpb.Ask) *peerpb.AskAnswer
	// HandleVoteRequest answers a leader that requests a vote, or a member that asks who leads.
	HandleVoteRequest(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer
	// HandleForwardedRequest answers a user's request that another controller cannot serve.
	HandleForwardedRequest(ctx context.Context, request *peerpb.Hand) *peerpb.HandAnswer
	// HandleProgress records the leader's progress of unfinished jobs, for display. The next message of
	// the connection is read only when it has returned.
	HandleProgress(p *peerpb.Progress)
}

// Serve answers the other controllers until the listener is closed. It returns nil if the context has
// ended by then.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) {
				time.Sleep(acceptRetryWait) // out of sockets for the moment
				continue
			}
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			serveConn(ctx, conn, h)
		}()
	}
}

// serverConn is one connection of another controller.
type serverConn struct {
	conn    net.Conn
	handler Handler
	slots   chan struct{} // one for each request that is being answered

	writing sync.Mutex // guards writes to conn
}

// serveConn answers the requests of a connection until it breaks or the context ends. Requests that
// are still being answered then have their context cancelled.
func serveConn(ctx context.Context, conn net.Conn, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // there is nothing to do about the error
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	defer closeConn()
	s := &serverConn{conn: conn, handler: h, slots: make(chan struct{}, maxConcurrentRequests)}
	r := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails if the connection is closed, as the read does
		e, err := readEnvelope(r)
		if err != nil {
			return
		}
		if s.dispatch(ctx, e) != nil {
			return
		}
	}
}

// dispatch handles a message. It returns an error if the connection has broken.
func (s *serverConn) dispatch(ctx context.Context, e *peerpb.Envelope) error {
	switch body := e.Body.(type) {
	case *peerpb.Envelope_Progress:
		s.handler.HandleProgress(body.Progress)
	case *peerpb.Envelope_Relay, *peerpb.Envelope_Ask, *peerpb.Envelope_PromiseAsk, *peerpb.Envelope_Hand:
		select {
		case s.slots <- struct{}{}:
			go s.answer(ctx, e)
		default:
			return s.refuse(e)
		}
	}
	return nil
}

// refuse turns away a request that exceeds maxConcurrentRequests. A user waits for a forwarded one,
// so the sender gets an answer at once; any other request is not answered, and its sender tries again
// after its timeout.
func (s *serverConn) refuse(e *peerpb.Envelope) error {
	if e.GetHand() == nil {
		return nil
	}
	busy := &peerpb.HandAnswer{Cause: uint32(route.Overloaded)}
	return s.write(&peerpb.Envelope{Id: e.GetId(), Body: &peerpb.Envelope_HandAnswer{HandAnswer: busy}})
}

// answer calls the handler and writes its answer.
func (s *serverConn) answer(ctx context.Context, e *peerpb.Envelope) {
	defer func() { <-s.slots }()
	answer := &peerpb.Envelope{Id: e.GetId()}
	switch body := e.Body.(type) {
	case *peerpb.Envelope_PromiseAsk:
		answer.Body = &peerpb.Envelope_PromiseAnswer{PromiseAnswer: s.handler.HandleVoteRequest(ctx, body.PromiseAsk)}
	case *peerpb.Envelope_Hand:
		answer.Body = &peerpb.Envelope_HandAnswer{HandAnswer: s.handler.HandleForwardedRequest(ctx, body.Hand)}
	case *peerpb.Envelope_Ask:
		answer.Body = &peerpb.Envelope_AskAnswer{AskAnswer: s.handler.HandleExplain(ctx, body.Ask)}
	case *peerpb.Envelope_Relay:
		response := s.handler.HandleHeartbeat(ctx, body.Relay.GetReport())
		answer.Body = &peerpb.Envelope_RelayAnswer{RelayAnswer: response}
	}
	if s.write(answer) != nil {
		_ = s.conn.Close() // the reader ends by it
	}
}

func (s *serverConn) write(e *peerpb.Envelope) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	return writeEnvelope(s.conn, e)
}
