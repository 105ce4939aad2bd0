package liveness

// MessageNumber is the place of a message among those of one incarnation of a machine: the higher one is the newer.
type MessageNumber struct{ Epoch, Seq uint64 }

// Before reports whether a message is older than another one.
func (m MessageNumber) Before(other MessageNumber) bool {
	return m.Epoch < other.Epoch || m.Epoch == other.Epoch && m.Seq < other.Seq
}

// Numbering is how a leader interprets a machine's message numbers.
type Numbering uint8

// The numberings. Restarted holds until the leader changes.
const (
	Increasing Numbering = iota // the numbers have only ever grown
	Restarted                   // they have begun again lower: only answers to commands and probes are trusted
)

// String returns the name of the numbering.
func (n Numbering) String() string { return [...]string{"increasing", "restarted"}[n] }

// HeartbeatKind is what a heartbeat is, by its numbers.
type HeartbeatKind uint8

// The kinds of a heartbeat.
const (
	Fresh     HeartbeatKind = iota // newer than every heartbeat before
	Duplicate                      // the newest one again, over another path: its worker may still wait for the answer
	Stale                          // its worker waits for no answer: a delayed copy, or of another incarnation
	Unordered                      // of a machine that has restarted: its numbers show no order
)

// String returns the name of the kind.
func (k HeartbeatKind) String() string {
	return [...]string{"fresh", "duplicate", "stale", "unordered"}[k]
}

// Incarnation is what a leader knows of the present incarnation of a machine, by the numbers of its messages.
type Incarnation struct {
	Epoch, Seq, FencingToken uint64 // of the newest message
	ExpiredEpoch             uint64 // epochs up to this one are certainly over
	Numbering                Numbering
	lastHeartbeat            MessageNumber // answers to commands have numbers of their own in between
	lastBeforeCommand        MessageNumber // the newest message when the last command left
}

// LatestMessage returns the number of the newest message.
func (i *Incarnation) LatestMessage() MessageNumber { return MessageNumber{i.Epoch, i.Seq} }

// LatestHeartbeat returns the number of the newest heartbeat.
func (i *Incarnation) LatestHeartbeat() MessageNumber { return i.lastHeartbeat }

// ClassifyHeartbeat classifies a heartbeat by its numbers, and records them.
//
// A worker has one heartbeat in flight: when it sends the next one it has abandoned the former. So no worker waits for
// the answer to an older one, which renews no lease. A worker never forgets a fencing token, so a newer heartbeat with
// a lower token is of another incarnation than what is known.
func (i *Incarnation) ClassifyHeartbeat(epoch, seq, token uint64) HeartbeatKind {
	number := MessageNumber{epoch, seq}
	switch {
	case i.Numbering == Restarted:
		return Unordered
	case epoch <= i.ExpiredEpoch, epoch < i.Epoch, number.Before(i.lastHeartbeat):
		return Stale
	case number == i.lastHeartbeat:
		return Duplicate
	case token < i.FencingToken && i.LatestMessage().Before(number):
		i.Numbering, i.lastHeartbeat = Restarted, MessageNumber{}
		return Stale
	}
	i.lastHeartbeat = number
	return Fresh
}

// CommandSent notes that a command or probe leaves now.
func (i *Incarnation) CommandSent() { i.lastBeforeCommand = i.LatestMessage() }

// CommandAnswered records the numbers of the answer to the last command, and reports whether the machine has
// restarted. In one incarnation an answer has a higher number than everything that was sent before it, and it was sent
// after all that was known when the command left.
func (i *Incarnation) CommandAnswered(epoch, seq uint64) (restarted bool) {
	if i.lastBeforeCommand.Before(MessageNumber{epoch, seq}) {
		return false
	}
	i.Numbering, i.lastHeartbeat = Restarted, MessageNumber{}
	i.Epoch, i.Seq, i.FencingToken, i.ExpiredEpoch = epoch, 0, 0, epoch-1
	return true
}
