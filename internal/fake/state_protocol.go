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
)

// defaultPage is how many keys a page of a list has where the request does not say.
const defaultPage = 1000

// errNoSuchPath is returned for a request of a path that the protocol does not have.
var errNoSuchPath = errors.New("no such path")

// Call answers one request of the state service's protocol. An answer other than 200 is an rpc.StatusError.
func (s *State) Call(method, uri string, body []byte, _ time.Duration) ([]byte, error) {
	s.Expire()
	if s.Down {
		return response(http.StatusServiceUnavailable, map[string]any{})
	}
	u, err := url.Parse(uri)
	if err != nil {
		return response(http.StatusBadRequest, map[string]any{})
	}
	var request map[string]any
	if len(body) > 0 {
		v, _, err := msgp.ReadIntfBytes(body)
		fields, ok := v.(map[string]any)
		if err != nil || !ok {
			return response(http.StatusBadRequest, map[string]any{})
		}
		request = fields
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
		return s.commit(request)
	case path == "/grants":
		return s.grantLease(request)
	case strings.HasPrefix(path, "/grants/"):
		return s.updateLease(method, strings.TrimSuffix(path[len("/grants/"):], "/touch"))
	}
	return nil, fmt.Errorf("%w: %s", errNoSuchPath, uri)
}

// response encodes an answer.
func response(code int, body any) ([]byte, error) {
	b, err := msgp.AppendIntf(nil, body)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, &rpc.StatusError{Status: code, Body: b}
	}
	return b, nil
}

// read answers what a key holds.
func (s *State) read(key string) ([]byte, error) {
	e := s.entry(key)
	if e == nil {
		return response(http.StatusNotFound, map[string]any{"epoch": s.revision})
	}
	return response(http.StatusOK, e.asMap())
}

// asMap is an entry as the protocol has it.
func (e *stateEntry) asMap() map[string]any {
	m := map[string]any{"k": e.key, "value": e.value, "stamp": e.version}
	if e.lease != 0 {
		m["tenancy"] = e.lease
	}
	return m
}

// list answers a page of the keys with a prefix.
func (s *State) list(prefix, after, page string) ([]byte, error) {
	most, err := strconv.Atoi(page)
	if err != nil {
		most = defaultPage
	}
	var keys []string
	s.keys.Ascend(max(prefix, after), func(key string, _ *stateEntry) bool {
		if key > after && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
		return strings.HasPrefix(key, prefix) && len(keys) <= most
	})
	more := len(keys) > most
	entries := []any{}
	for _, key := range keys[:min(most, len(keys))] {
		entries = append(entries, s.entry(key).asMap())
	}
	return response(http.StatusOK, map[string]any{"entries": entries, "more": more, "epoch": s.revision})
}

// changes answers the changes after a revision of keys with a prefix.
func (s *State) changes(prefix, after string) ([]byte, error) {
	revision, _ := strconv.ParseUint(after, 10, 64) // malformed: all changes
	if revision < s.compactedRevision {
		return response(http.StatusGone, map[string]any{})
	}
	log := []any{}
	for _, e := range s.logAfter(revision) {
		if !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if e.removed {
			log = append(log, map[string]any{"remove": e.key, "stamp": e.version})
		} else {
			log = append(log, map[string]any{"write": e.key, "value": e.value, "stamp": e.version})
		}
	}
	return response(http.StatusOK, map[string]any{"epoch": s.revision, "log": log})
}

// commit carries a transaction out if its conditions hold.
func (s *State) commit(request map[string]any) ([]byte, error) {
	conditions, _ := request["if"].([]any)
	ops := decodeOperations(request)
	if !s.withinLimits(conditions, ops) {
		return response(http.StatusBadRequest, map[string]any{"error": "too large"})
	}
	if failed := s.failedConditions(conditions); len(failed) > 0 {
		return response(http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision})
	}
	for _, op := range ops {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return response(http.StatusBadRequest, map[string]any{"error": "no such lease"})
		}
	}
	s.apply(ops)
	return response(http.StatusOK, map[string]any{"epoch": s.revision})
}

// failedConditions lists the keys whose version is not the one that a transaction expects.
func (s *State) failedConditions(conditions []any) []any {
	failed := []any{}
	for _, c := range conditions {
		fields := c.(map[string]any)
		var version uint64
		if e := s.entry(fields["k"].(string)); e != nil {
			version = e.version
		}
		if version != DecodeUint(fields["stamp"]) {
			failed = append(failed, fields["k"])
		}
	}
	return failed
}

// grantLease makes a lease.
func (s *State) grantLease(request map[string]any) ([]byte, error) {
	s.lastLease++
	s.leases[s.lastLease] = &stateLease{
		duration:  time.Duration(DecodeUint(request["lifeMs"])) * time.Millisecond,
		renewedAt: s.now(),
	}
	return response(http.StatusOK, map[string]any{"tenancy": s.lastLease})
}

// updateLease renews a lease, or revokes it on DELETE.
func (s *State) updateLease(method, number string) ([]byte, error) {
	id, _ := strconv.ParseUint(number, 10, 64) // malformed: 0, which no lease has
	lease := s.leases[id]
	if lease == nil {
		return response(http.StatusNotFound, map[string]any{})
	}
	if method == http.MethodDelete {
		s.revokeLease(id)
	} else {
		lease.renewedAt = s.now()
	}
	return response(http.StatusOK, map[string]any{})
}

// TransactionOps are the changes of a transaction's request; none where it is malformed.
func TransactionOps(body []byte) []Operation {
	v, _, err := msgp.ReadIntfBytes(body)
	request, ok := v.(map[string]any)
	if err != nil || !ok {
		return nil
	}
	return decodeOperations(request)
}

// decodeOperations reads the changes of a transaction's request.
func decodeOperations(request map[string]any) []Operation {
	list, _ := request["apply"].([]any)
	ops := make([]Operation, len(list))
	for i, v := range list {
		fields := v.(map[string]any)
		op := &ops[i]
		op.Write, _ = fields["write"].(string)
		op.Remove, _ = fields["remove"].(string)
		op.Value, op.Lease = fields["value"], DecodeUint(fields["tenancy"])
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
