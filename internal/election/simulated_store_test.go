package election

import (
	"io"
	"time"
)

// callStore sends a request of a member to the state service, which executes it, and passes the response or an error to
// the member. A member that has crashed or restarted in the meantime gets no response.
func (c *cluster) callStore(i int, execute func() any, onResponse func(response any, err error)) {
	m, incarnation := c.members[i], c.members[i].stateMachine
	respond := func(response any, err error) {
		c.deliver(false, func() {
			if m.up && m.stateMachine == incarnation {
				onResponse(response, err)
			}
		})
	}
	if m.unreachable[stateService] || c.storeDown {
		respond(nil, io.EOF)
		return
	}
	c.deliver(false, func() {
		c.expireLeases()
		if c.storeDown {
			respond(nil, io.EOF)
			return
		}
		response := execute()
		if c.random.IntN(30) == 0 {
			respond(nil, io.ErrUnexpectedEOF) // executed, but the response is lost
			return
		}
		respond(response, nil)
	})
}

func (c *cluster) expireLeases() {
	if c.storeDown {
		return
	}
	for id, l := range c.leases {
		if c.now-l.renewedAt > l.duration {
			c.deleteLease(id)
		}
	}
}

func (c *cluster) deleteLease(id int) {
	delete(c.leases, id)
	if c.leaderKeyLease == id {
		c.leaderKeyLease = 0
	}
}

// endOutage makes the state service available again. Leases do not expire during an outage: all of them start anew.
func (c *cluster) endOutage() {
	if !c.storeDown {
		return
	}
	c.storeDown = false
	for _, l := range c.leases {
		l.renewedAt = c.now
	}
}

func (c *cluster) readRecord(i int) {
	c.callStore(i, func() any {
		return Record{
			Held:         c.leaderKeyLease != 0,
			Leader:       c.leader,
			LeaseID:      uint64(c.leaderKeyLease),
			FencingToken: c.fencingToken,
			TokenVersion: c.tokenVersion,
		}
	}, func(response any, err error) {
		record, _ := response.(Record)
		c.step(i, RecordRead{record, err})
	})
}

func (c *cluster) grantLease(i int, e GrantLease, sent time.Time) {
	c.callStore(i, func() any {
		c.lastLeaseID++
		c.leases[c.lastLeaseID] = &lease{e.Duration, c.now}
		return c.lastLeaseID
	}, func(response any, err error) {
		id, _ := response.(int)
		c.step(i, LeaseGranted{uint64(id), sent, err})
	})
}

func (c *cluster) claim(i int, m *member, e Claim) {
	c.callStore(i, func() any {
		if c.leaderKeyLease != 0 || c.tokenVersion != e.TokenVersion || c.leases[int(e.LeaseID)] == nil {
			return uint64(0)
		}
		c.leaderKeyLease, c.leader = int(e.LeaseID), m.name
		c.fencingToken, c.tokenVersion = e.FencingToken, c.tokenVersion+1
		return c.tokenVersion
	}, func(response any, err error) {
		version, _ := response.(uint64)
		c.step(i, ClaimCompleted{OK: version > 0 && err == nil, TokenVersion: version, Err: err})
	})
}

func (c *cluster) renewLease(i int, e RenewLease, sent time.Time) {
	c.callStore(i, func() any {
		l := c.leases[int(e.LeaseID)]
		if l != nil {
			l.renewedAt = c.now
		}
		return l != nil
	}, func(response any, err error) {
		alive, _ := response.(bool)
		c.step(i, LeaseRenewed{LeaseID: e.LeaseID, Sent: sent, Expired: err == nil && !alive, Err: err})
	})
}

func (c *cluster) revokeLease(i int, e RevokeLease) {
	c.callStore(i, func() any {
		c.deleteLease(int(e.LeaseID))
		return nil
	}, func(any, error) {})
}
