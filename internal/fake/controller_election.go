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

// contactSlack is by how much a voter's last contact with the state service may be more recent than the leader's.
const contactSlack = 2 * time.Second

// stepElection hands an event to the election and carries out the effects.
func (c *Controller) stepElection(event election.Event) {
	for _, effect := range c.Election.Step(c.world.now, event) {
		c.executeElection(effect)
	}
}

// electionExecutor carries out the election's requests to the state service.
func (c *Controller) electionExecutor() effects.ElectionExecutor {
	return effects.ElectionExecutor{Member: c.Member, State: c.stateRequests(), Now: c.world.Now}
}

// executeElection carries out an effect of the election. A request to the state service is carried out at once, and
// its answer is on its way for a while.
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
		c.toPeers(func(peer *Controller) { c.requestVote(peer, effect) })
	case election.QueryLeadership:
		c.toPeers(c.queryLeadership)
	case election.ReleaseVotes:
		c.toPeers(func(peer *Controller) {
			c.world.sendBetween(c, peer, func() { peer.Election.HandleVoteRelease(effect.FencingToken) })
		})
	case election.RevokeLease:
		_ = c.State.RevokeLease(effect.LeaseID) // if it is lost, the next claim waits for the lease's expiry
	case election.Elected:
		c.fencingToken, c.tokenVersion = effect.FencingToken, effect.TokenVersion
		c.takeOver()
	case election.Deposed:
		c.depose()
	}
}

// stepElectionOnReply has the election take the answer to a request to the state service.
func (c *Controller) stepElectionOnReply(event election.Event) {
	c.onStateReply(func() { c.stepElection(event) })
}

// toPeers sends something to each other controller.
func (c *Controller) toPeers(send func(peer *Controller)) {
	for _, peer := range c.world.Controllers {
		if peer != c {
			send(peer)
		}
	}
}

// requestVote asks a peer for its vote. Its answer also carries the cancellations that it knows of.
func (c *Controller) requestVote(peer *Controller, effect election.RequestVotes) {
	sent := c.world.now
	revision, acknowledged := c.Jobs.Revision(), c.acknowledgedBy[peer.Member]
	sinceContact := sent.Sub(c.State.LastContact())
	request := election.VoteRequest{
		Leader:       c.Member,
		FencingToken: effect.FencingToken,
		Seq:          effect.Seq,
		Duration:     effect.Duration,
		Supersedes:   effect.Supersedes,
	}
	c.world.sendBetween(c, peer, func() {
		cancellations := peer.Jobs.CancellationsAfter(revision, acknowledged)
		duration := peer.vote(request, sinceContact)
		c.world.sendBetween(peer, c, func() {
			if c.fencingToken != request.FencingToken || c.Reconciler == nil {
				return
			}
			c.Jobs.ApplyCancellations(cancellations.Cancelled)
			c.applyJobChanges()
			c.acknowledgedBy[peer.Member] = cancellations.Cursor
			if cancellations.Complete && c.staleness != nil {
				c.staleness.Acknowledged(peer.Member, sent)
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

// queryLeadership asks a peer whether it leads.
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

// vote decides as package controller does: a member that has not read the records, or that reached the state service
// well after the leader did and still reaches it, does not vote.
func (c *Controller) vote(request election.VoteRequest, leaderSinceContact time.Duration) time.Duration {
	now := c.world.now
	leaderContact := now.Add(-leaderSinceContact)
	if c.Jobs.Revision() == 0 ||
		c.State.LastContact().Sub(leaderContact) > contactSlack && c.State.UnreachableFor(now) == 0 {
		return 0
	}
	return c.Election.HandleVoteRequest(now, request)
}

// claim takes the leader's key and the next token. A program from before feature gates has no condition on the level.
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

// takeOver reads the records and begins to lead by them. It is tried again with the next step until it succeeds.
func (c *Controller) takeOver() {
	ctx := context.Background()
	if err := c.Jobs.Refresh(ctx); err != nil {
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
