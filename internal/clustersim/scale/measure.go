package scale

import (
	"context"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// workerTrafficKinds are the keys of Result.Traffic for the messages between controllers and workers.
var workerTrafficKinds = []string{"report", "commands", "inspect"}

// roleUsage is the resource usage of the processes by role during the measurement. The leader and member peaks are
// those of the single process with the most; the stand-ins are this process, and the total is over all processes.
type roleUsage struct {
	peakTotalMB, peakLeaderMB, peakMemberMB, peakStandInMB float64
	peakLeaderFiles, peakMemberFiles                       int           // open file descriptors
	leaderCPU, memberCPU, standInCPU                       time.Duration // summed over the processes in the role
}

// baseline holds the time at which the measurement began, and the values at that time of what cannot be reset.
type baseline struct {
	takenAt       time.Time
	logSizes      map[*controller]int64 // bytes
	leaseExpiries int
}

// takeBaseline resets all counters and histograms that can be reset, and returns the present values of the others.
func (r *run) takeBaseline() *baseline {
	b := &baseline{takenAt: time.Now(), logSizes: map[*controller]int64{}}
	for _, t := range r.allTraffic() {
		t.reset()
	}
	for _, region := range r.regions {
		region.state.resetChanges()
		for _, c := range region.controllers {
			b.logSizes[c] = c.logSize()
		}
	}
	r.workers.mu.Lock()
	b.leaseExpiries = r.workers.fleet.LeaseExpiries
	r.workers.counts = workerCounts{}
	r.workers.roundTrips.Reset()
	r.workers.mu.Unlock()
	r.users.mu.Lock()
	r.users.counts = userCounts{}
	for _, h := range []*hdrhistogram.Histogram{r.users.urgentWaits, r.users.otherWaits, r.users.acceptTimes} {
		h.Reset()
	}
	r.users.mu.Unlock()
	return b
}

// allTraffic returns the traffic counters of the workers, the users, and each region's state service and cloud.
func (r *run) allTraffic() []*traffic {
	all := []*traffic{r.workers.traffic, r.users.traffic}
	for _, region := range r.regions {
		all = append(all, region.state.traffic, region.cloud.traffic)
	}
	return all
}

// monitor samples the resource usage of all processes every sampleInterval and logs the progress every
// progressInterval. It returns after the given duration or when the context is done.
func (r *run) monitor(ctx context.Context, duration time.Duration) {
	lastCPU := map[int]time.Duration{}
	r.sample(lastCPU, true)
	lastProgressAt := time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(sampleInterval, time.Until(end)))
		r.sample(lastCPU, false)
		if time.Since(lastProgressAt) > progressInterval {
			lastProgressAt = time.Now()
			r.logf("%.0f s left, %d active tasks, peak memory %.0f MB",
				time.Until(end).Seconds(), r.activeTasks(), r.usage.peakTotalMB)
		}
	}
}

// sample adds the resource usage of all processes to r.usage. lastCPU holds the CPU time of each process at the last
// sample by its process ID. The CPU time since then is attributed to the role that the process has now. The first
// sample only fills lastCPU and updates the peak of the total memory.
func (r *run) sample(lastCPU map[int]time.Duration, first bool) {
	usage := &r.usage
	totalMB := 0.0
	sampleProcess := func(pid int, cpu *time.Duration, peakMB *float64, peakFiles *int) {
		used, err := readProcessUsage(pid)
		if err != nil {
			return // the process has just ended
		}
		totalMB += used.residentMB
		if previous, known := lastCPU[pid]; known && !first {
			*cpu += used.cpu - previous
			*peakMB = max(*peakMB, used.residentMB)
			*peakFiles = max(*peakFiles, used.openFiles)
		}
		lastCPU[pid] = used.cpu
	}
	for _, region := range r.regions {
		leader := region.leader()
		for _, c := range region.controllers {
			pid, crashed := c.processStatus()
			switch {
			case crashed:
				r.countCrash(c)
			case c == leader:
				sampleProcess(pid, &usage.leaderCPU, &usage.peakLeaderMB, &usage.peakLeaderFiles)
			default:
				sampleProcess(pid, &usage.memberCPU, &usage.peakMemberMB, &usage.peakMemberFiles)
			}
		}
	}
	standInFiles := 0
	sampleProcess(os.Getpid(), &usage.standInCPU, &usage.peakStandInMB, &standInFiles)
	usage.peakTotalMB = max(usage.peakTotalMB, totalMB)
}

// countCrash counts and logs the crash of a controller. Further calls for the same controller have no effect.
func (r *run) countCrash(c *controller) {
	if c.markCrashReported() {
		r.result.CrashedControllers++
		r.logf("controller %s ended unexpectedly; last log line: %s", c.name, lastLine(c.logPath))
	}
}

// collectResult fills in the result from everything that was measured since the baseline.
func (r *run) collectResult(b *baseline) {
	seconds := time.Since(b.takenAt).Seconds()
	r.result.Seconds = seconds
	r.collectWorkerResult(b, seconds)
	r.collectUserResult(seconds)
	r.collectProcessResult(seconds)
	r.collectTrafficResult(seconds)
	r.collectLongestHold(b)
}

// collectWorkerResult fills in what the workers observed: heartbeats, lease expiries and violated invariants.
func (r *run) collectWorkerResult(b *baseline, seconds float64) {
	w, out := r.workers, r.result
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Answers = w.counts
	out.LeaseExpiries = w.fleet.LeaseExpiries - b.leaseExpiries
	out.HeartbeatP50Ms, out.HeartbeatP99Ms = percentile(w.roundTrips, 50, 1000), percentile(w.roundTrips, 99, 1000)
	out.Violations = append(out.Violations, w.fleet.Violations...)
	out.Machines, out.RunningTasks = len(w.byName), w.fleet.ActiveTasks()
	out.HeartbeatsPerSecond = float64(out.Answers.Heartbeats) / seconds
	if all := out.Answers.Heartbeats + out.Answers.Failed + out.Answers.Refused + out.Answers.Redirects; all > 0 {
		out.LateHeartbeatShare = float64(out.Answers.Late) / float64(all)
	}
}

// collectUserResult fills in what the users observed: latencies and the rates of jobs and task starts.
func (r *run) collectUserResult(seconds float64) {
	u, out := r.users, r.result
	u.mu.Lock()
	defer u.mu.Unlock()
	milliseconds := func(h *hdrhistogram.Histogram, percent float64) int64 { return int64(percentile(h, percent, 1)) }
	out.Users = u.counts
	out.UrgentP50Ms, out.UrgentP99Ms = milliseconds(u.urgentWaits, 50), milliseconds(u.urgentWaits, 99)
	out.OthersP50Ms, out.OthersP99Ms = milliseconds(u.otherWaits, 50), milliseconds(u.otherWaits, 99)
	out.AcceptP99Ms = milliseconds(u.acceptTimes, 99)
	out.StartsPerSecond = float64(out.Users.Starts) / seconds
	out.RequestedStartsPerSecond = float64(out.Users.RequestedStarts) / seconds
	out.JobsPerSecond = float64(out.Users.Submitted) / seconds
}

// collectProcessResult fills in the resource usage of the processes by role.
func (r *run) collectProcessResult(seconds float64) {
	usage, out := &r.usage, r.result
	regions := float64(len(r.regions))
	out.LeaderCores, out.StandInCores = usage.leaderCPU.Seconds()/seconds/regions, usage.standInCPU.Seconds()/seconds
	if members := regions * float64(r.plan.Controllers-1); members > 0 {
		out.MemberCores = usage.memberCPU.Seconds() / seconds / members
	}
	out.LeaderMB, out.MemberMB, out.StandInMB, out.PeakMB =
		usage.peakLeaderMB, usage.peakMemberMB, usage.peakStandInMB, usage.peakTotalMB
	out.LeaderOpenFiles, out.MemberOpenFiles = usage.peakLeaderFiles, usage.peakMemberFiles
}

// collectTrafficResult fills in the traffic by kind of message, the bandwidth of a worker, and the request and write
// rates of the region with the most at its state service.
func (r *run) collectTrafficResult(seconds float64) {
	out := r.result
	out.Traffic = sumTraffic(r.allTraffic())
	totalBytes := 0
	for _, kind := range workerTrafficKinds {
		totalBytes += out.Traffic[kind].BytesIn + out.Traffic[kind].BytesOut
	}
	out.WorkerBytesPerSecond = float64(totalBytes) / seconds / float64(max(out.Machines, 1))
	for _, region := range r.regions {
		out.StateRPS = max(out.StateRPS, float64(region.state.traffic.messageCount())/seconds)
		out.StateWritesPerSecond = max(out.StateWritesPerSecond, float64(region.state.changeCount())/seconds)
	}
}

// collectLongestHold fills in the longest time for which a controller's event loop was held, from the logs that the
// controllers have written since the baseline.
func (r *run) collectLongestHold(b *baseline) {
	out := r.result
	for _, region := range r.regions {
		for _, c := range region.controllers {
			longest, err := c.longestHold(b.logSizes[c])
			if ms := longest.duration.Seconds() * 1000; err == nil && ms > out.LongestHoldMs {
				out.LongestHoldMs, out.LongestHoldBy = ms, longest.holder
			}
		}
	}
}

// percentile returns a percentile of a histogram, divided by unit. It returns 0 if the histogram is empty.
func percentile(h *hdrhistogram.Histogram, percent, unit float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / unit
}
