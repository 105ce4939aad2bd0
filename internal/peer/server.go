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

// Handler handles messages from other controllers. Its methods are called concurrently. The context of a method
// is cancelled when the connection is lost or the server stops.
type Handler interface {
	// HandleHeartbeat handles a worker's encoded heartbeat that another controller relays.
	HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer
	// HandleExplain handles an operator's request, forwarded by another controller, to explain why a job is waiting.
	HandleExplain(ctx context.Context, request *peerpb.Ask) *peerpb.AskAnswer
	// HandleVoteRequest handles a leader's request for this controller's vote, the release of that vote, or the
	// question whether this controller leads.
	HandleVoteRequest(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer
	// HandleForwardedRequest handles a user's request that another controller forwards.
	HandleForwardedRequest(ctx context.Context, request *peerpb.Hand) *peerpb.HandAnswer
	// HandleProgress records the progress of unfinished jobs that the leader sends for display. The next message of
	// the connection is not read until it returns.
	HandleProgress(p *peerpb.Progress)
}

// Serve accepts connections from other controllers and answers their requests. To stop it, the caller cancels the
// context, which closes the connections, and then closes the listener. Serve then returns nil, after its connections
// have ended. It retries after network errors of the listener and returns any other error.
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
				time.Sleep(acceptRetryDelay) // probably out of file descriptors for the moment
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

// serverConn is a connection that another controller has opened.
type serverConn struct {
	conn    net.Conn
	handler Handler
	slots   chan struct{} // semaphore that bounds the requests in progress

	writeMu sync.Mutex // guards writes to conn
}

// serveConn answers the requests of a connection until the connection fails or the context ends. It then cancels the
// contexts of the requests that are still in progress.
func serveConn(ctx context.Context, conn net.Conn, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // a failed close needs no handling: the connection is discarded
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	defer closeConn()
	s := &serverConn{conn: conn, handler: h, slots: make(chan struct{}, maxConcurrentRequests)}
	r := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only if the read below fails too
		e, err := readEnvelope(r)
		if err != nil {
			return
		}
		if s.dispatch(ctx, e) != nil {
			return
		}
	}
}

// dispatch handles a progress message itself and starts a goroutine for each request. It ignores messages of unknown
// types. It returns an error if the connection has failed.
func (s *serverConn) dispatch(ctx context.Context, e *peerpb.Envelope) error {
	switch body := e.Body.(type) {
	case *peerpb.Envelope_Progress:
		s.handler.HandleProgress(body.Progress)
	case *peerpb.Envelope_Relay, *peerpb.Envelope_Ask, *peerpb.Envelope_PromiseAsk, *peerpb.Envelope_Hand:
		select {
		case s.slots <- struct{}{}:
			go s.respond(ctx, e)
		default:
			return s.refuse(e)
		}
	}
	return nil
}

// refuse rejects a request that exceeds maxConcurrentRequests. For a forwarded request it responds immediately,
// because a user is waiting. It drops any other request, which the sender repeats after its timeout.
func (s *serverConn) refuse(e *peerpb.Envelope) error {
	if e.GetHand() == nil {
		return nil
	}
	busy := &peerpb.HandAnswer{Cause: uint32(route.Overloaded)}
	return s.write(&peerpb.Envelope{Id: e.GetId(), Body: &peerpb.Envelope_HandAnswer{HandAnswer: busy}})
}

// respond calls the handler and writes its response.
func (s *serverConn) respond(ctx context.Context, e *peerpb.Envelope) {
	defer func() { <-s.slots }()
	response := &peerpb.Envelope{Id: e.GetId()}
	switch body := e.Body.(type) {
	case *peerpb.Envelope_PromiseAsk:
		response.Body = &peerpb.Envelope_PromiseAnswer{PromiseAnswer: s.handler.HandleVoteRequest(ctx, body.PromiseAsk)}
	case *peerpb.Envelope_Hand:
		response.Body = &peerpb.Envelope_HandAnswer{HandAnswer: s.handler.HandleForwardedRequest(ctx, body.Hand)}
	case *peerpb.Envelope_Ask:
		response.Body = &peerpb.Envelope_AskAnswer{AskAnswer: s.handler.HandleExplain(ctx, body.Ask)}
	case *peerpb.Envelope_Relay:
		relayAnswer := s.handler.HandleHeartbeat(ctx, body.Relay.GetReport())
		response.Body = &peerpb.Envelope_RelayAnswer{RelayAnswer: relayAnswer}
	}
	if s.write(response) != nil {
		_ = s.conn.Close() // makes serveConn return
	}
}

func (s *serverConn) write(e *peerpb.Envelope) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return writeEnvelope(s.conn, e)
}
