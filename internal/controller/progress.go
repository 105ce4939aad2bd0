package controller

import (
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
)

// progressInterval is how often the leader sends the others how far jobs are.
const progressInterval = time.Second

// progressView is how far unfinished jobs are, which polls are answered from. A whole new map replaces the
// former one.
type progressView struct {
	jobs atomic.Pointer[map[string]jobProgress]
}

// jobProgress counts tasks of a job.
type jobProgress struct{ done, running int }

// ofJob returns how many tasks of a job are done and running.
func (v *progressView) ofJob(id string) (done, running int) {
	if jobs := v.jobs.Load(); jobs != nil {
		p := (*jobs)[id]
		return p.done, p.running
	}
	return 0, 0
}

// replace replaces the progress by that in a leader's message.
func (v *progressView) replace(p *peerpb.Progress) {
	jobs := make(map[string]jobProgress, len(p.GetJobs()))
	for _, j := range p.GetJobs() {
		jobs[j.GetId()] = jobProgress{done: int(j.GetDone()), running: int(j.GetRunning())}
	}
	v.jobs.Store(&jobs)
}

// publishProgress has a leader send the progress of all jobs to the other members, and keep it itself.
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

// collectProgress reads the reconciler's progress within the event loop. Without a reconciler the message
// is empty, with no token.
func (c *Controller) collectProgress(time.Time) *peerpb.Progress {
	p := &peerpb.Progress{}
	if c.reconciler == nil {
		return p
	}
	p.Token, p.Member = c.election.FencingToken(), c.platform.Member
	lease := c.lease.load()
	p.OnPromises = lease != nil && lease.restsOnVotes(time.Now())
	c.reconciler.EachProgress(func(id string, done, running int) {
		p.Jobs = append(p.Jobs, &peerpb.JobProgress{Id: id, Done: uint32(done), Running: uint32(running)})
	})
	return p
}

// HandleProgress records a leader's progress message. It also shows that the leader is reachable.
func (h peerHandler) HandleProgress(p *peerpb.Progress) {
	c := h.controller
	c.leader.observe(p.GetMember(), time.Now(), p.GetOnPromises())
	if c.storeRelay != nil {
		c.storeRelay.leaderReached()
	}
	if c.lease.valid() {
		return // this controller leads, so its own progress is newer
	}
	c.progress.replace(p)
}
