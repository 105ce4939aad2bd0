package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// Entry is a key of the state service with its value. A removal has no value.
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

// Change is one change of a transaction: a value, or without one a removal.
type Change struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition
	Changes    []Change
}

// Append writes the transaction's request.
func (t *Txn) Append(b []byte) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "if"), uint32(len(t.Conditions)))
	for _, c := range t.Conditions {
		b = appendString(msgp.AppendMapHeader(b, 2), "k", c.Key)
		b = appendUint(b, "stamp", c.Version)
	}
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "apply"), uint32(len(t.Changes)))
	for _, c := range t.Changes {
		switch {
		case c.Value == nil:
			b = appendString(msgp.AppendMapHeader(b, 1), "remove", c.Key)
		case c.Lease != 0:
			b = appendString(msgp.AppendMapHeader(b, 3), "write", c.Key)
			b = append(msgp.AppendString(b, "value"), c.Value...)
			b = appendUint(b, "tenancy", c.Lease)
		default:
			b = appendString(msgp.AppendMapHeader(b, 2), "write", c.Key)
			b = append(msgp.AppendString(b, "value"), c.Value...)
		}
	}
	return b
}

// readRaw keeps a value as it stands.
func readRaw(b []byte, to *[]byte) ([]byte, bool, error) {
	rest, err := msgp.Skip(b)
	if err == nil {
		*to = append([]byte(nil), b[:len(b)-len(rest)]...)
	}
	return rest, true, err
}

func decodeEntryField(e *Entry, key string, b []byte) ([]byte, bool, error) {
	switch key {
	case "k", "write":
		return readString(b, &e.Key)
	case "remove":
		e.Removed = true
		return readString(b, &e.Key)
	case "value":
		return readRaw(b, &e.Value)
	case "stamp":
		return readUint(b, &e.Version)
	case "tenancy":
		return readUint(b, &e.Lease)
	}
	return b, false, nil
}

// DecodeEntry reads the answer to a read of one key.
func DecodeEntry(b []byte) (Entry, error) {
	var e Entry
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) { return decodeEntryField(&e, key, b) })
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
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "epoch":
			return readUint(b, &p.Revision)
		case "more":
			return readBool(b, &p.More)
		case "entries", "log":
			rest, err := eachItem(b, func(b []byte) ([]byte, error) {
				var e Entry
				rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) { return decodeEntryField(&e, key, b) })
				p.Entries = append(p.Entries, e)
				return rest, err
			})
			return rest, true, err
		}
		return b, false, nil
	})
	return p, err
}

// DecodeUintField reads one integer of a small answer.
func DecodeUintField(b []byte, field string) (uint64, error) {
	var v uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == field {
			return readUint(b, &v)
		}
		return b, false, nil
	})
	if err == nil && v == 0 {
		err = errors.New(field + " is missing")
	}
	return v, err
}

// DecodeRevision reads the revision of a transaction's answer.
func DecodeRevision(b []byte) (uint64, error) { return DecodeUintField(b, "epoch") }

// DecodeLeaseID reads the name of a new lease.
func DecodeLeaseID(b []byte) (uint64, error) { return DecodeUintField(b, "tenancy") }

// AppendLeaseRequest writes the request for a lease.
func AppendLeaseRequest(b []byte, ms uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), "lifeMs", ms)
}
