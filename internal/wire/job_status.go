package wire

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// JobState is the state of a job as published to users.
type JobState uint8

// The published states of a job.
const (
	StateUnknown JobState = iota // no such job was accepted, or its state is not known
	StateQueued                  // accepted and not running; in stored records, any unfinished job
	StateRunning
	StateDone
	StateCancelled
)

// String returns the published name of the state, which is empty for StateUnknown.
func (s JobState) String() string {
	return [...]string{"", "queued", "running", "done", "withdrawn"}[s]
}

// Ended reports whether the state is final: the job is done or cancelled.
func (s JobState) Ended() bool { return s == StateDone || s == StateCancelled }

// Outcome returns the outcome of a job in this state. It is model.OutcomeUnknown if the state is not final.
func (s JobState) Outcome() model.Outcome {
	switch s {
	case StateDone:
		return model.OutcomeDone
	case StateCancelled:
		return model.OutcomeCancelled
	}
	return model.OutcomeUnknown
}

// AppendJobStatus appends the response to a poll. done and running are numbers of tasks; negative ones are sent as 0.
func AppendJobStatus(b []byte, id string, state JobState, done, running int) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, responseJobID, id)
	b = appendString(b, responseStatus, state.String())
	b = appendUint(b, responseDone, uint64(max(done, 0)))
	return appendUint(b, responseRunning, uint64(max(running, 0)))
}

// AppendJobState appends the response to a submission or a cancellation.
func AppendJobState(b []byte, id string, state JobState) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendString(b, responseJobID, id)
	return appendString(b, responseStatus, state.String())
}

// AppendError appends the response to a failed request.
func AppendError(b []byte, reason string) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), responseError, reason)
}

// AppendLeader appends the body of a response with status 421 (Misdirected Request), which names the leader. An empty
// leader means that the leader is unknown.
func AppendLeader(b []byte, leader string) []byte {
	if leader == "" {
		return msgp.AppendMapHeader(b, 0)
	}
	return appendString(msgp.AppendMapHeader(b, 1), responseLeader, leader)
}
