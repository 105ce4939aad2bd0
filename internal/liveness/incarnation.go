// Package liveness decides what a worker's messages tell a leader, and whether what the leader sends
// arrives: which message is newer than what is known, whether a machine has begun anew, and whether
// one that is heard hears anything itself. It is pure: numbers and moments go in, verdicts come out.
// Why a late copy is harmless is argued for in docs/safety.md, "Copies and lives".
package liveness

// Mark is the place of a message among those of one life of a machine: the later one is the newer.
type Mark struct{ Session, Seq uint64 }

// Before tells whether a message is older than another one.
func (m Mark) Before(o Mark) bool {
	return m.Session < o.Session || m.Session == o.Session && m.Seq < o.Seq
}

// Numbering is what a leader makes of a machine's numbers.
type Numbering uint8

// The numberings. Restarted holds until the leader changes.
const (
	Steady    Numbering = iota // its numbers have only ever grown
	Restarted                  // it has begun again with lower ones: only answers to questions are believed
)

func (n Numbering) String() string { return [...]string{"steady", "restarted"}[n] }

// Kind is what a report is, by its numbers.
type Kind uint8

// The kinds of a report.
const (
	Fresh    Kind = iota // newer than every report before
	Repeated             // the newest one again, by another way: its worker may still wait for the answer
	Old                  // its worker waits for no answer: a late copy, one that was overtaken, or a life that began anew
	Unsorted             // of a machine that began anew: its numbers tell nothing
)

func (k Kind) String() string { return [...]string{"fresh", "repeated", "old", "unsorted"}[k] }

// Incarnation is what a leader knows of the present incarnation of a machine, by the numbers of its messages.
type Incarnation struct {
	Session, Seq, Token uint64 // of the newest message
	DeadSession         uint64 // sessions up to this one are certainly over
	Numbering           Numbering
	heard               Mark // the newest report; answers to commands have numbers of their own in between
	asked               Mark // the newest message when the last command left
}

// Known is the newest message.
func (i *Incarnation) Known() Mark { return Mark{i.Session, i.Seq} }

// Reported is the newest report.
func (i *Incarnation) Reported() Mark { return i.heard }

// Hear takes the numbers of a report and tells what it is.
//
// A worker has one report in flight: with the next one it has given the former up. So of an older
// one nobody waits for the answer, and it renews no lease. A worker never forgets a token, so a
// newer number with a lower token is of another life than what is known: there are two.
func (i *Incarnation) Hear(session, seq, token uint64) Kind {
	at := Mark{session, seq}
	switch {
	case i.Numbering == Restarted:
		return Unsorted
	case session <= i.DeadSession, session < i.Session, at.Before(i.heard):
		return Old
	case at == i.heard:
		return Repeated
	case token < i.Token && i.Known().Before(at):
		i.Numbering, i.heard = Restarted, Mark{}
		return Old
	}
	i.heard = at
	return Fresh
}

// Ask notes that a command leaves now.
func (i *Incarnation) Ask() { i.asked = i.Known() }

// Answered takes the numbers of the answer to the last command, and tells whether the machine has
// begun anew: in one life an answer has a higher number than everything that was sent before it,
// and it was sent after all that was known when it was asked for.
func (i *Incarnation) Answered(session, seq uint64) bool {
	if i.asked.Before(Mark{session, seq}) {
		return false
	}
	i.Numbering, i.heard = Restarted, Mark{}
	i.Session, i.Seq, i.Token, i.DeadSession = session, 0, 0, session-1
	return true
}
