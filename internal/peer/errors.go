package peer

import "errors"

// Causes of a failed request, for use with errors.Is.
var (
	// ErrNotSent means that the request never left this controller and so will not be executed. After any other
	// error it is unknown whether the other controller executes the request.
	ErrNotSent = errors.New("not sent")
	// ErrDialing means that another request is already opening a connection. An error that matches it also
	// matches ErrNotSent.
	ErrDialing = errors.New("another request is already opening a connection")
	// ErrConnectionLost means that the connection was lost before the response arrived.
	ErrConnectionLost = errors.New("connection lost before the response arrived")
)

// RequestError reports that a request to another controller got no response.
type RequestError struct {
	Addr    string // address of the other controller
	NotSent bool   // true if the request certainly will not be executed, false if that is unknown
	Err     error  // the cause
}

// Error returns the address of the other controller and the cause.
func (e *RequestError) Error() string {
	if e.NotSent {
		return "request to controller " + e.Addr + ": " + ErrNotSent.Error() + ": " + e.Err.Error()
	}
	return "request to controller " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Is reports whether target is ErrNotSent and the request was certainly not sent.
func (e *RequestError) Is(target error) bool { return target == ErrNotSent && e.NotSent }
