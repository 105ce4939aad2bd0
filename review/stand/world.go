package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"review/internal/wire"
)

// world is what the stand-ins share: the controllers, the jobs that users have submitted and what runs.
type world struct {
	rec   *recorder
	ctl   []*controller
	state *stateService
	cloud *cloud
	lease time.Duration
	every time.Duration

	mu      sync.Mutex
	jobs    map[string]*job
	done    map[string]bool
	on      map[string]map[*worker]bool // tasks that are on machines, by row
	workers []*worker
	broken  []string
	starts  map[string]int // times that a task of a job was launched
	gangs   map[string]*gang
	refused int // reports that were answered with 400

	gangWait  time.Duration
	limits    map[string]float64   // cores that a team may use
	told      map[string]time.Time // when a user was told that the job is cancelled
	cancelS   time.Duration
	lateShare float64 // share of reports that arrive again, and of direct commands that arrive late
}

// gang is one attempt of a gang.
type gang struct {
	here                map[string]bool // rows that wait or run
	whole, broken, done bool
}

func gangKey(t *task) string { return fmt.Sprintf("%s try %d", t.job.id, t.key.try) }

func (w *world) gather(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(t)]
	if g == nil {
		g = &gang{here: map[string]bool{}}
		w.gangs[gangKey(t)] = g
	}
	g.here[t.key.row] = true
	if len(g.here) == t.job.rows {
		g.whole = true
	}
}

func (w *world) gangState(t *task) (whole, broken, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gangKey(t)]; g != nil {
		return g.whole, g.broken, g.done
	}
	return false, false, false
}

// copyReport sends some reports once more, later.
func (w *world) copyReport(body []byte) {
	if rand.Float64() >= w.lateShare {
		return
	}
	time.AfterFunc(time.Duration(2+rand.Float64()*18)*time.Second, func() {
		for _, c := range w.ctl {
			call("POST", "http://"+c.front+"/v1/report", body, 4*time.Second)
		}
	})
}

func (w *world) lateCommand() time.Duration {
	if rand.Float64() >= w.lateShare {
		return 0
	}
	return time.Duration(2+rand.Float64()*14) * time.Second
}

// job is a submission and what its tasks do.
type job struct {
	id, class, owner, shape, rank string
	rows                          int
	cores, cards, memory          float64
	run                           time.Duration // of each task; 0: until it is stopped
	mark, store                   float64
	field                         string
	oneZone, scatter, loaners     bool
	awaits                        []string
	mistaken                      bool // submitted with a mistake: fails on every machine
}

func (j *job) body() map[string]any {
	m := map[string]any{"ref": j.id, wire.Jobclass: j.class, "owner": j.owner, "shape": j.shape, "rank": j.rank,
		"rows": uint64(j.rows), "cores": j.cores, "cards": j.cards, "memoryGb": j.memory, "seed": "img-01", "imageGb": 0.1,
		wire.Breeds: nil, "field": nil, "oneZone": j.oneZone, wire.Scatter: j.scatter, wire.Loaners: j.loaners,
		wire.ExpectS: j.run.Seconds(), wire.MarkS: j.mark, wire.StoreS: j.store, wire.DueS: nil}
	if j.field != "" {
		m["field"] = j.field
	}
	if len(j.awaits) > 0 {
		m["awaits"] = j.awaits
	}
	return m
}

func (w *world) job(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *world) addWorker(k *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, k)
}

func (w *world) isDone(row string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[row]
}

func (w *world) completed(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[t.key.row] = true
	if g := w.gangs[gangKey(t)]; g != nil {
		g.done = true
		for i := range t.job.rows {
			w.done[fmt.Sprintf("%s/%d", t.job.id, i)] = true
		}
	}
}

func (w *world) launched(_ *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[t.job.id]++
}

// arrived says that a task has its image, from when on it is on its machine.
func (w *world) arrived(k *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := w.on[t.key.row]
	if on == nil {
		on = map[*worker]bool{}
		w.on[t.key.row] = on
	}
	for other := range on {
		w.breakRuleLocked("ran_twice: %s starts on %s while it is on %s", t.key.row, k.m.name, other.m.name)
	}
	on[k] = true
	w.checkStartLocked(k, t)
}

// checkStartLocked checks the rules for a task that starts on a machine. It is in w.on already.
func (w *world) checkStartLocked(k *worker, t *task) {
	j := t.job
	zones, used := map[string]int{}, 0.0
	for row, on := range w.on {
		name, _, _ := strings.Cut(row, "/")
		for x := range on {
			o := w.jobs[name]
			if name == j.id {
				zones[x.m.field]++
			}
			if o.owner == j.owner {
				used += o.cores
			}
		}
	}
	if limit := w.limits[j.owner]; limit > 0 && used > limit+1e-6 {
		w.breakRuleLocked("quota: %s uses %g of %g cores as %s starts", j.owner, used, limit, t.key.row)
	}
	switch {
	case j.field != "" && k.m.field != j.field, k.m.loaners && !j.loaners, j.oneZone && len(zones) > 1,
		j.scatter && zones[k.m.field] > (j.rows+1)/2:
		w.breakRuleLocked("wrong_place: %s starts on %s in %s: %v", t.key.row, k.m.name, k.m.field, zones)
	}
	if at, ok := w.told[j.id]; ok {
		w.rec.add("%s starts %v after its job was confirmed as cancelled", t.key.row, time.Since(at))
		if time.Since(at) > w.cancelS {
			w.breakRuleLocked("ran_cancelled: %s starts", t.key.row)
		}
	}
	for _, id := range j.awaits {
		for i := range w.jobs[id].rows {
			if !w.done[fmt.Sprintf("%s/%d", id, i)] {
				w.breakRuleLocked("too_early: %s starts before %s/%d is done", t.key.row, id, i)
			}
		}
	}
}

func (w *world) left(k *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on[t.key.row], k)
	if t.job.shape != wire.Ensemble {
		return
	}
	if g := w.gangs[gangKey(t)]; g != nil && g.here[t.key.row] {
		if g.whole {
			g.broken = true
		} else {
			delete(g.here, t.key.row)
		}
	}
}

func (w *world) breakRule(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakRuleLocked(format, args...)
}

func (w *world) breakRuleLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.add("RULE BROKEN: %s", text)
}

func (w *world) index(member string) int {
	for i, c := range w.ctl {
		if c.name == member {
			return i
		}
	}
	return -1
}

// submit sends a submission to one controller after the other until it is accepted or refused for good.
func (w *world) submit(j *job, first int) int {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for try := 0; try < 30; try++ {
		n := (first + try) % len(w.ctl)
		status, reply := call("POST", "http://"+w.ctl[n].front+"/api/jobs", j.body(), 5*time.Second)
		w.rec.add("user: POST %s (%s, %d tasks, %g cores, %s) at %s: %d %v", j.id, j.class, j.rows, j.cores, j.owner,
			w.ctl[n].name, status, reply)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			return status
		}
		time.Sleep(time.Second)
	}
	return 0
}

func (w *world) poll(id string, n int) (int, string) {
	status, reply := call("GET", "http://"+w.ctl[n].front+"/api/jobs/"+id, nil, 2*time.Second)
	return status, str(reply["status"])
}

func (w *world) withdraw(id string, n int) (int, string) {
	status, reply := call("POST", "http://"+w.ctl[n].front+"/api/jobs/"+id+"/withdraw", nil, 5*time.Second)
	w.rec.add("user: POST %s/withdraw at %s: %d %v", id, w.ctl[n].name, status, reply)
	return status, str(reply["status"])
}

// waitFor waits until a condition holds. It reports whether it did in time.
func waitFor(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

var atExit []func()

func finish(code int) {
	for _, f := range atExit {
		f()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(2)
}
