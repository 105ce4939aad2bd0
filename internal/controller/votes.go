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
	voteTimeout = time.Second // for another member to answer a request for its vote

	// maxVoteDuration bounds what a request may ask for.
	maxVoteDuration = time.Minute

	// maxContactLead is by how much more recently than a leader this member may have had an answer of the
	// state service and still vote for it, while the state service serves this member. With more, the leader
	// alone is cut off, and another member had better lead. If the state service is down for this member too,
	// no member could take over, and the vote keeps running tasks alive.
	maxContactLead = 2 * time.Second
)

// requestVotes requests the votes of all other members for this leader. Their answers also carry the
// cancellations that they know of.
func (c *Controller) requestVotes(term uint64, e election.RequestVotes) {
	now := time.Now()
	var silence time.Duration // of the state service
	if last := c.store.LastContact(); !last.IsZero() {
		silence = now.Sub(last)
	}
	for name, client := range c.peers {
		cursor := c.cancellations.acknowledged[name]
		request := &peerpb.PromiseAsk{
			Member:   c.platform.Member,
			Token:    e.FencingToken,
			Revision: c.jobs.Revision(),
			SilentMs: uint64(silence.Milliseconds()),
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

// requestVote requests the vote of one member, and passes it to the election if the same leadership still
// lasts.
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
		// The loop's time may be from before the answer came. With it a vote could count after the lease has
		// expired, if the process was suspended in between.
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

// queryLeadership asks the other members whether they lead, for a member that has just started.
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
// who leads.
func (h peerHandler) HandleVoteRequest(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	c := h.controller
	answer, err := runInLoop(ctx, c.loop.urgent, func(time.Time) *peerpb.PromiseAnswer {
		return c.answerVote(ctx, request)
	})
	if err != nil {
		return &peerpb.PromiseAnswer{Leads: true} // it may lead: nothing is known
	}
	return answer
}

// answerVote answers within the event loop. The loop's time may be from before the request was sent, and a
// vote that is counted from there would end too early, so the clock is read anew.
func (c *Controller) answerVote(ctx context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
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

// addCancellations adds to an answer the cancellations that the leader may not know yet, and reports
// whether these are all.
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

// grantVote decides for how long this member votes for a leader, which is how long it claims nothing
// itself; 0: it does not vote.
func (c *Controller) grantVote(now time.Time, request *peerpb.PromiseAsk) time.Duration {
	// Before this process has read the records, an earlier incarnation may have acknowledged cancellations to
	// users that neither this one nor the leader knows of.
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
