package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

// This file implements the server side of the protocol of the state service, for simulators and tests.

// DecodeTxn decodes the request for a transaction. A put without a value puts null.
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
			err = errors.New("change has no key")
		}
		if !e.Removed && e.Value == nil {
			e.Value = msgp.AppendNil(nil)
		}
		*dst = append(*dst, Change{Key: e.Key, Value: e.Value, Lease: e.Lease})
		return rest, err
	})
	return rest, true, err
}

// AppendEntry appends the response to a read of one key that exists.
func AppendEntry(b []byte, e *Entry) []byte { return appendEntry(b, stateKey, e) }

// appendEntry appends an entry with its key in the field keyField.
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

// AppendPage appends the response to a read by prefix.
func AppendPage(b []byte, p *Page) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, stateEntries), uint32(len(p.Entries)))
	for i := range p.Entries {
		b = appendEntry(b, stateKey, &p.Entries[i])
	}
	b = appendBool(b, stateMore, p.More)
	return appendUint(b, stateRevision, p.Revision)
}

// AppendLog appends the response to a watch: the changes since the requested revision. It omits their leases.
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

// AppendRevision appends the response to a committed transaction, or to a read of a key that does not exist.
func AppendRevision(b []byte, revision uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateRevision, revision)
}

// AppendConflict appends the response to a transaction that was not committed because some of its conditions do not
// hold. failed lists the keys of these conditions.
func AppendConflict(b []byte, failed []string, revision uint64) []byte {
	b = appendStrings(msgp.AppendMapHeader(b, 2), stateFailed, failed)
	return appendUint(b, stateRevision, revision)
}

// DecodeLeaseRequest decodes a request to grant a lease and returns the lease's time to live in milliseconds.
func DecodeLeaseRequest(b []byte) (uint64, error) {
	return decodeSingleField(b, stateLeaseTTL, readUint)
}

// AppendLeaseID appends the response to a request to grant a lease.
func AppendLeaseID(b []byte, id uint64) []byte {
	return appendUint(msgp.AppendMapHeader(b, 1), stateLease, id)
}
