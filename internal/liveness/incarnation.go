package liveness

// MessageNumber orders the messages of one incarnation of a machine. A newer message has a higher number.
type MessageNumber struct{ Epoch, Seq uint64 }

// Before reports whether m is the number of an older message than other, by epoch first and then by Seq.
func (m MessageNumber) Before(other MessageNumber) bool {
	return m.Epoch < other.Epoch || m.Epoch == other.Epoch && m.Seq < other.Seq
}

// Numbering determines how a leader interprets the message numbers of a machine.
type Numbering uint8

// The numberings. NumbersRestarted holds until the leader changes.
const (
	NumbersIncreasing Numbering = iota // the numbers have never decreased
	NumbersRestarted                   // they have decreased, so only responses to commands and probes are trusted
)

// String implements fmt.Stringer.
func (n Numbering) String() string { return [...]string{"increasing", "restarted"}[n] }

// HeartbeatKind classifies a heartbeat by its numbers.
type HeartbeatKind uint8

// The kinds of a heartbeat.
const (
	Fresh     HeartbeatKind = iota // newer than every earlier heartbeat
	Duplicate                      // the newest one again, over another path; its worker may still wait for the response
	Stale                          // a delayed copy, or from another incarnation; its worker waits for no response
	Unordered                      // from a machine that has restarted, so its numbers do not determine an order
)

// String implements fmt.Stringer.
func (k HeartbeatKind) String() string {
	return [...]string{"fresh", "duplicate", "stale", "unordered"}[k]
}

// Incarnation holds what a leader knows about the current incarnation of a machine from the numbers of its messages.
type Incarnation struct {
	Epoch, Seq, FencingToken uint64 // the epoch, number and fencing token of the newest message
	ExpiredEpoch             uint64 // all epochs up to this one are known to have ended
	Numbering                Numbering
	lastHeartbeat            MessageNumber // the newest heartbeat; responses to commands may have higher numbers
	latestWhenCommandSent    MessageNumber // the newest message at the time when the last command was sent
}

// LatestMessage returns the number of the newest message, which may be a heartbeat or the response to a command.
func (i *Incarnation) LatestMessage() MessageNumber { return MessageNumber{i.Epoch, i.Seq} }

// LatestHeartbeat returns the number of the newest heartbeat. It is zero if none is known in this incarnation.
func (i *Incarnation) LatestHeartbeat() MessageNumber { return i.lastHeartbeat }

// ClassifyHeartbeat classifies a heartbeat by its numbers and records them.
//
// A worker has at most one heartbeat in flight: it abandons a heartbeat before it sends the next one. So no worker
// waits for the response to an older heartbeat, and that response renews no lease. A worker never forgets a fencing
// token, so a newer heartbeat with a lower token is from another incarnation than the known one.
func (i *Incarnation) ClassifyHeartbeat(epoch, seq, token uint64) HeartbeatKind {
	number := MessageNumber{epoch, seq}
	switch {
	case i.Numbering == NumbersRestarted:
		return Unordered
	case epoch <= i.ExpiredEpoch, epoch < i.Epoch, number.Before(i.lastHeartbeat):
		return Stale
	case number == i.lastHeartbeat:
		return Duplicate
	case token < i.FencingToken && i.LatestMessage().Before(number):
		i.Numbering, i.lastHeartbeat = NumbersRestarted, MessageNumber{}
		return Stale
	}
	i.lastHeartbeat = number
	return Fresh
}

// CommandSent records that a command or probe is being sent.
func (i *Incarnation) CommandSent() { i.latestWhenCommandSent = i.LatestMessage() }

// CommandAnswered records the numbers of the response to the last command, and reports whether the machine has
// restarted. Within one incarnation a response has a higher number than all messages that the machine sent before it,
// which include every message that was known when the command was sent.
func (i *Incarnation) CommandAnswered(epoch, seq uint64) (restarted bool) {
	if i.latestWhenCommandSent.Before(MessageNumber{epoch, seq}) {
		return false
	}
	i.Numbering, i.lastHeartbeat = NumbersRestarted, MessageNumber{}
	i.Epoch, i.Seq, i.FencingToken, i.ExpiredEpoch = epoch, 0, 0, epoch-1
	return true
}
