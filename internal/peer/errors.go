package peer

import "errors"

// The errors of requests that callers tell apart by errors.Is.
var (
	// ErrNotSent says that a request never left this controller, so it is not carried out. Any other
	// error leaves that open.
	ErrNotSent = errors.New("not sent")
	// ErrDialing says that a connection is being made for another request. It comes with ErrNotSent.
	ErrDialing = errors.New("a connection is being made")
	// ErrConnectionLost says that the connection broke before the answer came.
	ErrConnectionLost = errors.New("the connection was lost")
)

// RequestError is a request to another controller that was not answered.
type RequestError struct {
	Addr    string // of the other controller
	NotSent bool   // it is not carried out; false: that is unknown
	Err     error
}

// Error returns the address and what went wrong as text.
func (e *RequestError) Error() string {
	if e.NotSent {
		return "request to " + e.Addr + ": " + ErrNotSent.Error() + ": " + e.Err.Error()
	}
	return "request to " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns what went wrong.
func (e *RequestError) Unwrap() error { return e.Err }

// Is reports that the error is ErrNotSent, if that is certain.
func (e *RequestError) Is(target error) bool { return target == ErrNotSent && e.NotSent }
