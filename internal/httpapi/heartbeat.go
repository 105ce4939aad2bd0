package httpapi

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// heartbeatTimeout bounds how long a heartbeat may wait for its response: workers
// drop responses after 4 s.
const heartbeatTimeout = 2 * time.Second

// HeartbeatResult is the outcome of a worker's heartbeat.
type HeartbeatResult struct {
	Leading bool   // this controller leads; FencingToken, Commands and LeaseValid are set
	Leader  string // the leader's name as far as it is known, if this controller does not lead
	// FencingToken is the leader's; workers refuse a lower one than they have seen.
	FencingToken uint64
	Commands     []model.Command
	// LeaseValid reports whether the leadership lease holds at the time of the call.
	LeaseValid func() bool
}

func (s *Server) handleHeartbeat(reqCtx *fasthttp.RequestCtx) {
	heartbeat, err := wire.DecodeHeartbeat(reqCtx.PostBody())
	if err != nil {
		s.malformedHeartbeats.Add(1)
		s.malformedLogLimit.Do(func() {
			s.log.Warn("malformed heartbeat", "err", err, "since_last_line", s.malformedHeartbeats.Swap(0))
		})
		s.replyError(reqCtx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	result := s.backend.HandleHeartbeat(ctx, heartbeat)
	// The lease is checked here, where the commands leave, and not only where they
	// were decided: docs/safety.md, "Leadership lease".
	if result.Leading && result.LeaseValid() {
		s.reply(reqCtx, fasthttp.StatusOK, wire.AppendHeartbeatResponse(nil, result.FencingToken, result.Commands))
		return
	}
	if result.Leading {
		s.replyUnavailable(reqCtx, "the right to act has lapsed")
		return
	}
	if body, ok := s.backend.RelayHeartbeat(ctx, heartbeat.Machine, reqCtx.PostBody()); ok {
		s.reply(reqCtx, fasthttp.StatusOK, body)
		return
	}
	s.reply(reqCtx, fasthttp.StatusMisdirectedRequest, wire.AppendLeader(nil, result.Leader))
}
