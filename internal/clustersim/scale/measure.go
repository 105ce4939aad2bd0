package scale

import (
	"context"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The kinds of traffic with workers, as the result names them.
var workerTraffic = []string{"report", "commands", "inspect"}

// peaks are the most that processes were seen to use and hold while it was measured.
type peaks struct {
	total, leader, member, standIns  float64 // MB
	leaderSockets, memberSockets     int
	leaderCPU, memberCPU, standInCPU time.Duration // in all
}

// baseline is what was there at the moment at which measuring began.
type baseline struct {
	takenAt       time.Time
	logSizes      map[*controller]int64
	leaseExpiries int
}

// takeBaseline notes what cannot be reset, and sets all counts and histograms to zero.
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

// allTraffic lists the traffic counters of all stand-ins.
func (r *run) allTraffic() []*traffic {
	all := []*traffic{r.workers.traffic, r.users.traffic}
	for _, region := range r.regions {
		all = append(all, region.state.traffic, region.cloud.traffic)
	}
	return all
}

// watch lets the load run for some time and samples all processes.
func (r *run) watch(ctx context.Context, d time.Duration) {
	lastCPU := map[int]time.Duration{}
	r.sample(lastCPU, true)
	reported := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(sampleInterval, time.Until(end)))
		r.sample(lastCPU, false)
		if time.Since(reported) > progressInterval {
			reported = time.Now()
			r.logf("%.0f s left, %d tasks run, %.0f MB", time.Until(end).Seconds(), r.activeTasks(), r.peak.total)
		}
	}
}

// sample looks at all processes; the first time nothing is counted yet. The processor time of a process since the
// last sample, by its number in lastCPU, counts for the role that it has now.
func (r *run) sample(lastCPU map[int]time.Duration, first bool) {
	peak := &r.peak
	total := 0.0
	look := func(pid int, cpu *time.Duration, mb *float64, sockets *int) {
		used, err := usageOf(pid)
		if err != nil {
			return // it has just ended
		}
		total += used.mb
		if before, known := lastCPU[pid]; known && !first {
			*cpu += used.cpu - before
			*mb = max(*mb, used.mb)
			*sockets = max(*sockets, used.sockets)
		}
		lastCPU[pid] = used.cpu
	}
	for _, region := range r.regions {
		leader := region.leader()
		for _, c := range region.controllers {
			pid, crashed := c.process()
			switch {
			case crashed:
				r.countCrash(c)
			case c == leader:
				look(pid, &peak.leaderCPU, &peak.leader, &peak.leaderSockets)
			default:
				look(pid, &peak.memberCPU, &peak.member, &peak.memberSockets)
			}
		}
	}
	ownSockets := 0
	look(os.Getpid(), &peak.standInCPU, &peak.standIns, &ownSockets)
	peak.total = max(peak.total, total)
}

// countCrash counts a controller that has ended by itself, once.
func (r *run) countCrash(c *controller) {
	if c.reportCrash() {
		r.result.EndedProcesses++
		r.logf("controller %s has ended: %s", c.name, lastLine(c.logPath))
	}
}

// measure works out the result.
func (r *run) measure(b *baseline) {
	seconds := time.Since(b.takenAt).Seconds()
	r.result.Seconds = seconds
	r.measureWorkers(b, seconds)
	r.measureUsers(seconds)
	r.measureProcesses(seconds)
	r.measureTraffic(seconds)
	r.measureHolds(b)
}

// measureWorkers works out what workers have seen.
func (r *run) measureWorkers(b *baseline, seconds float64) {
	w, out := r.workers, r.result
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Answers = w.counts
	out.LeaseExpiries = w.fleet.LeaseExpiries - b.leaseExpiries
	out.HeartbeatP50, out.HeartbeatP99 = quantile(w.roundTrips, 50, 1000), quantile(w.roundTrips, 99, 1000)
	out.Violations = append(out.Violations, w.fleet.Violations...)
	out.Machines, out.Running = len(w.byName), w.fleet.ActiveTasks()
	out.Heartbeats = float64(out.Answers.Heartbeats) / seconds
	if all := out.Answers.Heartbeats + out.Answers.Failed + out.Answers.Refused + out.Answers.Redirects; all > 0 {
		out.LateHeartbeatShare = float64(out.Answers.Late) / float64(all)
	}
}

// measureUsers works out what users have seen.
func (r *run) measureUsers(seconds float64) {
	u, out := r.users, r.result
	u.mu.Lock()
	defer u.mu.Unlock()
	milliseconds := func(h *hdrhistogram.Histogram, q float64) int64 { return int64(quantile(h, q, 1)) }
	out.Users = u.counts
	out.UrgentP50, out.UrgentP99 = milliseconds(u.urgentWaits, 50), milliseconds(u.urgentWaits, 99)
	out.OthersP50, out.OthersP99 = milliseconds(u.otherWaits, 50), milliseconds(u.otherWaits, 99)
	out.AcceptP99 = milliseconds(u.acceptTimes, 99)
	out.Starts = float64(out.Users.Starts) / seconds
	out.RequestedStarts = float64(out.Users.RequestedStarts) / seconds
	out.JobsPerS = float64(out.Users.Submitted) / seconds
}

// measureProcesses works out what processes have used and held.
func (r *run) measureProcesses(seconds float64) {
	peak, out := &r.peak, r.result
	regions := float64(len(r.regions))
	out.LeaderCores, out.StandInCores = peak.leaderCPU.Seconds()/seconds/regions, peak.standInCPU.Seconds()/seconds
	if members := regions * float64(r.plan.Controllers-1); members > 0 {
		out.MemberCores = peak.memberCPU.Seconds() / seconds / members
	}
	out.LeaderMB, out.MemberMB, out.StandInMB, out.PeakMB = peak.leader, peak.member, peak.standIns, peak.total
	out.LeaderSockets, out.MemberSockets = peak.leaderSockets, peak.memberSockets
}

// measureTraffic works out the messages of workers and of the state service.
func (r *run) measureTraffic(seconds float64) {
	out := r.result
	out.Traffic = sumTraffic(r.allTraffic())
	bytes := 0
	for _, kind := range workerTraffic {
		bytes += out.Traffic[kind].BytesIn + out.Traffic[kind].BytesOut
	}
	out.WorkerBytes = float64(bytes) / seconds / float64(max(out.Machines, 1))
	for _, region := range r.regions {
		out.StateRPS = max(out.StateRPS, float64(region.state.traffic.messageCount())/seconds)
		out.StateWrites = max(out.StateWrites, float64(region.state.changeCount())/seconds)
	}
}

// measureHolds finds what held a controller's event loop longest.
func (r *run) measureHolds(b *baseline) {
	out := r.result
	for _, region := range r.regions {
		for _, c := range region.controllers {
			longest, err := c.longestHold(b.logSizes[c])
			if ms := longest.took.Seconds() * 1000; err == nil && ms > out.LongestHoldMs {
				out.LongestHoldMs, out.LongestHoldBy = ms, longest.by
			}
		}
	}
}

// quantile reads a histogram in a larger unit; 0: it holds nothing.
func quantile(h *hdrhistogram.Histogram, q, unit float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / unit
}
