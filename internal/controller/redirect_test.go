package controller

import (
	"fmt"
	"testing"
	"time"
)

// A worker follows what members answer it, as the protocol says: sent to a leader it goes there, otherwise
// it tries the next member a second later; where nobody answers it waits for 4 s first. One member is cut
// off from the state service and the others and keeps naming whom it last knew, until that is too long ago
// (Node.redirect). With any number of members every worker finds whoever leads, wherever it stands.
func TestWorkerFindsLeaderFromEveryMember(t *testing.T) {
	const elected = 6 * time.Second // after the former leader has ended
	for members := 3; members <= 5; members++ {
		for from := range members {
			for _, after := range []time.Duration{0, time.Second, 2500 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
				name := fmt.Sprint(members, " members, from ", from, " after ", after)
				start := time.Unix(1000, 0) // 0 has ended, 1 is cut off, 2 will lead
				cut := &Controller{}
				since := start.Add(-time.Hour)
				cut.leaderSince.Store(&since)
				cut.leaderContact.Store(&leaderContact{leader: "0", at: start})
				at, now, asked := from, start.Add(after), 0
				for ; asked < 50; asked++ {
					led := now.Sub(start) >= elected
					if at == 2 && led {
						break
					}
					switch {
					case at == 0: // no answer
						now = now.Add(5 * time.Second)
					case at == 1:
						if cut.redirectTarget("0", now) == "0" {
							at = 0
							continue
						}
						now = now.Add(time.Second)
					case led: // 421 with the leader's name
						at = 2
						continue
					default: // it knows of no leader
						now = now.Add(time.Second)
					}
					at = (at + 1) % members
				}
				// The end of the spell without a leader, one wait for the member that has ended, and a second for each other.
				most := max(after, elected) + 5*time.Second + time.Duration(members)*time.Second
				if took := now.Sub(start); asked == 50 || took > most {
					t.Errorf("%s: it found the leader after %v and %d reports", name, took, asked)
				}
			}
		}
	}
}
