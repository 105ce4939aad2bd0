package controller

import (
	"fmt"
	"testing"
	"time"
)

// A worker follows what members answer it: sent to a leader it goes there, otherwise it tries the next
// member a second later; where nobody answers it waits for 4 s first. Member 0 led and has ended, member 1 is
// cut off from the state service and the others and names the leader that it last knew until that is too
// long ago (leaderView.redirectTarget), and member 2 will lead. With any number of members every worker
// finds whoever leads, wherever it begins.
func TestWorkerFindsLeaderFromEveryMember(t *testing.T) {
	const (
		electedAfter = 6 * time.Second // the former leader has ended
		maxAttempts  = 50
		ended        = 0
		cutOff       = 1
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
				view.since.Store(&since)
				view.contact.Store(&leaderContact{leader: "0", at: start})
				member, now, attempts := first, start.Add(after), 0
				for ; attempts < maxAttempts; attempts++ {
					hasLeader := now.Sub(start) >= electedAfter
					if member == elected && hasLeader {
						break
					}
					switch {
					case member == ended: // no answer
						now = now.Add(5 * time.Second)
					case member == cutOff:
						if view.redirectTarget("0", now) == "0" {
							member = ended
							continue
						}
						now = now.Add(time.Second)
					case hasLeader: // 421 with the leader's name
						member = elected
						continue
					default: // it knows of no leader
						now = now.Add(time.Second)
					}
					member = (member + 1) % members
				}
				// The time without a leader, one wait for the member that has ended, and a second for each other.
				limit := max(after, electedAfter) + 5*time.Second + time.Duration(members)*time.Second
				if got := now.Sub(start); attempts == maxAttempts || got > limit {
					t.Errorf("%s: got the leader after %v and %d heartbeats, want within %v", name, got, attempts, limit)
				}
			}
		}
	}
}
