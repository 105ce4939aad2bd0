package faults

import (
	"cmp"
	"slices"
	"strings"
)

// maxReported is how many broken invariants a result quotes.
const maxReported = 5

// Result sums up runs. Times are in seconds; "after the faults" is after all of them have ended. The names in JSON are
// published.
type Result struct {
	Runs                int      `json:"runs"`
	Violations          int      `json:"broken_rules"`
	ForgottenJobs       int      `json:"forgotten_jobs"`       // no poll of them was answered for 75 s after the faults
	LongestUnanswered   float64  `json:"longest_unanswered_s"` // of a job, after the faults
	LongestDetection    float64  `json:"deaf_noticed_s"`       // until an inbound-blocked machine gets no more tasks
	MeanDetection       float64  `json:"deaf_noticed_mean_s"`
	Detected            int      `json:"deaf_noticed"`                // inbound-blocked machines
	Undetected          int      `json:"deaf_not_noticed"`            // of those that were blocked for over a lease
	KilledTasks         int      `json:"killed_tasks"`                // by their workers' leases
	LeastServed         float64  `json:"least_served"`                // least share that started, of a group of jobs
	LatestLargeStart    float64  `json:"largest_begin_s"`             // of a job of its class's largest quarter
	LongestCancellation float64  `json:"cancelled_gone_s"`            // until the last task of a cancelled job ended
	LongestWaitWithRoom float64  `json:"longest_waiting_with_room_s"` // of a job for which there was room, after the faults
	StaleAnswers        int      `json:"older_answers"`               // that contradict one before
	AnsweredPolls       int      `json:"questions_answered"`
	Overlaps            Overlaps `json:"by_meeting,omitempty"`
	FirstViolations     []string `json:"what,omitempty"`
}

// Overlaps counts how often two faults began at the same time or within seconds, by their names.
type Overlaps map[string]int

// Good tells whether no invariant was broken and no job forgotten.
func (r *Result) Good() bool { return r.Violations == 0 && r.ForgottenJobs == 0 }

// add adds the result of other runs.
func (r *Result) add(other *Result) {
	r.Runs += other.Runs
	r.Violations += other.Violations
	r.ForgottenJobs += other.ForgottenJobs
	r.Undetected += other.Undetected
	r.KilledTasks += other.KilledTasks
	r.StaleAnswers += other.StaleAnswers
	r.AnsweredPolls += other.AnsweredPolls
	r.LongestUnanswered = max(r.LongestUnanswered, other.LongestUnanswered)
	r.LongestDetection = max(r.LongestDetection, other.LongestDetection)
	r.LatestLargeStart = max(r.LatestLargeStart, other.LatestLargeStart)
	r.LongestCancellation = max(r.LongestCancellation, other.LongestCancellation)
	r.LongestWaitWithRoom = max(r.LongestWaitWithRoom, other.LongestWaitWithRoom)
	r.LeastServed = min(r.LeastServed, other.LeastServed)
	for pair, count := range other.Overlaps {
		if r.Overlaps == nil {
			r.Overlaps = Overlaps{}
		}
		r.Overlaps[pair] += count
	}
	if other.Detected > 0 {
		weight := float64(other.Detected) / float64(r.Detected+other.Detected)
		r.MeanDetection += (other.MeanDetection - r.MeanDetection) * weight
		r.Detected += other.Detected
	}
	room := max(0, maxReported-len(r.FirstViolations))
	r.FirstViolations = append(r.FirstViolations, other.FirstViolations[:min(len(other.FirstViolations), room)]...)
}

// summarize works out the result of a run.
func (s *simulation) summarize() {
	groups := map[string][]*job{}
	for _, j := range s.jobs {
		if !j.cancelled {
			class, team := j.spec.Class, "team "+j.spec.Team
			groups[class] = append(groups[class], j)
			groups[team] = append(groups[team], j)
		}
	}
	for _, jobs := range groups {
		s.summarizeGroup(jobs)
	}
	w, result := s.world, s.result
	result.Violations += len(w.Violations)
	result.FirstViolations = append(result.FirstViolations, w.Violations...)
	result.KilledTasks, result.LongestCancellation = w.KilledTasks, w.LongestCancellation.Seconds()
	result.LongestWaitWithRoom, result.AnsweredPolls = w.LongestWait.Seconds(), w.AnsweredPolls
	for _, violation := range w.Violations {
		if strings.HasPrefix(violation, "went_back") || strings.HasPrefix(violation, "forgotten") {
			result.StaleAnswers++
		}
	}
}

// summarizeGroup works out how many jobs of a class or a team have started, and when the largest of them did.
func (s *simulation) summarizeGroup(jobs []*job) {
	s.result.LeastServed = min(s.result.LeastServed, startedShare(jobs))
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.spec.Tasks, a.spec.Tasks) })
	largest := jobs[:max(len(jobs)/4, 1)]
	s.result.LeastServed = min(s.result.LeastServed, startedShare(largest))
	for _, j := range largest {
		startedAt := j.startedAt
		if startedAt.IsZero() {
			startedAt = s.world.Now()
		}
		s.result.LatestLargeStart = max(s.result.LatestLargeStart, startedAt.Sub(j.submittedAt).Seconds())
	}
}

// startedShare is the share of jobs that have started.
func startedShare(jobs []*job) float64 {
	started := 0
	for _, j := range jobs {
		if !j.startedAt.IsZero() {
			started++
		}
	}
	return float64(started) / float64(len(jobs))
}
