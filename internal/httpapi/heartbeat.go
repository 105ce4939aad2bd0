package httpapi

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// heartbeatTimeout bounds the time to answer a heartbeat. Workers ignore responses that arrive after 4 s.
const heartbeatTimeout = 2 * time.Second

// HeartbeatResult is the result of processing a worker's heartbeat.
type HeartbeatResult struct {
	// Leading says that this controller is the leader. LeaseValid is then set, and FencingToken and Commands may be
	// sent only while it returns true.
	Leading bool
	// Leader is the name of the leader if this controller does not lead. It is empty if the leader is unknown.
	Leader string
	// FencingToken is the fencing token of the leader. Workers refuse a token lower than the highest
	// that they have seen.
	FencingToken uint64
	// Commands are the commands that the response carries to the worker.
	Commands []model.Command
	// LeaseValid reports whether the leadership lease is valid at the time of the call.
	LeaseValid func() bool
}

func (s *Server) handleHeartbeat(reqCtx *fasthttp.RequestCtx) {
	heartbeat, err := wire.DecodeHeartbeat(reqCtx.PostBody())
	if err != nil {
		s.malformedHeartbeats.Add(1)
		s.malformedLogLimit.Do(func() {
			s.log.Warn("malformed heartbeat rejected", "err", err, "since_last_line", s.malformedHeartbeats.Swap(0))
		})
		s.replyError(reqCtx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	result := s.backend.HandleHeartbeat(ctx, heartbeat)
	// The lease is checked here, immediately before the commands are sent, and not only when they were decided: see
	// docs/safety.md, "Leadership lease".
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
