package fake

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// defaultPage is how many keys a page of a list has where the request does not say.
const defaultPage = 1000

// errNoSuchPath is returned for a request of a path that the protocol does not have.
var errNoSuchPath = errors.New("no such path")

// emptyMap is the body of an answer that says nothing more than its status.
func emptyMap() []byte { return msgp.AppendMapHeader(nil, 0) }

// Call answers one request of the state service's protocol. An answer other than 200 is an rpc.StatusError.
func (s *State) Call(method, uri string, body []byte, _ time.Duration) ([]byte, error) {
	s.Expire()
	if s.Down {
		return failure(http.StatusServiceUnavailable, emptyMap())
	}
	u, err := url.Parse(uri)
	if err != nil {
		return failure(http.StatusBadRequest, emptyMap())
	}
	query := u.Query()
	switch path := u.Path; {
	case path == "/keys":
		return s.list(query.Get("prefix"), query.Get("after"), query.Get("page"))
	case strings.HasPrefix(path, "/keys/"):
		return s.read(path[len("/keys/"):])
	case path == "/changes":
		return s.changes(query.Get("prefix"), query.Get("after"))
	case path == "/commit":
		return s.commit(body)
	case path == "/grants":
		return s.grantLease(body)
	case strings.HasPrefix(path, "/grants/"):
		return s.updateLease(method, strings.TrimSuffix(path[len("/grants/"):], "/touch"))
	}
	return nil, fmt.Errorf("%w: %s", errNoSuchPath, uri)
}

// failure is an answer with another status than 200.
func failure(status int, body []byte) ([]byte, error) {
	return nil, &rpc.StatusError{Status: status, Body: body}
}

// read answers what a key holds.
func (s *State) read(key string) ([]byte, error) {
	e := s.entry(key)
	if e == nil {
		return failure(http.StatusNotFound, wire.AppendRevision(nil, s.revision))
	}
	return wire.AppendEntry(nil, e), nil
}

// list answers a page of the keys with a prefix.
func (s *State) list(prefix, after, page string) ([]byte, error) {
	most, err := strconv.Atoi(page)
	if err != nil {
		most = defaultPage
	}
	var keys []string
	s.keys.Ascend(max(prefix, after), func(key string, _ *wire.Entry) bool {
		if key > after && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
		return strings.HasPrefix(key, prefix) && len(keys) <= most
	})
	answer := wire.Page{More: len(keys) > most, Revision: s.revision}
	for _, key := range keys[:min(most, len(keys))] {
		answer.Entries = append(answer.Entries, *s.entry(key))
	}
	return wire.AppendPage(nil, &answer), nil
}

// changes answers the changes after a revision of keys with a prefix.
func (s *State) changes(prefix, after string) ([]byte, error) {
	revision, _ := strconv.ParseUint(after, 10, 64) // malformed: all changes
	if revision < s.compactedRevision {
		return failure(http.StatusGone, emptyMap())
	}
	answer := wire.Page{Revision: s.revision}
	for _, e := range s.logAfter(revision) {
		if strings.HasPrefix(e.Key, prefix) {
			answer.Entries = append(answer.Entries, e)
		}
	}
	return wire.AppendLog(nil, &answer), nil
}

// commit carries a transaction out if its conditions hold.
func (s *State) commit(body []byte) ([]byte, error) {
	txn, err := wire.DecodeTxn(body)
	if err != nil {
		return failure(http.StatusBadRequest, emptyMap())
	}
	ops := decodeOperations(txn.Changes)
	if !s.withinLimits(txn.Conditions, ops) {
		return failure(http.StatusBadRequest, wire.AppendError(nil, "too large"))
	}
	if failed := s.failedConditions(txn.Conditions); len(failed) > 0 {
		return failure(http.StatusConflict, wire.AppendConflict(nil, failed, s.revision))
	}
	for _, change := range txn.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return failure(http.StatusBadRequest, wire.AppendError(nil, "no such lease"))
		}
	}
	s.apply(txn.Changes, ops)
	return wire.AppendRevision(nil, s.revision), nil
}

// failedConditions lists the keys whose version is not the one that a transaction expects.
func (s *State) failedConditions(conditions []wire.Condition) (failed []string) {
	for _, condition := range conditions {
		var version uint64
		if e := s.entry(condition.Key); e != nil {
			version = e.Version
		}
		if version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// grantLease makes a lease.
func (s *State) grantLease(body []byte) ([]byte, error) {
	milliseconds, err := wire.DecodeLeaseRequest(body)
	if err != nil {
		return failure(http.StatusBadRequest, emptyMap())
	}
	s.lastLease++
	s.leases[s.lastLease] = &stateLease{
		duration:  time.Duration(milliseconds) * time.Millisecond,
		renewedAt: s.now(),
	}
	return wire.AppendLeaseID(nil, s.lastLease), nil
}

// updateLease renews a lease, or revokes it on DELETE.
func (s *State) updateLease(method, number string) ([]byte, error) {
	id, _ := strconv.ParseUint(number, 10, 64) // malformed: 0, which no lease has
	lease := s.leases[id]
	if lease == nil {
		return failure(http.StatusNotFound, emptyMap())
	}
	if method == http.MethodDelete {
		s.revokeLease(id)
	} else {
		lease.renewedAt = s.now()
	}
	return emptyMap(), nil
}

// TransactionOps are the changes of a transaction's request; none where it is malformed.
func TransactionOps(body []byte) []Operation {
	txn, err := wire.DecodeTxn(body)
	if err != nil {
		return nil
	}
	return decodeOperations(txn.Changes)
}

// decodeOperations decodes the changes of a transaction.
func decodeOperations(changes []wire.Change) []Operation {
	ops := make([]Operation, len(changes))
	for i, change := range changes {
		if change.Value == nil {
			ops[i].Remove = change.Key
			continue
		}
		value, _, _ := msgp.ReadIntfBytes(change.Value) // it was skipped over as MessagePack already
		ops[i] = Operation{Write: change.Key, Value: value, Lease: change.Lease}
	}
	return ops
}

// DecodeUint reads an integer as the wire may hold it; 0: it is none.
func DecodeUint(v any) uint64 {
	switch n := v.(type) {
	case uint64:
		return n
	case int64:
		return uint64(n)
	}
	return 0
}
