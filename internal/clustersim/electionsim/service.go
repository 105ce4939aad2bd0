package electionsim

import (
	"errors"
	"io"
	"time"

	"github.com/glentiller/glentiller/internal/election"
)

// errNotToken is what a program from before feature gates sees of the record of the level.
var errNotToken = errors.New("not a token's record")

// endLease ends a lease, and removes the leader's key if it belongs to it.
func (s *state) endLease(id uint64) {
	delete(s.leases, id)
	if s.holder == id {
		s.holder = 0
	}
}

// reachable tells whether a member's request to the state service is served, and answered.
func (s *state) reachable(i int) (served, answered bool) {
	served = !s.stateDown && !s.members[i].stateUnreachable
	return served, served && s.fault != fault{faultLoseAnswers, i}
}

// stepMember hands an event to a member and carries out the effects, unless it restarts meanwhile.
func (s *state) stepMember(i int, now time.Time, event election.Event) {
	m := &s.members[i]
	if !m.up {
		return
	}
	incarnation := m.incarnation
	for _, effect := range m.machine.Step(now, event) {
		if m.incarnation != incarnation {
			return
		}
		s.execute(i, effect)
	}
}

// execute carries out an effect of a member's election.
func (s *state) execute(i int, effect election.Effect) {
	served, answered := s.reachable(i)
	var err error
	if !answered {
		err = io.EOF
	}
	switch effect := effect.(type) {
	case election.ReadRecord:
		s.readRecord(i, err)
	case election.GrantLease:
		s.grantLease(i, effect, served, err)
	case election.Claim:
		s.executeClaim(i, effect, served, err)
	case election.RenewLease:
		_, exists := s.leases[effect.LeaseID]
		if served && exists {
			s.leases[effect.LeaseID] = leaseSeconds
		}
		expired := answered && !exists
		s.stepMember(i, s.now, election.LeaseRenewed{LeaseID: effect.LeaseID, Sent: s.now, Expired: expired, Err: err})
	case election.RevokeLease:
		if served {
			s.endLease(effect.LeaseID)
		}
	case election.RequestVotes:
		s.broadcast(i, message{kind: messageVoteRequest, request: election.VoteRequest{
			Leader:       names[i],
			FencingToken: effect.FencingToken,
			Seq:          effect.Seq,
			Duration:     effect.Duration,
			Supersedes:   effect.Supersedes,
		}})
	case election.QueryLeadership:
		s.broadcast(i, message{kind: messageLeadershipQuery})
	case election.ReleaseVotes:
		if s.restartAt(i, restartBeforeRelease) {
			return
		}
		request := election.VoteRequest{FencingToken: effect.FencingToken}
		s.broadcast(i, message{kind: messageVoteRelease, request: request})
		s.restartAt(i, restartAfterRelease)
	}
}

// readRecord answers a member who leads.
func (s *state) readRecord(i int, err error) {
	record := election.Record{
		Held:         s.holder != 0,
		Leader:       names[s.owner],
		LeaseID:      s.holder,
		FencingToken: s.token,
		TokenVersion: s.version,
	}
	withoutFeatureGates := s.members[i].withoutFeatureGates
	if withoutFeatureGates && s.level > 0 && s.settings.Mutation != ReadableLevel {
		err = errNotToken
	} else if !withoutFeatureGates {
		record.Level, record.LevelVersion = s.level, s.levelVersion
	}
	s.stepMember(i, s.now, election.RecordRead{Record: record, Err: err})
}

// grantLease grants a member a lease.
func (s *state) grantLease(i int, effect election.GrantLease, served bool, err error) {
	var id uint64
	if served {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = int(effect.Duration / second)
	}
	if s.restartAt(i, restartAfterGrant) {
		return
	}
	s.stepMember(i, s.now, election.LeaseGranted{LeaseID: id, Sent: s.now, Err: err})
}

// executeClaim carries a member's claim out now or later, perhaps after delayed ones.
func (s *state) executeClaim(i int, effect election.Claim, served bool, err error) {
	s.result.Claims++
	if s.fault == (fault{faultLateClaim, i}) {
		for _, m := range s.held {
			if m.kind == messageClaim {
				s.claim(m.from, m.claim)
			}
		}
	}
	ok := false
	if s.fault == (fault{faultDelay, i}) || s.fault == (fault{restartDuringClaim, i}) {
		s.send(message{kind: messageClaim, from: i, to: i, claim: effect})
	} else if served {
		ok = s.claim(i, effect) || s.settings.Mutation == MixedIncarnations && s.holder != 0 && s.owner == i
	}
	if s.restartAt(i, restartAfterClaim) || s.restartAt(i, restartDuringClaim) {
		return
	}
	s.stepMember(i, s.now, election.ClaimCompleted{OK: ok && err == nil, TokenVersion: s.version, Err: err})
}

// claim makes a member the holder of the leader's key, if the conditions of its transaction hold.
func (s *state) claim(i int, claim election.Claim) bool {
	_, exists := s.leases[claim.LeaseID]
	if s.stateDown || s.holder != 0 || s.version != claim.TokenVersion || !exists {
		return false
	}
	if !s.members[i].withoutFeatureGates && s.levelVersion != claim.LevelVersion {
		return false
	}
	s.holder, s.owner, s.token = claim.LeaseID, i, claim.FencingToken
	if claim.NewLevel > 0 {
		s.level = claim.NewLevel
		s.levelVersion++
	}
	s.version++
	return true
}
