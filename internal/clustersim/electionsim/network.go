package electionsim

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
)

// messageKind is the type of a message.
type messageKind byte

const (
	voteRequest messageKind = iota
	vote                    // answers voteRequest
	leadershipQuery
	notLeading // answers leadershipQuery; a member that leads or claims does not answer
	voteRelease
	heldClaim // a claim to the state service that the network has held back
)

const (
	// maxHeldMessages is the number of messages that the network can hold back. It loses any further ones.
	maxHeldMessages = 6

	// maxDeliveries bounds the number of messages that one call of deliver passes on. It drops any further ones.
	maxDeliveries = 1000

	// shortVotesDivisor is the divisor that the mutation ShortVotes applies to the time for which a member honors its
	// vote.
	shortVotesDivisor = 3
)

// message is a message between two members, or a claim to the state service that the network has held back.
type message struct {
	kind                messageKind
	from, to            int                  // indexes of the members; equal for heldClaim
	receiverIncarnation int                  // of the receiver at the time of sending
	senderIncarnation   int                  // of the sender at the time of sending
	sentAt              time.Time            // when the message was sent; for a reply, when its request was sent
	request             election.VoteRequest // set for voteRequest, vote and voteRelease
	duration            time.Duration        // of the vote; set for vote
	claim               election.Claim       // set for heldClaim
}

// network holds the messages that are in transit.
type network struct {
	queue []message // delivered within the same step
	held  []message // held back until the event releaseMessages
}

// broadcast sends a message from one member to all others.
func (c *cluster) broadcast(from int, m message) {
	m.from, m.sentAt = from, c.now
	for to := range c.members {
		if to != from {
			m.to = to
			c.send(m)
		}
	}
}

// send queues a message. It drops the message if a partition separates the members, and holds it back if the fault of
// this second requires it.
func (c *cluster) send(m message) {
	m.receiverIncarnation = c.members[m.to].incarnation
	m.senderIncarnation = c.members[m.from].incarnation
	partitioned := c.members[m.from].peersUnreachable || c.members[m.to].peersUnreachable
	switch {
	case m.kind != heldClaim && partitioned:
		return
	case c.currentFault == fault{HoldMessages, m.from},
		c.currentFault == fault{RestartClaimInFlight, m.from} && m.kind == heldClaim:
		if len(c.network.held) < maxHeldMessages {
			c.network.held = append(c.network.held, m)
		}
		return
	}
	c.network.queue = append(c.network.queue, m)
}

// deliver passes the queued messages to their receivers, including messages that are sent meanwhile.
func (c *cluster) deliver() {
	for n := 0; len(c.network.queue) > 0 && n < maxDeliveries; n++ {
		m := c.network.queue[0]
		c.network.queue = c.network.queue[1:]
		c.receive(m)
	}
	c.network.queue = nil
}

// receive passes a message to its receiver, unless the receiver is down or has restarted since the message was sent.
func (c *cluster) receive(m message) {
	if m.kind == heldClaim {
		c.commitClaim(m.from, m.claim) // the sender no longer waits for the answer
		return
	}
	receiver := &c.members[m.to]
	if !receiver.up || !c.sameIncarnation(m.to, m.receiverIncarnation) {
		return
	}
	switch m.kind {
	case voteRequest:
		c.receiveVoteRequest(m)
	case vote:
		c.receiveVote(m)
	case leadershipQuery:
		if state := receiver.stateMachine.State(); state != election.Leading && state != election.Claiming {
			c.reply(m, message{kind: notLeading})
		}
	case notLeading:
		event := election.NotLeadingReceived{Member: memberNames[m.from], Sent: m.sentAt}
		c.stepMember(m.to, c.now, event)
	case voteRelease:
		receiver.stateMachine.HandleVoteRelease(m.request.FencingToken)
	}
}

// sameIncarnation reports whether a member is still in the given incarnation. With the mutation MixedIncarnations,
// every incarnation counts as the same.
func (c *cluster) sameIncarnation(i, incarnation int) bool {
	return c.settings.Mutation == MixedIncarnations || c.members[i].incarnation == incarnation
}

// reply sends an answer to the sender of a request, unless the sender has restarted since.
func (c *cluster) reply(request, answer message) {
	if !c.sameIncarnation(request.from, request.senderIncarnation) {
		return
	}
	answer.from, answer.to = request.to, request.from
	answer.sentAt, answer.request = request.sentAt, request.request
	c.send(answer)
}

// receiveVoteRequest passes a vote request to its receiver, and sends the vote back if the receiver casts one. With the
// mutation ShortVotes, the receiver honors the vote for only a third of the duration that it reports.
func (c *cluster) receiveVoteRequest(m message) {
	request := m.request
	if c.settings.Mutation == ShortVotes {
		request.Duration /= shortVotesDivisor
	}
	duration := c.members[m.to].stateMachine.HandleVoteRequest(c.now, request)
	if duration <= 0 {
		return
	}
	if c.settings.Mutation == ShortVotes {
		duration *= shortVotesDivisor
	}
	c.reply(m, message{kind: vote, duration: duration})
	c.restartIfInjected(m.to, RestartAfterVote)
}

// receiveVote passes a vote to the leader that requested it. With the mutation LateVotes, the leader counts the vote as
// if it had arrived at the start of the simulation.
func (c *cluster) receiveVote(m message) {
	now := c.now
	if c.settings.Mutation == LateVotes {
		now = startTime
	}
	c.stepMember(m.to, now, election.VoteReceived{
		Member:       memberNames[m.from],
		FencingToken: m.request.FencingToken,
		Sent:         m.sentAt,
		Seq:          m.request.Seq,
		Duration:     m.duration,
	})
}
