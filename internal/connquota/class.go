package connquota

// Class is the purpose that a socket is used for. Each class has a quota.
type Class uint8

// The classes of connections.
const (
	Unclassified   Class = iota // accepted connections whose first request has not arrived yet
	Users                       // requests from users
	Heartbeats                  // heartbeats from workers
	HealthChecks                // requests to the health check endpoint
	DirectCommands              // commands that are sent to workers between their heartbeats
	Peers                       // other controllers, in both directions
	StateService                // requests to the state service
	Cloud                       // requests to the cloud
	Operators                   // requests to the operators' interface
	classCount
)

// String returns the name of the class in the status of the controller.
func (c Class) String() string {
	names := [...]string{
		"newcomers", "users", "reports", "health", "direct", "peers", "state", "cloud", "operators",
	}
	return names[c]
}

// reserved reports whether the class has sockets reserved for it, as many as its quota. The reservations keep a burst
// of connections from workers and users from taking the sockets that the renewal of the leadership lease needs.
func (c Class) reserved() bool { return c >= Peers }
