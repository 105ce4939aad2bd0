package wire

import (
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault says what happens to one request on its way to a stand-in.
type Fault struct {
	Before time.Duration // the request is carried out that much later
	After  time.Duration // the answer leaves that much later
	Refuse bool          // answered with 503, not carried out
	Lose   bool          // no answer: the connection is closed after it was carried out
	Late   time.Duration // no answer, and carried out that much later
}

// State is the state service. Each controller has an address of its own to it.
type State struct {
	Addrs map[string]string // by controller

	mu       sync.Mutex
	faults   func(node, method, uri string) Fault
	out      bool
	entries  map[string]*entry
	log      []change
	revision uint64
	leases   map[uint64]*lease
	leaseID  uint64
	changed  chan struct{}
	requests bucket
	writes   bucket
	Limited  int // requests answered with 429
}

type entry struct {
	value Raw
	stamp uint64
	lease uint64
}

type change struct {
	key     string
	value   Raw
	stamp   uint64
	removed bool
}

type lease struct {
	life  time.Duration
	until time.Time
	timer *time.Timer
}

type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// keptChanges is how many changes the service keeps. Only attempts that are no case lower it.
var keptChanges = 10_000

// KeepChanges sets how many changes the service keeps.
func KeepChanges(n int) { keptChanges = n }

// NewState starts the state service with an address for each controller.
func NewState(nodes []string, rps, writes float64) (*State, error) {
	s := &State{
		Addrs: map[string]string{}, entries: map[string]*entry{}, leases: map[uint64]*lease{}, revision: 1,
		changed: make(chan struct{}), requests: bucket{rate: rps, burst: rps, level: rps, at: time.Now()},
		writes: bucket{rate: writes, burst: writes, level: writes, at: time.Now()},
	}
	for _, node := range nodes {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.Addrs[node] = l.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
		go func() { _ = server.Serve(l) }()
	}
	return s, nil
}

// SetFaults sets what happens to requests from now on.
func (s *State) SetFaults(f func(node, method, uri string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetOutage begins or ends an outage for all. No lease ends in it, and each has its full time again after it.
func (s *State) SetOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	for id, l := range s.leases {
		if l.timer.Stop(); !out {
			s.extend(id, l)
		}
	}
}

// Leader returns the controller that holds the leadership according to the records.
func (s *State) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries["leader/holder"]; e != nil {
		return text(DecodeMap(e.value)["member"])
	}
	return ""
}

// Revision returns the number of the last change.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Keys returns the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(prefix)
}

func (s *State) sorted(prefix string) []string {
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func reply(w http.ResponseWriter, status int, v any) {
	body := Encode(v)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *State) serve(node string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	limited := !s.requests.take(1)
	if limited {
		s.Limited++
	}
	s.mu.Unlock()
	var fault Fault
	if faults != nil {
		fault = faults(node, r.Method, r.RequestURI)
	}
	time.Sleep(fault.Before)
	s.mu.Lock()
	out := s.out && r.URL.Path != "/changes"
	s.mu.Unlock()
	if fault.Refuse || out {
		reply(w, 503, Map{"error": "trouble"})
		return
	}
	if limited {
		reply(w, 429, Map{"error": "too many requests"})
		return
	}
	if fault.Late > 0 && r.URL.Path == "/commit" {
		go func() {
			time.Sleep(fault.Late)
			_, _ = s.commit(body)
		}()
		time.Sleep(fault.After)
		hangUp(w)
		return
	}
	status, answer := s.handle(r, body)
	time.Sleep(fault.After)
	if fault.Lose {
		hangUp(w)
		return
	}
	reply(w, status, answer)
}

func (s *State) handle(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/keys":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		return s.get(path[len("/keys/"):])
	case r.Method == "POST" && path == "/commit":
		return s.commit(body)
	case r.Method == "GET" && path == "/changes":
		return s.watch(r)
	case r.Method == "POST" && path == "/grants":
		return s.grant(DecodeMap(body))
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/touch"), 10, 64)
		return s.touch(id, r.Method == "DELETE")
	}
	return 400, Map{"error": "malformed"}
}

func (s *State) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return 404, Map{"epoch": s.revision}
	}
	m := Map{"k": key, "value": e.value, "stamp": e.stamp}
	if e.lease != 0 {
		m["tenancy"] = e.lease
	}
	return 200, m
}

func (s *State) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("page"))
	if err != nil || limit > 1000 || limit < 1 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, more := []any{}, false
	for _, k := range s.sorted(q.Get("prefix")) {
		if k <= q.Get("after") && q.Get("after") != "" {
			continue
		}
		if len(found) == limit {
			more = true
			break
		}
		e := s.entries[k]
		m := Map{"k": k, "value": e.value, "stamp": e.stamp}
		if e.lease != 0 {
			m["tenancy"] = e.lease
		}
		found = append(found, m)
	}
	return 200, Map{"entries": found, "more": more, "epoch": s.revision}
}

// rawFields splits an encoded map into its encoded values.
func rawFields(b []byte) map[string]Raw {
	m := map[string]Raw{}
	n, rest := headerOf(b)
	for ; n > 0; n-- {
		key, after, err := decodeValue(rest)
		if err != nil {
			return m
		}
		_, end, err := decodeValue(after)
		if err != nil {
			return m
		}
		m[text(key)] = Raw(after[:len(after)-len(end)])
		rest = end
	}
	return m
}

// rawItems splits an encoded list.
func rawItems(b []byte) []Raw {
	var list []Raw
	n, rest := headerOf(b)
	for ; n > 0; n-- {
		_, end, err := decodeValue(rest)
		if err != nil {
			return list
		}
		list = append(list, Raw(rest[:len(rest)-len(end)]))
		rest = end
	}
	return list
}

func headerOf(b []byte) (uint64, []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	switch c := b[0]; {
	case c >= 0x80 && c < 0xa0:
		return uint64(c & 15), b[1:]
	case c == 0xdc || c == 0xde:
		n, rest, _ := number(b[1:], 2)
		return n, rest
	case c == 0xdd || c == 0xdf:
		n, rest, _ := number(b[1:], 4)
		return n, rest
	}
	return 0, nil
}

func (s *State) commit(body []byte) (int, any) {
	request := rawFields(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := rawItems(request["apply"])
	if !s.writes.take(float64(len(changes))) {
		s.Limited++
		return 429, Map{"error": "too many changes"}
	}
	var failed []string
	for _, item := range rawItems(request["if"]) {
		c := DecodeMap(item)
		var stamp uint64
		if e := s.entries[text(c["k"])]; e != nil {
			stamp = e.stamp
		}
		if stamp != whole(c["stamp"]) {
			failed = append(failed, text(c["k"]))
		}
	}
	for _, item := range changes {
		if id := whole(DecodeMap(item)["tenancy"]); id != 0 && s.leases[id] == nil {
			return 400, Map{"error": "no such lease"}
		}
	}
	if len(failed) > 0 {
		return 409, Map{"failed": failed, "epoch": s.revision}
	}
	if len(changes) == 0 {
		return 200, Map{"epoch": s.revision}
	}
	s.revision++
	for _, item := range changes {
		c, raw := DecodeMap(item), rawFields(item)
		if key := text(c["remove"]); key != "" {
			s.remove(key)
			continue
		}
		key, value := text(c["write"]), append(Raw(nil), raw["value"]...)
		s.entries[key] = &entry{value, s.revision, whole(c["tenancy"])}
		s.log = append(s.log, change{key: key, value: value, stamp: s.revision})
	}
	s.wake()
	return 200, Map{"epoch": s.revision}
}

func (s *State) remove(key string) {
	if s.entries[key] != nil {
		delete(s.entries, key)
		s.log = append(s.log, change{key: key, stamp: s.revision, removed: true})
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		if len(s.log) > keptChanges && s.log[len(s.log)-keptChanges].stamp > after+1 {
			revision := s.revision
			s.mu.Unlock()
			return 410, Map{"epoch": revision}
		}
		found := []any{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > after })
		for _, c := range s.log[first:] {
			if !strings.HasPrefix(c.key, q.Get("prefix")) {
				continue
			}
			if c.removed {
				found = append(found, Map{"remove": c.key, "stamp": c.stamp})
			} else {
				found = append(found, Map{"write": c.key, "value": c.value, "stamp": c.stamp})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || expired {
			return 200, Map{"epoch": revision, "log": found}
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return 200, Map{"epoch": revision, "log": found}
		}
	}
}

func (s *State) grant(m Map) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id := s.leaseID
	l := &lease{life: time.Duration(whole(m["lifeMs"])) * time.Millisecond}
	s.leases[id] = l
	s.extend(id, l)
	return 200, Map{"tenancy": id}
}

func (s *State) extend(id uint64, l *lease) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.until = time.Now().Add(l.life)
	l.timer = time.AfterFunc(l.life+20*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == l && !s.out && !time.Now().Before(l.until) {
			s.end(id)
		}
	})
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	removed := false
	for _, key := range s.sorted("") {
		if s.entries[key].lease != id {
			continue
		}
		if !removed {
			s.revision++
			removed = true
		}
		s.remove(key)
	}
	if removed {
		s.wake()
	}
}

func (s *State) touch(id uint64, end bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 404, Map{"epoch": s.revision}
	}
	if end {
		l.timer.Stop()
		s.end(id)
	} else {
		s.extend(id, l)
	}
	return 200, Map{"tenancy": id}
}
