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

// users submit jobs, poll them and cancel some. The user of each job sends one request after the other.
type users struct {
	plan    *Plan
	regions []*region
	workers *workers
	traffic *traffic
	jobs    atomic.Int64 // ids given out
	pending sync.WaitGroup

	mu          sync.Mutex // guards all below
	random      *rand.Rand
	submittedAt map[string]time.Time // when a job was first submitted
	startedJobs map[string]bool      // jobs of which a task was launched
	counts      userCounts
	urgentWaits *hdrhistogram.Histogram // of urgent tasks, from submission to launch, in milliseconds
	otherWaits  *hdrhistogram.Histogram // of other jobs, to the first launch, in milliseconds
	acceptTimes *hdrhistogram.Histogram // of submissions until they were accepted, in milliseconds
}

// userCounts are what requests of users have led to.
type userCounts struct {
	Submitted       int `json:"submitted"`
	Accepted        int `json:"accepted"`
	Done            int `json:"done"`
	Cancelled       int `json:"cancelled"`
	Refused         int `json:"refused"`   // as never to be accepted
	Abandoned       int `json:"given_up"`  // not accepted within a minute
	Retries         int `json:"retries"`   // of requests that were not answered
	Starts          int `json:"starts"`    // launches that workers took
	RequestedStarts int `json:"asked_for"` // tasks of the arrays and gangs that were submitted
}

// userClient sends requests to one controller.
type userClient struct {
	host *fasthttp.HostClient
}

const (
	requestTimeout  = 5 * time.Second
	pollTimeout     = 2 * time.Second
	pollInterval    = 5 * time.Second // between two polls of a job
	submitTimeout   = time.Minute     // until a user gives a submission up
	maxRecordedWait = int64(10 * time.Minute / time.Millisecond)
	maxConns        = 512 // of all users to one controller
	idleConnTimeout = 5 * time.Second
	connTimeout     = time.Second // to get one of these connections
)

func newWaitHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedWait, 3) }

func newUsers(p *Plan, regions []*region, w *workers) *users {
	u := &users{
		plan:        p,
		regions:     regions,
		workers:     w,
		traffic:     newTraffic(),
		random:      rand.New(rand.NewPCG(p.Seed, userStream)),
		submittedAt: map[string]time.Time{},
		startedJobs: map[string]bool{},
		urgentWaits: newWaitHistogram(),
		otherWaits:  newWaitHistogram(),
		acceptTimes: newWaitHistogram(),
	}
	for _, region := range regions {
		for _, c := range region.controllers {
			region.clients = append(region.clients, &userClient{&fasthttp.HostClient{
				Addr:                      c.httpAddr,
				MaxConns:                  maxConns,
				MaxIdleConnDuration:       idleConnTimeout,
				MaxIdemponentCallAttempts: 1,
				MaxConnWaitTimeout:        connTimeout,
			}})
		}
	}
	w.fleet.OnLaunch = u.taskLaunched
	return u
}

// taskLaunched counts a launch that a worker has taken. The workers' lock is held.
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
		spec := u.newSpec("service", model.Service, model.PriorityNormal, replicas)
		u.submit(ctx, u.regions[i%len(u.regions)], spec, false)
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
			spec, cancel := u.drawJob()
			due -= float64(spec.Tasks)
			u.submit(ctx, u.regions[i%len(u.regions)], spec, cancel)
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
func (u *users) drawJob() (spec *model.Spec, cancel bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := min(maxArrayTasks, max(minArrayTasks+1, int(maxBurstSeconds*u.plan.startRate())))
	switch r := u.random.Float64(); {
	case r < urgentShare:
		return u.newSpec("urgent", model.Array, model.PriorityHigh, 1+u.random.IntN(maxUrgentTasks)), false
	case r < urgentShare+gangShare:
		size := min(1<<(1+u.random.IntN(8)), largestGang, u.plan.Workers/gpuShare*gpuCards/2, 4*most)
		spec := u.newSpec("gang", model.Gang, model.PriorityNormal, max(size, 2))
		spec.Demand = model.Resources{CPU: 1, GPU: 1, MemGB: 8}
		spec.CheckpointInterval, spec.CheckpointTime = 2*time.Second, time.Second
		return spec, false
	}
	size := minArrayTasks * math.Pow(float64(most)/minArrayTasks, u.random.Float64())
	return u.newSpec("array", model.Array, model.PriorityLow, int(size)), u.random.Float64() < cancelledShare
}

// images is how many images the jobs have.
const images = 50

// newSpec makes a job.
func (u *users) newSpec(class string, shape model.Shape, priority model.Priority, tasks int) *model.Spec {
	number := int(u.jobs.Add(1))
	spec := &model.Spec{
		ID:       fmt.Sprintf("wk-%06d", number),
		Class:    class,
		Team:     fmt.Sprintf("team-%03d", number%u.plan.Teams),
		Shape:    shape,
		Priority: priority,
		Tasks:    tasks,
		Demand: model.Resources{
			CPU:   1,
			MemGB: 1,
		},
		Image:            fmt.Sprintf("image-%d", number%images),
		ImageGB:          0.2,
		EstimatedRunTime: meanTaskTime,
		AllowSpot:        true,
	}
	if shape == model.Service {
		spec.EstimatedRunTime = 0
	}
	return spec
}

// submit has a user submit a job and follow it until it has ended or the context does.
func (u *users) submit(ctx context.Context, region *region, spec *model.Spec, cancel bool) {
	u.workers.mu.Lock()
	u.workers.fleet.Specs[spec.ID] = spec
	u.workers.mu.Unlock()
	u.mu.Lock()
	u.submittedAt[spec.ID] = time.Now()
	u.counts.Submitted++
	if spec.Shape != model.Service {
		u.counts.RequestedStarts += spec.Tasks
	}
	random := rand.New(rand.NewPCG(u.random.Uint64(), jobStream))
	u.mu.Unlock()
	u.pending.Go(func() {
		j := &userJob{users: u, region: region, spec: spec, random: random}
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
			took := max(time.Since(began).Milliseconds(), 1)
			j.users.updateCounts(func(c *userCounts) {
				c.Accepted++
				_ = j.users.acceptTimes.RecordValue(took) // it is within the bounds
			})
			j.recordAnswer(by, wire.DecodeJobState(answer))
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

// follow polls the job until it has ended.
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
			state = wire.DecodeJobState(answer)
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

// cancel asks to cancel the job until that is answered.
func (j *userJob) cancel(ctx context.Context) {
	j.users.workers.mu.Lock()
	j.users.workers.fleet.RecordCancelRequest(j.spec.ID)
	j.users.workers.mu.Unlock()
	path := "/api/jobs/" + j.spec.ID + "/withdraw"
	for ctx.Err() == nil {
		status, answer, by := j.request("withdraw", fasthttp.MethodPost, path, nil, requestTimeout)
		if status == fasthttp.StatusOK {
			j.recordAnswer(by, wire.DecodeJobState(answer))
			return
		}
		sleep(ctx, time.Second)
	}
}

// recordAnswer has an answer checked against those before it.
func (j *userJob) recordAnswer(by string, state wire.JobState) {
	w := j.users.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.RecordAnswer(by, j.spec.ID, state)
	if state == wire.StateCancelled {
		w.fleet.SetNow(time.Now())
		w.fleet.RecordCancelled(j.spec.ID)
	}
}

// request sends a request to one of the controllers, drawn at random; status 0: it was not answered.
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
