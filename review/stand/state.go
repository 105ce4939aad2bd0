package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/internal/wire"
)

// stateService stands in for the state service of PROTOCOL.
type stateService struct {
	rec      *recorder
	mu       sync.Mutex
	revision uint64
	keys     map[string]*kv
	log      []logEntry
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
	down     bool
	refused  map[string]bool // names of the controllers that get 503
	// onTxn may hold a transaction back. It returns how long to wait before and after it is carried out, and whether its
	// answer is lost.
	onTxn func(member string, writes []string) (before, after time.Duration, lost bool)
	addr  string
}

type kv struct {
	value   any
	stamp   uint64
	tenancy uint64
}

type logEntry struct {
	key     string
	value   any
	stamp   uint64
	removed bool
}

type lease struct {
	life time.Duration
	at   time.Time
}

func newStateService(rec *recorder) *stateService {
	s := &stateService{rec: rec, revision: 1, keys: map[string]*kv{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), refused: map[string]bool{}}
	s.addr = serve(s)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			if !s.down {
				for id, l := range s.leases {
					if time.Since(l.at) > l.life {
						s.end(id)
					}
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// setDown begins or ends an outage. After it every lease has its full time again.
func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.at = time.Now()
	}
}

// refuse makes one controller get 503, or ends that. host is its name.
func (s *stateService) refuse(host string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refused
}

func (s *stateService) notify() { close(s.changed); s.changed = make(chan struct{}) }

func (s *stateService) end(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.tenancy == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, k := range gone {
		delete(s.keys, k)
		s.log = append(s.log, logEntry{key: k, stamp: s.revision, removed: true})
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/msgpack")
	b := enc(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *stateService) isDown(host string) bool { return s.down || s.refused[host] }

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	host := r.Header.Get("X-Member")
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown(host) {
		answer(w, 503, map[string]any{})
		return
	}
	path := r.URL.Path
	switch {
	case path == "/keys":
		s.listKeys(w, q.Get("prefix"), q.Get("after"), q.Get("page"))
	case strings.HasPrefix(path, "/keys/"):
		key := path[len("/keys/"):]
		e := s.keys[key]
		if e == nil {
			answer(w, 404, map[string]any{"epoch": s.revision})
			return
		}
		answer(w, 200, entryMap(key, e))
	case path == "/commit":
		s.commit(w, host, body)
	case path == "/changes":
		s.changes(w, r, host)
	case path == "/grants":
		m, _ := dec(body)
		s.last++
		s.leases[s.last] = &lease{life: time.Duration(whole(m[wire.LifeMs])) * time.Millisecond, at: time.Now()}
		answer(w, 200, map[string]any{wire.Tenancy: s.last})
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/touch"), 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(w, 404, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.end(id)
		} else {
			l.at = time.Now()
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]any{})
	}
}

func entryMap(key string, e *kv) map[string]any {
	m := map[string]any{"k": key, "value": e.value, wire.Stamp: e.stamp}
	if e.tenancy != 0 {
		m[wire.Tenancy] = e.tenancy
	}
	return m
}

func (s *stateService) listKeys(w http.ResponseWriter, prefix, after, page string) {
	limit, err := strconv.Atoi(page)
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	entries := []any{}
	for _, k := range keys[:min(limit, len(keys))] {
		entries = append(entries, entryMap(k, s.keys[k]))
	}
	answer(w, 200, map[string]any{"entries": entries, "more": more, "epoch": s.revision})
}

func (s *stateService) commit(w http.ResponseWriter, host string, body []byte) {
	m, err := dec(body)
	if err != nil {
		answer(w, 400, map[string]any{})
		return
	}
	var writes []string
	for _, c := range list(m["apply"]) {
		c := object(c)
		writes = append(writes, str(c["write"])+str(c["remove"]))
	}
	var after time.Duration
	var lost bool
	if s.onTxn != nil {
		hook := s.onTxn
		s.mu.Unlock()
		var before time.Duration
		before, after, lost = hook(host, writes)
		time.Sleep(before)
		s.mu.Lock()
	}
	status, reply := s.apply(m)
	if len(writes) > 0 && strings.Contains(strings.Join(writes, " "), "job/") {
		s.rec.add("state: transaction of %s on %v: %d", host, writes, status)
	}
	if after > 0 || lost {
		s.mu.Unlock()
		time.Sleep(after)
		s.mu.Lock()
		if lost {
			panic(http.ErrAbortHandler)
		}
	}
	answer(w, status, reply)
}

func (s *stateService) apply(m map[string]any) (int, any) {
	failed := []any{}
	for _, c := range list(m["if"]) {
		c := object(c)
		var stamp uint64
		if e := s.keys[str(c["k"])]; e != nil {
			stamp = e.stamp
		}
		if stamp != whole(c[wire.Stamp]) {
			failed = append(failed, str(c["k"]))
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "epoch": s.revision}
	}
	for _, c := range list(m["apply"]) {
		if id := whole(object(c)[wire.Tenancy]); id != 0 && s.leases[id] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if len(list(m["apply"])) == 0 {
		return 200, map[string]any{"epoch": s.revision}
	}
	s.revision++
	for _, c := range list(m["apply"]) {
		c := object(c)
		if k, ok := c["write"].(string); ok {
			s.keys[k] = &kv{value: c["value"], stamp: s.revision, tenancy: whole(c[wire.Tenancy])}
			s.log = append(s.log, logEntry{key: k, value: c["value"], stamp: s.revision})
		} else if k := str(c["remove"]); s.keys[k] != nil {
			delete(s.keys, k)
			s.log = append(s.log, logEntry{key: k, stamp: s.revision, removed: true})
		}
	}
	s.notify()
	return 200, map[string]any{"epoch": s.revision}
}

func (s *stateService) changes(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		found := []any{}
		if !s.isDown(host) {
			for _, e := range s.log {
				if e.stamp <= after || !strings.HasPrefix(e.key, q.Get("prefix")) {
					continue
				}
				if e.removed {
					found = append(found, map[string]any{"remove": e.key, wire.Stamp: e.stamp})
				} else {
					found = append(found, map[string]any{"write": e.key, "value": e.value, wire.Stamp: e.stamp})
				}
			}
		}
		left := time.Until(end)
		if len(found) > 0 || left <= 0 && !s.isDown(host) {
			answer(w, 200, map[string]any{"epoch": s.revision, "log": found})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		// An open watch remains open during an outage.
		select {
		case <-changed:
		case <-time.After(max(min(left, 100*time.Millisecond), 20*time.Millisecond)):
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

// leader returns the name of the controller in the leader's key, or "".
func (s *stateService) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys["leader/holder"]; e != nil {
		return str(object(e.value)["member"])
	}
	return ""
}

// front returns an address of the service for one controller alone, so that the service can tell who asks.
func (s *stateService) front(member string) string {
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("X-Member", member)
		s.ServeHTTP(w, r)
	}))
}
