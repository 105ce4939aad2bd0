package election

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Clone returns a copy that shares no mutable state with m. The model checker uses it to explore several sequences of
// events from the same state.
func (m *StateMachine) Clone() *StateMachine {
	out := *m
	out.votes.notLeading, out.votes.received = maps.Clone(m.votes.notLeading), maps.Clone(m.votes.received)
	return &out
}

// AppendKey appends an encoding of all state that determines the future behaviour of the state machine, and returns
// the extended buffer. Two state machines with equal keys react identically to identical events. Times are encoded
// relative to now.
func (m *StateMachine) AppendKey(b []byte, now time.Time) []byte {
	k := keyWriter{b: b, now: now}
	v := &m.votes
	k.b = append(k.b, byte(m.state), byte(v.state))
	k.appendString(m.leader)
	k.appendString(v.castFor)
	k.appendTimes(m.nextActionAt, m.lease.renewalSentAt, m.noClaimBefore)
	k.appendTimes(v.blockedUntil, v.recoveryUntil, v.castAt, v.nextRequestAt)
	k.appendNumbers(m.lease.id, m.lease.fencingToken, m.lease.tokenVersion)
	k.appendNumbers(v.castToken, v.castSeq, v.highestToken, v.requestSeq, v.waivedSeq)
	k.appendNumbers(uint64(m.level.inForce), uint64(m.level.recorded), m.level.version)
	k.appendNumbers(uint64(m.level.proposed), uint64(m.level.claimed))
	k.appendBool(m.lease.renewing)
	k.appendBool(v.extendedRequested)
	for _, peer := range slices.Sorted(maps.Keys(v.notLeading)) {
		k.appendString(peer)
	}
	k.endList()
	for _, peer := range slices.Sorted(maps.Keys(v.received)) {
		k.appendString(peer)
		k.appendTimes(v.received[peer].validUntil, v.received[peer].startsUntil)
	}
	k.endList()
	return k.b
}

// keyWriter encodes values for AppendKey.
type keyWriter struct {
	b   []byte
	now time.Time
}

// keyHorizon is the largest distance from now at which a time still affects the behaviour. Times beyond it, such as the
// zero time, are encoded as if they were at the horizon.
const keyHorizon = time.Minute

func (k *keyWriter) appendTimes(times ...time.Time) {
	for _, t := range times {
		k.b = binary.AppendVarint(k.b, int64(min(max(t.Sub(k.now), -keyHorizon), keyHorizon)))
	}
}

func (k *keyWriter) appendNumbers(numbers ...uint64) {
	for _, n := range numbers {
		k.b = binary.AppendUvarint(k.b, n)
	}
}

func (k *keyWriter) appendString(s string) { k.b = append(append(k.b, byte(len(s))), s...) }

func (k *keyWriter) appendBool(f bool) {
	var bit byte
	if f {
		bit = 1
	}
	k.b = append(k.b, bit)
}

// endList terminates a list of variable length.
func (k *keyWriter) endList() { k.b = append(k.b, 0) }
