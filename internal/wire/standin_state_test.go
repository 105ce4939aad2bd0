package wire

import (
	"testing"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/golden"
)

// The simulated state service must decode what a controller sends, and a controller must decode its responses.
func TestStateServiceMessagesRoundTrip(t *testing.T) {
	value := msgp.AppendMapHeader(nil, 0)
	txn := Txn{
		Conditions: []Condition{{Key: "a", Version: 12}, {Key: "b"}},
		Changes:    []Change{{Key: "a", Value: value, Lease: 9}, {Key: "b", Value: value}, {Key: "c"}},
	}
	gotTxn, err := DecodeTxn(txn.Append(nil))
	if err != nil {
		t.Fatalf("transaction: %v", err)
	}
	golden.Equal(t, "transaction", gotTxn, txn)
	entry := Entry{Key: "a", Value: value, Version: 12, Lease: 9}
	gotEntry, err := DecodeEntry(AppendEntry(nil, &entry))
	if err != nil {
		t.Fatalf("entry: %v", err)
	}
	golden.Equal(t, "entry", gotEntry, entry)
	page := Page{Entries: []Entry{entry, {Key: "b", Value: value, Version: 13}}, More: true, Revision: 77}
	gotPage, err := DecodePage(AppendPage(nil, &page))
	if err != nil {
		t.Fatalf("page: %v", err)
	}
	golden.Equal(t, "page", gotPage, page)
	log := Page{
		Entries:  []Entry{{Key: "a", Value: value, Version: 12}, {Key: "b", Version: 13, Removed: true}},
		Revision: 77,
	}
	gotLog, err := DecodePage(AppendLog(nil, &log))
	if err != nil {
		t.Fatalf("log: %v", err)
	}
	golden.Equal(t, "log", gotLog, log)
	for name, response := range map[string][]byte{
		"a transaction": AppendRevision(nil, 77),
		"a conflict":    AppendConflict(nil, []string{"a"}, 77),
	} {
		if got, err := DecodeRevision(response); err != nil || got != 77 {
			t.Errorf("revision of %s: got %d, error %v; want 77 and none", name, got, err)
		}
	}
	if got, err := DecodeLeaseID(AppendLeaseID(nil, 9)); err != nil || got != 9 {
		t.Errorf("lease ID: got %d, error %v; want 9 and none", got, err)
	}
	if got, err := DecodeLeaseRequest(AppendLeaseRequest(nil, 4000)); err != nil || got != 4000 {
		t.Errorf("time to live of a lease: got %d, error %v; want 4000 and none", got, err)
	}
}

func TestDecodeTxnRejectsMalformedChanges(t *testing.T) {
	withoutKey := msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(nil, 1), stateChanges), 1)
	withoutKey = appendUint(msgp.AppendMapHeader(withoutKey, 1), stateLease, 1)
	for name, b := range map[string][]byte{
		"not a map":            {0x01},
		"a change without key": withoutKey,
		"changes as a string":  appendString(msgp.AppendMapHeader(nil, 1), stateChanges, "text"),
	} {
		if got, err := DecodeTxn(b); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
}
