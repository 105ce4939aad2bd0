package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	voteTimeout = time.Second // for another member to answer a vote request

	// maxVoteDuration bounds the duration that a vote request may ask for.
	maxVoteDuration = time.Minute

	// If this member's last contact with the state service is more recent than the leader's by more than
	// maxContactLead, it does not vote for the leader: the state service is then unreachable for the leader only,
	// and another member should lead. The limit does not apply while the state service is unreachable for this
	// member too: no member could take over, and the vote keeps running tasks alive.
	maxContactLead = 2 * time.Second
)

// requestVotes requests the votes of all other members for this leader. The answers also report the
// cancellations that these members know.
func (c *Controller) requestVotes(term uint64, e election.RequestVotes) {
	now := time.Now()
	var sinceStateService time.Duration // how long ago the state service last answered
	if last := c.store.LastContact(); !last.IsZero() {
		sinceStateService = now.Sub(last)
	}
	for name, client := range c.peers {
		cursor := c.cancellations.acknowledgedCursors[name]
		request := &peerpb.PromiseAsk{
			Member:   c.platform.Member,
			Token:    e.FencingToken,
			Revision: c.jobs.Revision(),
			SilentMs: uint64(sinceStateService.Milliseconds()),
			Seq:      e.Seq,
			ForMs:    uint64(e.Duration.Milliseconds()),
			Instead:  e.Supersedes,
			Words:    true,
			ToldLife: cursor.Incarnation,
			Told:     cursor.Count,
		}
		c.tasks.spawn(func() { c.requestVote(term, name, client, request) })
	}
}

// requestVote requests the vote of one member and passes the answer to the election if the term has not
// changed.
func (c *Controller) requestVote(term uint64, name string, client *peer.Client, request *peerpb.PromiseAsk) {
	ctx, cancel := context.WithTimeout(c.tasks.ctx, voteTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := client.RequestVote(ctx, request)
	if err != nil {
		return
	}
	c.loop.postUrgent(func(time.Time) {
		if c.term != term {
			return
		}
		// The time that the loop passes may predate the arrival of the answer. If the process was suspended in
		// between, a vote could otherwise count after the lease has expired.
		now := time.Now()
		c.applyReportedCancellations(now, sent, name, answer)
		if !answer.GetGranted() {
			return
		}
		c.stepElection(now, election.VoteReceived{
			Member:       answer.GetMember(),
			FencingToken: request.GetToken(),
			Sent:         sent,
			Seq:          request.GetSeq(),
			Duration:     time.Duration(answer.GetForMs()) * time.Millisecond,
		})
	})
}

// queryLeadership asks the other members whether they lead, and reports to the election those that do not.
func (c *Controller) queryLeadership() {
	for name, client := range c.peers {
		c.tasks.spawn(func() {
			ctx, cancel := context.WithTimeout(c.tasks.ctx, voteTimeout)
			defer cancel()
			sent := time.Now()
			answer, err := client.RequestVote(ctx, &peerpb.PromiseAsk{Member: c.platform.Member})
			if err == nil && answer != nil && !answer.GetLeads() {
				c.postElectionEvent(election.NotLeadingReceived{Member: name, Sent: sent})
			}
		})
	}
}

// releaseVotes releases the votes of the other members, which this leader no longer needs.
func (c *Controller) releaseVotes(token uint64) {
	for _, client := range c.peers {
		c.tasks.spawn(func() {
			ctx, cancel := context.WithTimeout(c.tasks.ctx, voteTimeout)
			defer cancel()
			release := &peerpb.PromiseAsk{Member: c.platform.Member, Token: token, Release: true}
			if _, err := client.RequestVote(ctx, release); err != nil {
				c.log.Debug("releasing votes failed", "err", err)
			}
		})
	}
}

// HandleVoteRequest answers a leader that requests or releases this member's vote, and a member that asks
// whether this member leads. If the event loop does not answer in time, the answer is that this member leads,
// because it may.
func (h peerHandler) HandleVoteRequest(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	c := h.controller
	answer, err := runInLoop(ctx, c.loop.urgent, func(time.Time) *peerpb.PromiseAnswer {
		return c.answerVoteRequest(ctx, request)
	})
	if err != nil {
		return &peerpb.PromiseAnswer{Leads: true}
	}
	return answer
}

// answerVoteRequest answers a request in the event loop. It reads the clock itself, because the time that the
// loop passes may predate the sending of the request, and a vote that is measured from that time would expire
// too early.
func (c *Controller) answerVoteRequest(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	now := time.Now()
	answer := &peerpb.PromiseAnswer{Member: c.platform.Member}
	switch {
	case request.GetToken() == 0:
		state := c.election.State()
		answer.Leads = state == election.Leading || state == election.Claiming
	case request.GetRelease():
		c.election.HandleVoteRelease(request.GetToken())
	case ctx.Err() == nil:
		complete := c.addCancellations(answer, request)
		if complete || request.GetWords() {
			duration := c.grantVote(now, request)
			answer.Granted, answer.ForMs = duration > 0, uint64(duration.Milliseconds())
		}
	}
	return answer
}

// addCancellations adds the cancellations that the leader may not know yet to an answer, and reports whether
// the answer then contains all of them.
func (c *Controller) addCancellations(answer *peerpb.PromiseAnswer, request *peerpb.PromiseAsk) (complete bool) {
	cursor := store.CancellationCursor{Incarnation: request.GetToldLife(), Count: request.GetTold()}
	batch := c.jobs.CancellationsAfter(request.GetRevision(), cursor)
	answer.Life, answer.Told, answer.Whole = batch.Cursor.Incarnation, batch.Cursor.Count, batch.Complete
	for _, cancelled := range batch.Cancelled {
		answer.Cancelled = append(answer.Cancelled, cancelled.ID)
		answer.Versions = append(answer.Versions, cancelled.Version)
	}
	return batch.Complete
}

// grantVote returns for how long this member votes for a leader, or 0 if it does not. This member does not
// claim the leadership while its vote lasts.
func (c *Controller) grantVote(now time.Time, request *peerpb.PromiseAsk) time.Duration {
	// An earlier incarnation of this member may have acknowledged cancellations to users. Until this process
	// has read the records, it does not know of them, and possibly the leader does not either.
	if c.jobs.Revision() == 0 {
		return 0
	}
	leaderContact := now.Add(-time.Duration(request.GetSilentMs()) * time.Millisecond)
	if c.store.LastContact().Sub(leaderContact) > maxContactLead && c.store.UnreachableFor(now) == 0 {
		return 0
	}
	return c.election.HandleVoteRequest(now, election.VoteRequest{
		Leader:       request.GetMember(),
		FencingToken: request.GetToken(),
		Seq:          request.GetSeq(),
		Supersedes:   request.GetInstead(),
		Duration:     time.Duration(min(request.GetForMs(), uint64(maxVoteDuration.Milliseconds()))) * time.Millisecond,
	})
}
