package fake

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/btree"
	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/wire"
)

const (
	maxLogEntries       = 10_000   // changes that are kept for watches
	maxTransactionBytes = 64 << 10 // of all values of a transaction, in JSON
	conditionsPerOp     = 4        // conditions that a transaction may have for each change that it may have
)

// State is a stand-in for the state service, a consensus-backed key-value store with leases. Call answers requests of
// the published protocol without a network. It is not safe for concurrent use.
type State struct {
	now               func() time.Time
	Down              bool // answers 503 to all requests
	revision          uint64
	keys              *btree.Map[string, *wire.Entry]
	log               []wire.Entry // the last changes in their order
	compactedRevision uint64       // changes up to this revision are not kept any more
	leases            map[uint64]*stateLease
	lastLease         uint64
	Transactions      int // that were carried out

	MaxValueBytes int // bytes of a value, in JSON; 0: any number
	MaxOps        int // changes of a transaction; 0: any number
	LargestValue  int // bytes of the largest value that was ever accepted

	OnCommit func(ops []Operation) // called with each transaction that is carried out
}

// Operation is one change of a transaction.
type Operation struct {
	Write  string // key that is written; "": none
	Remove string // key that is removed; "": none
	Value  any    // that is written, decoded
	Lease  uint64 // that the written key belongs to; 0: none
}

type stateLease struct {
	duration  time.Duration
	renewedAt time.Time
}

// NewState makes an empty state service.
func NewState(now func() time.Time) *State {
	return &State{now: now, revision: 1, keys: &btree.Map[string, *wire.Entry]{}, leases: map[uint64]*stateLease{}}
}

// Revision counts the changes.
func (s *State) Revision() uint64 { return s.revision }

// Preload sets a key to a value that stands there from before. It panics where the value is not MessagePack.
func (s *State) Preload(key string, value []byte) {
	if _, err := msgp.Skip(value); err != nil {
		panic(err)
	}
	s.revision++
	s.put(wire.Entry{Key: key, Value: value, Version: s.revision})
}

// put sets a key.
func (s *State) put(e wire.Entry) {
	s.keys.Set(e.Key, &e)
	s.appendLog(e)
}

// removeKey removes a key.
func (s *State) removeKey(key string) {
	s.keys.Delete(key)
	s.appendLog(wire.Entry{Key: key, Version: s.revision, Removed: true})
}

// appendLog notes a change and lets the oldest ones go.
func (s *State) appendLog(e wire.Entry) {
	if s.log = append(s.log, e); len(s.log) >= 2*maxLogEntries {
		s.compactedRevision = s.log[len(s.log)-maxLogEntries-1].Version
		s.log = append([]wire.Entry(nil), s.log[len(s.log)-maxLogEntries:]...)
	}
}

// logAfter is the part of the log that follows a revision.
func (s *State) logAfter(revision uint64) []wire.Entry {
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > revision })
	return s.log[first:]
}

// Changed tells whether a key with a prefix has changed after a revision, or whether that is not known any more.
func (s *State) Changed(prefix string, after uint64) bool {
	if after < s.compactedRevision {
		return true
	}
	for _, e := range s.logAfter(after) {
		if strings.HasPrefix(e.Key, prefix) {
			return true
		}
	}
	return false
}

// entry finds a key; nil: it does not exist.
func (s *State) entry(key string) *wire.Entry {
	e, _ := s.keys.Get(key)
	return e
}

// RawValue is what a key holds, in MessagePack; nil: it does not exist.
func (s *State) RawValue(key string) []byte {
	if e := s.entry(key); e != nil {
		return e.Value
	}
	return nil
}

// Value is what a key holds, decoded; nil: it does not exist.
func (s *State) Value(key string) any {
	value, _, err := msgp.ReadIntfBytes(s.RawValue(key))
	if err != nil {
		return nil
	}
	return value
}

// Keys lists the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	var keys []string
	s.keys.Ascend(prefix, func(key string, _ *wire.Entry) bool {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
			return true
		}
		return false
	})
	return keys
}

// withinLimits tells whether a transaction keeps within the limits.
func (s *State) withinLimits(conditions []wire.Condition, ops []Operation) bool {
	if s.MaxOps > 0 && (len(ops) > s.MaxOps || len(conditions) > conditionsPerOp*s.MaxOps) {
		return false
	}
	total := 0
	for _, op := range ops {
		b, err := json.Marshal(op.Value)
		total += len(b)
		if err != nil || s.MaxValueBytes > 0 && len(b) > s.MaxValueBytes || total > maxTransactionBytes {
			return false
		}
		s.LargestValue = max(s.LargestValue, len(b))
	}
	return true
}

// apply carries a transaction's changes out; ops are the same ones, decoded.
func (s *State) apply(changes []wire.Change, ops []Operation) {
	s.revision++
	s.Transactions++
	for _, change := range changes {
		if change.Value != nil {
			s.put(wire.Entry{Key: change.Key, Value: change.Value, Version: s.revision, Lease: change.Lease})
		} else if s.entry(change.Key) != nil {
			s.removeKey(change.Key)
		}
	}
	if s.OnCommit != nil {
		s.OnCommit(ops)
	}
}

// SetDown starts or ends an outage. After one, every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.Expire()
	s.Down = down
	for _, lease := range s.leases {
		lease.renewedAt = s.now()
	}
}

// Expire ends the leases whose time is over and removes their keys. In an outage none ends.
func (s *State) Expire() {
	if s.Down {
		return
	}
	for id, lease := range s.leases {
		if s.now().Sub(lease.renewedAt) > lease.duration {
			s.revokeLease(id)
		}
	}
}

// revokeLease ends a lease and removes its keys.
func (s *State) revokeLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	s.keys.Scan(func(key string, e *wire.Entry) bool {
		if e.Lease == id {
			keys = append(keys, key)
		}
		return true
	})
	if len(keys) > 0 {
		s.revision++
	}
	for _, key := range keys {
		s.removeKey(key)
	}
}
