// Package fake holds in-memory stand-ins for everything outside a controller:
// the state service, the cloud, the workers and the network between them. The
// stories in its tests play controllers against them in a time of their own.
package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/btree"
	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/rpc"
)

// State is a stand-in for the state service. It speaks the published protocol,
// without the network.
type State struct {
	now               func() time.Time
	Down              bool // answers 503 to all
	revision          uint64
	keys              *btree.Map[string, *stateEntry]
	log               []stateEntry // of the last changes, in their order
	compactedRevision uint64       // changes up to this revision are not kept any more
	leases            map[uint64]*stateLease
	lastLease         uint64
	Transactions      int // transactions that were carried out

	MaxValueBytes int // bytes of a value, in JSON; 0: any
	MaxOps        int // changes of a transaction; 0: any
	LargestValue  int // the largest value that was ever taken

	OnCommit func(ops []any) // told of every transaction that is carried out
}

// maxLogEntries is how many changes are kept.
const maxLogEntries = 10_000

type stateEntry struct {
	key     string
	value   any
	version uint64
	lease   uint64
	removed bool
}

type stateLease struct {
	duration  time.Duration
	renewedAt time.Time
}

// NewState makes an empty state service.
func NewState(now func() time.Time) *State {
	return &State{now: now, revision: 1, keys: &btree.Map[string, *stateEntry]{}, leases: map[uint64]*stateLease{}}
}

// Preload sets a key to a value that stands there from before.
func (s *State) Preload(key string, value []byte) {
	v, _, err := msgp.ReadIntfBytes(value)
	if err != nil {
		panic(err)
	}
	s.revision++
	s.put(stateEntry{key: key, value: v, version: s.revision})
}

// put sets a key.
func (s *State) put(e stateEntry) {
	s.keys.Set(e.key, &e)
	s.appendLog(e)
}

// appendLog takes down a change, and lets the oldest ones go.
func (s *State) appendLog(e stateEntry) {
	if s.log = append(s.log, e); len(s.log) >= 2*maxLogEntries {
		s.compactedRevision = s.log[len(s.log)-maxLogEntries-1].version
		s.log = append([]stateEntry(nil), s.log[len(s.log)-maxLogEntries:]...)
	}
}

// entry finds a key; nil: it does not exist.
func (s *State) entry(key string) *stateEntry {
	e, _ := s.keys.Get(key)
	return e
}

// Value is what a key holds; nil: it does not exist.
func (s *State) Value(key string) any {
	if e := s.entry(key); e != nil {
		return e.value
	}
	return nil
}

// Keys lists the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	var names []string
	s.keys.Ascend(prefix, func(k string, _ *stateEntry) bool {
		if strings.HasPrefix(k, prefix) {
			names = append(names, k)
			return true
		}
		return false
	})
	return names
}

// withinLimits tells whether a transaction keeps within the limits.
func (s *State) withinLimits(conds, ops []any) bool {
	if s.MaxOps > 0 && (len(ops) > s.MaxOps || len(conds) > 4*s.MaxOps) {
		return false
	}
	all := 0
	for _, o := range ops {
		b, err := json.Marshal(o.(map[string]any)["value"])
		if all += len(b); err != nil || s.MaxValueBytes > 0 && len(b) > s.MaxValueBytes || all > 64<<10 {
			return false
		}
		s.LargestValue = max(s.LargestValue, len(b))
	}
	return true
}

// Expire ends the leases whose time is over, and removes their keys.
func (s *State) Expire() { s.expireLeases() }

// Changed tells whether a key with a prefix has changed after a revision, or whether that is not known any more.
func (s *State) Changed(prefix string, after uint64) bool {
	if after < s.compactedRevision {
		return true
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.key, prefix) {
			return true
		}
	}
	return false
}

// SetDown starts or ends an outage. After one, every lease has its full time.
func (s *State) SetDown(down bool) {
	s.expireLeases()
	s.Down = down
	for _, l := range s.leases {
		l.renewedAt = s.now()
	}
}

func (s *State) expireLeases() {
	if s.Down {
		return
	}
	for id, l := range s.leases {
		if s.now().Sub(l.renewedAt) > l.duration {
			s.revokeLease(id)
		}
	}
}

func (s *State) revokeLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	s.keys.Scan(func(k string, e *stateEntry) bool {
		if e.lease == id {
			gone = append(gone, k)
		}
		return true
	})
	if len(gone) > 0 {
		s.revision++
	}
	for _, k := range gone {
		s.removeKey(k)
	}
}

func (s *State) removeKey(k string) {
	s.keys.Delete(k)
	s.appendLog(stateEntry{key: k, version: s.revision, removed: true})
}

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

// Call answers one request.
func (s *State) Call(method, uri string, body []byte, _ time.Duration) ([]byte, error) {
	s.expireLeases()
	if s.Down {
		return response(http.StatusServiceUnavailable, map[string]any{})
	}
	u, err := url.Parse(uri)
	if err != nil {
		return response(http.StatusBadRequest, map[string]any{})
	}
	var in map[string]any
	if len(body) > 0 {
		v, _, err := msgp.ReadIntfBytes(body)
		m, ok := v.(map[string]any)
		if err != nil || !ok {
			return response(http.StatusBadRequest, map[string]any{})
		}
		in = m
	}
	q := u.Query()
	switch path := u.Path; {
	case path == "/keys":
		return s.list(q.Get("prefix"), q.Get("after"), q.Get("page"))
	case strings.HasPrefix(path, "/keys/"):
		e := s.entry(path[len("/keys/"):])
		if e == nil {
			return response(http.StatusNotFound, map[string]any{"epoch": s.revision})
		}
		return response(http.StatusOK, e.asMap())
	case path == "/changes":
		return s.changes(q.Get("prefix"), q.Get("after"))
	case path == "/commit":
		return s.commit(in)
	case path == "/grants":
		s.lastLease++
		s.leases[s.lastLease] = &stateLease{duration: time.Duration(DecodeUint(in["lifeMs"])) * time.Millisecond, renewedAt: s.now()}
		return response(http.StatusOK, map[string]any{"tenancy": s.lastLease})
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/touch"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return response(http.StatusNotFound, map[string]any{})
		}
		if method == http.MethodDelete {
			s.revokeLease(id)
		} else {
			l.renewedAt = s.now()
		}
		return response(http.StatusOK, map[string]any{})
	}
	return nil, errors.New("no such path: " + uri)
}

func (e *stateEntry) asMap() map[string]any {
	m := map[string]any{"k": e.key, "value": e.value, "stamp": e.version}
	if e.lease != 0 {
		m["tenancy"] = e.lease
	}
	return m
}

// DecodeUint reads an integer as the wire may hold it.
func DecodeUint(v any) uint64 {
	switch n := v.(type) {
	case uint64:
		return n
	case int64:
		return uint64(n)
	}
	return 0
}

func (s *State) list(prefix, after, page string) ([]byte, error) {
	most, err := strconv.Atoi(page)
	if err != nil {
		most = 1000
	}
	var names []string
	s.keys.Ascend(max(prefix, after), func(k string, _ *stateEntry) bool {
		if k > after && strings.HasPrefix(k, prefix) {
			names = append(names, k)
		}
		return strings.HasPrefix(k, prefix) && len(names) <= most
	})
	more := len(names) > most
	entries := []any{}
	for _, k := range names[:min(most, len(names))] {
		entries = append(entries, s.entry(k).asMap())
	}
	return response(http.StatusOK, map[string]any{"entries": entries, "more": more, "epoch": s.revision})
}

func (s *State) changes(prefix, after string) ([]byte, error) {
	from, _ := strconv.ParseUint(after, 10, 64)
	if from < s.compactedRevision {
		return response(http.StatusGone, map[string]any{})
	}
	log := []any{}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > from })
	for _, e := range s.log[first:] {
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

func (s *State) commit(in map[string]any) ([]byte, error) {
	conds, _ := in["if"].([]any)
	ops, _ := in["apply"].([]any)
	if !s.withinLimits(conds, ops) {
		return response(http.StatusBadRequest, map[string]any{"error": "too large"})
	}
	failed := []any{}
	for _, c := range conds {
		m := c.(map[string]any)
		var have uint64
		if e := s.entry(m["k"].(string)); e != nil {
			have = e.version
		}
		if have != DecodeUint(m["stamp"]) {
			failed = append(failed, m["k"])
		}
	}
	if len(failed) > 0 {
		return response(http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision})
	}
	for _, o := range ops {
		m := o.(map[string]any)
		if lease := DecodeUint(m["tenancy"]); lease != 0 && s.leases[lease] == nil {
			return response(http.StatusBadRequest, map[string]any{"error": "no such lease"})
		}
	}
	s.revision++
	s.Transactions++
	for _, o := range ops {
		m := o.(map[string]any)
		if k, ok := m["remove"].(string); ok {
			if s.entry(k) != nil {
				s.removeKey(k)
			}
			continue
		}
		s.put(stateEntry{key: m["write"].(string), value: m["value"], version: s.revision, lease: DecodeUint(m["tenancy"])})
	}
	if s.OnCommit != nil {
		s.OnCommit(ops)
	}
	return response(http.StatusOK, map[string]any{"epoch": s.revision})
}

// Revision counts the changes.
func (s *State) Revision() uint64 { return s.revision }
