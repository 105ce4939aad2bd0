package election

import (
	"io"
	"time"
)

// callStore carries a request from a member to the state service, and its answer back.
func (c *cluster) callStore(i int, serve func() any, answered func(answer any, err error)) {
	m, incarnation := c.members[i], c.members[i].election
	reply := func(answer any, err error) {
		c.deliver(false, func() {
			if m.up && m.election == incarnation {
				answered(answer, err)
			}
		})
	}
	if m.unreachable[stateService] || c.storeDown {
		reply(nil, io.EOF)
		return
	}
	c.deliver(false, func() {
		c.expireLeases()
		if c.storeDown {
			reply(nil, io.EOF)
			return
		}
		answer := serve()
		if c.random.IntN(30) == 0 {
			reply(nil, io.ErrUnexpectedEOF) // carried out, and not answered
			return
		}
		reply(answer, nil)
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
	if c.holderLease == id {
		c.holderLease = 0
	}
}

// endOutage has the state service answer again. Leases do not expire in an outage.
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
			Held:         c.holderLease != 0,
			Leader:       c.leader,
			LeaseID:      uint64(c.holderLease),
			FencingToken: c.fencingToken,
			TokenVersion: c.tokenVersion,
		}
	}, func(answer any, err error) {
		record, _ := answer.(Record)
		c.step(i, RecordRead{record, err})
	})
}

func (c *cluster) grantLease(i int, e GrantLease, sent time.Time) {
	c.callStore(i, func() any {
		c.lastLeaseID++
		c.leases[c.lastLeaseID] = &lease{e.Duration, c.now}
		return c.lastLeaseID
	}, func(answer any, err error) {
		id, _ := answer.(int)
		c.step(i, LeaseGranted{uint64(id), sent, err})
	})
}

func (c *cluster) claim(i int, m *member, e Claim) {
	c.callStore(i, func() any {
		if c.holderLease != 0 || c.tokenVersion != e.TokenVersion || c.leases[int(e.LeaseID)] == nil {
			return uint64(0)
		}
		c.holderLease, c.leader = int(e.LeaseID), m.name
		c.fencingToken, c.tokenVersion = e.FencingToken, c.tokenVersion+1
		return c.tokenVersion
	}, func(answer any, err error) {
		version, _ := answer.(uint64)
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
	}, func(answer any, err error) {
		alive, _ := answer.(bool)
		c.step(i, LeaseRenewed{LeaseID: e.LeaseID, Sent: sent, Expired: err == nil && !alive, Err: err})
	})
}

func (c *cluster) revokeLease(i int, e RevokeLease) {
	c.callStore(i, func() any {
		c.deleteLease(int(e.LeaseID))
		return nil
	}, func(any, error) {})
}
