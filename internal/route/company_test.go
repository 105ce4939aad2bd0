package route

import (
	"testing"
	"time"
)

func TestOneThatReachesNobodyIsAlone(t *testing.T) {
	var c Company
	now := time.Unix(1000, 0)
	look := func(after, down time.Duration, asks bool, want CompanyState) {
		t.Helper()
		now = now.Add(after)
		if ask, _ := c.Look(now, down); ask != asks || c.State() != want {
			t.Fatalf("asks %v, %v; want %v, %v", ask, c.State(), asks, want)
		}
	}
	look(0, 0, false, Served)
	look(time.Second, 900*time.Millisecond, false, Served) // a slow answer
	look(time.Second, 2*time.Second, true, Asking)
	look(2*time.Second, 4*time.Second, true, Asking)
	c.Met(now) // an outage for all: the others are there
	look(2*time.Second, 6*time.Second, true, Asking)
	look(2*time.Second, 8*time.Second, true, Alone) // and now they are not
	c.Met(now)
	look(time.Second, 9*time.Second, true, Asking)
	look(4*time.Second, 13*time.Second, true, Alone)
	look(time.Second, 0, false, Served)
	look(time.Second, 5*time.Second, true, Asking) // it starts anew with the next cut
}
