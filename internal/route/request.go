package route

import "time"

// Kind is what a user requests. Members send it to each other as its number.
type Kind uint8

// The kinds of requests. All are idempotent: attempts at more than one member, or
// repeated ones, do no harm.
const (
	Submit Kind = iota
	Poll
	Cancel
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Request is a user's request about one job.
type Request struct {
	Kind Kind
	ID   string // of the job
	Body []byte // of a submission, encoded
}

// Outcome says whether a member answered a request, and if not, why. Members send it to
// each other as its number.
type Outcome uint8

// The outcomes.
const (
	Answered         Outcome = iota // the response is final
	StateUnavailable                // the state service does not answer the member, or not in time
	Overloaded                      // the member is at its concurrency limit
	OutOfMemory                     // the member has no memory for more jobs
	NotReady                        // the member does not know enough yet to answer
	TimedOut                        // the member did not answer in time
	Unreachable                     // no connection to the member
	outcomeCount
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"taken", "down", "busy", "short", "unready", "silent", "refused"}
	return names[min(o, outcomeCount-1)]
}

// Response is the result of an attempt at a request.
type Response struct {
	Outcome    Outcome
	Status     int           // of HTTP; 0: none
	Body       []byte        // for the user
	RetryAfter time.Duration // if not Answered: the least time before a retry; 0: not said
}
