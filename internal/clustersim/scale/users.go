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

// users simulates the users of all regions, who submit jobs, poll them until they end and cancel some of them. Each
// job has a user of its own, who sends one request at a time.
type users struct {
	plan          *Plan
	regions       []*region
	workers       *workers
	traffic       *traffic
	lastJobNumber atomic.Int64   // number in the ID of the newest job
	activeJobs    sync.WaitGroup // the users whose jobs have not ended

	mu          sync.Mutex // guards all fields below
	random      *rand.Rand
	submittedAt map[string]time.Time // time of the first attempt to submit a job, by job ID
	startedJobs map[string]bool      // jobs of which at least one task was launched
	counts      userCounts
	urgentWaits *hdrhistogram.Histogram // from submission to launch of each urgent task, in milliseconds
	otherWaits  *hdrhistogram.Histogram // from submission to the first launch of each other job, in milliseconds
	acceptTimes *hdrhistogram.Histogram // from the first attempt to submit a job to its acceptance, in milliseconds
}

// userCounts counts the outcomes of users' requests, and the tasks of their jobs.
type userCounts struct {
	Submitted       int `json:"submitted"` // jobs that users began to submit
	Accepted        int `json:"accepted"`
	Done            int `json:"done"`      // jobs reported as completed
	Cancelled       int `json:"cancelled"` // jobs reported as cancelled
	Refused         int `json:"refused"`   // submissions that were rejected as invalid
	Abandoned       int `json:"given_up"`  // submissions that were not accepted within submitTimeout
	Retries         int `json:"retries"`   // submissions and polls that got no answer or an unexpected status
	Starts          int `json:"starts"`    // launches accepted by workers
	RequestedStarts int `json:"asked_for"` // tasks of the submitted arrays and gangs
}

// userClient sends the requests of all users to one controller.
type userClient struct {
	http *fasthttp.HostClient
}

const (
	requestTimeout  = 5 * time.Second // for the answer to a submission or a cancellation
	pollTimeout     = 2 * time.Second // for the answer to a poll
	pollInterval    = 5 * time.Second // mean time between polls of a job
	submitTimeout   = time.Minute     // after which a user abandons a submission that is not accepted
	maxRecordedWait = int64(10 * time.Minute / time.Millisecond)
	maxConns        = 512             // connections of all users to one controller
	idleConnTimeout = 5 * time.Second // after which an idle connection is closed
	connWaitTimeout = time.Second     // for a free connection, if all maxConns are in use
)

// newWaitHistogram returns a histogram of waiting times in milliseconds. Longer waits for a launch than
// maxRecordedWait are recorded as maxRecordedWait.
func newWaitHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedWait, 3) }

// newUsers returns the users of the regions, and adds a client for each controller to its region. It makes the users
// count the launches of the workers.
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
				MaxConnWaitTimeout:        connWaitTimeout,
			}})
		}
	}
	w.fleet.OnLaunch = u.recordLaunch
	return u
}

// recordLaunch counts a launch that a worker has accepted, and records how long the task or its job has waited for
// it. The caller holds workers.mu.
func (u *users) recordLaunch(t *fake.Task) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Starts++
	submittedAt, ok := u.submittedAt[t.ID.Job]
	if !ok || t.Spec == nil {
		return
	}
	waited := min(max(time.Since(submittedAt).Milliseconds(), 1), maxRecordedWait)
	first := !u.startedJobs[t.ID.Job]
	u.startedJobs[t.ID.Job] = true
	switch {
	case t.Spec.Priority == model.PriorityHigh:
		_ = u.urgentWaits.RecordValue(waited) // never out of range
	case first:
		_ = u.otherWaits.RecordValue(waited) // never out of range
	}
}

// submitServices submits the services, which run for the whole simulation. They have replicasPerWorker replicas per
// worker over all regions.
func (u *users) submitServices(ctx context.Context) {
	const replicasPerService = 20
	count := int(math.Ceil(replicasPerWorker * float64(u.plan.Workers) / replicasPerService))
	for i := range count {
		spec := u.newSpec("service", model.Service, model.PriorityNormal, replicasPerService)
		u.submit(ctx, u.regions[i%len(u.regions)], spec, false)
	}
}

// generateLoad submits jobs in all regions in turn until the context is done, so that the rate of their tasks is the
// plan's start rate on average.
func (u *users) generateLoad(ctx context.Context) {
	const loadInterval = 100 * time.Millisecond
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	tasksDue := 0.0
	for i := 0; ctx.Err() == nil; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for tasksDue += u.plan.startRate() * loadInterval.Seconds(); tasksDue > 0; i++ {
			spec, cancel := u.drawJob()
			tasksDue -= float64(spec.Tasks)
			u.submit(ctx, u.regions[i%len(u.regions)], spec, cancel)
		}
	}
}

// The mix of jobs. Jobs that are neither urgent nor gangs are arrays of low priority.
const (
	urgentShare     = 0.30 // of all jobs
	gangShare       = 0.04 // of all jobs
	cancelledShare  = 0.03 // of the arrays of low priority
	maxUrgentTasks  = 4    // tasks of an urgent job
	minArrayTasks   = 10
	maxArrayTasks   = 1000
	maxBurstSeconds = 2 // bounds the tasks of an array to those that the plan starts in this time
)

// drawJob draws the next job at random. cancel reports whether its user cancels it shortly after it is accepted.
func (u *users) drawJob() (spec *model.Spec, cancel bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	arrayLimit := min(maxArrayTasks, max(minArrayTasks+1, int(maxBurstSeconds*u.plan.startRate())))
	switch draw := u.random.Float64(); {
	case draw < urgentShare:
		return u.newSpec("urgent", model.Array, model.PriorityHigh, 1+u.random.IntN(maxUrgentTasks)), false
	case draw < urgentShare+gangShare:
		// A power of two, bounded by half of all GPUs and in proportion to the start rate.
		size := min(
			1<<(1+u.random.IntN(8)),
			maxGangTasks,
			u.plan.Workers/machinesPerGPUMachine*gpusPerMachine/2,
			4*arrayLimit,
		)
		spec := u.newSpec("gang", model.Gang, model.PriorityNormal, max(size, 2))
		spec.Demand = model.Resources{CPU: 1, GPU: 1, MemGB: 8}
		spec.CheckpointInterval, spec.CheckpointTime = 2*time.Second, time.Second
		return spec, false
	}
	// The number of tasks is log-uniformly distributed between minArrayTasks and arrayLimit.
	size := minArrayTasks * math.Pow(float64(arrayLimit)/minArrayTasks, u.random.Float64())
	return u.newSpec("array", model.Array, model.PriorityLow, int(size)), u.random.Float64() < cancelledShare
}

// imageCount is the number of container images that the jobs share.
const imageCount = 50

// newSpec returns a job with the next ID. IDs are unique over all regions; teams and images are assigned in turn.
func (u *users) newSpec(class string, shape model.Shape, priority model.Priority, tasks int) *model.Spec {
	number := int(u.lastJobNumber.Add(1))
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
		Image:            fmt.Sprintf("image-%d", number%imageCount),
		ImageGB:          0.2,
		EstimatedRunTime: meanTaskTime,
		AllowSpot:        true,
	}
	if shape == model.Service {
		spec.EstimatedRunTime = 0
	}
	return spec
}

// submit starts a user who submits a job and follows it until the job has ended or the context is done. It does not
// block.
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
	u.activeJobs.Go(func() {
		j := &userJob{users: u, region: region, spec: spec, random: random}
		if j.submit(ctx) {
			j.follow(ctx, cancel)
		}
	})
}

// userJob is a job and the user who submits and follows it.
type userJob struct {
	users  *users
	region *region
	spec   *model.Spec
	random *rand.Rand // of this user only, since users run concurrently
}

// submit submits the job, and repeats that every second until the job is accepted or rejected, submitTimeout has
// passed or the context is done. It reports whether the job was accepted.
func (j *userJob) submit(ctx context.Context) bool {
	body := wire.AppendJob(nil, j.spec)
	startedAt := time.Now()
	for ctx.Err() == nil {
		status, answer, controllerName := j.request("submit", fasthttp.MethodPost, "/api/jobs", body, requestTimeout)
		switch status {
		case fasthttp.StatusCreated, fasthttp.StatusOK:
			took := max(time.Since(startedAt).Milliseconds(), 1)
			j.users.updateCounts(func(c *userCounts) {
				c.Accepted++
				_ = j.users.acceptTimes.RecordValue(took) // never out of range
			})
			j.recordAnswer(controllerName, wire.DecodeJobState(answer))
			return true
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			j.users.updateCounts(func(c *userCounts) { c.Refused++ })
			return false
		}
		if time.Since(startedAt) > submitTimeout {
			j.users.updateCounts(func(c *userCounts) { c.Abandoned++ })
			return false
		}
		j.users.updateCounts(func(c *userCounts) { c.Retries++ })
		sleep(ctx, time.Second)
	}
	return false
}

// follow polls the job until it has ended or the context is done. If cancel is set, it first cancels the job after 1
// to 3 s. Polls are spread around pollInterval, so that users do not poll in step.
func (j *userJob) follow(ctx context.Context, cancel bool) {
	if cancel {
		sleep(ctx, time.Duration((1+2*j.random.Float64())*float64(time.Second)))
		j.cancel(ctx)
	}
	path := "/api/jobs/" + j.spec.ID
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.8+0.4*j.random.Float64())*float64(pollInterval)))
		status, answer, controllerName := j.request("poll", fasthttp.MethodGet, path, nil, pollTimeout)
		state := wire.StateUnknown
		switch status {
		case fasthttp.StatusOK:
			state = wire.DecodeJobState(answer)
		case fasthttp.StatusNotFound:
		default:
			j.users.updateCounts(func(c *userCounts) { c.Retries++ })
			continue
		}
		j.recordAnswer(controllerName, state)
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

// cancel requests the cancellation of the job, and repeats that every second until a controller confirms it or the
// context is done.
func (j *userJob) cancel(ctx context.Context) {
	j.users.workers.mu.Lock()
	j.users.workers.fleet.RecordCancelRequest(j.spec.ID)
	j.users.workers.mu.Unlock()
	path := "/api/jobs/" + j.spec.ID + "/withdraw"
	for ctx.Err() == nil {
		status, answer, controllerName := j.request("withdraw", fasthttp.MethodPost, path, nil, requestTimeout)
		if status == fasthttp.StatusOK {
			j.recordAnswer(controllerName, wire.DecodeJobState(answer))
			return
		}
		sleep(ctx, time.Second)
	}
}

// recordAnswer checks the state that a controller has answered against all earlier answers about the job. An answer
// that the job is cancelled also starts the time within which its tasks have to end.
func (j *userJob) recordAnswer(controllerName string, state wire.JobState) {
	w := j.users.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.RecordAnswer(controllerName, j.spec.ID, state)
	if state == wire.StateCancelled {
		w.fleet.SetNow(time.Now())
		w.fleet.RecordCancelled(j.spec.ID)
	}
}

// request sends a request to a random controller of the region and returns the status and body of the response, and
// the controller's name. The status is 0 if there was no response within the timeout. kind names the request in the
// traffic counters.
func (j *userJob) request(
	kind, method, path string,
	body []byte,
	timeout time.Duration,
) (status int, answer []byte, controllerName string) {
	index := j.random.IntN(len(j.region.clients))
	controllerName = j.region.controllers[index].name
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + j.region.controllers[index].httpAddr + path)
	if body != nil {
		req.Header.SetContentType("application/msgpack")
		req.SetBodyRaw(body)
	}
	if err := j.region.clients[index].http.DoTimeout(req, res, timeout); err != nil {
		return 0, nil, controllerName
	}
	answer = append([]byte(nil), res.Body()...)
	j.users.traffic.count("user "+kind, len(answer), len(body))
	return res.StatusCode(), answer, controllerName
}

// updateCounts calls f with the counters, under u.mu.
func (u *users) updateCounts(f func(c *userCounts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(&u.counts)
}

// sleep pauses for the given time or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
