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
	IdleShare     float64       // power of an idle machine as a share of a busy one's
	Overtake      time.Duration // a task without deadline passes ahead after waiting this long
	OvertakeLate  time.Duration // and one that can meet no date any more, after this long
	MaxPreempt    int           // attempts that one pass may stop to make room
	StartMost     int           // tasks that one pass starts, but for gangs and services, which go whole; 0: any number
	MinRun        time.Duration // an attempt younger than this is stopped last
	Dear          float64       // a machine whose CPUs cost this many times the cheapest ones is dear: no place for services
	ImageFirst    bool          // production goes where its image is before anything else
	Tight         time.Duration // with less slack than this, lower work of the same team makes way inside the team's limit
	FetchInTime   bool          // without its image anywhere, production goes first where the fetch is in time for its date
	Vacate        bool          // empty machines whose replicas fit on busier ones
	BeginWithin   time.Duration // every job is to begin within this, as far as limits and machines allow it; 0: each waits its turn
	PreemptWithin bool          // preempt for guarantees, not only for production
}

// Running is an attempt on a node that could be stopped to make room.
type Running struct {
	Attempt *model.Attempt
	Rank    model.Priority
	Over    bool          // its job runs beyond its team's guarantee
	Loss    time.Duration // work that it loses if it exits at once
	Save    time.Duration // time to save before it exits; 0: it never saves
	Young   bool          // its start would not count for its users
	Due     bool          // its job has a date to meet
	Slack   time.Duration // time left to it, less the estimated run time that is left
	Gang    bool
	Band    int // its team's band by fair share

	at standing
}

// least is what stopping the attempt loses at the least: its work, or the time
// that its machine is busy with saving it.
func (v *Running) least() time.Duration {
	if v.Save > 0 {
		return min(v.Loss, v.Save)
	}
	return v.Loss
}

// Node is a machine as the scheduler sees it.
type Node struct {
	Machine *model.Machine
	Free    model.Resources
	Freeing model.Resources // held by attempts that were told to stop
	ForGPU  bool            // kept for GPU work: tasks without GPU stay off it
	Class   int             // its class of machines, where a want has rules
	Victims []Running
	claimed model.Resources // of Freeing, promised to wants that go first
	kind    int             // its kind's number
	looked  bool            // what runs on it is filled in
	stops   stoppable       // what its victims have in common
}

// Want is a number of tasks of one job that wait.
type Want struct {
	Job        *model.Job
	From       model.TaskState // the state that its tasks wait in
	Restart    bool            // they wait to be started again after a failure
	Count      int
	Due        bool          // the job has a date to meet
	Slack      time.Duration // time left to it, less the estimated run time; negative: it cannot be met
	Waited     time.Duration
	Guaranteed bool           // the job fits into its team's guarantee
	Zones      map[string]int // tasks that may be in each zone already
	Cap        int            // how many may be started in this pass, by what else limits them
	Rules      *Rules         // where its job may run and would like to; nil: it has no rules
	Band       int            // its team's band by fair share; it counts only beyond guarantees
	Begins     bool           // nothing of its job has begun for long, and this is its beginning

	at standing
}

// Placement starts one task of a want on a machine.
type Placement struct {
	Want *Want
	Node *Node
	model.Choice
}

// Shortage is the part of a want that fits nowhere.
type Shortage struct {
	Want    *Want
	Count   int
	Limited bool // kept back by its team's limit
	Why     Why
}

// Why says what keeps a want waiting.
type Why uint8

// What keeps wants waiting.
const (
	WhyRoom      Why = iota // no machine that fits has room
	WhyLimit                // its team's limit
	WhyGuarantee            // production and what other teams' guarantees cover went first
	WhyShare                // teams below their fair share went first
)

// served is what a pass has given out so far, as far as those that wait behind it may
// ask why.
type served struct {
	ahead [2]string // two teams whose guaranteed or production work was served
	band  int       // the lowest band that was served beyond guarantees, and one
}

// note takes down that some of a want was served.
func (s *served) note(w *Want) {
	switch team := w.Job.Spec.Team; {
	case w.tier() == tierRest:
		if s.band == 0 || w.Band+1 < s.band {
			s.band = w.Band + 1
		}
	case s.ahead[0] == "" || s.ahead[0] == team:
		s.ahead[0] = team
	default:
		s.ahead[1] = team
	}
}

// why tells what keeps a want waiting that found no room.
func (s *served) why(w *Want) Why {
	team := w.Job.Spec.Team
	switch {
	case w.tier() != tierRest:
		return WhyRoom
	case s.ahead[0] != "" && s.ahead[0] != team || s.ahead[1] != "" && s.ahead[1] != team:
		return WhyGuarantee
	case s.band > 0 && s.band-1 < w.Band:
		return WhyShare
	}
	return WhyRoom
}

// Stop ends an attempt to make room.
type Stop struct {
	Running
	For    *Want
	AtOnce bool // without saving
}

// stop ends an attempt for a want. Production does not wait for it to save.
func (plan *Plan) stop(v Running, w *Want) {
	plan.Stop = append(plan.Stop, Stop{v, w, w.Urgent()})
}

// Plan is what a pass decides.
type Plan struct {
	Place   []Placement
	Stop    []Stop
	Lacking []Shortage
	More    bool // the pass had its fill: what comes after in the order was not looked at
}

// Picture is what a pass decides from.
type Picture struct {
	Nodes   []*Node
	Wants   []*Want
	Used    map[string]model.Resources // by team, of all that may be on machines
	Leaving map[string]model.Resources // by team, the part of that which was told to stop
	Teams   map[string]*model.Team
	Zones   []string                  // that machines are in, by name; nil: found out where it is needed
	RulesOf func(j *model.Job) *Rules // of a job that runs; nil: none has any
	Look    func(nd *Node)            // fills in what runs on a node; called once for each that could make room

	short      shorts
	byImage    map[string][]*Node
	kinds      []*Node     // one node of each kind of machine; nil: not looked for yet
	candidates []candidate // room for those of one want
}

// look has a node show what runs on it.
func (p *Picture) look(nd *Node) {
	if nd.looked {
		return
	}
	nd.looked = true
	if p.Look != nil {
		p.Look(nd)
	}
	for i := range nd.Victims {
		v := &nd.Victims[i]
		v.at = v.standing()
		nd.stops.add(v)
	}
}

// tier bounds the design's order by the users' ranks and guarantees: production
// first, then what its team's guarantee covers, then the rest.
func (w *Want) tier() int {
	switch {
	case w.Job.EffectivePriority == model.PriorityProduction:
		return tierProduction
	case w.Guaranteed:
		return tierGuaranteed
	}
	return tierRest
}

// The tiers.
const (
	tierProduction = iota
	tierGuaranteed
	tierRest
)

// Urgent tells that the want is not to wait for what may become free.
func (w *Want) Urgent() bool { return w.Job.EffectivePriority == model.PriorityProduction }

// The lanes of the design's order inside a tier.
const (
	laneBegin    = iota // nothing of its job has begun for long
	laneOvertake        // waited so long that it passes ahead
	laneSlack           // can still meet a date: by rising slack
	laneAge             // has no date: by age
	laneLate            // can meet no date any more
)

// lane puts a want into the design's order: tasks that can meet a date by
// rising slack, tasks without one behind by age until they have waited long
// enough to pass ahead, tasks that can meet none last. Tasks that users expect
// to start or to finish in some time have a date too.
func (w *Want) lane(s *Settings) int {
	switch {
	case w.Begins:
		return laneBegin
	case !w.Due && w.Waited >= s.Overtake, w.Due && w.Waited >= s.OvertakeLate:
		return laneOvertake
	case !w.Due:
		return laneAge
	case w.Slack < 0:
		return laneLate
	}
	return laneSlack
}

// standing is a place in the order in which work is served.
type standing struct {
	tier, band    int
	lane          int
	restart       bool
	slack, waited time.Duration
	rank          model.Priority
}

func (w *Want) standing(s *Settings) standing {
	tier := w.tier()
	if w.Begins {
		tier = min(tier, tierGuaranteed) // in the order only: it stops nobody for it
	}
	return standing{tier, beyond(tier, w.Band), w.lane(s), w.Restart, w.Slack, w.Waited, w.Job.EffectivePriority}
}

// beyond is a band where it counts: only in what goes beyond guarantees.
func beyond(tier, band int) int {
	if tier < tierRest {
		return 0
	}
	return band
}

// standing is where the tasks of an attempt's job would wait if it were stopped
// now.
func (v *Running) standing() standing {
	at := standing{tier: 2, lane: laneSlack, slack: v.Slack, rank: v.Rank}
	switch {
	case v.Rank == model.PriorityProduction:
		at.tier = 0
	case !v.Over:
		at.tier = 1
	}
	switch {
	case !v.Due:
		at.lane = laneAge
	case v.Slack < 0:
		at.lane = laneLate
	}
	at.band = beyond(at.tier, v.Band)
	return at
}

// compare is negative if a goes first.
func (a standing) compare(b standing) int {
	if c := cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.band, b.band), cmp.Compare(a.lane, b.lane)); c != 0 {
		return c
	}
	if a.lane == laneSlack {
		if a.restart != b.restart {
			return boolFirst(a.restart)
		}
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(b.waited, a.waited))
	}
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.waited, a.waited))
}

// Order sorts wants into the order in which they are served.
func Order(s *Settings, wants []*Want) {
	for _, w := range wants {
		w.at = w.standing(s)
	}
	slices.SortStableFunc(wants, func(a, b *Want) int { return a.at.compare(b.at) })
	for from := 0; from < len(wants); {
		to := from
		for to < len(wants) && wants[to].at.tier == wants[from].at.tier && wants[to].at.band == wants[from].at.band {
			to++
		}
		overtake(wants[from:to])
		from = to
	}
}

// overtake lets those that have waited long pass ahead of what can still meet a
// date, but only from where the first of their own rank or a lower one stands.
// Guards against low work without a date that, once it has waited, keeps work of a
// higher rank from ever meeting one.
func overtake(tier []*Want) {
	for len(tier) > 0 && tier[0].at.lane == laneBegin {
		tier = tier[1:]
	}
	n := 0
	for n < len(tier) && tier[n].at.lane == laneOvertake {
		n++
	}
	if n == 0 || n == len(tier) {
		return
	}
	late, rest := slices.Clone(tier[:n]), slices.Clone(tier[n:])
	out := tier[:0]
	for _, w := range rest {
		for len(late) > 0 && (w.at.lane != laneSlack || w.at.rank <= late[0].at.rank) {
			out = append(out, late[0])
			late = late[1:]
		}
		out = append(out, w)
	}
	_ = append(out, late...)
}

func boolFirst(first bool) int {
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

// share is the busy share of a machine: the larger of its CPUs' and its GPUs'.
func share(m *model.Machine, used model.Resources) float64 {
	u := used.CPU / m.Type.Capacity.CPU
	if m.Type.Capacity.GPU > 0 {
		u = max(u, used.GPU/m.Type.Capacity.GPU)
	}
	return u
}

// Make decides one pass.
func Make(s *Settings, p *Picture) *Plan {
	plan := &Plan{}
	p.Wants = split(s, p.Wants)
	Order(s, p.Wants)
	stops, holds := s.MaxPreempt, 0
	var done served
	for _, w := range p.Wants {
		if s.StartMost > 0 && len(plan.Place) >= s.StartMost {
			plan.More = true
			break
		}
		spec := w.Job.Spec
		n := min(w.Count, w.Cap)
		team := p.Teams[spec.Team]
		if team == nil {
			continue
		}
		room := spec.Demand.FitCount(team.Quota.Remaining(p.Used[spec.Team]))
		limited := room < n
		yields := limited && (w.tier() == 0 || w.lane(s) == laneSlack && w.Slack < s.Tight)
		if yields {
			p.yield(plan, w, n, room, &stops)
		}
		if spec.Shape != model.Array && limited && w.Count == spec.Tasks {
			if yields || w.Begins {
				// It waits to start whole: what it has already is kept for it.
				p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(room))
			}
			plan.Lacking = append(plan.Lacking, Shortage{w, n, true, WhyLimit})
			continue
		}
		n = min(n, room)
		if n <= 0 {
			if w.Begins && limited {
				// So that smaller tasks of its team do not take the room bit by bit.
				p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand)
			}
			plan.Lacking = append(plan.Lacking, Shortage{w, w.Count, limited, WhyLimit})
			continue
		}
		// makeRoom stops others for tasks of it. What it will start with is spoken for under its team's limit too.
		// Guards against lower work of the team that takes that meanwhile, so that the want stops some of it in
		// the next pass, finds the machine's room taken in the one after, and so on: 130 tasks lost for two replicas.
		makeRoom := func(lack int, st stage) int {
			found := p.preempt(plan, w, lack, &stops, st)
			p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(found))
			return found
		}
		later := 0
		if s.StartMost > 0 && spec.Shape == model.Array {
			later = max(n-(s.StartMost-len(plan.Place)), 0)
			n -= later
		}
		lack := n
		if w.tier() == 0 && s.ImageFirst {
			// Users wait for production: a machine that has the image, even one
			// where something must make room at once, is worth more to them than
			// the best fit without it.
			if spec.Shape == model.Service {
				// A service stays for long: first the cheap kinds of machine.
				dear := p.dearer(spec, w.Rules, s.Dear)
				lack -= p.place(s, plan, w, lack, stage{image: true, rate: dear})
				lack -= makeRoom(lack, stage{image: true, rate: dear})
			}
			lack -= p.place(s, plan, w, lack, stage{image: true})
			lack -= makeRoom(lack, stage{image: true})
			if fetch := w.fetch(); s.FetchInTime && fetch > 0 {
				lack -= p.place(s, plan, w, lack, stage{fetch: fetch})
				lack -= makeRoom(lack, stage{fetch: fetch})
			}
		}
		lack -= p.place(s, plan, w, lack, stage{})
		if lack > 0 && (w.tier() == 0 || s.PreemptWithin && w.tier() == 1) {
			makeRoom(lack, stage{})
		}
		if lack > 0 && w.Begins && holds < mostHolds && p.hold(w, lack) {
			holds++
		}
		if lack > 0 {
			plan.Lacking = append(plan.Lacking, Shortage{w, lack + later, false, done.why(w)})
		} else if later > 0 {
			plan.More = true
			break
		}
		if lack < n || w.tier() < tierRest {
			done.note(w)
		}
	}
	return plan
}

// stage narrows down the machines that are looked at.
type stage struct {
	image bool    // only such as have the image
	rate  float64 // only such as cost no more than this for a CPU an hour; 0: any
	fetch float64 // only such as fetch at least so many GB a second; 0: any
}

func (st stage) takes(nd *Node, spec *model.Spec) bool {
	return (!st.image || nd.hasImage(spec)) && st.takesKind(nd)
}

// takesKind judges what machines of a kind have in common.
func (st stage) takesKind(nd *Node) bool {
	return (st.rate == 0 || rate(nd.Machine) <= st.rate) && nd.Machine.Type.FetchGBPerS >= st.fetch
}

// fetch is how many GB a second a machine without the image has to fetch for the want to start
// by the date that its users expect; 0: there is none, or no time is left. Guards against
// replicas that go to the fullest machine where that fetches so slowly that they are late for
// certain.
func (w *Want) fetch() float64 {
	if !w.Due || w.Slack <= 0 {
		return 0
	}
	return w.Job.Spec.ImageGB * fetchSlower / w.Slack.Seconds()
}

// fetchSlower is how much slower than its type says a machine may fetch.
const fetchSlower = 4.0 / 3

// rate is what a CPU of a machine costs an hour.
func rate(m *model.Machine) float64 {
	if m.Spot {
		return m.Type.SpotPricePerHour / m.Type.Capacity.CPU
	}
	return m.Type.PricePerHour / m.Type.Capacity.CPU
}

// zones lists the zones that machines are in: what has to be in one zone may be in any of them,
// whether the settings name it or not.
func (p *Picture) zones() []string {
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
func (p *Picture) place(s *Settings, plan *Plan, w *Want, n int, st stage) int {
	if n <= 0 {
		return 0
	}
	spec := w.Job.Spec
	zones := []string{spec.Zone}
	if spec.SingleZone && spec.Zone == "" {
		if zones = held(w.Zones); len(zones) == 0 {
			zones = p.zones()
		}
	}
	if !spec.SingleZone && spec.Shape != model.Gang {
		got := p.fill(s, w, n, spec.Zone, st, true)
		p.commit(plan, w, got)
		return len(got)
	}
	var best []Placement
	for _, z := range zones {
		got := p.fill(s, w, n, z, st, false)
		p.undo(w, got)
		if len(got) > len(best) {
			best = got
		}
	}
	if spec.Shape == model.Gang && len(best) < n {
		return 0
	}
	for _, pl := range best {
		p.take(w, pl.Node)
	}
	p.commit(plan, w, best)
	return len(best)
}

// RoomIn is how many tasks of a want fit on the machines in a zone as the pass has left them.
func (p *Picture) RoomIn(w *Want, zone string) int {
	n := 0
	for _, nd := range p.Nodes {
		if spec := w.Job.Spec; spec.Demand.Fits(nd.Free) && nd.never(w.Job, w.Rules, zone) == Fits {
			n += min(spec.Demand.FitCount(nd.Free), w.PerMachine())
		}
	}
	return n
}

func held(zones map[string]int) []string {
	var out []string
	for z, n := range zones {
		if n > 0 {
			out = append(out, z)
		}
	}
	return out
}

func (p *Picture) take(w *Want, nd *Node) {
	nd.Free = nd.Free.Sub(w.Job.Spec.Demand)
	w.Zones[nd.Machine.Zone]++
	w.Rules.put(nd.Machine, 1)
}

func (p *Picture) undo(w *Want, places []Placement) {
	for _, pl := range places {
		nd := pl.Node
		nd.Free = nd.Free.Add(w.Job.Spec.Demand)
		w.Zones[nd.Machine.Zone]--
		w.Rules.put(nd.Machine, -1)
	}
}

func (p *Picture) commit(plan *Plan, w *Want, places []Placement) {
	spec := w.Job.Spec
	plan.Place = append(plan.Place, places...)
	p.Used[spec.Team] = p.Used[spec.Team].Add(spec.Demand.Times(len(places)))
}

// kept tells whether a machine is kept for GPU work, which this job is not.
// Guards against a few small tasks that hold the dearest machines for hours, but keeps
// nothing from work that no other machine takes.
func (nd *Node) kept(j *model.Job) bool {
	return nd.ForGPU && j.Spec.Demand.GPU == 0 && !j.MayUseGPUMachines
}

// hasImage tells whether a machine is known to hold the job's image.
func (nd *Node) hasImage(spec *model.Spec) bool {
	_, ok := nd.Machine.CachedImages[spec.Image]
	return ok
}
