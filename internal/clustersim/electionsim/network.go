package electionsim

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
)

const (
	maxHeld      = 6    // messages that the network delays at once; it drops more
	maxDelivered = 1000 // messages in one go, so that a loop would end
)

// messageKind is what a message is.
type messageKind byte

const (
	messageVoteRequest messageKind = iota + 1
	messageVote
	messageLeadershipQuery
	messageNotLeading
	messageVoteRelease
	messageClaim // to the state service
)

// message is on its way between members, or to the state service.
type message struct {
	kind                messageKind
	from, to            int
	receiverIncarnation int // that it is meant for
	senderIncarnation   int
	sentAt              time.Time // of the request, also in its answer
	request             election.VoteRequest
	duration            time.Duration // of a vote
	claim               election.Claim
}

// deliver carries the messages that are on their way.
func (s *state) deliver() {
	for n := 0; len(s.queue) > 0 && n < maxDelivered; n++ {
		m := s.queue[0]
		s.queue = s.queue[1:]
		s.receive(m)
	}
	s.queue = nil
}

// send puts a message on its way, unless the network delays or loses it.
func (s *state) send(m message) {
	m.receiverIncarnation, m.senderIncarnation = s.members[m.to].incarnation, s.members[m.from].incarnation
	delayed := s.fault == fault{faultDelay, m.from} ||
		s.fault == fault{restartDuringClaim, m.from} && m.kind == messageClaim
	switch {
	case m.kind != messageClaim && (s.members[m.from].peersUnreachable || s.members[m.to].peersUnreachable):
	case delayed:
		if len(s.held) < maxHeld {
			s.held = append(s.held, m)
		}
	default:
		s.queue = append(s.queue, m)
	}
}

// broadcast sends a message to all other members.
func (s *state) broadcast(from int, m message) {
	m.from, m.sentAt = from, s.now
	for i := range s.members {
		if i != from {
			m.to = i
			s.send(m)
		}
	}
}

// receive has a member take a message. One that is meant for its former incarnation it drops.
func (s *state) receive(m message) {
	receiver := &s.members[m.to]
	if m.kind == messageClaim {
		s.claim(m.from, m.claim) // its sender has given it up: nobody learns of it
		return
	}
	if !receiver.up || s.settings.Mutation != MixedIncarnations && receiver.incarnation != m.receiverIncarnation {
		return
	}
	switch m.kind {
	case messageVoteRequest:
		s.receiveVoteRequest(m)
	case messageVote:
		now := s.now
		if s.settings.Mutation == LateVotes {
			now = startTime
		}
		s.stepMember(m.to, now, election.VoteReceived{
			Member:       names[m.from],
			FencingToken: m.request.FencingToken,
			Sent:         m.sentAt,
			Seq:          m.request.Seq,
			Duration:     m.duration,
		})
	case messageLeadershipQuery:
		if state := receiver.machine.State(); state != election.Leading && state != election.Claiming {
			s.reply(m, message{kind: messageNotLeading})
		}
	case messageNotLeading:
		s.stepMember(m.to, s.now, election.NotLeadingReceived{Member: names[m.from], Sent: m.sentAt})
	case messageVoteRelease:
		receiver.machine.HandleVoteRelease(m.request.FencingToken)
	}
}

// receiveVoteRequest has a member vote, or not.
func (s *state) receiveVoteRequest(m message) {
	const shortened = 3 // the part of its time that a vote is kept for with the mutation ShortVotes
	request := m.request
	if s.settings.Mutation == ShortVotes {
		request.Duration /= shortened
	}
	duration := s.members[m.to].machine.HandleVoteRequest(s.now, request)
	if duration <= 0 {
		return
	}
	if s.settings.Mutation == ShortVotes {
		duration *= shortened
	}
	s.reply(m, message{kind: messageVote, duration: duration})
	s.restartAt(m.to, restartAfterVote)
}

// reply answers a message. A sender that has restarted meanwhile gets no answer.
func (s *state) reply(to, answer message) {
	if s.settings.Mutation != MixedIncarnations && s.members[to.from].incarnation != to.senderIncarnation {
		return
	}
	answer.from, answer.to, answer.sentAt, answer.request = to.to, to.from, to.sentAt, to.request
	s.send(answer)
}
