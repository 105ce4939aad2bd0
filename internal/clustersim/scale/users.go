package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// users submit jobs, ask about them and cancel some, each of them one request after the other.
type users struct {
	plan    *Plan
	regions []*region
	workers *workers
	traffic *traffic
	jobs    atomic.Int64 // ids given out
	open    sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	asked   map[string]time.Time // when the submission of a job left first
	began   map[string]bool      // jobs of which a task was launched
	counts  userCounts
	urgent  *hdrhistogram.Histogram // from submission to launch, of each task, in milliseconds
	others  *hdrhistogram.Histogram // and to the first launch of other jobs
	accepts *hdrhistogram.Histogram // of submissions, in milliseconds
}

// userCounts are what requests of users have led to.
type userCounts struct {
	Submitted int `json:"submitted"`
	Accepted  int `json:"accepted"`
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`   // never to be taken
	GivenUp   int `json:"given_up"`  // not accepted within a minute
	Retries   int `json:"retries"`   // of requests that were not answered
	Starts    int `json:"starts"`    // launches that workers took
	AskedFor  int `json:"asked_for"` // tasks of arrays and gangs that were submitted
}

// userClient sends requests to one controller.
type userClient struct {
	host *fasthttp.HostClient
}

const (
	requestWait = 5 * time.Second
	pollWait    = 2 * time.Second
	pollJobs    = 5 * time.Second // between two questions about a job
	giveUp      = time.Minute     // a submission
	mostWait    = int64(10 * time.Minute / time.Millisecond)
)

func newWaits() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostWait, 3) }

func newUsers(p *Plan, regions []*region, w *workers) *users {
	u := &users{
		plan:    p,
		regions: regions,
		workers: w,
		traffic: newTraffic(),
		random:  rand.New(rand.NewPCG(p.Seed, 2)),
		asked:   map[string]time.Time{},
		began:   map[string]bool{},
		urgent:  newWaits(),
		others:  newWaits(),
		accepts: newWaits(),
	}
	for _, r := range regions {
		for _, c := range r.controllers {
			r.clients = append(
				r.clients,
				&userClient{&fasthttp.HostClient{Addr: c.front, MaxConns: 512, MaxIdleConnDuration: 5 * time.Second,
					MaxIdemponentCallAttempts: 1, MaxConnWaitTimeout: time.Second}},
			)
		}
	}
	w.fleet.Launched = u.launched
	return u
}

// launched takes that a worker has taken a launch. The workers' lock is held.
func (u *users) launched(t *fake.Task) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Starts++
	at, ok := u.asked[t.ID.Job]
	if !ok || t.Spec == nil {
		return
	}
	waited := min(max(time.Since(at).Milliseconds(), 1), mostWait)
	first := !u.began[t.ID.Job]
	u.began[t.ID.Job] = true
	switch {
	case t.Spec.Priority == model.PriorityHigh:
		_ = u.urgent.RecordValue(waited) // it is within the bounds
	case first:
		_ = u.others.RecordValue(waited) // it is within the bounds
	}
}

// services submits the services that run all the time.
func (u *users) services(ctx context.Context) {
	const replicas = 20
	count := int(math.Ceil(serviceRate * float64(u.plan.Workers) / replicas))
	for i := range count {
		s := u.spec("service", model.Service, model.PriorityNormal, replicas)
		u.submit(ctx, u.regions[i%len(u.regions)], s, false)
	}
}

// load submits jobs at the plan's rate until the context ends.
func (u *users) load(ctx context.Context) {
	const every = 100 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	due := 0.0
	for i := 0; ctx.Err() == nil; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for due += u.plan.starts() * every.Seconds(); due > 0; i++ {
			s, cancel := u.draw()
			due -= float64(s.Tasks)
			u.submit(ctx, u.regions[i%len(u.regions)], s, cancel)
		}
	}
}

// The jobs that are drawn: the shares of urgent ones, gangs, and cancelled ones among arrays.
const (
	urgentShare    = 0.30
	gangPart       = 0.04
	cancelledShare = 0.03
	urgentTasks    = 4 // at the most
	leastArray     = 10
	mostArray      = 1000
	mostBurst      = 2 // seconds of the plan's starts in one array, at the most
)

// draw makes the next job, and tells whether its user cancels it soon.
func (u *users) draw() (s *model.Spec, cancel bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := min(mostArray, max(leastArray+1, int(mostBurst*u.plan.starts())))
	switch r := u.random.Float64(); {
	case r < urgentShare:
		return u.spec("urgent", model.Array, model.PriorityHigh, 1+u.random.IntN(urgentTasks)), false
	case r < urgentShare+gangPart:
		size := min(1<<(1+u.random.IntN(8)), largestGang, u.plan.Workers/gpuShare*gpuCards/2, 4*most)
		s := u.spec("gang", model.Gang, model.PriorityNormal, max(size, 2))
		s.Demand = model.Resources{CPU: 1, GPU: 1, MemGB: 8}
		s.CheckpointInterval, s.CheckpointTime = 2*time.Second, time.Second
		return s, false
	}
	size := leastArray * math.Pow(float64(most)/leastArray, u.random.Float64())
	return u.spec("array", model.Array, model.PriorityLow, int(size)), u.random.Float64() < cancelledShare
}

// spec makes a job.
func (u *users) spec(class string, shape model.Shape, rank model.Priority, tasks int) *model.Spec {
	n := int(u.jobs.Add(1))
	s := &model.Spec{
		ID:       fmt.Sprintf("wk-%06d", n),
		Class:    class,
		Team:     fmt.Sprintf("team-%03d", n%u.plan.Teams),
		Shape:    shape,
		Priority: rank,
		Tasks:    tasks,
		Demand: model.Resources{
			CPU:   1,
			MemGB: 1,
		},
		Image:            fmt.Sprintf("image-%d", n%50),
		ImageGB:          0.2,
		EstimatedRunTime: shortTask,
		AllowSpot:        true,
	}
	if shape == model.Service {
		s.EstimatedRunTime = 0
	}
	return s
}

// submit has a user submit a job and follow it until it has ended or the context does.
func (u *users) submit(ctx context.Context, r *region, s *model.Spec, cancel bool) {
	u.workers.mu.Lock()
	u.workers.fleet.Specs[s.ID] = s
	u.workers.mu.Unlock()
	u.mu.Lock()
	u.asked[s.ID] = time.Now()
	u.counts.Submitted++
	if s.Shape != model.Service {
		u.counts.AskedFor += s.Tasks
	}
	pick := rand.New(rand.NewPCG(u.random.Uint64(), 3))
	u.mu.Unlock()
	u.open.Go(func() {
		j := &userJob{u: u, r: r, s: s, random: pick}
		if j.accept(ctx) {
			j.follow(ctx, cancel)
		}
	})
}

// userJob is a job and its user.
type userJob struct {
	u      *users
	r      *region
	s      *model.Spec
	random *rand.Rand
}

// accept submits the job until it is accepted, or cannot be.
func (j *userJob) accept(ctx context.Context) bool {
	body := wire.AppendJob(nil, j.s)
	began := time.Now()
	for ctx.Err() == nil {
		status, answer, by := j.request("submit", fasthttp.MethodPost, "/api/jobs", body, requestWait)
		switch status {
		case fasthttp.StatusCreated, fasthttp.StatusOK:
			j.u.note(func(c *userCounts) {
				c.Accepted++
				_ = j.u.accepts.RecordValue(max(time.Since(began).Milliseconds(), 1)) // it is within the bounds
			})
			j.told(by, decodeState(answer))
			return true
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			j.u.note(func(c *userCounts) { c.Refused++ })
			return false
		}
		if time.Since(began) > giveUp {
			j.u.note(func(c *userCounts) { c.GivenUp++ })
			return false
		}
		j.u.note(func(c *userCounts) { c.Retries++ })
		sleep(ctx, time.Second)
	}
	return false
}

// follow asks about the job until it has ended.
func (j *userJob) follow(ctx context.Context, cancel bool) {
	if cancel {
		sleep(ctx, time.Duration((1+2*j.random.Float64())*float64(time.Second)))
		j.cancel(ctx)
	}
	path := "/api/jobs/" + j.s.ID
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.8+0.4*j.random.Float64())*float64(pollJobs)))
		status, answer, by := j.request("poll", fasthttp.MethodGet, path, nil, pollWait)
		state := wire.StateUnknown
		switch status {
		case fasthttp.StatusOK:
			state = decodeState(answer)
		case fasthttp.StatusNotFound:
		default:
			j.u.note(func(c *userCounts) { c.Retries++ })
			continue
		}
		j.told(by, state)
		if state.Ended() {
			j.u.note(func(c *userCounts) {
				if state == wire.StateDone {
					c.Done++
				} else {
					c.Cancelled++
				}
			})
			return
		}
	}
}

// cancel asks for the job's end until that is answered.
func (j *userJob) cancel(ctx context.Context) {
	j.u.workers.mu.Lock()
	j.u.workers.fleet.AskedToCancel(j.s.ID)
	j.u.workers.mu.Unlock()
	for ctx.Err() == nil {
		status, answer, by := j.request("withdraw", fasthttp.MethodPost, "/api/jobs/"+j.s.ID+"/withdraw", nil, requestWait)
		if status == fasthttp.StatusOK {
			j.told(by, decodeState(answer))
			return
		}
		sleep(ctx, time.Second)
	}
}

// told holds an answer against those before it.
func (j *userJob) told(by string, s wire.JobState) {
	w := j.u.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Told(by, j.s.ID, s)
	if s == wire.StateCancelled {
		w.fleet.SetNow(time.Now())
		w.fleet.ToldCancelled(j.s.ID)
	}
}

// request sends a request to a controller that answers; status 0: it was not answered.
func (j *userJob) request(
	kind, method, path string,
	body []byte,
	wait time.Duration,
) (status int, answer []byte, by string) {
	at := j.random.IntN(len(j.r.clients))
	by = j.r.controllers[at].name
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + j.r.controllers[at].front + path)
	if body != nil {
		req.Header.SetContentType("application/msgpack")
		req.SetBodyRaw(body)
	}
	if err := j.r.clients[at].host.DoTimeout(req, res, wait); err != nil {
		return 0, nil, by
	}
	answer = append([]byte(nil), res.Body()...)
	j.u.traffic.count("user "+kind, len(answer), len(body))
	return res.StatusCode(), answer, by
}

func (u *users) note(f func(c *userCounts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(&u.counts)
}

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
