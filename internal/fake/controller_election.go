package fake

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/wire"
)

// maxContactLead bounds how much later than the leader a member may have last contacted the state service. A member
// whose last contact is more recent than that does not vote for the leader while it can reach the state service.
const maxContactLead = 2 * time.Second

// stepElection passes an event to the election and executes the effects.
func (c *Controller) stepElection(event election.Event) {
	for _, effect := range c.Election.Step(c.world.now, event) {
		c.executeElection(effect)
	}
}

// electionExecutor returns the executor for the election's requests to the state service.
func (c *Controller) electionExecutor() effects.ElectionExecutor {
	return effects.ElectionExecutor{Member: c.Member, State: c.stateClient(), Now: c.world.Now}
}

// executeElection executes an effect of the election. A request to the state service takes effect at once, and its
// answer arrives later.
func (c *Controller) executeElection(effect election.Effect) {
	ctx, executor := context.Background(), c.electionExecutor()
	switch effect := effect.(type) {
	case election.ReadRecord:
		c.stepElectionOnReply(executor.ReadRecord(ctx))
	case election.GrantLease:
		c.stepElectionOnReply(executor.GrantLease(effect))
	case election.Claim:
		c.stepElectionOnReply(executor.Claim(ctx, effect))
	case election.RenewLease:
		c.stepElectionOnReply(executor.RenewLease(effect.LeaseID))
	case election.RequestVotes:
		c.forEachPeer(func(peer *Controller) { c.requestVote(peer, effect) })
	case election.QueryLeadership:
		c.forEachPeer(c.queryLeadership)
	case election.ReleaseVotes:
		c.forEachPeer(func(peer *Controller) {
			c.world.sendBetween(c, peer, func() { peer.Election.HandleVoteRelease(effect.FencingToken) })
		})
	case election.RevokeLease:
		_ = c.State.RevokeLease(effect.LeaseID) // if this fails, the next claim has to wait until the lease expires
	case election.Elected:
		c.fencingToken, c.tokenVersion = effect.FencingToken, effect.TokenVersion
		c.takeOver()
	case election.Deposed:
		c.depose()
	}
}

// stepElectionOnReply passes the answer to a request to the state service to the election when it arrives.
func (c *Controller) stepElectionOnReply(event election.Event) {
	c.scheduleStateReply(func() { c.stepElection(event) })
}

// forEachPeer calls send for each other controller.
func (c *Controller) forEachPeer(send func(peer *Controller)) {
	for _, peer := range c.world.Controllers {
		if peer != c {
			send(peer)
		}
	}
}

// requestVote requests the vote of a peer. The answer also reports the cancellations that the peer knows of, even if
// the peer does not vote for this controller.
func (c *Controller) requestVote(peer *Controller, effect election.RequestVotes) {
	sent := c.world.now
	revision, cursor := c.Jobs.Revision(), c.cancellationCursors[peer.Member]
	sinceContact := sent.Sub(c.State.LastContact())
	request := election.VoteRequest{
		Leader:       c.Member,
		FencingToken: effect.FencingToken,
		Seq:          effect.Seq,
		Duration:     effect.Duration,
		Supersedes:   effect.Supersedes,
	}
	c.world.sendBetween(c, peer, func() {
		cancellations := peer.Jobs.CancellationsAfter(revision, cursor)
		duration := peer.vote(request, sinceContact)
		c.world.sendBetween(peer, c, func() {
			if c.fencingToken != request.FencingToken || c.Reconciler == nil {
				return
			}
			c.Jobs.ApplyCancellations(cancellations.Cancelled)
			c.applyJobChanges()
			c.cancellationCursors[peer.Member] = cancellations.Cursor
			if cancellations.Complete && c.staleness != nil {
				c.staleness.ReportReceived(peer.Member, sent)
			}
			if duration > 0 {
				c.stepElection(election.VoteReceived{
					Member:       peer.Member,
					FencingToken: request.FencingToken,
					Sent:         sent,
					Seq:          request.Seq,
					Duration:     duration,
				})
			}
		})
	})
}

// queryLeadership asks a peer whether it leads. The peer answers only if it neither leads nor is claiming to lead.
func (c *Controller) queryLeadership(peer *Controller) {
	sent, incarnation := c.world.now, c.Election
	c.world.sendBetween(c, peer, func() {
		if state := peer.Election.State(); state == election.Leading || state == election.Claiming {
			return
		}
		c.world.sendBetween(peer, c, func() {
			if c.Election == incarnation {
				c.stepElection(election.NotLeadingReceived{Member: peer.Member, Sent: sent})
			}
		})
	})
}

// vote processes a vote request of a leader and returns the duration of the vote, or 0 if the controller does not vote.
// The rules are those of package controller: a member does not vote if it has not read the job records, or if it can
// reach the state service and its last contact was more than maxContactLead after the leader's.
func (c *Controller) vote(request election.VoteRequest, leaderSinceContact time.Duration) time.Duration {
	now := c.world.now
	leaderContact := now.Add(-leaderSinceContact)
	if c.Jobs.Revision() == 0 ||
		c.State.LastContact().Sub(leaderContact) > maxContactLead && c.State.UnreachableFor(now) == 0 {
		return 0
	}
	return c.Election.HandleVoteRequest(now, request)
}

// claim writes the leader's key with the next fencing token. A version that predates feature gates does so without a
// condition on the feature level.
func (c *Controller) claim(claim election.Claim) (tokenVersion uint64, ok bool, err error) {
	if !c.WithoutFeatureGates {
		return c.State.ClaimLeadership(context.Background(), c.Member, claim)
	}
	record := wire.AppendLeaderRecord(nil, claim.FencingToken, c.Member)
	return c.State.Commit(context.Background(), &wire.Txn{
		Conditions: []wire.Condition{
			{Key: "leader/holder"},
			{Key: "leader/token", Version: claim.TokenVersion},
		},
		Changes: []wire.Change{
			{Key: "leader/holder", Value: record, Lease: claim.LeaseID},
			{Key: "leader/token", Value: record},
		},
	}, true)
}

// takeOver reads the records and creates the reconciler with which the controller leads. If a read fails, it is retried
// in the next step.
func (c *Controller) takeOver() {
	ctx := context.Background()
	if err := c.Jobs.LoadAndApplyChanges(ctx); err != nil {
		c.deferred = append(c.deferred, c.takeOver)
		return
	}
	snapshot, err := c.State.ReadSnapshot(ctx, c.settings.Ledger != nil)
	if err != nil {
		c.deferred = append(c.deferred, c.takeOver)
		return
	}
	c.Jobs.AddToSnapshot(snapshot)
	c.Reconciler = reconciler.New(c.world.now, c.settings, c.fencingToken, snapshot, c.world.Types, c.log)
	c.jobChanges = nil
	c.staleness = staleness.NewTracker(c.electionSettings.Peers, c.Jobs.AsOf())
}
