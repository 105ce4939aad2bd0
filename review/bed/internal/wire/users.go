package wire

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Audit keeps what ran where and what the users were told, and checks the rules.
type Audit struct {
	note   func(format string, args ...any)
	limits map[string]float64 // CPUs by team
	cancel time.Duration

	mu        sync.Mutex
	running   map[string]map[string]time.Time // row -> machine and try -> since
	used      map[string]float64
	jobOf     map[string]*Job
	doneRows  map[string]bool
	started   map[string]time.Time // first start of a task, by job
	accepted  map[string]time.Time
	final     map[string]string
	cancelled map[string]time.Time // answered
	asked     map[string]time.Time // asked to be cancelled
	Broken    []string
	Starts    int
}

// NewAudit returns an empty audit.
func NewAudit(limits map[string]float64, cancel time.Duration, note func(string, ...any)) *Audit {
	return &Audit{note: note, limits: limits, cancel: cancel, running: map[string]map[string]time.Time{},
		used: map[string]float64{}, jobOf: map[string]*Job{}, doneRows: map[string]bool{}, started: map[string]time.Time{},
		accepted: map[string]time.Time{}, final: map[string]string{}, cancelled: map[string]time.Time{},
		asked: map[string]time.Time{}}
}

func (a *Audit) broken(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	a.Broken = append(a.Broken, s)
	a.note("BROKEN %s", s)
}

func (a *Audit) on(row, machine string, try uint64, job *Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Starts++
	a.note("start %s try %d on %s", row, try, machine)
	if a.started[job.ID].IsZero() {
		a.started[job.ID] = time.Now()
	}
	if a.running[row] == nil {
		a.running[row] = map[string]time.Time{}
	}
	for other := range a.running[row] {
		a.broken("ran_twice: %s starts on %s while on %s", row, machine, other)
	}
	a.running[row][machine+"#"+fmt.Sprint(try)] = time.Now()
	a.jobOf[row] = job
	a.used[job.Team] += job.Cores
	if limit := a.limits[job.Team]; limit > 0 && a.used[job.Team] > limit+1e-3 {
		a.broken("quota: team %s uses %g of %g", job.Team, a.used[job.Team], limit)
	}
	if at, ok := a.cancelled[job.ID]; ok && time.Since(at) > a.cancel {
		a.broken("ran_cancelled: %s starts %.1f s after the cancellation was confirmed", row, time.Since(at).Seconds())
	}
}

func (a *Audit) off(row, machine string, try uint64, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note("end %s try %d on %s: %s", row, try, machine, why)
	delete(a.running[row], machine+"#"+fmt.Sprint(try))
	if job := a.jobOf[row]; job != nil {
		a.used[job.Team] -= job.Cores
	}
}

func (a *Audit) done(row string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doneRows[row] = true
}

// Sweep checks what changes with time.
func (a *Audit) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for row, machines := range a.running {
		id, _, _ := strings.Cut(row, "/")
		if at, ok := a.cancelled[id]; ok && len(machines) > 0 && time.Since(at) > a.cancel {
			a.broken("ran_cancelled: %s is on a machine %.1f s after the cancellation was confirmed", row, time.Since(at).Seconds())
			delete(a.cancelled, id)
		}
	}
}

// Accepted returns when the user was told that a job is accepted.
func (a *Audit) Accepted(id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted[id]
}

// Started returns when the first task of a job started.
func (a *Audit) Started(id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.started[id]
}

// Unstarted returns the accepted jobs that were not asked to be cancelled, wait for no other job, and of which
// no task has started.
func (a *Audit) Unstarted() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for id := range a.accepted {
		if j := a.findJob(id); j != nil && len(j.Awaits) > 0 {
			continue // it may have to wait
		}
		if a.started[id].IsZero() && a.asked[id].IsZero() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Users sends requests of users.
type Users struct {
	Audit  *Audit
	Note   func(format string, args ...any)
	client map[string]*http.Client
	mu     sync.Mutex
}

func (u *Users) clientOf(addr string) *http.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.client == nil {
		u.client = map[string]*http.Client{}
	}
	if u.client[addr] == nil {
		u.client[addr] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	return u.client[addr]
}

func (u *Users) call(method, node, addr, path string, body []byte, limit time.Duration) (int, Map) {
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	client := *u.clientOf(addr)
	client.Timeout = limit
	begin := time.Now()
	response, err := client.Do(r)
	if err != nil {
		u.Note("%s %s to %s: no answer after %d ms", method, path, node, time.Since(begin).Milliseconds())
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	m := DecodeMap(answer)
	u.Note("%s %s to %s: %d %v after %d ms", method, path, node, response.StatusCode, m["status"], time.Since(begin).Milliseconds())
	return response.StatusCode, m
}

// judge applies an answer about a job that was asked for at begin.
func (u *Users) judge(id string, begin time.Time, status int, answer Map, submitted bool) {
	a := u.Audit
	a.mu.Lock()
	defer a.mu.Unlock()
	state := text(answer["status"])
	if status == 200 || status == 201 {
		if text(answer["ref"]) != id {
			a.broken("foreign: asked about %s, told about %v", id, answer["ref"])
		}
		if state == "done" {
			job := a.findJob(id)
			for i := 0; job != nil && i < job.Rows; i++ {
				if !a.doneRows[fmt.Sprintf("%s/%d", id, i)] {
					a.broken("not_done: %s called done, task %d is not", id, i)
					break
				}
			}
		}
		if state == "withdrawn" && a.asked[id].IsZero() && a.findJob(id) != nil && len(a.findJob(id).Awaits) == 0 {
			a.broken("went_back: %s called cancelled, nobody cancelled it", id)
		}
	}
	if at, ok := a.accepted[id]; ok && at.Before(begin) {
		if status == 404 || submitted && (status == 400 || status == 422) {
			a.broken("forgotten: %s was accepted, now the answer is %d", id, status)
		}
		if before := a.final[id]; before != "" && (status == 200 || status == 201) && state != before && begin.After(a.finalAt(id)) {
			a.broken("went_back: %s was called %s, now %s", id, before, state)
		}
	}
	if status == 200 || status == 201 {
		now := time.Now()
		if a.accepted[id].IsZero() {
			a.accepted[id] = now
		}
		if (state == "done" || state == "withdrawn") && a.final[id] == "" {
			a.final[id] = state
			a.cancelledAt(id, now)
			if state == "withdrawn" {
				a.cancelled[id] = now
			}
		}
	}
}

var finals sync.Map

func (a *Audit) cancelledAt(id string, at time.Time) { finals.Store(id, at) }
func (a *Audit) finalAt(id string) time.Time {
	if at, ok := finals.Load(id); ok {
		return at.(time.Time)
	}
	return time.Time{}
}

var submittedJobs sync.Map

func (a *Audit) findJob(id string) *Job {
	if j, ok := submittedJobs.Load(id); ok {
		return j.(*Job)
	}
	return nil
}

// Submit submits a job to a controller and returns the status.
func (u *Users) Submit(j *Job, node, addr string) int {
	submittedJobs.Store(j.ID, j)
	begin := time.Now()
	status, m := u.call("POST", node, addr, "/api/jobs", j.Body(), 5*time.Second)
	u.Note("submission of %s: %d", j.ID, status)
	u.judge(j.ID, begin, status, m, true)
	return status
}

// Poll asks about a job and returns the status and the state.
func (u *Users) Poll(id, node, addr string) (int, string) {
	begin := time.Now()
	status, m := u.call("GET", node, addr, "/api/jobs/"+id, nil, 2*time.Second)
	u.judge(id, begin, status, m, false)
	return status, text(m["status"])
}

// Withdraw cancels a job and returns the status and the state.
func (u *Users) Withdraw(id, node, addr string) (int, string) {
	u.Audit.mu.Lock()
	if u.Audit.asked[id].IsZero() {
		u.Audit.asked[id] = time.Now()
	}
	u.Audit.mu.Unlock()
	begin := time.Now()
	status, m := u.call("POST", node, addr, "/api/jobs/"+id+"/withdraw", nil, 5*time.Second)
	u.judge(id, begin, status, m, false)
	return status, text(m["status"])
}

// Healthy asks a controller whether it takes requests.
func Healthy(addr string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + addr + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// Break records that a rule is broken.
func (a *Audit) Break(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken(format, args...)
}

// Used returns the CPUs that a team's tasks use.
func (a *Audit) Used(team string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[team]
}

// Running returns up to n jobs that have tasks on machines.
func (a *Audit) Running(n int) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[string]bool{}
	var ids []string
	for row, machines := range a.running {
		id, _, _ := strings.Cut(row, "/")
		if len(machines) > 0 && !seen[id] && len(ids) < n {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}
