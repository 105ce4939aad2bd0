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
	pending sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	submittedAt map[string]time.Time // when the submission of a job left first
	startedJobs map[string]bool      // jobs of which a task was launched
	counts      userCounts
	urgentWaits *hdrhistogram.Histogram // from submission to launch, of each task, in milliseconds
	otherWaits  *hdrhistogram.Histogram // and to the first launch of other jobs
	acceptTimes *hdrhistogram.Histogram // of submissions, in milliseconds
}

// userCounts are what requests of users have led to.
type userCounts struct {
	Submitted       int `json:"submitted"`
	Accepted        int `json:"accepted"`
	Done            int `json:"done"`
	Cancelled       int `json:"cancelled"`
	Refused         int `json:"refused"`   // never to be taken
	Abandoned       int `json:"given_up"`  // not accepted within a minute
	Retries         int `json:"retries"`   // of requests that were not answered
	Starts          int `json:"starts"`    // launches that workers took
	RequestedStarts int `json:"asked_for"` // tasks of arrays and gangs that were submitted
}

// userClient sends requests to one controller.
type userClient struct {
	host *fasthttp.HostClient
}

const (
	requestTimeout  = 5 * time.Second
	pollTimeout     = 2 * time.Second
	pollInterval    = 5 * time.Second // between two questions about a job
	submitTimeout   = time.Minute     // a submission
	maxRecordedWait = int64(10 * time.Minute / time.Millisecond)
)

func newWaitHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedWait, 3) }

func newUsers(p *Plan, regions []*region, w *workers) *users {
	u := &users{
		plan:        p,
		regions:     regions,
		workers:     w,
		traffic:     newTraffic(),
		random:      rand.New(rand.NewPCG(p.Seed, 2)),
		submittedAt: map[string]time.Time{},
		startedJobs: map[string]bool{},
		urgentWaits: newWaitHistogram(),
		otherWaits:  newWaitHistogram(),
		acceptTimes: newWaitHistogram(),
	}
	for _, r := range regions {
		for _, c := range r.controllers {
			r.clients = append(
				r.clients,
				&userClient{&fasthttp.HostClient{Addr: c.httpAddr, MaxConns: 512, MaxIdleConnDuration: 5 * time.Second,
					MaxIdemponentCallAttempts: 1, MaxConnWaitTimeout: time.Second}},
			)
		}
	}
	w.fleet.OnLaunch = u.taskLaunched
	return u
}

// taskLaunched takes that a worker has taken a launch. The workers' lock is held.
func (u *users) taskLaunched(t *fake.Task) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Starts++
	at, ok := u.submittedAt[t.ID.Job]
	if !ok || t.Spec == nil {
		return
	}
	waited := min(max(time.Since(at).Milliseconds(), 1), maxRecordedWait)
	first := !u.startedJobs[t.ID.Job]
	u.startedJobs[t.ID.Job] = true
	switch {
	case t.Spec.Priority == model.PriorityHigh:
		_ = u.urgentWaits.RecordValue(waited) // it is within the bounds
	case first:
		_ = u.otherWaits.RecordValue(waited) // it is within the bounds
	}
}

// submitServices submits the services that run all the time.
func (u *users) submitServices(ctx context.Context) {
	const replicas = 20
	count := int(math.Ceil(replicasPerWorker * float64(u.plan.Workers) / replicas))
	for i := range count {
		s := u.newSpec("service", model.Service, model.PriorityNormal, replicas)
		u.submit(ctx, u.regions[i%len(u.regions)], s, false)
	}
}

// generateLoad submits jobs at the plan's rate until the context ends.
func (u *users) generateLoad(ctx context.Context) {
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
		for due += u.plan.startRate() * every.Seconds(); due > 0; i++ {
			s, cancel := u.drawJob()
			due -= float64(s.Tasks)
			u.submit(ctx, u.regions[i%len(u.regions)], s, cancel)
		}
	}
}

// The jobs that are drawn: the shares of urgent ones, gangs, and cancelled ones among arrays.
const (
	urgentShare     = 0.30
	gangShare       = 0.04
	cancelledShare  = 0.03
	maxUrgentTasks  = 4 // at the most
	minArrayTasks   = 10
	maxArrayTasks   = 1000
	maxBurstSeconds = 2 // seconds of the plan's starts in one array, at the most
)

// drawJob makes the next job, and tells whether its user cancels it soon.
func (u *users) drawJob() (s *model.Spec, cancel bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := min(maxArrayTasks, max(minArrayTasks+1, int(maxBurstSeconds*u.plan.startRate())))
	switch r := u.random.Float64(); {
	case r < urgentShare:
		return u.newSpec("urgent", model.Array, model.PriorityHigh, 1+u.random.IntN(maxUrgentTasks)), false
	case r < urgentShare+gangShare:
		size := min(1<<(1+u.random.IntN(8)), largestGang, u.plan.Workers/gpuShare*gpuCards/2, 4*most)
		s := u.newSpec("gang", model.Gang, model.PriorityNormal, max(size, 2))
		s.Demand = model.Resources{CPU: 1, GPU: 1, MemGB: 8}
		s.CheckpointInterval, s.CheckpointTime = 2*time.Second, time.Second
		return s, false
	}
	size := minArrayTasks * math.Pow(float64(most)/minArrayTasks, u.random.Float64())
	return u.newSpec("array", model.Array, model.PriorityLow, int(size)), u.random.Float64() < cancelledShare
}

// newSpec makes a job.
func (u *users) newSpec(class string, shape model.Shape, rank model.Priority, tasks int) *model.Spec {
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
		EstimatedRunTime: meanTaskTime,
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
	u.submittedAt[s.ID] = time.Now()
	u.counts.Submitted++
	if s.Shape != model.Service {
		u.counts.RequestedStarts += s.Tasks
	}
	pick := rand.New(rand.NewPCG(u.random.Uint64(), 3))
	u.mu.Unlock()
	u.pending.Go(func() {
		j := &userJob{users: u, region: r, spec: s, random: pick}
		if j.submit(ctx) {
			j.follow(ctx, cancel)
		}
	})
}

// userJob is a job and its user.
type userJob struct {
	users  *users
	region *region
	spec   *model.Spec
	random *rand.Rand
}

// submit submits the job until it is accepted, or cannot be.
func (j *userJob) submit(ctx context.Context) bool {
	body := wire.AppendJob(nil, j.spec)
	began := time.Now()
	for ctx.Err() == nil {
		status, answer, by := j.request("submit", fasthttp.MethodPost, "/api/jobs", body, requestTimeout)
		switch status {
		case fasthttp.StatusCreated, fasthttp.StatusOK:
			j.users.updateCounts(func(c *userCounts) {
				c.Accepted++
				_ = j.users.acceptTimes.RecordValue(max(time.Since(began).Milliseconds(), 1)) // it is within the bounds
			})
			j.recordAnswer(by, decodeJobState(answer))
			return true
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			j.users.updateCounts(func(c *userCounts) { c.Refused++ })
			return false
		}
		if time.Since(began) > submitTimeout {
			j.users.updateCounts(func(c *userCounts) { c.Abandoned++ })
			return false
		}
		j.users.updateCounts(func(c *userCounts) { c.Retries++ })
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
	path := "/api/jobs/" + j.spec.ID
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.8+0.4*j.random.Float64())*float64(pollInterval)))
		status, answer, by := j.request("poll", fasthttp.MethodGet, path, nil, pollTimeout)
		state := wire.StateUnknown
		switch status {
		case fasthttp.StatusOK:
			state = decodeJobState(answer)
		case fasthttp.StatusNotFound:
		default:
			j.users.updateCounts(func(c *userCounts) { c.Retries++ })
			continue
		}
		j.recordAnswer(by, state)
		if state.Ended() {
			j.users.updateCounts(func(c *userCounts) {
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
	j.users.workers.mu.Lock()
	j.users.workers.fleet.RecordCancelRequest(j.spec.ID)
	j.users.workers.mu.Unlock()
	for ctx.Err() == nil {
		status, answer, by := j.request("withdraw", fasthttp.MethodPost, "/api/jobs/"+j.spec.ID+"/withdraw", nil, requestTimeout)
		if status == fasthttp.StatusOK {
			j.recordAnswer(by, decodeJobState(answer))
			return
		}
		sleep(ctx, time.Second)
	}
}

// recordAnswer holds an answer against those before it.
func (j *userJob) recordAnswer(by string, s wire.JobState) {
	w := j.users.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.RecordAnswer(by, j.spec.ID, s)
	if s == wire.StateCancelled {
		w.fleet.SetNow(time.Now())
		w.fleet.RecordCancelled(j.spec.ID)
	}
}

// request sends a request to a controller that answers; status 0: it was not answered.
func (j *userJob) request(
	kind, method, path string,
	body []byte,
	wait time.Duration,
) (status int, answer []byte, by string) {
	at := j.random.IntN(len(j.region.clients))
	by = j.region.controllers[at].name
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + j.region.controllers[at].httpAddr + path)
	if body != nil {
		req.Header.SetContentType("application/msgpack")
		req.SetBodyRaw(body)
	}
	if err := j.region.clients[at].host.DoTimeout(req, res, wait); err != nil {
		return 0, nil, by
	}
	answer = append([]byte(nil), res.Body()...)
	j.users.traffic.count("user "+kind, len(answer), len(body))
	return res.StatusCode(), answer, by
}

func (u *users) updateCounts(f func(c *userCounts)) {
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
