package controller

import (
	"fmt"
	"testing"
	"time"
)

// This test checks that every worker finds the leader, whichever member it contacts first and however many
// members there are. A worker that is redirected to a leader contacts it next. If a member answers without a
// redirect, the worker tries the next member 1 s later. If a member does not answer, the worker first waits for
// 4 s. Member 0 was the leader and has stopped. Member 1 is partitioned from the state service and from the
// other members, and redirects workers to the last leader that it knew until leaderView.redirectTarget stops
// returning it. Member 2 is elected.
func TestWorkerFindsLeaderFromEveryMember(t *testing.T) {
	const (
		electedAfter = 6 * time.Second // after the former leader has stopped
		maxAttempts  = 50
		stopped      = 0
		partitioned  = 1
		elected      = 2
	)
	for members := 3; members <= 5; members++ {
		for first := range members {
			for _, after := range []time.Duration{
				0, time.Second, 2500 * time.Millisecond, 5 * time.Second, 20 * time.Second,
			} {
				name := fmt.Sprint(members, " members, from ", first, " after ", after)
				start := time.Unix(1000, 0)
				view := &leaderView{}
				since := start.Add(-time.Hour)
				view.changedAt.Store(&since)
				view.contact.Store(&leaderContact{leader: "0", at: start})
				member, now, attempts := first, start.Add(after), 0
				for ; attempts < maxAttempts; attempts++ {
					hasLeader := now.Sub(start) >= electedAfter
					if member == elected && hasLeader {
						break
					}
					switch {
					case member == stopped: // does not answer
						now = now.Add(5 * time.Second)
					case member == partitioned:
						if view.redirectTarget("0", now) == "0" {
							member = stopped
							continue
						}
						now = now.Add(time.Second)
					case hasLeader: // HTTP status 421 with the leader's name
						member = elected
						continue
					default: // knows no leader
						now = now.Add(time.Second)
					}
					member = (member + 1) % members
				}
				// The limit allows for the time without a leader, one timeout of the stopped member, and 1 s
				// for each other member.
				limit := max(after, electedAfter) + 5*time.Second + time.Duration(members)*time.Second
				if got := now.Sub(start); attempts == maxAttempts || got > limit {
					t.Errorf("%s: got the leader after %v and %d heartbeats, want within %v", name, got, attempts, limit)
				}
			}
		}
	}
}
