package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// Entry is a key of the state service with its value. A deletion has no value.
type Entry struct {
	Key     string
	Value   []byte // MessagePack
	Version uint64
	Lease   uint64
	Removed bool
}

// Condition is a condition of a transaction: the key has this version; 0: it does
// not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Change is one change of a transaction: it puts a value, or deletes the key where
// the value is nil.
type Change struct {
	Key   string
	Value []byte // MessagePack
	Lease uint64 // that the key is attached to; 0: none
}

// Txn is a transaction: a compare-and-swap of several keys.
type Txn struct {
	Conditions []Condition
	Changes    []Change
}

// Append appends the request for the transaction.
func (t *Txn) Append(b []byte) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, stateConditions), uint32(len(t.Conditions)))
	for _, c := range t.Conditions {
		b = appendString(msgp.AppendMapHeader(b, 2), stateKey, c.Key)
		b = appendUint(b, stateVersion, c.Version)
	}
	b = msgp.AppendArrayHeader(msgp.AppendString(b, stateChanges), uint32(len(t.Changes)))
	for _, c := range t.Changes {
		b = c.append(b)
	}
	return b
}

func (c *Change) append(b []byte) []byte {
	if c.Value == nil {
		return appendString(msgp.AppendMapHeader(b, 1), stateDelete, c.Key)
	}
	fields := uint32(2)
	if c.Lease != 0 {
		fields = 3
	}
	b = appendString(msgp.AppendMapHeader(b, fields), statePut, c.Key)
	b = append(msgp.AppendString(b, stateValue), c.Value...)
	if c.Lease != 0 {
		b = appendUint(b, stateLease, c.Lease)
	}
	return b
}

func decodeEntryField(e *Entry, name string, b []byte) ([]byte, bool, error) {
	switch name {
	case stateKey, statePut:
		return readString(b, &e.Key)
	case stateDelete:
		e.Removed = true
		return readString(b, &e.Key)
	case stateValue:
		return readRaw(b, &e.Value)
	case stateVersion:
		return readUint(b, &e.Version)
	case stateLease:
		return readUint(b, &e.Lease)
	}
	return b, false, nil
}

// DecodeEntry reads the answer to a read of one key.
func DecodeEntry(b []byte) (Entry, error) {
	var e Entry
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		return decodeEntryField(&e, name, b)
	})
	if err == nil && (e.Key == "" || e.Version == 0) {
		err = errors.New("an entry without key or version")
	}
	return e, err
}

// Page is a page of keys, or a batch of changes, as of a revision.
type Page struct {
	Entries  []Entry
	More     bool
	Revision uint64
}

// DecodePage reads the answer to a read by prefix or to a watch.
func DecodePage(b []byte) (Page, error) {
	var p Page
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case stateRevision:
			return readUint(b, &p.Revision)
		case stateMore:
			return readBool(b, &p.More)
		case stateEntries, stateLog:
			return readEntries(b, &p.Entries)
		}
		return b, false, nil
	})
	return p, err
}

func readEntries(b []byte, dst *[]Entry) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var e Entry
		rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
			return decodeEntryField(&e, name, b)
		})
		*dst = append(*dst, e)
		return rest, err
	})
	return rest, true, err
}

// DecodeRevision reads the revision of the answer to a transaction.
func DecodeRevision(b []byte) (uint64, error) { return decodeUint(b, stateRevision) }

// DecodeLeaseID reads the id of a new lease.
func DecodeLeaseID(b []byte) (uint64, error) { return decodeUint(b, stateLease) }

// AppendLeaseRequest appends the request for a lease.
func AppendLeaseRequest(b []byte, ttlMilliseconds uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateLeaseTTL, ttlMilliseconds)
}
