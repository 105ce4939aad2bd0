package wire

import (
	"testing"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/golden"
)

// What a controller sends to the state service is read by the stand-in, and its answers by the controller.
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
	for what, answer := range map[string][]byte{
		"a transaction": AppendRevision(nil, 77),
		"a conflict":    AppendConflict(nil, []string{"a"}, 77),
	} {
		if got, err := DecodeRevision(answer); err != nil || got != 77 {
			t.Errorf("revision of %s: got %d, %v, want 77", what, got, err)
		}
	}
	if got, err := DecodeLeaseID(AppendLeaseID(nil, 9)); err != nil || got != 9 {
		t.Errorf("lease: got %d, %v, want 9", got, err)
	}
	if got, err := DecodeLeaseRequest(AppendLeaseRequest(nil, 4000)); err != nil || got != 4000 {
		t.Errorf("time to live of a lease: got %d, %v, want 4000", got, err)
	}
}

func TestDecodeTxnRejectsMalformedChanges(t *testing.T) {
	withoutKey := msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(nil, 1), stateChanges), 1)
	withoutKey = appendUint(msgp.AppendMapHeader(withoutKey, 1), stateLease, 1)
	for name, b := range map[string][]byte{
		"no map":               {0x01},
		"a change without key": withoutKey,
		"changes that are not": appendString(msgp.AppendMapHeader(nil, 1), stateChanges, "text"),
	} {
		if got, err := DecodeTxn(b); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
}
