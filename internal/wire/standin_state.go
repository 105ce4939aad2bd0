package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// This file holds the far end of the protocol of the state service, for stand-ins.

// DecodeTxn reads the request for a transaction.
func DecodeTxn(b []byte) (Txn, error) {
	var t Txn
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case stateConditions:
			return readConditions(b, &t.Conditions)
		case stateChanges:
			return readChanges(b, &t.Changes)
		}
		return b, false, nil
	})
	return t, err
}

func readConditions(b []byte, dst *[]Condition) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var c Condition
		rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
			switch name {
			case stateKey:
				return readString(b, &c.Key)
			case stateVersion:
				return readUint(b, &c.Version)
			}
			return b, false, nil
		})
		*dst = append(*dst, c)
		return rest, err
	})
	return rest, true, err
}

func readChanges(b []byte, dst *[]Change) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		var e Entry
		rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
			return decodeEntryField(&e, name, b)
		})
		if err == nil && e.Key == "" {
			err = errors.New("a change without a key")
		}
		if !e.Removed && e.Value == nil {
			e.Value = msgp.AppendNil(nil)
		}
		*dst = append(*dst, Change{Key: e.Key, Value: e.Value, Lease: e.Lease})
		return rest, err
	})
	return rest, true, err
}

// AppendEntry appends the answer to a read of one key.
func AppendEntry(b []byte, e *Entry) []byte { return appendEntry(b, stateKey, e) }

// appendEntry appends an entry whose key has a field's name.
func appendEntry(b []byte, keyField string, e *Entry) []byte {
	fields := uint32(3)
	if e.Lease != 0 {
		fields = 4
	}
	b = appendString(msgp.AppendMapHeader(b, fields), keyField, e.Key)
	b = append(msgp.AppendString(b, stateValue), e.Value...)
	b = appendUint(b, stateVersion, e.Version)
	if e.Lease != 0 {
		b = appendUint(b, stateLease, e.Lease)
	}
	return b
}

// AppendPage appends the answer to a read by prefix.
func AppendPage(b []byte, p *Page) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, stateEntries), uint32(len(p.Entries)))
	for i := range p.Entries {
		b = appendEntry(b, stateKey, &p.Entries[i])
	}
	b = appendBool(b, stateMore, p.More)
	return appendUint(b, stateRevision, p.Revision)
}

// AppendLog appends the answer to a watch: the changes since the revision that it asked for. They have no leases.
func AppendLog(b []byte, p *Page) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 2), stateRevision, p.Revision)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, stateLog), uint32(len(p.Entries)))
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Removed {
			b = appendString(msgp.AppendMapHeader(b, 2), stateDelete, e.Key)
			b = appendUint(b, stateVersion, e.Version)
			continue
		}
		b = appendEntry(b, statePut, &Entry{Key: e.Key, Value: e.Value, Version: e.Version})
	}
	return b
}

// AppendRevision appends the answer to a transaction that was carried out, or to a read of a key that does not exist.
func AppendRevision(b []byte, revision uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateRevision, revision)
}

// AppendConflict appends the answer to a transaction with conditions that do not hold.
func AppendConflict(b []byte, failed []string, revision uint64) []byte {
	b = appendStrings(msgp.AppendMapHeader(b, 2), stateFailed, failed)
	return appendUint(b, stateRevision, revision)
}

// DecodeLeaseRequest reads the request for a lease. It returns the time to live in milliseconds.
func DecodeLeaseRequest(b []byte) (uint64, error) { return decodeField(b, stateLeaseTTL, readUint) }

// AppendLeaseID appends the answer to the request for a lease.
func AppendLeaseID(b []byte, id uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateLease, id)
}
