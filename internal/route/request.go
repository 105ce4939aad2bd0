package route

import "time"

// Kind is the kind of a user's request. Members exchange it as a number, so the numbers are fixed.
type Kind uint8

// The kinds of requests. All are idempotent, so a request may be repeated or attempted on more than one member.
const (
	Submit Kind = iota // accept a job
	Poll               // return the state of a job
	Cancel             // cancel a job
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Request is a user's request about one job.
type Request struct {
	Kind Kind
	ID   string // ID of the job
	Body []byte // the encoded submission; nil for other kinds
}

// Outcome says whether a member has answered a request and, if it has not, why. Members exchange it as a
// number, so the numbers are fixed.
type Outcome uint8

// The outcomes of an attempt.
const (
	Answered                Outcome = iota // the response is final
	StateServiceUnavailable                // the state service has not answered the member in time
	Overloaded                             // the member has reached a concurrency, rate or connection limit
	OutOfMemory                            // the member or the leader has no memory for more jobs
	NotReady                               // the member cannot answer yet, or has failed to
	TimedOut                               // the member has not answered in time
	Unreachable                            // the member could not be reached
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
	Status     int           // HTTP status; 0 if the member gave none
	Body       []byte        // body of the HTTP response
	RetryAfter time.Duration // minimum time before the user retries; 0 if unspecified or if the request was answered
}
