package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Breed is a machine type of the cloud.
type Breed struct {
	Name              string
	Cores, Cards, Mem float64
	Boot              time.Duration
	Fetch             float64 // GB per second
	Zones             []string
	Price, SpotPrice  float64
	Capacity          map[string]int // by zone, ordinary machines
}

// Job is what the users upload for the workers, and what they submit.
type Job struct {
	ID, Class, Team, Shape, Rank string
	Rows                         int
	Cores, Mem                   float64
	Image                        string
	ImageGB                      float64
	Run                          time.Duration // true run time of a task; ignored for services
	Zone                         string
	OneZone, Scatter             bool
	Awaits                       []string
	Mark, Store                  float64
	Extra                        Map
}

// Body returns the submission of the job.
func (j *Job) Body() []byte {
	m := Map{"ref": j.ID, "jobclass": j.Class, "owner": j.Team, "shape": j.Shape, "rank": j.Rank, "rows": j.Rows,
		"cores": j.Cores, "cards": 0.0, "memoryGb": j.Mem, "seed": j.Image, "imageGb": j.ImageGB,
		"breeds": nil, "field": nil, "oneZone": j.OneZone, "scatter": j.Scatter, "loaners": false,
		"expectS": j.Run.Seconds(), "markS": j.Mark, "storeS": j.Store, "dueS": nil}
	if j.Zone != "" {
		m["field"] = j.Zone
	}
	if len(j.Awaits) > 0 {
		m["awaits"] = j.Awaits
	}
	for k, v := range j.Extra {
		m[k] = v
	}
	return Encode(m)
}

// Timings of the workers.
type Timings struct {
	Report, Lease, Cancel, ListLag time.Duration
}

// Fleet is the cloud with its machines.
type Fleet struct {
	Addr  string
	Nodes map[string]string // front address by controller

	timings Timings
	breeds  []*Breed
	note    func(format string, args ...any)
	audit   *Audit

	mu       sync.Mutex
	machines map[string]*Machine
	order    []*Machine
	hires    map[string][]string
	jobs     map[string]*Job
	count    int
	out      bool
	requests bucket
	// reportFault is asked for each report: answer lost, or an extra copy that arrives later.
	reportFault func(m *Machine) (loseAnswer bool, copyAfter time.Duration)
	mute        func(m *Machine) bool // its reports reach no controller
}

// Machine is a rented machine with its worker.
type Machine struct {
	Name, Addr, Zone string
	breed            *Breed
	fleet            *Fleet
	rented, up, gone time.Time
	cancel           context.CancelFunc
	server           *http.Server

	mu                 sync.Mutex
	hung               bool
	shift, tick        uint64
	baton              uint64
	tasks              map[string]*task // by row and try
	images             map[string]bool
	fetching           map[string]time.Time
	renewed            time.Time // sending of the last answered report of this shift, or its begin
	node               int
	changed            chan struct{}
	requestsDuringHang []func()
}

type task struct {
	row, job   string
	try        uint64
	status     string
	cause      string
	saved      bool
	cores, mem float64
	endAt      time.Time
	saveUntil  time.Time
	onMachine  bool
}

// NewFleet starts the cloud. Machines report to the front addresses of the controllers.
func NewFleet(nodes map[string]string, breeds []*Breed, timings Timings, rps float64, audit *Audit,
	note func(string, ...any)) (*Fleet, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Addr: l.Addr().String(), Nodes: nodes, timings: timings, breeds: breeds, note: note, audit: audit,
		machines: map[string]*Machine{}, hires: map[string][]string{}, jobs: map[string]*Job{},
		requests: bucket{rate: rps, burst: 2 * rps, level: 2 * rps, at: time.Now()}}
	server := &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = server.Serve(l) }()
	return f, nil
}

// Upload makes a job known to the workers.
func (f *Fleet) Upload(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// SetOut begins or ends an outage of the cloud.
func (f *Fleet) SetOut(out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = out
}

// Machines returns the machines that are there.
func (f *Fleet) Machines() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Machine
	for _, m := range f.order {
		if m.gone.IsZero() {
			list = append(list, m)
		}
	}
	return list
}

// Start rents a machine before the first controller starts.
func (f *Fleet) Start(zone string) *Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rent(f.breeds[0], zone, 0)
}

func (f *Fleet) rent(b *Breed, zone string, boot time.Duration) *Machine {
	f.count++
	ctx, cancel := context.WithCancel(context.Background())
	m := &Machine{Name: fmt.Sprintf("n-%06d", f.count), Zone: zone, breed: b, fleet: f, rented: time.Now(),
		up: time.Now().Add(boot), cancel: cancel, tasks: map[string]*task{}, images: map[string]bool{},
		fetching: map[string]time.Time{}, changed: make(chan struct{}, 1), node: rand.Intn(1000)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cancel()
		return m
	}
	m.Addr = l.Addr().String()
	f.machines[m.Name] = m
	f.order = append(f.order, m)
	go func() {
		time.Sleep(boot)
		m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
		if ctx.Err() != nil {
			_ = l.Close()
			return
		}
		m.mu.Lock()
		m.shift, m.renewed = 1, time.Now()
		m.mu.Unlock()
		go m.run(ctx)
		go m.report(ctx)
		go func() { <-ctx.Done(); _ = m.server.Close() }()
		_ = m.server.Serve(l)
	}()
	return m
}

func (f *Fleet) release(name string) {
	m := f.machines[name]
	if m == nil || !m.gone.IsZero() {
		return
	}
	m.gone = time.Now()
	m.cancel()
	m.mu.Lock()
	m.killAll("released")
	m.mu.Unlock()
}

func (f *Fleet) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.requests.take(1) {
		reply(w, 429, Map{"error": "too many requests"})
		return
	}
	if f.out {
		reply(w, 503, Map{"error": "trouble"})
		return
	}
	m := DecodeMap(body)
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		var list []any
		for _, b := range f.breeds {
			list = append(list, Map{"label": b.Name, "cores": b.Cores, "cards": b.Cards, "memoryGb": b.Mem, "localGb": 60.0,
				"fetchGbPerS": b.Fetch, "price": b.Price, "lowPrice": b.SpotPrice, "startupS": b.Boot.Seconds(), "fields": b.Zones})
		}
		reply(w, 200, Map{"breeds": list})
	case "POST /rentals":
		f.hire(w, m)
	case "POST /rentals/return":
		for _, name := range items(m["tillers"]) {
			f.release(text(name))
		}
		reply(w, 200, Map{})
	case "GET /rentals":
		f.list(w, r)
	default:
		reply(w, 400, Map{"error": "malformed"})
	}
}

func (f *Fleet) hire(w http.ResponseWriter, m Map) {
	name := text(m["hire"])
	if names, ok := f.hires[name]; ok {
		reply(w, 200, Map{"tillers": names})
		return
	}
	var breed *Breed
	for _, b := range f.breeds {
		if b.Name == text(m["breed"]) {
			breed = b
		}
	}
	if breed == nil || whole(m["number"]) < 1 || whole(m["number"]) > 50 {
		reply(w, 400, Map{"error": "malformed"})
		return
	}
	used := 0
	for _, other := range f.order {
		if other.gone.IsZero() && other.Zone == text(m["field"]) && other.breed == breed {
			used++
		}
	}
	names := []string{}
	for range whole(m["number"]) {
		if truth(m["loaners"]) || used >= breed.Capacity[text(m["field"])] {
			break
		}
		used++
		boot := time.Duration(float64(breed.Boot) * (0.6 + 0.9*rand.Float64()))
		names = append(names, f.rent(breed, text(m["field"]), boot).Name)
	}
	if len(names) == 0 {
		reply(w, 503, Map{"error": "no capacity"})
		return
	}
	f.hires[name] = names
	reply(w, 200, Map{"tillers": names})
}

func (f *Fleet) list(w http.ResponseWriter, r *http.Request) {
	as := time.Now().Add(-f.timings.ListLag)
	after := r.URL.Query().Get("after")
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	list, more := []any{}, false
	for _, m := range f.order {
		if m.rented.After(as) || !m.gone.IsZero() && m.gone.Before(as) || m.Name <= after {
			continue
		}
		if len(list) == page {
			more = true
			break
		}
		status := "running"
		if as.Before(m.up) {
			status = "starting"
		}
		list = append(list, Map{"ref": m.Name, "addr": m.Addr, "breed": m.breed.Name, "field": m.Zone, "loaners": false,
			"status": status, "heldS": as.Sub(m.rented).Seconds()})
	}
	reply(w, 200, Map{"tillers": list, "more": more})
}

// SetMute sets which machines reach no controller; direct commands reach them all the same.
func (f *Fleet) SetMute(mute func(m *Machine) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mute = mute
}

// SetBreeds changes the catalogue.
func (f *Fleet) SetBreeds(breeds []*Breed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breeds = breeds
}

// SetReportFault sets what happens to reports from now on.
func (f *Fleet) SetReportFault(fault func(m *Machine) (loseAnswer bool, copyAfter time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportFault = fault
}

// Hang stops the machine's worker and tasks for a time; its lease runs on.
func (m *Machine) Hang(d time.Duration) {
	m.mu.Lock()
	m.hung = true
	m.mu.Unlock()
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.hung = false
		for _, t := range m.tasks {
			if t.status == "running" && !t.endAt.IsZero() {
				t.endAt = t.endAt.Add(d)
			}
		}
	})
}

func (m *Machine) key(row string, try uint64) string { return row + "#" + strconv.FormatUint(try, 10) }

func (m *Machine) touchChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Machine) leave(t *task, why string) {
	if t.onMachine {
		t.onMachine = false
		m.fleet.audit.off(t.row, m.Name, t.try, why)
	}
}

func (m *Machine) killAll(why string) {
	for _, t := range m.tasks {
		m.leave(t, why)
	}
	m.tasks = map[string]*task{}
}

// run moves the tasks on and ends the lease.
func (m *Machine) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		now := time.Now()
		if m.hung {
			m.mu.Unlock()
			continue
		}
		if now.Sub(m.renewed) > m.fleet.timings.Lease {
			m.fleet.note("worker %s: lease ended, shift %d", m.Name, m.shift)
			m.killAll("lease ended")
			m.shift++
			m.renewed = now
			m.touchChanged()
		}
		for _, t := range m.tasks {
			m.advance(now, t)
		}
		m.mu.Unlock()
	}
}

func (m *Machine) advance(now time.Time, t *task) {
	m.fleet.mu.Lock()
	job := m.fleet.jobs[t.job]
	m.fleet.mu.Unlock()
	switch t.status {
	case "pulling":
		if !m.images[job.Image] {
			until, ok := m.fetching[job.Image]
			if !ok {
				until = now.Add(time.Duration(job.ImageGB / m.breed.Fetch * float64(time.Second)))
				m.fetching[job.Image] = until
			}
			if now.Before(until) {
				return
			}
			m.images[job.Image] = true
			delete(m.fetching, job.Image)
		}
		t.onMachine = true
		m.fleet.audit.on(t.row, m.Name, t.try, job)
		t.status = "running"
		if job.Shape != "daemon" {
			t.endAt = now.Add(job.Run)
		}
		m.touchChanged()
	case "running":
		if !t.endAt.IsZero() && !now.Before(t.endAt) {
			t.status, t.cause = "exited", "done"
			m.fleet.audit.done(t.row)
			m.leave(t, "done")
			m.touchChanged()
		}
	case "saving":
		if !now.Before(t.saveUntil) {
			t.status, t.cause, t.saved = "exited", "halted", true
			m.leave(t, "saved")
			m.touchChanged()
		}
	}
}

func (m *Machine) message() Map {
	m.tick++
	rows := []any{}
	keys := make([]string, 0, len(m.tasks))
	for k := range m.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t := m.tasks[k]
		row := Map{"row": t.row, "try": t.try, "status": t.status}
		if t.status == "exited" {
			row["cause"], row["saved"] = t.cause, t.saved
		}
		rows = append(rows, row)
	}
	return Map{"tiller": m.Name, "addr": m.Addr, "breed": m.breed.Name, "field": m.Zone, "loaners": false,
		"shift": m.shift, "tick": m.tick, "baton": m.baton, "recallS": nil, "rows": rows}
}

func (m *Machine) execute(orders []any) {
	for _, o := range orders {
		order := fields(o)
		row, try := text(order["row"]), whole(order["try"])
		t := m.tasks[m.key(row, try)]
		switch text(order["verb"]) {
		case "launch":
			if t == nil {
				m.launch(row, try)
				m.touchChanged()
			}
		case "stop":
			if t == nil || t.status == "exited" {
				continue
			}
			m.stop(t, amount(order["windDownS"]))
			m.touchChanged()
		case "forget":
			if t != nil && t.status == "exited" {
				delete(m.tasks, m.key(row, try))
			}
		}
	}
}

func (m *Machine) launch(row string, try uint64) {
	id, _, _ := strings.Cut(row, "/")
	m.fleet.mu.Lock()
	job := m.fleet.jobs[id]
	m.fleet.mu.Unlock()
	t := &task{row: row, job: id, try: try, status: "pulling"}
	m.tasks[m.key(row, try)] = t
	refuse := func(cause string) { t.status, t.cause = "exited", cause }
	if job == nil {
		refuse("no_such")
		return
	}
	var cores, mem float64
	for _, other := range m.tasks {
		if other != t && other.status != "exited" {
			if other.row == row {
				refuse("busy")
				return
			}
			cores, mem = cores+other.cores, mem+other.mem
		}
	}
	if cores+job.Cores > m.breed.Cores+1e-6 || mem+job.Mem > m.breed.Mem+1e-6 {
		refuse("no_room")
		return
	}
	t.cores, t.mem = job.Cores, job.Mem
}

func (m *Machine) stop(t *task, grace float64) {
	m.fleet.mu.Lock()
	job := m.fleet.jobs[t.job]
	m.fleet.mu.Unlock()
	if t.status == "running" && job != nil && job.Mark > 0 && grace >= job.Store {
		t.status, t.saveUntil = "saving", time.Now().Add(time.Duration(job.Store*float64(time.Second)))
		return
	}
	if t.status == "saving" && grace > 0 {
		return
	}
	t.status, t.cause = "exited", "halted"
	m.leave(t, "stopped")
}

// serve answers direct commands.
func (m *Machine) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for {
		m.mu.Lock()
		if !m.hung {
			break
		}
		m.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	defer m.mu.Unlock()
	if r.URL.Path == "/inspect" {
		reply(w, 200, m.message())
		return
	}
	c := DecodeMap(body)
	baton, ok1 := c["baton"].(uint64)
	shift, ok2 := c["shift"].(uint64)
	if r.URL.Path != "/commands" || !ok1 || !ok2 {
		reply(w, 400, Map{"error": "malformed"})
		return
	}
	if baton < m.baton || shift != m.shift {
		reply(w, 409, m.message())
		return
	}
	m.accept(baton)
	m.execute(items(c["orders"]))
	reply(w, 200, m.message())
}

func (m *Machine) accept(baton uint64) {
	if baton > m.baton {
		m.baton = baton
		m.touchChanged()
	}
}

// report sends the reports.
func (m *Machine) report(ctx context.Context) {
	names := make([]string, 0, len(m.fleet.Nodes))
	for name := range m.fleet.Nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var last time.Time
	for ctx.Err() == nil {
		interval := time.Duration(float64(m.fleet.timings.Report) * (0.75 + 0.5*rand.Float64()))
		select {
		case <-time.After(interval):
		case <-m.changed:
			time.Sleep(time.Until(last.Add(500 * time.Millisecond)))
		case <-ctx.Done():
			return
		}
		for {
			m.mu.Lock()
			hung := m.hung
			m.mu.Unlock()
			if !hung {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		last = time.Now()
		next, wait := m.send(client, names[m.node%len(names)], names)
		if next >= 0 {
			client.CloseIdleConnections()
			m.node = next
			time.Sleep(wait)
			m.touchChanged()
		}
	}
}

// send sends one report. next is the node to report to from now on, or -1 to stay.
func (m *Machine) send(client *http.Client, node string, names []string) (next int, wait time.Duration) {
	m.mu.Lock()
	sent, shift := time.Now(), m.shift
	body := Encode(m.message())
	m.mu.Unlock()
	m.fleet.mu.Lock()
	fault, mute := m.fleet.reportFault, m.fleet.mute
	m.fleet.mu.Unlock()
	if mute != nil && mute(m) {
		time.Sleep(200 * time.Millisecond)
		return m.node + 1, time.Second
	}
	lose, copyAfter := false, time.Duration(0)
	if fault != nil {
		lose, copyAfter = fault(m)
	}
	addr := m.fleet.Nodes[node]
	if copyAfter > 0 {
		time.AfterFunc(copyAfter, func() { _, _, _ = post(&http.Client{Timeout: 4 * time.Second}, addr, "/v1/report", body) })
	}
	status, answer, err := post(client, addr, "/v1/report", body)
	m.mu.Lock()
	defer m.mu.Unlock()
	if lose {
		status, err = 0, io.ErrUnexpectedEOF
	}
	switch {
	case m.hung || time.Since(sent) > 4*time.Second:
	case err == nil && status == 200:
		c := DecodeMap(answer)
		baton, ok := c["baton"].(uint64)
		if !ok || baton < m.baton || shift != m.shift {
			return -1, 0
		}
		m.accept(baton)
		m.renewed = sent
		m.execute(items(c["orders"]))
		return -1, 0
	case err == nil && status == 421:
		leader := text(DecodeMap(answer)["foreman"])
		for i, name := range names {
			if name == leader && name != node {
				return i, time.Duration(rand.Intn(500)) * time.Millisecond
			}
		}
	}
	return m.node + 1, time.Second
}

func post(client *http.Client, addr, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest("POST", "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/msgpack")
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// Shapes and ranks of jobs.
const (
	Array    = "array"
	Service  = "daemon"
	Standard = "standard"
	Critical = "critical"
	Idle     = "idle"
)

// Kudu returns the machine type of the homework queues.
func Kudu(zones []string) *Breed {
	capacity := map[string]int{}
	for _, z := range zones {
		capacity[z] = 12
	}
	return &Breed{Name: "kudu-eight", Cores: 8, Mem: 64, Boot: 15 * time.Second, Fetch: 0.5, Zones: zones, Price: 0.42,
		SpotPrice: 0.09, Capacity: capacity}
}

// Mopane returns the small machine type of the exams board.
func Mopane(zones []string) *Breed {
	capacity := map[string]int{}
	for _, z := range zones {
		capacity[z] = 120
	}
	return &Breed{Name: "mopane-small", Cores: 8, Mem: 64, Boot: 35 * time.Second, Fetch: 0.6, Zones: zones, Price: 0.7,
		SpotPrice: 0.26, Capacity: capacity}
}

// Withdrawn is the state of a cancelled job.
const Withdrawn = "withdrawn"

// Room returns the name of a machine that is up and has room for a task, or "".
func (f *Fleet) Room(cores, mem float64) string {
	for _, m := range f.Machines() {
		m.mu.Lock()
		up, freeCores, freeMem := m.shift > 0, m.breed.Cores, m.breed.Mem
		for _, t := range m.tasks {
			if t.status != "exited" {
				freeCores, freeMem = freeCores-t.cores, freeMem-t.mem
			}
		}
		m.mu.Unlock()
		if up && freeCores >= cores && freeMem >= mem {
			return m.Name
		}
	}
	return ""
}
