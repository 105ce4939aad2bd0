// Package liveness decides what a worker's messages tell a leader, and whether what the leader sends
// arrives: which message is newer than what is known, whether a machine has begun anew, and whether
// one that is heard hears anything itself. It is pure: numbers and moments go in, verdicts come out.
// Why a late copy is harmless is argued for in docs/safety.md, "Copies and lives".
package liveness

// MessageNumber is the place of a message among those of one life of a machine: the later one is the newer.
type MessageNumber struct{ Epoch, Seq uint64 }

// Before tells whether a message is older than another one.
func (m MessageNumber) Before(o MessageNumber) bool {
	return m.Epoch < o.Epoch || m.Epoch == o.Epoch && m.Seq < o.Seq
}

// Numbering is what a leader makes of a machine's numbers.
type Numbering uint8

// The numberings. Restarted holds until the leader changes.
const (
	Increasing Numbering = iota // its numbers have only ever grown
	Restarted                   // it has begun again with lower ones: only answers to questions are believed
)

func (n Numbering) String() string { return [...]string{"increasing", "restarted"}[n] }

// HeartbeatKind is what a report is, by its numbers.
type HeartbeatKind uint8

// The kinds of a report.
const (
	Fresh     HeartbeatKind = iota // newer than every report before
	Duplicate                      // the newest one again, by another way: its worker may still wait for the answer
	Stale                          // its worker waits for no answer: a late copy, one that was overtaken, or a life that began anew
	Unordered                      // of a machine that began anew: its numbers tell nothing
)

func (k HeartbeatKind) String() string {
	return [...]string{"fresh", "duplicate", "stale", "unordered"}[k]
}

// Incarnation is what a leader knows of the present incarnation of a machine, by the numbers of its messages.
type Incarnation struct {
	Epoch, Seq, FencingToken uint64 // of the newest message
	ExpiredEpoch             uint64 // sessions up to this one are certainly over
	Numbering                Numbering
	lastHeartbeat            MessageNumber // the newest report; answers to commands have numbers of their own in between
	lastBeforeCommand        MessageNumber // the newest message when the last command left
}

// LatestMessage is the newest message.
func (i *Incarnation) LatestMessage() MessageNumber { return MessageNumber{i.Epoch, i.Seq} }

// LatestHeartbeat is the newest report.
func (i *Incarnation) LatestHeartbeat() MessageNumber { return i.lastHeartbeat }

// ClassifyHeartbeat takes the numbers of a report and tells what it is.
//
// A worker has one report in flight: with the next one it has given the former up. So of an older
// one nobody waits for the answer, and it renews no lease. A worker never forgets a token, so a
// newer number with a lower token is of another life than what is known: there are two.
func (i *Incarnation) ClassifyHeartbeat(session, seq, token uint64) HeartbeatKind {
	at := MessageNumber{session, seq}
	switch {
	case i.Numbering == Restarted:
		return Unordered
	case session <= i.ExpiredEpoch, session < i.Epoch, at.Before(i.lastHeartbeat):
		return Stale
	case at == i.lastHeartbeat:
		return Duplicate
	case token < i.FencingToken && i.LatestMessage().Before(at):
		i.Numbering, i.lastHeartbeat = Restarted, MessageNumber{}
		return Stale
	}
	i.lastHeartbeat = at
	return Fresh
}

// CommandSent notes that a command leaves now.
func (i *Incarnation) CommandSent() { i.lastBeforeCommand = i.LatestMessage() }

// CommandAnswered takes the numbers of the answer to the last command, and tells whether the machine has
// begun anew: in one life an answer has a higher number than everything that was sent before it,
// and it was sent after all that was known when it was asked for.
func (i *Incarnation) CommandAnswered(session, seq uint64) bool {
	if i.lastBeforeCommand.Before(MessageNumber{session, seq}) {
		return false
	}
	i.Numbering, i.lastHeartbeat = Restarted, MessageNumber{}
	i.Epoch, i.Seq, i.FencingToken, i.ExpiredEpoch = session, 0, 0, session-1
	return true
}
