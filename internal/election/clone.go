package election

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Clone returns an independent copy. The model checker uses it to follow every course of events.
func (m *StateMachine) Clone() *StateMachine {
	out := *m
	out.votes.notLeading, out.votes.received = maps.Clone(m.votes.notLeading), maps.Clone(m.votes.received)
	return &out
}

// AppendKey appends a key of all that determines the state machine's further behaviour: two with
// the same key behave alike in the same surroundings. Times count relative to now.
func (m *StateMachine) AppendKey(b []byte, now time.Time) []byte {
	k := keyWriter{b: b, now: now}
	v := &m.votes
	k.b = append(k.b, byte(m.state), byte(v.state))
	k.text(m.leader)
	k.text(v.castFor)
	k.times(m.nextActionAt, m.lease.renewalSentAt, m.noClaimBefore)
	k.times(v.blockedUntil, v.recoveryUntil, v.castAt, v.nextRequestAt)
	k.numbers(m.lease.id, m.lease.fencingToken, m.lease.tokenVersion)
	k.numbers(v.castToken, v.castSeq, v.highestToken, v.requestSeq, v.waivedSeq)
	k.numbers(uint64(m.level.inForce), uint64(m.level.recorded), m.level.version)
	k.numbers(uint64(m.level.proposed), uint64(m.level.claimed))
	k.flag(m.lease.renewing)
	k.flag(v.extended)
	for _, peer := range slices.Sorted(maps.Keys(v.notLeading)) {
		k.text(peer)
	}
	k.end()
	for _, peer := range slices.Sorted(maps.Keys(v.received)) {
		k.text(peer)
		k.times(v.received[peer].validUntil, v.received[peer].startsUntil)
	}
	k.end()
	return k.b
}

// keyWriter appends values to a key.
type keyWriter struct {
	b   []byte
	now time.Time
}

// keyHorizon is how far from now a time may lie and still make a difference. A zero time lies
// farther.
const keyHorizon = time.Minute

func (k *keyWriter) times(times ...time.Time) {
	for _, t := range times {
		k.b = binary.AppendVarint(k.b, int64(min(max(t.Sub(k.now), -keyHorizon), keyHorizon)))
	}
}

func (k *keyWriter) numbers(numbers ...uint64) {
	for _, n := range numbers {
		k.b = binary.AppendUvarint(k.b, n)
	}
}

func (k *keyWriter) text(s string) { k.b = append(append(k.b, byte(len(s))), s...) }

func (k *keyWriter) flag(f bool) {
	var bit byte
	if f {
		bit = 1
	}
	k.b = append(k.b, bit)
}

// end closes a list.
func (k *keyWriter) end() { k.b = append(k.b, 0) }
