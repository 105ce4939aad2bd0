package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

var errJobUnknownToLeader = errors.New("the leader has not heard of the job yet")

// explain returns the leader's explanation of why tasks of a job are waiting, as JSON. It returns errNotFound if the
// job has ended or never existed, and errJobUnknownToLeader if the leader has not read the job's record yet.
func (s *Server) explain(ctx context.Context, id string) (any, error) {
	if !model.ValidJobID(id) {
		return nil, fmt.Errorf("%w: %q is not the id of a job", errBadRequest, id)
	}
	if err := s.waitForReadLimit(ctx); err != nil {
		return nil, err
	}
	explanation, err := s.controller.Explain(ctx, id)
	if err != nil || len(explanation) > 0 {
		return json.RawMessage(explanation), err
	}
	state, err := s.controller.JobState(ctx, id)
	switch {
	case err != nil:
		return nil, err
	case state == wire.StateUnknown:
		return nil, fmt.Errorf("%w: no job %s was ever accepted", errNotFound, id)
	case state.Ended():
		return nil, fmt.Errorf("%w: job %s is over: %s", errNotFound, id, state)
	}
	return nil, errJobUnknownToLeader
}
