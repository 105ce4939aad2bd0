package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

const (
	batchWatchTimeout       = 5 * time.Second // of a single watch for batches of heartbeats
	batchResponseTimeout    = time.Second     // for the event loop to process all heartbeats of a batch
	maxConcurrentHeartbeats = 32              // heartbeats of one batch that wait for the event loop concurrently

	notLeadingRetryDelay   = 200 * time.Millisecond
	watchBatchesRetryDelay = 300 * time.Millisecond
)

// watchRelayedBatches watches for heartbeats that other members relay through the state service, and answers
// them while this controller leads.
func (c *Controller) watchRelayedBatches() error {
	var revision, token uint64
	for c.tasks.running() {
		lease := c.lease.load()
		if !lease.valid() {
			revision = 0
			c.tasks.sleep(notLeadingRetryDelay)
			continue
		}
		if lease.fencingToken != token {
			revision, token = 0, lease.fencingToken
		}
		var err error
		if revision == 0 {
			if revision, err = c.store.RelayRevision(c.tasks.ctx, ""); err != nil {
				revision = 0
				c.tasks.sleep(watchBatchesRetryDelay)
				continue
			}
		}
		batches, next, err := c.store.WatchRelay(c.tasks.ctx, "", revision, batchWatchTimeout)
		if err != nil {
			c.log.Debug("watching relayed heartbeats failed", "err", err)
			revision = 0
			c.tasks.sleep(watchBatchesRetryDelay)
			continue
		}
		revision = next
		for _, batch := range batches {
			c.tasks.spawn(func() { c.answerBatch(batch) })
		}
	}
	return nil
}

// answerBatch processes the heartbeats of a batch as if each had arrived separately, and writes the responses.
func (c *Controller) answerBatch(batch store.RelayBatch) {
	envelopes, err := relay.Unpack(batch.Payload)
	if err != nil {
		c.log.Warn("ignoring malformed batch of relayed heartbeats", "member", batch.Member, "err", err)
		return
	}
	c.putResponses(batch, c.batchResponses(envelopes))
}

// batchResponses processes all heartbeats of a batch in the event loop and returns the responses in the same
// order. It omits heartbeats that are malformed or not answered in time.
func (c *Controller) batchResponses(envelopes []relay.Envelope) []relay.Envelope {
	ctx, cancel := context.WithTimeout(c.tasks.ctx, batchResponseTimeout)
	defer cancel()
	bodies := make([][]byte, len(envelopes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for i, envelope := range envelopes {
		group.Go(func() error {
			bodies[i], _ = c.handleRelayed(ctx, envelope.Body)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	var responses []relay.Envelope
	for i, body := range bodies {
		if body != nil {
			responses = append(responses, relay.Envelope{ID: envelopes[i].ID, Body: body})
		}
	}
	return responses
}

// putResponses writes the responses to a batch, in as many records as necessary.
func (c *Controller) putResponses(batch store.RelayBatch, responses []relay.Envelope) {
	capacity := wire.MaxBatchPayload(config.StoreLimits(c.platform).MaxValueBytes)
	for len(responses) > 0 {
		lease := c.lease.load()
		payload, count := relay.Pack(responses, capacity)
		if count == 0 {
			responses = responses[1:] // too large for a record; its commands are sent again in smaller responses
			continue
		}
		if !lease.valid() {
			return
		}
		record := store.RelayBatch{
			Member:     batch.Member,
			RelayBatch: wire.RelayBatch{Incarnation: batch.Incarnation, Seq: batch.Seq, Payload: payload},
		}
		if _, err := c.store.PutHeartbeatResponses(c.tasks.ctx, lease.tokenVersion, record); err != nil {
			c.log.Debug("relaying heartbeat responses failed", "member", batch.Member, "count", count, "err", err)
			return
		}
		responses = responses[count:]
	}
}
