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
	now    func() time.Time
	Down   bool // answers 503 to all
	rev    uint64
	keys   *btree.Map[string, *stateKey]
	log    []stateKey // of the last changes, in their order
	oldest uint64     // changes up to this revision are not kept any more
	leases map[uint64]*stateLease
	next   uint64
	Txns   int // transactions that were carried out

	MostValue int // bytes of a value, in JSON; 0: any
	MostOps   int // changes of a transaction; 0: any
	Largest   int // the largest value that was ever taken

	Carried func(ops []any) // told of every transaction that is carried out
}

// mostLog is how many changes are kept.
const mostLog = 10_000

type stateKey struct {
	key     string
	value   any
	version uint64
	lease   uint64
	removed bool
}

type stateLease struct {
	life  time.Duration
	since time.Time
}

// NewState makes an empty state service.
func NewState(now func() time.Time) *State {
	return &State{now: now, rev: 1, keys: &btree.Map[string, *stateKey]{}, leases: map[uint64]*stateLease{}}
}

// Plant sets a key to a value that stands there from before.
func (s *State) Plant(key string, value []byte) {
	v, _, err := msgp.ReadIntfBytes(value)
	if err != nil {
		panic(err)
	}
	s.rev++
	s.put(stateKey{key: key, value: v, version: s.rev})
}

// put sets a key.
func (s *State) put(e stateKey) {
	s.keys.Set(e.key, &e)
	s.note(e)
}

// note takes down a change, and lets the oldest ones go.
func (s *State) note(e stateKey) {
	if s.log = append(s.log, e); len(s.log) >= 2*mostLog {
		s.oldest = s.log[len(s.log)-mostLog-1].version
		s.log = append([]stateKey(nil), s.log[len(s.log)-mostLog:]...)
	}
}

// at finds a key; nil: it does not exist.
func (s *State) at(key string) *stateKey {
	e, _ := s.keys.Get(key)
	return e
}

// Value is what a key holds; nil: it does not exist.
func (s *State) Value(key string) any {
	if e := s.at(key); e != nil {
		return e.value
	}
	return nil
}

// Keys lists the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	var names []string
	s.keys.Ascend(prefix, func(k string, _ *stateKey) bool {
		if strings.HasPrefix(k, prefix) {
			names = append(names, k)
			return true
		}
		return false
	})
	return names
}

// takes tells whether a transaction keeps within the limits.
func (s *State) takes(conds, ops []any) bool {
	if s.MostOps > 0 && (len(ops) > s.MostOps || len(conds) > 4*s.MostOps) {
		return false
	}
	all := 0
	for _, o := range ops {
		b, err := json.Marshal(o.(map[string]any)["value"])
		if all += len(b); err != nil || s.MostValue > 0 && len(b) > s.MostValue || all > 64<<10 {
			return false
		}
		s.Largest = max(s.Largest, len(b))
	}
	return true
}

// Expire ends the leases whose time is over, and removes their keys.
func (s *State) Expire() { s.expire() }

// Changed tells whether a key with a prefix has changed after a revision, or whether that is not known any more.
func (s *State) Changed(prefix string, after uint64) bool {
	if after < s.oldest {
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
	s.expire()
	s.Down = down
	for _, l := range s.leases {
		l.since = s.now()
	}
}

func (s *State) expire() {
	if s.Down {
		return
	}
	for id, l := range s.leases {
		if s.now().Sub(l.since) > l.life {
			s.end(id)
		}
	}
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	var gone []string
	s.keys.Scan(func(k string, e *stateKey) bool {
		if e.lease == id {
			gone = append(gone, k)
		}
		return true
	})
	if len(gone) > 0 {
		s.rev++
	}
	for _, k := range gone {
		s.remove(k)
	}
}

func (s *State) remove(k string) {
	s.keys.Delete(k)
	s.note(stateKey{key: k, version: s.rev, removed: true})
}

func status(code int, body any) ([]byte, error) {
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
	s.expire()
	if s.Down {
		return status(http.StatusServiceUnavailable, map[string]any{})
	}
	u, err := url.Parse(uri)
	if err != nil {
		return status(http.StatusBadRequest, map[string]any{})
	}
	var in map[string]any
	if len(body) > 0 {
		v, _, err := msgp.ReadIntfBytes(body)
		m, ok := v.(map[string]any)
		if err != nil || !ok {
			return status(http.StatusBadRequest, map[string]any{})
		}
		in = m
	}
	q := u.Query()
	switch path := u.Path; {
	case path == "/keys":
		return s.list(q.Get("prefix"), q.Get("after"), q.Get("page"))
	case strings.HasPrefix(path, "/keys/"):
		e := s.at(path[len("/keys/"):])
		if e == nil {
			return status(http.StatusNotFound, map[string]any{"epoch": s.rev})
		}
		return status(http.StatusOK, e.intf())
	case path == "/changes":
		return s.changes(q.Get("prefix"), q.Get("after"))
	case path == "/commit":
		return s.commit(in)
	case path == "/grants":
		s.next++
		s.leases[s.next] = &stateLease{life: time.Duration(Number(in["lifeMs"])) * time.Millisecond, since: s.now()}
		return status(http.StatusOK, map[string]any{"tenancy": s.next})
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/touch"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return status(http.StatusNotFound, map[string]any{})
		}
		if method == http.MethodDelete {
			s.end(id)
		} else {
			l.since = s.now()
		}
		return status(http.StatusOK, map[string]any{})
	}
	return nil, errors.New("no such path: " + uri)
}

func (e *stateKey) intf() map[string]any {
	m := map[string]any{"k": e.key, "value": e.value, "stamp": e.version}
	if e.lease != 0 {
		m["tenancy"] = e.lease
	}
	return m
}

// Number reads an integer as the wire may hold it.
func Number(v any) uint64 {
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
	s.keys.Ascend(max(prefix, after), func(k string, _ *stateKey) bool {
		if k > after && strings.HasPrefix(k, prefix) {
			names = append(names, k)
		}
		return strings.HasPrefix(k, prefix) && len(names) <= most
	})
	more := len(names) > most
	entries := []any{}
	for _, k := range names[:min(most, len(names))] {
		entries = append(entries, s.at(k).intf())
	}
	return status(http.StatusOK, map[string]any{"entries": entries, "more": more, "epoch": s.rev})
}

func (s *State) changes(prefix, after string) ([]byte, error) {
	from, _ := strconv.ParseUint(after, 10, 64)
	if from < s.oldest {
		return status(http.StatusGone, map[string]any{})
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
	return status(http.StatusOK, map[string]any{"epoch": s.rev, "log": log})
}

func (s *State) commit(in map[string]any) ([]byte, error) {
	conds, _ := in["if"].([]any)
	ops, _ := in["apply"].([]any)
	if !s.takes(conds, ops) {
		return status(http.StatusBadRequest, map[string]any{"error": "too large"})
	}
	failed := []any{}
	for _, c := range conds {
		m := c.(map[string]any)
		var have uint64
		if e := s.at(m["k"].(string)); e != nil {
			have = e.version
		}
		if have != Number(m["stamp"]) {
			failed = append(failed, m["k"])
		}
	}
	if len(failed) > 0 {
		return status(http.StatusConflict, map[string]any{"failed": failed, "epoch": s.rev})
	}
	for _, o := range ops {
		m := o.(map[string]any)
		if lease := Number(m["tenancy"]); lease != 0 && s.leases[lease] == nil {
			return status(http.StatusBadRequest, map[string]any{"error": "no such lease"})
		}
	}
	s.rev++
	s.Txns++
	for _, o := range ops {
		m := o.(map[string]any)
		if k, ok := m["remove"].(string); ok {
			if s.at(k) != nil {
				s.remove(k)
			}
			continue
		}
		s.put(stateKey{key: m["write"].(string), value: m["value"], version: s.rev, lease: Number(m["tenancy"])})
	}
	if s.Carried != nil {
		s.Carried(ops)
	}
	return status(http.StatusOK, map[string]any{"epoch": s.rev})
}

// Revision counts the changes.
func (s *State) Revision() uint64 { return s.rev }
