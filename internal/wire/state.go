package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// Entry is the state of a key in the state service, or its deletion as reported by a watch.
type Entry struct {
	Key     string
	Value   []byte // encoded in MessagePack; nil for a deletion
	Version uint64 // revision of the last change of the key
	Lease   uint64 // ID of the lease that the key is attached to; 0 if there is none
	Removed bool   // whether the key was deleted
}

// Condition is a condition of a transaction: the key must have this version, or must not exist if the version is 0.
type Condition struct {
	Key     string
	Version uint64
}

// Change is a change that a transaction makes: it puts a value, or deletes the key if Value is nil.
type Change struct {
	Key   string
	Value []byte // encoded in MessagePack
	Lease uint64 // ID of the lease to attach the key to; 0 if there is none
}

// Txn is a transaction, which is a compare-and-swap on several keys. All its changes are made if all its conditions
// hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Changes    []Change
}

// Append appends the request to execute the transaction.
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

// DecodeEntry decodes the response to a read of one key that exists.
func DecodeEntry(b []byte) (Entry, error) {
	var e Entry
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		return decodeEntryField(&e, name, b)
	})
	if err == nil && (e.Key == "" || e.Version == 0) {
		err = errors.New("entry has no key or no version")
	}
	return e, err
}

// Page is a page of the entries under a prefix, or a batch of changes from a watch.
type Page struct {
	Entries  []Entry
	More     bool   // whether further pages follow
	Revision uint64 // revision of the state service that the page or batch reflects
}

// DecodePage decodes the response to a read by prefix or to a watch.
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

// DecodeRevision decodes the revision in the response to a transaction. It returns an error if there is none.
func DecodeRevision(b []byte) (uint64, error) { return decodePositiveUint(b, stateRevision) }

// DecodeLeaseID decodes the ID of a newly granted lease. It returns an error if there is none.
func DecodeLeaseID(b []byte) (uint64, error) { return decodePositiveUint(b, stateLease) }

// AppendLeaseRequest appends a request to grant a lease that expires after ttlMilliseconds unless it is renewed.
func AppendLeaseRequest(b []byte, ttlMilliseconds uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateLeaseTTL, ttlMilliseconds)
}
