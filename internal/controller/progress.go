package controller

import (
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
)

// progressInterval is how often the leader sends the progress of jobs to the other members.
const progressInterval = time.Second

// progressView holds the progress of unfinished jobs, from which requests for the state of a job are answered.
// The map is replaced as a whole and never modified.
type progressView struct {
	jobs atomic.Pointer[map[string]jobProgress]
}

// jobProgress holds how many tasks of a job are done and how many are running.
type jobProgress struct{ done, running int }

// lookup returns how many tasks of a job are done and how many are running. Both are 0 if the job is not known.
func (v *progressView) lookup(id string) (done, running int) {
	if jobs := v.jobs.Load(); jobs != nil {
		p := (*jobs)[id]
		return p.done, p.running
	}
	return 0, 0
}

// replace replaces all progress by that in a leader's message.
func (v *progressView) replace(p *peerpb.Progress) {
	jobs := make(map[string]jobProgress, len(p.GetJobs()))
	for _, j := range p.GetJobs() {
		jobs[j.GetId()] = jobProgress{done: int(j.GetDone()), running: int(j.GetRunning())}
	}
	v.jobs.Store(&jobs)
}

// publishProgress periodically stores the progress of all jobs and sends it to the other members, while this
// controller leads.
func (c *Controller) publishProgress() error {
	for c.tasks.running() {
		c.tasks.sleep(progressInterval)
		if !c.lease.valid() {
			continue
		}
		p, err := runInLoop(c.tasks.ctx, c.loop.inbox, c.collectProgress)
		if err != nil || p.GetToken() == 0 {
			continue
		}
		c.progress.replace(p)
		for name, client := range c.peers {
			c.tasks.spawn(func() {
				if err := client.SendProgress(p); err != nil {
					c.log.Debug("sending progress failed", "member", name, "err", err)
				}
			})
		}
	}
	return nil
}

// collectProgress returns the progress of all jobs. It runs in the event loop. If there is no reconciler, the
// message is empty and its token is 0.
func (c *Controller) collectProgress(time.Time) *peerpb.Progress {
	p := &peerpb.Progress{}
	if c.reconciler == nil {
		return p
	}
	p.Token, p.Member = c.election.FencingToken(), c.platform.Member
	lease := c.lease.load()
	p.OnPromises = lease != nil && lease.heldByVotesOnly(time.Now())
	p.MemoryShort = c.memory.UnderPressure()
	c.reconciler.EachProgress(func(id string, done, running int) {
		p.Jobs = append(p.Jobs, &peerpb.JobProgress{Id: id, Done: uint32(done), Running: uint32(running)})
	})
	return p
}

// HandleProgress stores the progress in a leader's message and records that the leader is reachable.
func (h peerHandler) HandleProgress(p *peerpb.Progress) {
	c := h.controller
	c.leader.observe(leaderContact{
		leader: p.GetMember(), at: time.Now(), votesOnly: p.GetOnPromises(), memoryShort: p.GetMemoryShort(),
	})
	if c.storeRelay != nil {
		c.storeRelay.onLeaderReachable()
	}
	if c.lease.valid() {
		return // this controller leads, so its own progress is more recent
	}
	c.progress.replace(p)
}
