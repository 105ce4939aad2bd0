package election

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Clone is the same machine, which goes its own way from here on.
func (m *StateMachine) Clone() *StateMachine {
	out := *m
	out.votes.notLeading, out.votes.received = maps.Clone(m.votes.notLeading), maps.Clone(m.votes.received)
	return &out
}

// AppendKey appends what the machine's further course hangs on: two with the same key, in the
// same surroundings, do the same. Times count as they are from now.
func (m *StateMachine) AppendKey(b []byte, now time.Time) []byte {
	at := func(ts ...time.Time) {
		for _, t := range ts {
			// What lies a minute off has no say any more, and a zero time lies further.
			b = binary.AppendVarint(b, int64(min(max(t.Sub(now), -time.Minute), time.Minute)))
		}
	}
	text := func(s string) { b = append(append(b, byte(len(s))), s...) }
	num := func(ns ...uint64) {
		for _, n := range ns {
			b = binary.AppendUvarint(b, n)
		}
	}
	flag := func(f bool) {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	p := &m.votes
	b = append(b, byte(m.state), byte(p.state))
	text(m.leader)
	text(p.castFor)
	at(m.nextActionAt, m.renewalSentAt, m.noClaimBefore, p.blockedUntil, p.recoveryUntil, p.castAt, p.nextRequestAt)
	num(m.leaseID, m.fencingToken, m.tokenVersion, p.castToken, p.castSeq, p.highestToken, p.requestSeq, p.waivedSeq)
	num(uint64(m.level), uint64(m.recordedLevel), m.levelVersion, uint64(m.proposedLevel), uint64(m.claimedLevel))
	flag(m.renewing)
	flag(p.extended)
	for _, o := range slices.Sorted(maps.Keys(p.notLeading)) {
		text(o)
	}
	b = append(b, 0)
	for _, o := range slices.Sorted(maps.Keys(p.received)) {
		text(o)
		at(p.received[o].validUntil, p.received[o].startsUntil)
	}
	return append(b, 0)
}
