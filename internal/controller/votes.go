package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/store"
)

// voteTimeout bounds how long a promise may take to come.
const voteTimeout = time.Second

// maxContactLead is by how much longer than a leader this controller may have been answered by the
// state service and still promise it anything, as long as it is served. What lies between is a leader that alone is
// out of reach: another had better lead. Where the state service is down for this one too, nobody
// can take over, and what runs would die for it.
const maxContactLead = 2 * time.Second

// requestVotes asks all other members for their promise.
func (n *Controller) requestVotes(term uint64, e election.RequestVotes) {
	token := e.FencingToken
	now := time.Now()
	var silent uint64
	if at := n.store.LastContact(); !at.IsZero() {
		silent = uint64(now.Sub(at).Milliseconds())
	}
	for name, c := range n.peers {
		told := n.acknowledged[name]
		q := &peerpb.PromiseAsk{Member: n.platform.Member, Token: token, Revision: n.jobs.Revision(), SilentMs: silent, Seq: e.Seq, ForMs: uint64(e.Duration.Milliseconds()), Instead: e.Supersedes,
			Words: true, ToldLife: told.Incarnation, Told: told.Count}
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(n.ctx, voteTimeout)
			defer cancel()
			sent := time.Now()
			a, err := c.RequestVote(ctx, q)
			if err != nil {
				return
			}
			n.postUrgent(func(time.Time) {
				if n.term != term {
					return
				}
				// Read anew: the loop's moment may be from before the answer came. Guards
				// against a promise that is taken after the right has lapsed, since the
				// process was held up in between.
				now := time.Now()
				n.learnCancellations(now, sent, name, a)
				if a.GetGranted() {
					n.applyElectionEffects(now, n.election.Step(now, election.VoteReceived{Member: a.GetMember(), FencingToken: token, Sent: sent,
						Seq: e.Seq, Duration: time.Duration(a.GetForMs()) * time.Millisecond}))
				}
			})
		})
	}
}

// askWhoLeads asks the other members whether they lead, as one that has just started.
func (n *Controller) askWhoLeads() {
	for name, c := range n.peers {
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(n.ctx, voteTimeout)
			defer cancel()
			sent := time.Now()
			if a, err := c.RequestVote(ctx, &peerpb.PromiseAsk{Member: n.platform.Member}); err == nil && a != nil && !a.GetLeads() {
				n.postElectionEvent(election.NotLeadingReceived{Member: name, Sent: sent})
			}
		})
	}
}

// MemberStatus tells where this controller stands in the election.
func (n *Controller) MemberStatus(ctx context.Context) (*admin.MemberStatus, error) {
	var held loopHold
	s, err := runInLoop(ctx, n.urgent, func(time.Time) election.Status {
		held = n.longestHold
		return n.election.Status(time.Now())
	})
	if err != nil {
		return nil, err
	}
	m := &admin.MemberStatus{Member: n.platform.Member, State: s.State, Leader: s.Leader, FencingToken: s.FencingToken, StateLeaseSeconds: s.LeaseRemaining.Seconds(), LeadershipSeconds: s.ValidRemaining.Seconds(), VoteSeconds: s.VoteDuration.Seconds(),
		VotesSeconds: map[string]float64{}, BoundSeconds: s.ClaimBlockedFor.Seconds(), StateUnansweredSeconds: n.store.UnreachableFor(time.Now()).Seconds(),
		Load: admin.Load{LongestHoldSeconds: held.longest.Seconds(), LongestHoldEvent: held.work, Inbox: len(n.inbox)}}
	sockets := n.connections.Status()
	m.Connections = admin.Connections{Occupancy: sockets.Occupancy.String(), Used: sockets.Used, Peak: sockets.Peak, Capacity: sockets.Capacity, Classes: map[string]admin.ClassConnections{}}
	for o, a := range sockets.Classes {
		m.Connections.Classes[o.String()] = admin.ClassConnections{Used: a.Used, Quota: a.Quota, Rejected: a.Rejected}
	}
	m.Rollout = n.describeRollout()
	if n.router != nil {
		m.Requests = n.router.Status(time.Now())
	}
	for o, left := range s.Votes {
		m.VotesSeconds[o] = left.Seconds()
	}
	return m, nil
}

// releaseVotes tells the other members that their promises are needed no more.
func (n *Controller) releaseVotes(token uint64) {
	for _, c := range n.peers {
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(n.ctx, voteTimeout)
			defer cancel()
			_, err := c.RequestVote(ctx, &peerpb.PromiseAsk{Member: n.platform.Member, Token: token, Release: true})
			if err != nil {
				n.log.Debug("release not told", "err", err)
			}
		})
	}
}

// HandleVoteRequest answers a leader that asks for this member's promise, or a member that asks who
// leads.
func (h peerHandler) HandleVoteRequest(ctx context.Context, q *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	n := h.controller
	a, err := runInLoop(ctx, n.urgent, func(time.Time) *peerpb.PromiseAnswer {
		// Read anew: the loop's moment may be from before the leader has asked, and a
		// promise that is counted from there would end too early.
		now := time.Now()
		a := &peerpb.PromiseAnswer{Member: n.platform.Member}
		switch {
		case q.GetToken() == 0:
			a.Leads = n.election.State() == election.Leading || n.election.State() == election.Claiming
		case q.GetRelease():
			n.election.HandleVoteRelease(q.GetToken())
		case ctx.Err() == nil:
			w := n.jobs.CancellationsAfter(q.GetRevision(), store.CancellationCursor{Incarnation: q.GetToldLife(), Count: q.GetTold()})
			a.Life, a.Told, a.Whole = w.Cursor.Incarnation, w.Cursor.Count, w.Complete
			for _, c := range w.Cancelled {
				a.Cancelled, a.Versions = append(a.Cancelled, c.ID), append(a.Versions, c.Version)
			}
			if w.Complete || q.GetWords() {
				long := n.grantVote(now, q)
				a.Granted, a.ForMs = long > 0, uint64(long.Milliseconds())
			}
		}
		return a
	})
	if err != nil {
		return &peerpb.PromiseAnswer{Leads: true} // nothing is known of it
	}
	return a
}

// grantVote decides whether this member promises a leader not to claim, and for how long; 0: it
// does not.
func (n *Controller) grantVote(now time.Time, q *peerpb.PromiseAsk) time.Duration {
	// One that has not read the records since its start may have told users of
	// cancellations, in an earlier life, that the leader does not know.
	if n.jobs.Revision() == 0 {
		return 0
	}
	silent := time.Duration(q.GetSilentMs()) * time.Millisecond
	if at := n.store.LastContact(); at.Sub(now.Add(-silent)) > maxContactLead && n.store.UnreachableFor(now) == 0 {
		return 0
	}
	return n.election.HandleVoteRequest(now, election.VoteRequest{Leader: q.GetMember(), FencingToken: q.GetToken(), Seq: q.GetSeq(), Supersedes: q.GetInstead(),
		Duration: time.Duration(min(q.GetForMs(), uint64(time.Minute.Milliseconds()))) * time.Millisecond})
}
