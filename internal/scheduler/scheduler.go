// Package scheduler decides which pending tasks start on which machine: the order of requests, feasibility and ranking
// of nodes, gangs, quotas, guarantees and preemption. It is pure: it performs no input or output and reads no clock.
//
// A leader builds a Snapshot of its nodes and pending requests, calls MakePlan, and carries the Plan out: it launches
// the placements, stops the preempted attempts and requests machines for the shortages. Where nothing is pending it
// calls Consolidate and Drain to find a service replica that is worth moving.
//
// The order of requests and the ranking of nodes follow the paper's POFARE and POFAME as docs/design.md reads them.
//
// The files are split by decision: order.go ranks requests, feasible.go and rules.go filter nodes, rank.go scores
// them, place.go and pass.go place tasks, preempt.go and quota.go preempt, starvation.go reserves, consolidate.go and
// drain.go move replicas, and explain.go says why something waits.
package scheduler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Settings are the operators' settings of the scheduler.
type Settings struct {
	// IdlePowerFraction is the power draw of an idle machine as a fraction of a busy one's.
	IdlePowerFraction float64

	// PromoteAfter is how long a request without a deadline waits before it is promoted, and PromoteLateAfter how long
	// one does that can no longer meet its deadline.
	PromoteAfter     time.Duration
	PromoteLateAfter time.Duration

	// StarvationBound is the time within which every job is to start, as far as quotas and machines allow it.
	// 0: there is no bound.
	StarvationBound time.Duration

	// MaxStarts bounds the tasks that one pass starts, except for gangs and services, which start whole. 0: any number.
	MaxStarts int

	// MaxPreemptions bounds the attempts that one pass preempts.
	MaxPreemptions int

	// PreemptForGuarantees allows preemption for work within a team's guarantee, not only for production.
	PreemptForGuarantees bool

	// MinRuntime is the run time below which an attempt counts as recently started: it is preempted last and not moved.
	MinRuntime time.Duration

	// TightSlack is the slack below which a request preempts lower-priority work of its own team within the quota.
	TightSlack time.Duration

	// ImageFirst places production on machines that hold its image before any others.
	ImageFirst bool

	// FetchByDeadline places production whose image no machine holds first where the fetch ends before its deadline.
	FetchByDeadline bool

	// ExpensiveFactor is how many times the cheapest price of a CPU makes a machine too expensive for services.
	ExpensiveFactor float64

	// Drain empties machines whose service replicas all fit on busier ones.
	Drain bool
}

// Node is a machine as the scheduler sees it.
type Node struct {
	Machine        *model.Machine
	Free           model.Resources
	Releasing      model.Resources // held by attempts that are being stopped
	ReservedForGPU bool            // tasks that need no GPU stay off it
	MachineClass   int             // index of its machine class, where a request has rules
	Candidates     []PreemptionCandidate

	claimed     model.Resources    // of Releasing, claimed by requests that are served first
	kindIndex   int                // index of its machine kind in Snapshot.kindNodes
	loaded      bool               // Candidates and Releasing are filled in
	preemptible preemptibleSummary // of Candidates
}

// PreemptionCandidate is an attempt on a node that could be preempted.
type PreemptionCandidate struct {
	Attempt         *model.Attempt
	Priority        model.Priority
	BeyondGuarantee bool          // its job runs beyond its team's guarantee
	LostWork        time.Duration // work that is lost if it exits immediately
	CheckpointTime  time.Duration // time to save a checkpoint before it exits; 0: it never saves
	RecentlyStarted bool          // it has run for less than Settings.MinRuntime
	HasDeadline     bool
	Slack           time.Duration // time to its deadline, less the estimated remaining run time
	Gang            bool
	FairShareBand   int // its team's band by fair share

	position position
}

// Request is a number of pending tasks of one job.
type Request struct {
	Job           *model.Job
	TaskState     model.TaskState // the state that its tasks wait in
	Restart       bool            // its tasks are started again after a failure
	Count         int             // pending tasks
	MaxTasks      int             // how many of them may start in this pass
	HasDeadline   bool
	Slack         time.Duration // time to its deadline, less the estimated run time; negative: it cannot be met
	Waited        time.Duration
	Guaranteed    bool           // the job is within its team's guarantee
	FairShareBand int            // its team's band by fair share; it counts only beyond guarantees
	TasksByZone   map[string]int // tasks of the job that may be running in each zone
	Rules         *Rules         // nil: the job has no rules
	Starving      bool           // no task of the job has started for long, and this request starts the first ones

	position position
}

// Urgent reports whether the request is not to wait for capacity that may be released soon.
func (r *Request) Urgent() bool { return r.Job.EffectivePriority == model.PriorityProduction }

// Snapshot is the state of the cluster that a pass decides from. MakePlan modifies it: free resources, usage and the
// order of the requests are as the plan leaves them.
type Snapshot struct {
	Nodes     []*Node
	Requests  []*Request
	Used      map[string]model.Resources // by team, held by all attempts that may be running
	Releasing map[string]model.Resources // by team, the part of Used whose attempts are being stopped
	Teams     map[string]*model.Team
	Zones     []string                  // names of the zones of Nodes, sorted; nil: collected when first needed
	RulesOf   func(j *model.Job) *Rules // rules of a running job; nil: no job has rules

	// LoadCandidates fills in Node.Candidates and Node.Releasing. It is called at most once a node, and only for nodes
	// where a preemption is considered. nil: there are no candidates.
	LoadCandidates func(node *Node)

	noFit        noFitCache
	nodesByImage map[string][]*Node
	kindNodes    []*Node // one node of each machine kind; nil: not collected yet
}

// loadCandidates fills in what runs on a node, once.
func (s *Snapshot) loadCandidates(node *Node) {
	if node.loaded {
		return
	}
	node.loaded = true
	if s.LoadCandidates != nil {
		s.LoadCandidates(node)
	}
	for i := range node.Candidates {
		candidate := &node.Candidates[i]
		candidate.position = candidate.computePosition()
		node.preemptible.add(candidate)
	}
}

// addUsage adds resources to a team's usage, so that they count towards its quota.
func (s *Snapshot) addUsage(team string, amount model.Resources) {
	s.Used[team] = s.Used[team].Add(amount)
}

// Plan is what a pass decides.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Shortages   []Shortage
	Truncated   bool // Settings.MaxStarts was reached: requests behind were not considered
}

// Placement starts one task of a request on a node.
type Placement struct {
	Request *Request
	Node    *Node
	model.Choice
}

// Preemption stops an attempt to free capacity.
type Preemption struct {
	PreemptionCandidate
	Preemptor *Request
	Immediate bool // without time to save a checkpoint
}

// Shortage is the part of a request that cannot be placed.
type Shortage struct {
	Request   *Request
	Count     int
	OverQuota bool // its team's quota keeps it back, not a lack of capacity
	Reason    WaitReason
}

// addPreemption stops an attempt for a request. Production does not wait for it to save a checkpoint.
func (p *Plan) addPreemption(candidate PreemptionCandidate, preemptor *Request) {
	p.Preemptions = append(p.Preemptions, Preemption{
		PreemptionCandidate: candidate,
		Preemptor:           preemptor,
		Immediate:           preemptor.Urgent(),
	})
}
