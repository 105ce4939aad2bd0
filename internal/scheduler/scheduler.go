// Package scheduler decides which pending tasks start on which machine. It covers the order of requests, feasibility
// and ranking of nodes, gangs, quotas, guarantees and preemption. The package performs no input or output and reads
// no clock.
//
// A leader builds a Snapshot of its nodes and pending requests, calls MakePlan and carries out the Plan: it launches
// the placements, stops the preempted attempts and requests machines for the shortages. If nothing is pending, it
// calls Consolidate and Drain to find a service replica that should move to another machine.
//
// The order of requests and the ranking of nodes follow the algorithms POFARE and POFAME of the paper that
// docs/design.md interprets.
//
// The files are split by decision: order.go orders requests, feasible.go and rules.go filter nodes, rank.go scores
// them, place.go and pass.go place tasks, preempt.go and quota.go preempt attempts, starvation.go reserves capacity
// for starving jobs, consolidate.go and drain.go move replicas, and explain.go determines why a request waits.
package scheduler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Settings are the operators' settings of the scheduler.
type Settings struct {
	// IdlePowerFraction is the power draw of an idle machine as a fraction of the power draw of a fully used one.
	IdlePowerFraction float64

	// PromoteAfter is how long a request without a deadline waits before it is promoted. PromoteDeadlineAfter is the same
	// for a request with a deadline, which usually can no longer be met by then.
	PromoteAfter         time.Duration
	PromoteDeadlineAfter time.Duration

	// StarvationBound is the time within which every job should start, if quotas and machines allow it. Zero disables
	// the bound.
	StarvationBound time.Duration

	// MaxStarts bounds the number of tasks that one pass starts. Gangs and services start whole and may exceed it.
	// Zero means no limit.
	MaxStarts int

	// MaxPreemptions bounds the number of attempts that one pass preempts.
	MaxPreemptions int

	// PreemptForGuarantees allows preemption for work within a team's guarantee, in addition to preemption for
	// production.
	PreemptForGuarantees bool

	// MinRuntime is the run time below which an attempt counts as recently started. Such attempts cost more to
	// preempt and are not moved.
	MinRuntime time.Duration

	// TightSlack is the slack below which a request over quota preempts lower-priority work of its own team.
	TightSlack time.Duration

	// ImageFirst places production on machines that hold its image before considering other machines.
	ImageFirst bool

	// FetchByDeadline affects production that does not fit on machines holding its image. It places such a request on
	// machines that can fetch the image before its deadline before considering other machines.
	FetchByDeadline bool

	// ExpensiveFactor times the lowest price of a CPU is the price above which a machine is too expensive for services.
	ExpensiveFactor float64

	// Drain enables emptying of machines whose service replicas all fit on machines with a higher utilization.
	Drain bool
}

// Node is a machine in a Snapshot.
type Node struct {
	Machine        *model.Machine
	Free           model.Resources
	Releasing      model.Resources // resources held by attempts that are being stopped
	ReservedForGPU bool            // tasks that need no GPU are not placed on it
	MachineClass   int             // index of its machine class; used only for requests with constraints
	Candidates     []PreemptionCandidate

	claimed     model.Resources    // part of Releasing that is claimed by requests served earlier in the pass
	kindIndex   int                // index of its machine kind in Snapshot.kindNodes
	loaded      bool               // Candidates and Releasing are set
	preemptible preemptibleSummary // summary of Candidates
}

// PreemptionCandidate is an attempt on a node that may be preempted.
type PreemptionCandidate struct {
	Attempt         *model.Attempt
	Priority        model.Priority
	BeyondGuarantee bool          // the job runs beyond its team's guarantee
	LostWork        time.Duration // work that is lost if the attempt exits immediately
	CheckpointTime  time.Duration // time to save a checkpoint before it exits; 0 if it saves none
	RecentlyStarted bool          // the attempt has run for less than Settings.MinRuntime
	HasDeadline     bool
	Slack           time.Duration // time to the deadline minus the estimated remaining run time
	Gang            bool
	FairShareBand   int // fair-share band of the team; lower bands are served first

	position position
}

// Request asks for a number of pending tasks of one job to be started.
type Request struct {
	Job           *model.Job
	TaskState     model.TaskState // state of the pending tasks
	Restart       bool            // the tasks are started again after a failure
	PendingTasks  int             // number of pending tasks
	MaxStarts     int             // maximum number of them that may start in this pass
	HasDeadline   bool
	Slack         time.Duration  // time to the deadline minus the estimated run time; negative if it cannot be met
	Waited        time.Duration  // time for which the request has waited
	Guaranteed    bool           // the job is within its team's guarantee
	FairShareBand int            // fair-share band of the team; lower bands are served first; ignored within guarantees
	TasksByZone   map[string]int // number of tasks of the job that may be running in each zone
	Rules         *Rules         // nil if the job has no constraints
	Starving      bool           // the job has waited for long without starting, and the request is for its first tasks

	position position
}

// Urgent reports whether the request should not wait for resources that are released soon. Attempts that are
// preempted for it get no time to save a checkpoint.
func (r *Request) Urgent() bool { return r.Job.EffectivePriority == model.PriorityProduction }

// Snapshot is the state of the cluster that a pass decides from. MakePlan modifies it: afterwards the free resources,
// the usage and the order of the requests are those that result from the plan.
type Snapshot struct {
	Nodes     []*Node
	Requests  []*Request
	Used      map[string]model.Resources // by team, resources of all attempts that may be running
	Releasing map[string]model.Resources // by team, the part of Used held by attempts that are being stopped
	Teams     map[string]*model.Team
	Zones     []string                  // names of the zones of Nodes, sorted; if nil, collected when first needed
	RulesOf   func(j *model.Job) *Rules // returns the constraints of a running job; nil if no job has any

	// LoadCandidates sets Node.Candidates and Node.Releasing. It is called at most once for each node, and only for
	// nodes on which a preemption is considered. If it is nil, there are no candidates.
	LoadCandidates func(node *Node)

	noFit        noFitCache
	nodesByImage map[string][]*Node
	kindNodes    []*Node // one node of each machine kind; nil until collected
}

// loadCandidates loads the candidates of a node and computes their positions and summary. It does nothing if they are
// already loaded.
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

// addUsage adds resources to a team's usage, which counts towards its quota.
func (s *Snapshot) addUsage(team string, amount model.Resources) {
	s.Used[team] = s.Used[team].Add(amount)
}

// Plan holds the decisions of one scheduling pass.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Shortages   []Shortage
	Truncated   bool // Settings.MaxStarts was reached and some pending tasks were not considered
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
	Immediate bool // the attempt gets no time to save a checkpoint
}

// Shortage is the part of a request that could not be placed.
type Shortage struct {
	Request   *Request
	Count     int
	OverQuota bool // the quota of the team is too small, not the capacity of the nodes
	Reason    WaitReason
}

// addPreemption adds the preemption of an attempt for a request. Production does not wait for the attempt to save a
// checkpoint.
func (p *Plan) addPreemption(candidate PreemptionCandidate, preemptor *Request) {
	p.Preemptions = append(p.Preemptions, Preemption{
		PreemptionCandidate: candidate,
		Preemptor:           preemptor,
		Immediate:           preemptor.Urgent(),
	})
}
