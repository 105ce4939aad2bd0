package wire

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// JobState is the state of a job as users see it.
type JobState uint8

// The states of a job that users see.
const (
	StateUnknown JobState = iota
	StateQueued
	StateRunning
	StateDone
	StateCancelled
)

// String returns the published name of the state.
func (s JobState) String() string {
	return [...]string{"", "queued", "running", "done", "withdrawn"}[s]
}

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == StateDone || s == StateCancelled }

// Outcome returns the outcome that a state stands for.
func (s JobState) Outcome() model.Outcome {
	switch s {
	case StateDone:
		return model.OutcomeDone
	case StateCancelled:
		return model.OutcomeCancelled
	}
	return model.OutcomeUnknown
}

// AppendJobStatus appends the answer to a poll.
func AppendJobStatus(b []byte, id string, s JobState, done, running int) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, answerJobID, id)
	b = appendString(b, answerStatus, s.String())
	b = appendUint(b, answerDone, uint64(max(done, 0)))
	return appendUint(b, answerRunning, uint64(max(running, 0)))
}

// AppendJobState appends the answer to a submission or a cancellation.
func AppendJobState(b []byte, id string, s JobState) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendString(b, answerJobID, id)
	return appendString(b, answerStatus, s.String())
}

// AppendError appends the answer to a request that failed.
func AppendError(b []byte, reason string) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), answerError, reason)
}

// AppendLeader appends the body of a 421, which names the leader if it is known.
func AppendLeader(b []byte, leader string) []byte {
	if leader == "" {
		return msgp.AppendMapHeader(b, 0)
	}
	return appendString(msgp.AppendMapHeader(b, 1), answerLeader, leader)
}
