package connquota

// Class is what a socket is used for.
type Class uint8

// The classes.
const (
	Unclassified Class = iota // accepted connections that have sent no request yet
	Users
	Heartbeats // of workers
	HealthChecks
	DirectCommands // sent to workers between heartbeats
	Peers
	StateService
	Cloud
	Operators
	classCount
)

// String returns the name of the class.
func (c Class) String() string {
	names := [...]string{
		"newcomers", "users", "reports", "health", "direct", "peers", "state", "cloud", "operators",
	}
	return names[c]
}

// reserved reports whether the class's quota is set aside for it, so that a burst of
// workers and users leaves the sockets that the leadership lease is renewed with.
func (c Class) reserved() bool { return c >= Peers }
