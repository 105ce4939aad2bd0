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

// defaultPageSize is the maximum number of keys in a page of a list if the request does not specify one.
const defaultPageSize = 1000

// errNoSuchPath is returned for a request whose path the protocol does not define.
var errNoSuchPath = errors.New("no such path")

// emptyMap returns an empty MessagePack map, the body of an answer that carries only a status.
func emptyMap() []byte { return msgp.AppendMapHeader(nil, 0) }

// Call answers one request of the state service's protocol. A status other than 200 is returned as an *rpc.StatusError,
// and an unknown path as errNoSuchPath. The timeout is ignored, since the answer is immediate.
func (s *State) Call(method, uri string, body []byte, _ time.Duration) ([]byte, error) {
	s.Expire()
	if s.Down {
		return errorResponse(http.StatusServiceUnavailable, emptyMap())
	}
	u, err := url.Parse(uri)
	if err != nil {
		return errorResponse(http.StatusBadRequest, emptyMap())
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

// errorResponse returns an answer with a status other than 200.
func errorResponse(status int, body []byte) ([]byte, error) {
	return nil, &rpc.StatusError{Status: status, Body: body}
}

// read answers a request for the entry of one key.
func (s *State) read(key string) ([]byte, error) {
	e := s.entry(key)
	if e == nil {
		return errorResponse(http.StatusNotFound, wire.AppendRevision(nil, s.revision))
	}
	return wire.AppendEntry(nil, e), nil
}

// list answers a request for a page of the entries whose keys have a prefix and follow the key after. page is the
// maximum number of entries; defaultPageSize applies if it is not a number.
func (s *State) list(prefix, after, page string) ([]byte, error) {
	pageSize, err := strconv.Atoi(page)
	if err != nil {
		pageSize = defaultPageSize
	}
	var keys []string
	s.keys.Ascend(max(prefix, after), func(key string, _ *wire.Entry) bool {
		if key > after && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
		return strings.HasPrefix(key, prefix) && len(keys) <= pageSize
	})
	answer := wire.Page{More: len(keys) > pageSize, Revision: s.revision}
	for _, key := range keys[:min(pageSize, len(keys))] {
		answer.Entries = append(answer.Entries, *s.entry(key))
	}
	return wire.AppendPage(nil, &answer), nil
}

// changes answers a request for the changes of keys with a prefix after a revision. The status is 410 if the log no
// longer has all of them.
func (s *State) changes(prefix, after string) ([]byte, error) {
	revision, _ := strconv.ParseUint(after, 10, 64) // a malformed revision counts as 0
	if revision < s.compactedRevision {
		return errorResponse(http.StatusGone, emptyMap())
	}
	answer := wire.Page{Revision: s.revision}
	for _, e := range s.logAfter(revision) {
		if strings.HasPrefix(e.Key, prefix) {
			answer.Entries = append(answer.Entries, e)
		}
	}
	return wire.AppendLog(nil, &answer), nil
}

// commit applies a transaction if it is within the limits and its conditions hold.
func (s *State) commit(body []byte) ([]byte, error) {
	txn, err := wire.DecodeTxn(body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, emptyMap())
	}
	ops := decodeOperations(txn.Changes)
	if !s.withinLimits(txn.Conditions, ops) {
		return errorResponse(http.StatusBadRequest, wire.AppendError(nil, "too large"))
	}
	if failed := s.failedConditions(txn.Conditions); len(failed) > 0 {
		return errorResponse(http.StatusConflict, wire.AppendConflict(nil, failed, s.revision))
	}
	for _, change := range txn.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return errorResponse(http.StatusBadRequest, wire.AppendError(nil, "no such lease"))
		}
	}
	s.apply(txn.Changes, ops)
	return wire.AppendRevision(nil, s.revision), nil
}

// failedConditions returns the keys whose versions differ from those that the conditions require. A key that does not
// exist has version 0.
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

// grantLease answers a request to grant a lease.
func (s *State) grantLease(body []byte) ([]byte, error) {
	milliseconds, err := wire.DecodeLeaseRequest(body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, emptyMap())
	}
	s.lastLease++
	s.leases[s.lastLease] = &stateLease{
		duration:  time.Duration(milliseconds) * time.Millisecond,
		renewedAt: s.now(),
	}
	return wire.AppendLeaseID(nil, s.lastLease), nil
}

// updateLease answers a request on an existing lease: DELETE revokes the lease, any other method renews it.
func (s *State) updateLease(method, rawID string) ([]byte, error) {
	id, _ := strconv.ParseUint(rawID, 10, 64) // a malformed ID becomes 0, which no lease has
	lease := s.leases[id]
	if lease == nil {
		return errorResponse(http.StatusNotFound, emptyMap())
	}
	if method == http.MethodDelete {
		s.revokeLease(id)
	} else {
		lease.renewedAt = s.now()
	}
	return emptyMap(), nil
}

// TransactionOps decodes the changes in the body of a commit request. It returns nil if the body is malformed.
func TransactionOps(body []byte) []Operation {
	txn, err := wire.DecodeTxn(body)
	if err != nil {
		return nil
	}
	return decodeOperations(txn.Changes)
}

// decodeOperations decodes the changes of a transaction. A change without a value removes its key.
func decodeOperations(changes []wire.Change) []Operation {
	ops := make([]Operation, len(changes))
	for i, change := range changes {
		if change.Value == nil {
			ops[i].Remove = change.Key
			continue
		}
		value, _, _ := msgp.ReadIntfBytes(change.Value) // DecodeTxn has already checked that it is MessagePack
		ops[i] = Operation{Write: change.Key, Value: value, Lease: change.Lease}
	}
	return ops
}

// DecodeUint converts a decoded MessagePack integer, which may be signed or unsigned. It returns 0 for any other value.
func DecodeUint(v any) uint64 {
	switch n := v.(type) {
	case uint64:
		return n
	case int64:
		return uint64(n)
	}
	return 0
}
