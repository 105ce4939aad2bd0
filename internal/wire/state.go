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

// Cond is a condition of a transaction: the key has this version; 0: it does
// not exist.
type Cond struct {
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
	If   []Cond
	Then []Change
}

// Append writes the transaction's request.
func (t *Txn) Append(b []byte) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "if"), uint32(len(t.If)))
	for _, c := range t.If {
		b = appendStr(msgp.AppendMapHeader(b, 2), "k", c.Key)
		b = appendUint(b, "stamp", c.Version)
	}
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "apply"), uint32(len(t.Then)))
	for _, c := range t.Then {
		switch {
		case c.Value == nil:
			b = appendStr(msgp.AppendMapHeader(b, 1), "remove", c.Key)
		case c.Lease != 0:
			b = appendStr(msgp.AppendMapHeader(b, 3), "write", c.Key)
			b = append(msgp.AppendString(b, "value"), c.Value...)
			b = appendUint(b, "tenancy", c.Lease)
		default:
			b = appendStr(msgp.AppendMapHeader(b, 2), "write", c.Key)
			b = append(msgp.AppendString(b, "value"), c.Value...)
		}
	}
	return b
}

// raw keeps a value as it stands.
func raw(b []byte, to *[]byte) ([]byte, bool, error) {
	rest, err := msgp.Skip(b)
	if err == nil {
		*to = append([]byte(nil), b[:len(b)-len(rest)]...)
	}
	return rest, true, err
}

func entryField(e *Entry, key string, b []byte) ([]byte, bool, error) {
	switch key {
	case "k", "write":
		return readStr(b, &e.Key)
	case "remove":
		e.Removed = true
		return readStr(b, &e.Key)
	case "value":
		return raw(b, &e.Value)
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
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) { return entryField(&e, key, b) })
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
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "epoch":
			return readUint(b, &p.Revision)
		case "more":
			return readBool(b, &p.More)
		case "entries", "log":
			rest, err := eachItem(b, func(b []byte) ([]byte, error) {
				var e Entry
				rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) { return entryField(&e, key, b) })
				p.Entries = append(p.Entries, e)
				return rest, err
			})
			return rest, true, err
		}
		return b, false, nil
	})
	return p, err
}

// DecodeNumber reads one integer of a small answer.
func DecodeNumber(b []byte, field string) (uint64, error) {
	var v uint64
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
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
func DecodeRevision(b []byte) (uint64, error) { return DecodeNumber(b, "epoch") }

// DecodeGrant reads the name of a new lease.
func DecodeGrant(b []byte) (uint64, error) { return DecodeNumber(b, "tenancy") }

// AppendGrant writes the request for a lease.
func AppendGrant(b []byte, ms uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), "lifeMs", ms)
}
