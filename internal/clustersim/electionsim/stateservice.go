package electionsim

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// fullLeaseSeconds is the remaining time of a lease, in seconds, right after a renewal or the end of an outage.
const fullLeaseSeconds = int(leaseDuration / time.Second)

var (
	// errNoAnswer is the error that a member gets if its request or the answer to it is lost.
	errNoAnswer = io.EOF

	// errUnreadableRecord is the error that a version without feature gates gets when it reads the leader's keys while
	// a feature level is recorded.
	errUnreadableRecord = errors.New("record does not hold a fencing token")
)

// stateService is a simulated state service. It holds leases and the leader's keys: the key of the leader, which is
// attached to a lease, and the versioned records of the fencing token and the feature level.
type stateService struct {
	down          bool
	leases        map[uint64]int // remaining seconds by lease id
	lastLeaseID   uint64
	leaderLeaseID uint64 // lease to which the leader's key is attached; 0 if the key does not exist
	lastLeader    int    // index of the member that last wrote the leader's key
	fencingToken  uint64
	tokenVersion  uint64
	level         featuregate.Level // level in force; 0 if none is recorded
	levelVersion  uint64
}

// appendKey appends everything that determines the further behavior of the state service.
func (s *stateService) appendKey(b []byte) []byte {
	b = appendFlags(b, s.down)
	b = append(b, byte(s.lastLeader))
	for _, n := range []uint64{
		s.leaderLeaseID, s.fencingToken, s.tokenVersion, s.lastLeaseID, uint64(s.level), s.levelVersion,
	} {
		b = binary.AppendUvarint(b, n)
	}
	for id := uint64(1); id <= s.lastLeaseID; id++ {
		if remaining, exists := s.leases[id]; exists {
			b = append(b, byte(id), byte(remaining+100))
		}
	}
	return b
}

// advanceLeases takes one second off the remaining time of every lease, and deletes the leases that expire. Leases do
// not expire while the service is down.
func (s *stateService) advanceLeases() {
	if s.down {
		return
	}
	for id := range s.leases {
		s.leases[id]--
		if s.leases[id] < 0 {
			s.deleteLease(id)
		}
	}
}

// endOutage ends an outage, after which every lease has its full duration again.
func (s *stateService) endOutage() {
	s.down = false
	for id := range s.leases {
		s.leases[id] = fullLeaseSeconds
	}
}

// grant creates a lease and returns its id.
func (s *stateService) grant(duration time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = int(duration / time.Second)
	return s.lastLeaseID
}

// deleteLease deletes a lease, and the leader's key if it is attached to that lease.
func (s *stateService) deleteLease(id uint64) {
	delete(s.leases, id)
	if s.leaderLeaseID == id {
		s.leaderLeaseID = 0
	}
}

// raiseLevel raises the feature level in a transaction that is not part of a claim.
func (s *stateService) raiseLevel() {
	s.level++
	s.levelVersion++
}

// commitClaim commits the claim of member i if its conditions hold, and reports whether it did. A claim by a version
// without feature gates has no condition on the record of the feature level.
func (s *stateService) commitClaim(i int, claim election.Claim, withoutFeatureGates bool) bool {
	if _, valid := s.leases[claim.LeaseID]; s.down || s.leaderLeaseID != 0 ||
		s.tokenVersion != claim.TokenVersion || !valid {
		return false
	}
	if !withoutFeatureGates && s.levelVersion != claim.LevelVersion {
		return false
	}
	s.leaderLeaseID, s.lastLeader, s.fencingToken = claim.LeaseID, i, claim.FencingToken
	if claim.NewLevel > 0 {
		s.level = claim.NewLevel
		s.levelVersion++
	}
	s.tokenVersion++
	return true
}

// commitClaim passes a member's claim to the state service and reports whether it was committed.
func (c *cluster) commitClaim(i int, claim election.Claim) bool {
	return c.stateService.commitClaim(i, claim, c.members[i].withoutFeatureGates)
}

// reachable reports whether the state service serves a request of a member, and whether the answer reaches the member.
func (c *cluster) reachable(i int) (served, answered bool) {
	served = !c.stateService.down && !c.members[i].stateUnreachable
	return served, served && c.currentFault != fault{AnswersLost, i}
}

// requestError returns nil if the answer to a request has arrived, and errNoAnswer otherwise.
func requestError(answered bool) error {
	if answered {
		return nil
	}
	return errNoAnswer
}

// readRecord performs an election.ReadRecord of a member.
func (c *cluster) readRecord(i int) {
	_, answered := c.reachable(i)
	err := requestError(answered)
	record := election.Record{
		Held:         c.stateService.leaderLeaseID != 0,
		Leader:       memberNames[c.stateService.lastLeader],
		LeaseID:      c.stateService.leaderLeaseID,
		FencingToken: c.stateService.fencingToken,
		TokenVersion: c.stateService.tokenVersion,
	}
	switch withoutFeatureGates := c.members[i].withoutFeatureGates; {
	case !withoutFeatureGates:
		record.Level, record.LevelVersion = c.stateService.level, c.stateService.levelVersion
	case c.stateService.level > 0 && c.settings.Mutation != ReadableLevel:
		err = errUnreadableRecord
	}
	c.stepMember(i, c.now, election.RecordRead{Record: record, Err: err})
}

// grantLease performs an election.GrantLease of a member.
func (c *cluster) grantLease(i int, request election.GrantLease) {
	served, answered := c.reachable(i)
	id := uint64(0)
	if served {
		id = c.stateService.grant(request.Duration)
	}
	if c.restartIfInjected(i, RestartAfterGrant) {
		return
	}
	c.stepMember(i, c.now, election.LeaseGranted{LeaseID: id, Sent: c.now, Err: requestError(answered)})
}

// claimLeadership performs an election.Claim of a member, unless the network holds the claim back. With the mutation
// MixedIncarnations, a rejected claim counts as committed if an earlier incarnation of the member holds the leader's
// key.
func (c *cluster) claimLeadership(i int, claim election.Claim) {
	served, answered := c.reachable(i)
	c.result.Claims++
	committed := false
	if c.currentFault == (fault{lateClaim, i}) {
		c.commitHeldClaims()
	}
	if c.currentFault == (fault{HoldMessages, i}) || c.currentFault == (fault{RestartClaimInFlight, i}) {
		c.send(message{kind: heldClaim, from: i, to: i, claim: claim})
	} else if served {
		committed = c.commitClaim(i, claim)
		if !committed && c.settings.Mutation == MixedIncarnations {
			committed = c.stateService.leaderLeaseID != 0 && c.stateService.lastLeader == i
		}
	}
	if c.restartIfInjected(i, RestartAfterClaim) || c.restartIfInjected(i, RestartClaimInFlight) {
		return
	}
	c.stepMember(i, c.now, election.ClaimCompleted{
		OK:           committed && answered,
		TokenVersion: c.stateService.tokenVersion,
		Err:          requestError(answered),
	})
}

// commitHeldClaims passes all held claims to the state service. The network keeps them, so a claim may arrive twice.
func (c *cluster) commitHeldClaims() {
	for _, m := range c.network.held {
		if m.kind == heldClaim {
			c.commitClaim(m.from, m.claim)
		}
	}
}

// renewLease performs an election.RenewLease of a member.
func (c *cluster) renewLease(i int, request election.RenewLease) {
	served, answered := c.reachable(i)
	_, valid := c.stateService.leases[request.LeaseID]
	if served && valid {
		c.stateService.leases[request.LeaseID] = fullLeaseSeconds
	}
	c.stepMember(i, c.now, election.LeaseRenewed{
		LeaseID: request.LeaseID,
		Sent:    c.now,
		Expired: answered && !valid,
		Err:     requestError(answered),
	})
}
