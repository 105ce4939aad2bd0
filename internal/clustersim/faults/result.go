package faults

import (
	"cmp"
	"slices"
	"strings"
)

// maxReportedViolations bounds the length of Result.FirstViolations in a combined result.
const maxReportedViolations = 5

// Result is the combined outcome of one or more runs. Times are in seconds. "After the faults" means after all faults
// of a run have ended. A blocked worker is a worker whose inbound messages are blocked. The JSON names are published.
type Result struct {
	Runs       int `json:"runs"`
	Violations int `json:"broken_rules"` // violated invariants

	// ForgottenJobs counts the jobs about which users got no answer for over 75 s, after the faults.
	ForgottenJobs int `json:"forgotten_jobs"`
	// LongestUnanswered is the longest time without an answer about a job, after the faults.
	LongestUnanswered float64 `json:"longest_unanswered_s"`

	// LongestDetection and MeanDetection are times from the moment at which a worker is blocked until the leader
	// suspects it.
	LongestDetection float64 `json:"deaf_noticed_s"`
	MeanDetection    float64 `json:"deaf_noticed_mean_s"`
	// DetectedWorkers counts the blocked workers that the leader suspected.
	DetectedWorkers int `json:"deaf_noticed"`
	// UndetectedWorkers counts the workers that were blocked for longer than a worker lease and never suspected.
	UndetectedWorkers int `json:"deaf_not_noticed"`

	// KilledTasks counts the tasks that ended because their worker's lease expired.
	KilledTasks int `json:"killed_tasks"`
	// MinStartedShare is the smallest fraction of jobs that started in any group of jobs. The groups are the jobs of
	// each team, the jobs of each class, and the largest quarter of each of these, without cancelled jobs.
	MinStartedShare float64 `json:"least_served"`
	// LongestLargeJobWait is the longest time from the submission to the start of a job that is among the largest
	// quarter of its team or class. For a job that never started, the time until the end of the run counts.
	LongestLargeJobWait float64 `json:"largest_begin_s"`
	// LongestCancellation is the longest time from a confirmed cancellation to the end of the job's last task.
	LongestCancellation float64 `json:"cancelled_gone_s"`
	// LongestWaitWithRoom is the longest wait of a job for which there was room, after the faults.
	LongestWaitWithRoom float64 `json:"longest_waiting_with_room_s"`

	// StaleAnswers counts the answers to users that contradict an earlier answer.
	StaleAnswers    int      `json:"older_answers"`
	AnsweredPolls   int      `json:"questions_answered"`
	Overlaps        Overlaps `json:"by_meeting,omitempty"` // only set by RunOverlapping
	FirstViolations []string `json:"what,omitempty"`       // descriptions of the first violated invariants
}

// Overlaps counts how often two faults began within seconds of each other. A key holds the names of both faults in
// order, joined by " + ".
type Overlaps map[string]int

// Good reports whether no invariant was violated and no job was forgotten.
func (r *Result) Good() bool { return r.Violations == 0 && r.ForgottenJobs == 0 }

// add merges the result of other runs into r. FirstViolations keeps at most maxReportedViolations entries.
func (r *Result) add(other *Result) {
	r.Runs += other.Runs
	r.Violations += other.Violations
	r.ForgottenJobs += other.ForgottenJobs
	r.UndetectedWorkers += other.UndetectedWorkers
	r.KilledTasks += other.KilledTasks
	r.StaleAnswers += other.StaleAnswers
	r.AnsweredPolls += other.AnsweredPolls
	r.LongestUnanswered = max(r.LongestUnanswered, other.LongestUnanswered)
	r.LongestDetection = max(r.LongestDetection, other.LongestDetection)
	r.LongestLargeJobWait = max(r.LongestLargeJobWait, other.LongestLargeJobWait)
	r.LongestCancellation = max(r.LongestCancellation, other.LongestCancellation)
	r.LongestWaitWithRoom = max(r.LongestWaitWithRoom, other.LongestWaitWithRoom)
	r.MinStartedShare = min(r.MinStartedShare, other.MinStartedShare)
	for pair, count := range other.Overlaps {
		if r.Overlaps == nil {
			r.Overlaps = Overlaps{}
		}
		r.Overlaps[pair] += count
	}
	if other.DetectedWorkers > 0 {
		weight := float64(other.DetectedWorkers) / float64(r.DetectedWorkers+other.DetectedWorkers)
		r.MeanDetection += (other.MeanDetection - r.MeanDetection) * weight
		r.DetectedWorkers += other.DetectedWorkers
	}
	remaining := max(0, maxReportedViolations-len(r.FirstViolations))
	r.FirstViolations = append(r.FirstViolations, other.FirstViolations[:min(len(other.FirstViolations), remaining)]...)
}

// summarize completes the result at the end of a run.
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
	result.LongestWaitWithRoom, result.AnsweredPolls = w.LongestWaitWithRoom.Seconds(), w.AnsweredPolls
	for _, violation := range w.Violations {
		if strings.HasPrefix(violation, "went_back") || strings.HasPrefix(violation, "forgotten") {
			result.StaleAnswers++
		}
	}
}

// summarizeGroup adds the jobs of a class or a team to the result: the fraction that has started, of all jobs and of
// the largest quarter, and how long the largest quarter has waited for its start.
func (s *simulation) summarizeGroup(jobs []*job) {
	s.result.MinStartedShare = min(s.result.MinStartedShare, startedShare(jobs))
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.spec.Tasks, a.spec.Tasks) })
	largest := jobs[:max(len(jobs)/4, 1)]
	s.result.MinStartedShare = min(s.result.MinStartedShare, startedShare(largest))
	for _, j := range largest {
		startedAt := j.startedAt
		if startedAt.IsZero() {
			startedAt = s.world.Now()
		}
		s.result.LongestLargeJobWait = max(s.result.LongestLargeJobWait, startedAt.Sub(j.submittedAt).Seconds())
	}
}

// startedShare returns the fraction of jobs that have started.
func startedShare(jobs []*job) float64 {
	started := 0
	for _, j := range jobs {
		if !j.startedAt.IsZero() {
			started++
		}
	}
	return float64(started) / float64(len(jobs))
}
