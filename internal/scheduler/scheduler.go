// Package scheduler decides what is placed where: the order of waiting work, the
// choice of a machine, gangs, limits, guarantees and preemption. It is pure: a
// picture goes in, a plan comes out.
//
// Order and choice follow the paper's POFARE/POFAME as docs/design.md reads it.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Settings are the scheduler's starting values.
type Settings struct {
	IdlePowerFraction    float64       // power of an idle machine as a share of a busy one's
	PromoteAfter         time.Duration // a task without deadline passes ahead after waiting this long
	PromoteLateAfter     time.Duration // and one that can meet no date any more, after this long
	MaxPreemptions       int           // attempts that one pass may stop to make room
	MaxStarts            int           // tasks that one pass starts, but for gangs and services, which go whole; 0: any number
	MinRuntime           time.Duration // an attempt younger than this is stopped last
	ExpensiveFactor      float64       // a machine whose CPUs cost this many times the cheapest ones is dear: no place for services
	ImageFirst           bool          // production goes where its image is before anything else
	TightSlack           time.Duration // with less slack than this, lower work of the same team makes way inside the team's limit
	FetchByDeadline      bool          // without its image anywhere, production goes first where the fetch is in time for its date
	Drain                bool          // empty machines whose replicas fit on busier ones
	StarvationBound      time.Duration // every job is to begin within this, as far as limits and machines allow it; 0: each waits its turn
	PreemptForGuarantees bool          // preempt for guarantees, not only for production
}

// PreemptionCandidate is an attempt on a node that could be stopped to make room.
type PreemptionCandidate struct {
	Attempt         *model.Attempt
	Priority        model.Priority
	BeyondGuarantee bool          // its job runs beyond its team's guarantee
	LostWork        time.Duration // work that it loses if it exits at once
	CheckpointTime  time.Duration // time to save before it exits; 0: it never saves
	RecentlyStarted bool          // its start would not count for its users
	HasDeadline     bool          // its job has a date to meet
	Slack           time.Duration // time left to it, less the estimated run time that is left
	Gang            bool
	FairShareBand   int // its team's band by fair share

	position position
}

// minLoss is what stopping the attempt loses at the least: its work, or the time
// that its machine is busy with saving it.
func (v *PreemptionCandidate) minLoss() time.Duration {
	if v.CheckpointTime > 0 {
		return min(v.LostWork, v.CheckpointTime)
	}
	return v.LostWork
}

// Node is a machine as the scheduler sees it.
type Node struct {
	Machine        *model.Machine
	Free           model.Resources
	Releasing      model.Resources // held by attempts that were told to stop
	ReservedForGPU bool            // kept for GPU work: tasks without GPU stay off it
	MachineClass   int             // its class of machines, where a want has rules
	Candidates     []PreemptionCandidate
	claimed        model.Resources    // of Freeing, promised to wants that go first
	kindIndex      int                // its kind's number
	loaded         bool               // what runs on it is filled in
	preemptible    preemptibleSummary // what its victims have in common
}

// Request is a number of tasks of one job that wait.
type Request struct {
	Job           *model.Job
	TaskState     model.TaskState // the state that its tasks wait in
	Restart       bool            // they wait to be started again after a failure
	Count         int
	HasDeadline   bool          // the job has a date to meet
	Slack         time.Duration // time left to it, less the estimated run time; negative: it cannot be met
	Waited        time.Duration
	Guaranteed    bool           // the job fits into its team's guarantee
	TasksByZone   map[string]int // tasks that may be in each zone already
	MaxTasks      int            // how many may be started in this pass, by what else limits them
	Rules         *Rules         // where its job may run and would like to; nil: it has no rules
	FairShareBand int            // its team's band by fair share; it counts only beyond guarantees
	Starving      bool           // nothing of its job has begun for long, and this is its beginning

	position position
}

// Placement starts one task of a want on a machine.
type Placement struct {
	Request *Request
	Node    *Node
	model.Choice
}

// Shortage is the part of a want that fits nowhere.
type Shortage struct {
	Request   *Request
	Count     int
	OverQuota bool // kept back by its team's limit
	Reason    WaitReason
}

// WaitReason says what keeps a want waiting.
type WaitReason uint8

// What keeps wants waiting.
const (
	WaitCapacity  WaitReason = iota // no machine that fits has room
	WaitQuota                       // its team's limit
	WaitGuarantee                   // production and what other teams' guarantees cover went first
	WaitFairShare                   // teams below their fair share went first
)

// servedSummary is what a pass has given out so far, as far as those that wait behind it may
// ask why.
type servedSummary struct {
	teams      [2]string // two teams whose guaranteed or production work was served
	lowestBand int       // the lowest band that was served beyond guarantees, and one
}

// record takes down that some of a want was served.
func (s *servedSummary) record(w *Request) {
	switch team := w.Job.Spec.Team; {
	case w.qosClass() == qosBestEffort:
		if s.lowestBand == 0 || w.FairShareBand+1 < s.lowestBand {
			s.lowestBand = w.FairShareBand + 1
		}
	case s.teams[0] == "" || s.teams[0] == team:
		s.teams[0] = team
	default:
		s.teams[1] = team
	}
}

// waitReason tells what keeps a want waiting that found no room.
func (s *servedSummary) waitReason(w *Request) WaitReason {
	team := w.Job.Spec.Team
	switch {
	case w.qosClass() != qosBestEffort:
		return WaitCapacity
	case s.teams[0] != "" && s.teams[0] != team || s.teams[1] != "" && s.teams[1] != team:
		return WaitGuarantee
	case s.lowestBand > 0 && s.lowestBand-1 < w.FairShareBand:
		return WaitFairShare
	}
	return WaitCapacity
}

// Preemption ends an attempt to make room.
type Preemption struct {
	PreemptionCandidate
	Preemptor *Request
	Immediate bool // without saving
}

// preempt ends an attempt for a want. Production does not wait for it to save.
func (plan *Plan) preempt(v PreemptionCandidate, w *Request) {
	plan.Preemptions = append(plan.Preemptions, Preemption{v, w, w.Urgent()})
}

// Plan is what a pass decides.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Shortages   []Shortage
	Truncated   bool // the pass had its fill: what comes after in the order was not looked at
}

// Snapshot is what a pass decides from.
type Snapshot struct {
	Nodes          []*Node
	Requests       []*Request
	Used           map[string]model.Resources // by team, of all that may be on machines
	Releasing      map[string]model.Resources // by team, the part of that which was told to stop
	Teams          map[string]*model.Team
	Zones          []string                  // that machines are in, by name; nil: found out where it is needed
	RulesOf        func(j *model.Job) *Rules // of a job that runs; nil: none has any
	LoadCandidates func(nd *Node)            // fills in what runs on a node; called once for each that could make room

	noFit        noFitCache
	nodesByImage map[string][]*Node
	kindNodes    []*Node      // one node of each kind of machine; nil: not looked for yet
	nodeOptions  []nodeOption // room for those of one want
}

// loadCandidates has a node show what runs on it.
func (p *Snapshot) loadCandidates(nd *Node) {
	if nd.loaded {
		return
	}
	nd.loaded = true
	if p.LoadCandidates != nil {
		p.LoadCandidates(nd)
	}
	for i := range nd.Candidates {
		v := &nd.Candidates[i]
		v.position = v.computePosition()
		nd.preemptible.add(v)
	}
}

// qosClass bounds the design's order by the users' ranks and guarantees: production
// first, then what its team's guarantee covers, then the rest.
func (w *Request) qosClass() int {
	switch {
	case w.Job.EffectivePriority == model.PriorityProduction:
		return qosProduction
	case w.Guaranteed:
		return qosGuaranteed
	}
	return qosBestEffort
}

// The tiers.
const (
	qosProduction = iota
	qosGuaranteed
	qosBestEffort
)

// Urgent tells that the want is not to wait for what may become free.
func (w *Request) Urgent() bool { return w.Job.EffectivePriority == model.PriorityProduction }

// The lanes of the design's order inside a tier.
const (
	queueStarving = iota // nothing of its job has begun for long
	queuePromoted        // waited so long that it passes ahead
	queueDeadline        // can still meet a date: by rising slack
	queueAge             // has no date: by age
	queueMissed          // can meet no date any more
)

// queue puts a want into the design's order: tasks that can meet a date by
// rising slack, tasks without one behind by age until they have waited long
// enough to pass ahead, tasks that can meet none last. Tasks that users expect
// to start or to finish in some time have a date too.
func (w *Request) queue(s *Settings) int {
	switch {
	case w.Starving:
		return queueStarving
	case !w.HasDeadline && w.Waited >= s.PromoteAfter, w.HasDeadline && w.Waited >= s.PromoteLateAfter:
		return queuePromoted
	case !w.HasDeadline:
		return queueAge
	case w.Slack < 0:
		return queueMissed
	}
	return queueDeadline
}

// position is a place in the order in which work is served.
type position struct {
	qosClass, fairShareBand int
	queue                   int
	restart                 bool
	slack, waited           time.Duration
	priority                model.Priority
}

func (w *Request) computePosition(s *Settings) position {
	tier := w.qosClass()
	if w.Starving {
		tier = min(tier, qosGuaranteed) // in the order only: it stops nobody for it
	}
	return position{tier, bandBeyondGuarantee(tier, w.FairShareBand), w.queue(s), w.Restart, w.Slack, w.Waited, w.Job.EffectivePriority}
}

// bandBeyondGuarantee is a band where it counts: only in what goes beyond guarantees.
func bandBeyondGuarantee(tier, band int) int {
	if tier < qosBestEffort {
		return 0
	}
	return band
}

// computePosition is where the tasks of an attempt's job would wait if it were stopped
// now.
func (v *PreemptionCandidate) computePosition() position {
	at := position{qosClass: 2, queue: queueDeadline, slack: v.Slack, priority: v.Priority}
	switch {
	case v.Priority == model.PriorityProduction:
		at.qosClass = 0
	case !v.BeyondGuarantee:
		at.qosClass = 1
	}
	switch {
	case !v.HasDeadline:
		at.queue = queueAge
	case v.Slack < 0:
		at.queue = queueMissed
	}
	at.fairShareBand = bandBeyondGuarantee(at.qosClass, v.FairShareBand)
	return at
}

// compare is negative if a goes first.
func (a position) compare(b position) int {
	if c := cmp.Or(cmp.Compare(a.qosClass, b.qosClass), cmp.Compare(a.fairShareBand, b.fairShareBand), cmp.Compare(a.queue, b.queue)); c != 0 {
		return c
	}
	if a.queue == queueDeadline {
		if a.restart != b.restart {
			return compareTrueFirst(a.restart)
		}
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(b.waited, a.waited))
	}
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(b.waited, a.waited))
}

// OrderRequests sorts wants into the order in which they are served.
func OrderRequests(s *Settings, wants []*Request) {
	for _, w := range wants {
		w.position = w.computePosition(s)
	}
	slices.SortStableFunc(wants, func(a, b *Request) int { return a.position.compare(b.position) })
	for from := 0; from < len(wants); {
		to := from
		for to < len(wants) && wants[to].position.qosClass == wants[from].position.qosClass && wants[to].position.fairShareBand == wants[from].position.fairShareBand {
			to++
		}
		promoteWaiting(wants[from:to])
		from = to
	}
}

// promoteWaiting lets those that have waited long pass ahead of what can still meet a
// date, but only from where the first of their own rank or a lower one stands.
// Guards against low work without a date that, once it has waited, keeps work of a
// higher rank from ever meeting one.
func promoteWaiting(tier []*Request) {
	for len(tier) > 0 && tier[0].position.queue == queueStarving {
		tier = tier[1:]
	}
	n := 0
	for n < len(tier) && tier[n].position.queue == queuePromoted {
		n++
	}
	if n == 0 || n == len(tier) {
		return
	}
	late, rest := slices.Clone(tier[:n]), slices.Clone(tier[n:])
	out := tier[:0]
	for _, w := range rest {
		for len(late) > 0 && (w.position.queue != queueDeadline || w.position.priority <= late[0].position.priority) {
			out = append(out, late[0])
			late = late[1:]
		}
		out = append(out, w)
	}
	_ = append(out, late...)
}

func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Efficiency is the power efficiency of a machine with a busy share u: work per
// power, where an idle machine draws idle of a busy one's power.
func Efficiency(u, idle float64) float64 {
	if u <= 0 {
		return 0
	}
	return u / (idle + (1-idle)*u)
}

// utilization is the busy share of a machine: the larger of its CPUs' and its GPUs'.
func utilization(m *model.Machine, used model.Resources) float64 {
	u := used.CPU / m.Type.Capacity.CPU
	if m.Type.Capacity.GPU > 0 {
		u = max(u, used.GPU/m.Type.Capacity.GPU)
	}
	return u
}

// MakePlan decides one pass.
func MakePlan(s *Settings, p *Snapshot) *Plan {
	plan := &Plan{}
	p.Requests = splitStarving(s, p.Requests)
	OrderRequests(s, p.Requests)
	stops, holds := s.MaxPreemptions, 0
	var done servedSummary
	for _, w := range p.Requests {
		if s.MaxStarts > 0 && len(plan.Placements) >= s.MaxStarts {
			plan.Truncated = true
			break
		}
		spec := w.Job.Spec
		n := min(w.Count, w.MaxTasks)
		team := p.Teams[spec.Team]
		if team == nil {
			continue
		}
		room := spec.Demand.FitCount(team.Quota.Remaining(p.Used[spec.Team]))
		limited := room < n
		yields := limited && (w.qosClass() == 0 || w.queue(s) == queueDeadline && w.Slack < s.TightSlack)
		if yields {
			p.preemptWithinTeam(plan, w, n, room, &stops)
		}
		if spec.Shape != model.Array && limited && w.Count == spec.Tasks {
			if yields || w.Starving {
				// It waits to start whole: what it has already is kept for it.
				p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(room))
			}
			plan.Shortages = append(plan.Shortages, Shortage{w, n, true, WaitQuota})
			continue
		}
		n = min(n, room)
		if n <= 0 {
			if w.Starving && limited {
				// So that smaller tasks of its team do not take the room bit by bit.
				p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand)
			}
			plan.Shortages = append(plan.Shortages, Shortage{w, w.Count, limited, WaitQuota})
			continue
		}
		// makeRoom stops others for tasks of it. What it will start with is spoken for under its team's limit too.
		// Guards against lower work of the team that takes that meanwhile, so that the want stops some of it in
		// the next pass, finds the machine's room taken in the one after, and so on: 130 tasks lost for two replicas.
		makeRoom := func(lack int, st nodeFilter) int {
			found := p.preempt(plan, w, lack, &stops, st)
			p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(found))
			return found
		}
		later := 0
		if s.MaxStarts > 0 && spec.Shape == model.Array {
			later = max(n-(s.MaxStarts-len(plan.Placements)), 0)
			n -= later
		}
		lack := n
		if w.qosClass() == 0 && s.ImageFirst {
			// Users wait for production: a machine that has the image, even one
			// where something must make room at once, is worth more to them than
			// the best fit without it.
			if spec.Shape == model.Service {
				// A service stays for long: first the cheap kinds of machine.
				dear := p.expensivePrice(spec, w.Rules, s.ExpensiveFactor)
				lack -= p.place(s, plan, w, lack, nodeFilter{requireImage: true, maxPrice: dear})
				lack -= makeRoom(lack, nodeFilter{requireImage: true, maxPrice: dear})
			}
			lack -= p.place(s, plan, w, lack, nodeFilter{requireImage: true})
			lack -= makeRoom(lack, nodeFilter{requireImage: true})
			if fetch := w.minFetchRate(); s.FetchByDeadline && fetch > 0 {
				lack -= p.place(s, plan, w, lack, nodeFilter{minFetchRate: fetch})
				lack -= makeRoom(lack, nodeFilter{minFetchRate: fetch})
			}
		}
		lack -= p.place(s, plan, w, lack, nodeFilter{})
		if lack > 0 && (w.qosClass() == 0 || s.PreemptForGuarantees && w.qosClass() == 1) {
			makeRoom(lack, nodeFilter{})
		}
		if lack > 0 && w.Starving && holds < maxReservations && p.reserveNodes(w, lack) {
			holds++
		}
		if lack > 0 {
			plan.Shortages = append(plan.Shortages, Shortage{w, lack + later, false, done.waitReason(w)})
		} else if later > 0 {
			plan.Truncated = true
			break
		}
		if lack < n || w.qosClass() < qosBestEffort {
			done.record(w)
		}
	}
	return plan
}

// nodeFilter narrows down the machines that are looked at.
type nodeFilter struct {
	requireImage bool    // only such as have the image
	maxPrice     float64 // only such as cost no more than this for a CPU an hour; 0: any
	minFetchRate float64 // only such as fetch at least so many GB a second; 0: any
}

func (st nodeFilter) accepts(nd *Node, spec *model.Spec) bool {
	return (!st.requireImage || nd.hasImage(spec)) && st.acceptsKind(nd)
}

// acceptsKind judges what machines of a kind have in common.
func (st nodeFilter) acceptsKind(nd *Node) bool {
	return (st.maxPrice == 0 || pricePerCPU(nd.Machine) <= st.maxPrice) && nd.Machine.Type.FetchGBPerS >= st.minFetchRate
}

// minFetchRate is how many GB a second a machine without the image has to fetch for the want to start
// by the date that its users expect; 0: there is none, or no time is left. Guards against
// replicas that go to the fullest machine where that fetches so slowly that they are late for
// certain.
func (w *Request) minFetchRate() float64 {
	if !w.HasDeadline || w.Slack <= 0 {
		return 0
	}
	return w.Job.Spec.ImageGB * fetchSafetyFactor / w.Slack.Seconds()
}

// fetchSafetyFactor is how much slower than its type says a machine may fetch.
const fetchSafetyFactor = 4.0 / 3

// pricePerCPU is what a CPU of a machine costs an hour.
func pricePerCPU(m *model.Machine) float64 {
	if m.Spot {
		return m.Type.SpotPricePerHour / m.Type.Capacity.CPU
	}
	return m.Type.PricePerHour / m.Type.Capacity.CPU
}

// zoneNames lists the zones that machines are in: what has to be in one zone may be in any of them,
// whether the settings name it or not.
func (p *Snapshot) zoneNames() []string {
	if p.Zones == nil {
		for _, nd := range p.Nodes {
			if i, ok := slices.BinarySearch(p.Zones, nd.Machine.Zone); !ok {
				p.Zones = slices.Insert(p.Zones, i, nd.Machine.Zone)
			}
		}
	}
	return p.Zones
}

// place puts up to n tasks of a want on machines and tells how many.
func (p *Snapshot) place(s *Settings, plan *Plan, w *Request, n int, st nodeFilter) int {
	if n <= 0 {
		return 0
	}
	spec := w.Job.Spec
	zones := []string{spec.Zone}
	if spec.SingleZone && spec.Zone == "" {
		if zones = occupiedZones(w.TasksByZone); len(zones) == 0 {
			zones = p.zoneNames()
		}
	}
	if !spec.SingleZone && spec.Shape != model.Gang {
		got := p.pickNodes(s, w, n, spec.Zone, st, true)
		p.commit(plan, w, got)
		return len(got)
	}
	var best []Placement
	for _, z := range zones {
		got := p.pickNodes(s, w, n, z, st, false)
		p.unassign(w, got)
		if len(got) > len(best) {
			best = got
		}
	}
	if spec.Shape == model.Gang && len(best) < n {
		return 0
	}
	for _, pl := range best {
		p.assign(w, pl.Node)
	}
	p.commit(plan, w, best)
	return len(best)
}

// CapacityInZone is how many tasks of a want fit on the machines in a zone as the pass has left them.
func (p *Snapshot) CapacityInZone(w *Request, zone string) int {
	n := 0
	for _, nd := range p.Nodes {
		if spec := w.Job.Spec; spec.Demand.Fits(nd.Free) && nd.checkStatic(w.Job, w.Rules, zone) == Feasible {
			n += min(spec.Demand.FitCount(nd.Free), w.MaxPerMachine())
		}
	}
	return n
}

func occupiedZones(zones map[string]int) []string {
	var out []string
	for z, n := range zones {
		if n > 0 {
			out = append(out, z)
		}
	}
	return out
}

func (p *Snapshot) assign(w *Request, nd *Node) {
	nd.Free = nd.Free.Sub(w.Job.Spec.Demand)
	w.TasksByZone[nd.Machine.Zone]++
	w.Rules.addTasks(nd.Machine, 1)
}

func (p *Snapshot) unassign(w *Request, places []Placement) {
	for _, pl := range places {
		nd := pl.Node
		nd.Free = nd.Free.Add(w.Job.Spec.Demand)
		w.TasksByZone[nd.Machine.Zone]--
		w.Rules.addTasks(nd.Machine, -1)
	}
}

func (p *Snapshot) commit(plan *Plan, w *Request, places []Placement) {
	spec := w.Job.Spec
	plan.Placements = append(plan.Placements, places...)
	p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(len(places)))
}

// reservedAgainst tells whether a machine is kept for GPU work, which this job is not.
// Guards against a few small tasks that hold the dearest machines for hours, but keeps
// nothing from work that no other machine takes.
func (nd *Node) reservedAgainst(j *model.Job) bool {
	return nd.ReservedForGPU && j.Spec.Demand.GPU == 0 && !j.MayUseGPUMachines
}

// hasImage tells whether a machine is known to hold the job's image.
func (nd *Node) hasImage(spec *model.Spec) bool {
	_, ok := nd.Machine.CachedImages[spec.Image]
	return ok
}
