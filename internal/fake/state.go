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
	maxLogEntries       = 10_000   // number of changes that the log retains for watches when it is compacted
	maxTransactionBytes = 64 << 10 // limit on the total size of the values of a transaction, encoded as JSON
	conditionsPerOp     = 4        // conditions that a transaction may have for each change that MaxOps allows
)

// State is a fake of the state service, a consensus-backed key-value store with leases. Call answers requests of the
// service's published protocol without a network. It is not safe for concurrent use.
type State struct {
	now               func() time.Time
	Down              bool   // all requests are answered with status 503; set by SetDown
	revision          uint64 // incremented by each transaction that is applied, and by each expiry that removes keys
	keys              *btree.Map[string, *wire.Entry]
	log               []wire.Entry           // the latest changes, oldest first
	compactedRevision uint64                 // the log no longer has the changes up to this revision
	leases            map[uint64]*stateLease // by lease ID
	lastLease         uint64                 // ID of the latest lease; 0 if none was ever granted
	Transactions      int                    // number of transactions that were applied

	MaxValueBytes int // maximum size of a value in bytes, encoded as JSON; 0 means no limit
	MaxOps        int // maximum number of changes in a transaction; 0 means no limit
	LargestValue  int // size in bytes of the largest value so far that was within the limits

	OnCommit func(ops []Operation) // called with the changes of each transaction that was applied; may be nil
}

// Operation is one change of a transaction: it either writes or removes a key.
type Operation struct {
	Write  string // key to write, or "" if the operation removes a key
	Remove string // key to remove, or "" if the operation writes a key
	Value  any    // value to write, decoded from MessagePack
	Lease  uint64 // ID of the lease that the written key is attached to; 0 means none
}

type stateLease struct {
	duration  time.Duration
	renewedAt time.Time
}

// NewState returns an empty state service whose leases expire by the clock now.
func NewState(now func() time.Time) *State {
	return &State{now: now, revision: 1, keys: &btree.Map[string, *wire.Entry]{}, leases: map[uint64]*stateLease{}}
}

// Revision returns the current revision, which grows whenever keys change.
func (s *State) Revision() uint64 { return s.revision }

// Preload sets a key to a value directly, as if it had been written earlier. It panics if the value is not valid
// MessagePack.
func (s *State) Preload(key string, value []byte) {
	if _, err := msgp.Skip(value); err != nil {
		panic(err)
	}
	s.revision++
	s.put(wire.Entry{Key: key, Value: value, Version: s.revision})
}

// put sets a key and logs the change.
func (s *State) put(e wire.Entry) {
	s.keys.Set(e.Key, &e)
	s.appendLog(e)
}

// removeKey removes a key and logs the change.
func (s *State) removeKey(key string) {
	s.keys.Delete(key)
	s.appendLog(wire.Entry{Key: key, Version: s.revision, Removed: true})
}

// appendLog appends a change to the log. A log that has reached twice maxLogEntries is compacted to its latest
// maxLogEntries entries.
func (s *State) appendLog(e wire.Entry) {
	if s.log = append(s.log, e); len(s.log) >= 2*maxLogEntries {
		s.compactedRevision = s.log[len(s.log)-maxLogEntries-1].Version
		s.log = append([]wire.Entry(nil), s.log[len(s.log)-maxLogEntries:]...)
	}
}

// logAfter returns the changes in the log that follow a revision.
func (s *State) logAfter(revision uint64) []wire.Entry {
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > revision })
	return s.log[first:]
}

// Changed reports whether a key with a prefix has changed after a revision. It also returns true if that can no longer
// be determined because the log was compacted.
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

// entry returns the entry of a key, or nil if the key does not exist.
func (s *State) entry(key string) *wire.Entry {
	e, _ := s.keys.Get(key)
	return e
}

// RawValue returns the value of a key as MessagePack, or nil if the key does not exist.
func (s *State) RawValue(key string) []byte {
	if e := s.entry(key); e != nil {
		return e.Value
	}
	return nil
}

// Value returns the decoded value of a key, or nil if the key does not exist.
func (s *State) Value(key string) any {
	value, _, err := msgp.ReadIntfBytes(s.RawValue(key))
	if err != nil {
		return nil
	}
	return value
}

// Keys returns the keys with a prefix in ascending order.
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

// withinLimits reports whether a transaction is within the limits on its size.
func (s *State) withinLimits(conditions []wire.Condition, ops []Operation) bool {
	if s.MaxOps > 0 && (len(ops) > s.MaxOps || len(conditions) > conditionsPerOp*s.MaxOps) {
		return false
	}
	total := 0
	for _, op := range ops {
		encoded, err := json.Marshal(op.Value)
		total += len(encoded)
		if err != nil || s.MaxValueBytes > 0 && len(encoded) > s.MaxValueBytes || total > maxTransactionBytes {
			return false
		}
		s.LargestValue = max(s.LargestValue, len(encoded))
	}
	return true
}

// apply applies the changes of a transaction. ops are the same changes, decoded for OnCommit.
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

// SetDown starts or ends an outage. Leases do not expire during an outage, and have their full duration again when it
// ends.
func (s *State) SetDown(down bool) {
	s.Expire()
	s.Down = down
	for _, lease := range s.leases {
		lease.renewedAt = s.now()
	}
}

// Expire removes the expired leases and their keys. During an outage it does nothing.
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

// revokeLease removes a lease and the keys that are attached to it.
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
