package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"review/internal/wire"
)

// cloud stands in for the cloud of PROTOCOL.
type cloud struct {
	rec      *recorder
	world    *world
	mu       sync.Mutex
	breeds   []breed
	capacity map[string]int // by "type/zone/loaners"
	boot     func(b breed) time.Duration
	lag      time.Duration
	machines map[string]*machine
	hires    map[string][]string
	count    int
	asked    int // requests to rent
	addr     string
	down     bool
}

type breed struct {
	label                string
	cores, cards, memory float64
	price, low, startup  float64
	fields               []string
}

type machine struct {
	name, breed, field string
	loaners            bool
	rented             time.Time
	up                 time.Time
	gone               time.Time // returned or taken
	died               time.Time // stopped by itself
	worker             *worker
}

func newCloud(rec *recorder, w *world, breeds []breed) *cloud {
	c := &cloud{rec: rec, world: w, breeds: breeds, capacity: map[string]int{}, machines: map[string]*machine{},
		hires: map[string][]string{}, lag: 6 * time.Second,
		boot: func(b breed) time.Duration { return time.Duration(b.startup * float64(time.Second)) }}
	c.addr = serve(c)
	return c
}

func place(breed, field string, loaners bool) string {
	return fmt.Sprintf("%s/%s/%v", breed, field, loaners)
}

// add rents a machine. c.mu is held.
func (c *cloud) add(b breed, field string, loaners bool, boot time.Duration, age time.Duration) *machine {
	c.count++
	m := &machine{name: fmt.Sprintf("n-%06d", c.count), breed: b.label, field: field, loaners: loaners,
		rented: time.Now().Add(-age), up: time.Now().Add(boot)}
	c.machines[m.name] = m
	m.worker = newWorker(c.world, m, b)
	time.AfterFunc(boot, m.worker.begin)
	return m
}

// initial rents a machine that is up at the start.
func (c *cloud) initial(breed int, field string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.breeds[breed]
	return c.add(b, field, false, 0, time.Second)
}

// initialSpot rents a spot machine that is up at the start.
func (c *cloud) initialSpot(breed int, field string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(c.breeds[breed], field, true, 0, time.Second)
}

// take takes a spot machine back without notice.
func (c *cloud) take(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.gone = time.Now()
	c.rec.add("trouble: the cloud takes %s back, with no notice", m.name)
	m.worker.destroy()
}

// die lets a machine stop with all that is on it. It stays listed as running for 30 s, and then as failed.
func (c *cloud) die(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.died = time.Now()
	c.rec.add("trouble: %s stops with all that is on it", m.name)
	m.worker.destroy()
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		answer(w, 503, map[string]any{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		l := []any{}
		for _, b := range c.breeds {
			l = append(l, map[string]any{"label": b.label, "cores": b.cores, "cards": b.cards, "memoryGb": b.memory,
				"localGb": 60.0, "fetchGbPerS": 0.5, "price": b.price, wire.LowPrice: b.low, wire.StartupS: b.startup,
				"fields": b.fields})
		}
		answer(w, 200, map[string]any{wire.Breeds: l})
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == "/rentals":
		m, _ := dec(body)
		c.rent(w, m)
	case r.URL.Path == "/rentals/return":
		m, _ := dec(body)
		for _, n := range list(m[wire.Tillers]) {
			if x := c.machines[str(n)]; x != nil && x.gone.IsZero() {
				x.gone = time.Now()
				x.worker.destroy()
				c.capacity[place(x.breed, x.field, x.loaners)]++
				c.rec.add("cloud: machine %s returned", x.name)
			}
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]any{})
	}
}

func (c *cloud) rent(w http.ResponseWriter, m map[string]any) {
	hire := str(m[wire.Hire])
	c.asked++
	if names, ok := c.hires[hire]; ok {
		answer(w, 200, map[string]any{wire.Tillers: names})
		return
	}
	for _, b := range c.breeds {
		if b.label != str(m[wire.Breed]) {
			continue
		}
		p := place(b.label, str(m["field"]), boolean(m[wire.Loaners]))
		n := min(int(whole(m["number"])), c.capacity[p], 50)
		if n <= 0 {
			answer(w, 503, map[string]any{"error": "no capacity"})
			return
		}
		c.capacity[p] -= n
		var names []string
		for range n {
			names = append(names, c.add(b, str(m["field"]), boolean(m[wire.Loaners]), c.boot(b), 0).name)
		}
		c.hires[hire] = names
		c.rec.add("cloud: rented %v (%s)", names, p)
		answer(w, 200, map[string]any{wire.Tillers: names})
		return
	}
	answer(w, 400, map[string]any{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	asOf := time.Now().Add(-c.lag)
	var names []string
	for n, m := range c.machines {
		if n > after && m.rented.Before(asOf) && (m.gone.IsZero() || m.gone.After(asOf)) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	l := []any{}
	for _, n := range names[:min(page, len(names))] {
		m := c.machines[n]
		status := "starting"
		if m.up.Before(asOf) {
			status = "running"
		}
		if !m.died.IsZero() && m.died.Add(30*time.Second).Before(asOf) {
			status = "failed"
		}
		l = append(l, map[string]any{"ref": n, "addr": m.worker.addr, wire.Breed: m.breed, "field": m.field,
			wire.Loaners: m.loaners, "status": status, wire.HeldS: asOf.Sub(m.rented).Seconds()})
	}
	answer(w, 200, map[string]any{wire.Tillers: l, "more": more})
}
