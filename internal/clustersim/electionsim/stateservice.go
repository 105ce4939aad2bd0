package electionsim

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// fullLeaseSeconds is to what a renewal, or the end of an outage, extends a lease.
const fullLeaseSeconds = int(leaseDuration / time.Second)

var (
	errNoAnswer = io.EOF

	// errUnreadableRecord is what a program without feature gates sees of a record with a level in it.
	errUnreadableRecord = errors.New("not a token's record")
)

// stateService is the state service with the leader's keys: leases, the key of the leader that hangs on one,
// the fencing token and the feature level, each record with its version.
type stateService struct {
	down         bool
	leases       map[uint64]int // the seconds left, by the lease's id
	lastLease    uint64
	holder       uint64 // the lease on which the leader's key hangs; 0: there is no leader's key
	leader       int    // the member that wrote the leader's key last
	token        uint64
	tokenVersion uint64
	level        featuregate.Level // in force; 0: not recorded
	levelVersion uint64
}

// appendKey appends all that the further course depends on.
func (s *stateService) appendKey(b []byte) []byte {
	b = appendFlags(b, s.down)
	b = append(b, byte(s.leader))
	for _, n := range []uint64{s.holder, s.token, s.tokenVersion, s.lastLease, uint64(s.level), s.levelVersion} {
		b = binary.AppendUvarint(b, n)
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if left, ok := s.leases[id]; ok {
			b = append(b, byte(id), byte(left+100))
		}
	}
	return b
}

// expireLeases lets a second of every lease pass. Leases do not expire while the service is down.
func (s *stateService) expireLeases() {
	if s.down {
		return
	}
	for id := range s.leases {
		s.leases[id]--
		if s.leases[id] < 0 {
			s.endLease(id)
		}
	}
}

// recover ends an outage, after which every lease has its full duration again.
func (s *stateService) recover() {
	s.down = false
	for id := range s.leases {
		s.leases[id] = fullLeaseSeconds
	}
}

// grant returns the id of a new lease.
func (s *stateService) grant(duration time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = int(duration / time.Second)
	return s.lastLease
}

// endLease deletes a lease, and the leader's key if it hangs on it.
func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	if s.holder == id {
		s.holder = 0
	}
}

// raise raises the feature level by a transaction of its own.
func (s *stateService) raise() {
	s.level++
	s.levelVersion++
}

// commitClaim commits a member's claim if its conditions hold. A program without feature gates sets no condition
// on the level's record.
func (s *stateService) commitClaim(i int, claim election.Claim, withoutFeatureGates bool) bool {
	if _, valid := s.leases[claim.LeaseID]; s.down || s.holder != 0 || s.tokenVersion != claim.TokenVersion || !valid {
		return false
	}
	if !withoutFeatureGates && s.levelVersion != claim.LevelVersion {
		return false
	}
	s.holder, s.leader, s.token = claim.LeaseID, i, claim.FencingToken
	if claim.NewLevel > 0 {
		s.level = claim.NewLevel
		s.levelVersion++
	}
	s.tokenVersion++
	return true
}

// commitClaim has the state service commit a member's claim.
func (c *cluster) commitClaim(i int, claim election.Claim) bool {
	return c.state.commitClaim(i, claim, c.members[i].withoutFeatureGates)
}

// reachable returns whether the state service serves a member's request, and whether its answer arrives.
func (c *cluster) reachable(i int) (served, answered bool) {
	served = !c.state.down && !c.members[i].stateUnreachable
	return served, served && c.fault != fault{AnswersLost, i}
}

// errorOf is what a member sees of a request.
func errorOf(answered bool) error {
	if answered {
		return nil
	}
	return errNoAnswer
}

// readRecord performs a member's ReadRecord.
func (c *cluster) readRecord(i int) {
	_, answered := c.reachable(i)
	err := errorOf(answered)
	record := election.Record{
		Held:         c.state.holder != 0,
		Leader:       memberNames[c.state.leader],
		LeaseID:      c.state.holder,
		FencingToken: c.state.token,
		TokenVersion: c.state.tokenVersion,
	}
	switch withoutGates := c.members[i].withoutFeatureGates; {
	case !withoutGates:
		record.Level, record.LevelVersion = c.state.level, c.state.levelVersion
	case c.state.level > 0 && c.settings.Mutation != ReadableLevel:
		err = errUnreadableRecord
	}
	c.stepMember(i, c.now, election.RecordRead{Record: record, Err: err})
}

// grantLease performs a member's GrantLease.
func (c *cluster) grantLease(i int, request election.GrantLease) {
	served, answered := c.reachable(i)
	id := uint64(0)
	if served {
		id = c.state.grant(request.Duration)
	}
	if c.restartIf(i, RestartAfterGrant) {
		return
	}
	c.stepMember(i, c.now, election.LeaseGranted{LeaseID: id, Sent: c.now, Err: errorOf(answered)})
}

// claimLeadership performs a member's Claim, unless the network holds it.
func (c *cluster) claimLeadership(i int, claim election.Claim) {
	served, answered := c.reachable(i)
	c.result.Claims++
	committed := false
	if c.fault == (fault{lateClaim, i}) {
		c.commitHeldClaims()
	}
	if c.fault == (fault{HoldMessages, i}) || c.fault == (fault{RestartClaimInFlight, i}) {
		c.send(message{kind: heldClaim, from: i, to: i, claim: claim})
	} else if served {
		committed = c.commitClaim(i, claim)
		if !committed && c.settings.Mutation == MixedIncarnations {
			committed = c.state.holder != 0 && c.state.leader == i
		}
	}
	if c.restartIf(i, RestartAfterClaim) || c.restartIf(i, RestartClaimInFlight) {
		return
	}
	c.stepMember(i, c.now, election.ClaimCompleted{
		OK:           committed && answered,
		TokenVersion: c.state.tokenVersion,
		Err:          errorOf(answered),
	})
}

// commitHeldClaims has the state service process the claims that the network holds. They stay there: a claim
// may arrive twice.
func (c *cluster) commitHeldClaims() {
	for _, m := range c.network.held {
		if m.kind == heldClaim {
			c.commitClaim(m.from, m.claim)
		}
	}
}

// renewLease performs a member's RenewLease.
func (c *cluster) renewLease(i int, request election.RenewLease) {
	served, answered := c.reachable(i)
	_, valid := c.state.leases[request.LeaseID]
	if served && valid {
		c.state.leases[request.LeaseID] = fullLeaseSeconds
	}
	c.stepMember(i, c.now, election.LeaseRenewed{
		LeaseID: request.LeaseID,
		Sent:    c.now,
		Expired: answered && !valid,
		Err:     errorOf(answered),
	})
}
