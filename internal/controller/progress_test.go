package controller

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
)

// Guards against leaders that are killed for memory one after the other because the other members, which hold no
// task states, go on accepting jobs while the leader is short of memory.
func TestNoMemberAcceptsJobsWhileTheLeaderIsShortOfMemory(t *testing.T) {
	const memoryLimit = 100
	now := time.Now()
	newTestMember := func() *Controller {
		term, _ := newTestTerm(t)
		term.memory = connquota.NewMemoryMonitor(memoryLimit, nil)
		return term.Controller
	}
	leader, member := newTestMember(), newTestMember()
	leader.election = election.New(now, election.Settings{}, discardLogger())
	leader.reconciler = reconciler.New(now, reconciler.Settings{}, testToken,
		&record.Snapshot{NumberedChunkTasks: 1}, nil, discardLogger())
	member.lease.clear()
	publish := func() { peerHandler{member}.HandleProgress(leader.collectProgress(now)) }

	if member.UnderMemoryPressure() {
		t.Error("before any message from a leader: got memory pressure, want none")
	}
	leader.memory.Observe(memoryLimit)
	publish()
	if !member.UnderMemoryPressure() {
		t.Error("the leader is short of memory: got no memory pressure on the other member, want it")
	}
	leader.memory.Observe(0)
	publish()
	if member.UnderMemoryPressure() {
		t.Error("the leader has memory again: got memory pressure on the other member, want none")
	}
	member.leader.observe(leaderContact{leader: "a", at: now.Add(-leaderContactTimeout), memoryShort: true})
	if member.UnderMemoryPressure() {
		t.Error("no message from the leader for longer than the timeout: got memory pressure, want none")
	}
}
