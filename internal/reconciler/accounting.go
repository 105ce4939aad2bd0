package reconciler

import (
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Ledger is what the accounting goes by. docs/ledger.md defines what counts as run
// time; docs/safety.md, "Ledger", argues why nothing is charged twice.
type Ledger struct {
	ledger.Settings
	FairShare bool                          // teams' shares order what goes beyond guarantees
	Weights   map[string]float64            // by team
	Day       func(now time.Time) time.Time // the time of day at a moment of the steady clock: it names pages
}

// accounts is a leader's accounting.
type accounts struct {
	set     *Ledger
	book    *ledger.Book
	waits   map[*model.Job]wait
	waitsAt time.Time // waiting is not looked over before this
	bands   map[string]int
	bandsAt time.Time

	reading bool      // accounts in doubt are asked for
	readAt  time.Time // none is asked for before this
	held    []Save    // ends of jobs that went with a settlement that is in doubt
	late    []Save    // settlements that the state service has rejected: tried again at
	lateAt  time.Time

	toFold  map[string]bool // teams whose pages may have become old enough
	folding bool
	foldAt  time.Time // none is looked through before this
}

// wait is why a job's tasks have been waiting since when.
type wait struct {
	cause ledger.Cause
	tasks uint64
	since time.Time
}

// openAccounts goes on from the accounts on record. The time since the last leader
// settled them is not accounted: what it saw after that nobody knows.
func (c *Core) openAccounts(now time.Time, snap *Snapshot) {
	set := c.set.Ledger
	if set == nil {
		return
	}
	c.acc = &accounts{set: set, book: ledger.NewBook(now, set.Settings, c.token, snap.Accounts), waits: map[*model.Job]wait{},
		bands: map[string]int{}, toFold: map[string]bool{}}
	var last ledger.Open
	for _, r := range snap.Accounts {
		if r.Err != nil {
			c.log.Error("a team's account cannot be read, so nothing is charged to it", "team", r.Open.Team, "err", r.Err)
			continue
		}
		if r.Open.Token >= last.Token {
			last.Token = r.Open.Token
			if r.Open.At.After(last.At) {
				last.At = r.Open.At
			}
		}
	}
	if last.Token == 0 || last.Token >= c.token {
		return // the ledger begins here, or somebody has put another one in its place
	}
	s := &ledger.Stretch{From: last.At, To: set.Day(now), Token: c.token, Without: c.token - last.Token - 1}
	c.log.Info("not accounted", "from", s.From, "to", s.To, "leaders_without_ledger", s.Without)
	c.saves = append(c.saves, Save{Kind: SaveStretch, Stretch: s})
}

// begin notes the first message that shows an attempt running: from here on it is
// charged. What the leader did not launch itself, or had running before, began unseen.
func (c *Core) begin(now time.Time, a *model.Attempt, p model.Phase, taken bool) {
	if c.acc == nil || !a.ChargedUntil.IsZero() || a.Job == nil || p != model.PhaseRunning && p != model.PhaseCheckpointing {
		return
	}
	a.ChargedFrom, a.ChargedUntil = now, now
	u := ledger.Use{Starts: 1}
	if taken {
		u = ledger.Use{TakenOver: 1}
	}
	c.acc.book.Charge(now, a.Team, a.Job.Spec.Class, u)
}

// charge charges an attempt's run time up to the moment of a message.
func (c *Core) charge(now time.Time, a *model.Attempt, upTo time.Time) {
	if c.acc == nil || a.ChargedUntil.IsZero() || !upTo.After(a.ChargedUntil) {
		return
	}
	b := c.acc.book
	ms := b.Instant(upTo) - b.Instant(a.ChargedUntil)
	a.ChargedUntil = upTo
	b.Charge(now, a.Team, a.Job.Spec.Class, ledger.RateOf(a.Demand).For(ms))
}

// wasted notes the run time of an attempt that has to be repeated, since it neither
// completed nor saved: all of it, or what came after the last checkpoint.
func (c *Core) wasted(now time.Time, a *model.Attempt) {
	if c.acc == nil || a.ChargedUntil.IsZero() || a.Job.Spec.Shape == model.Service || a.Job.State == model.JobEnded {
		return
	}
	ran := a.ChargedUntil.Sub(a.ChargedFrom)
	if every := a.Job.Spec.CheckpointInterval; every > 0 {
		ran %= every
	}
	c.acc.book.Charge(now, a.Team, a.Job.Spec.Class, ledger.Use{Lost: ledger.RateOf(a.Demand).For(uint64(ran / time.Millisecond)).CPU})
	a.ChargedFrom = a.ChargedUntil
}

// waits charges what waited since the last look to the causes of that time, and notes
// what keeps each job waiting from now on.
func (c *Core) waits(now time.Time, lacking []scheduler.Shortage) {
	if c.acc == nil || now.Before(c.acc.waitsAt) {
		return
	}
	c.acc.waitsAt = now.Add(waitsEvery)
	why := make(map[*model.Job]scheduler.Why, len(lacking))
	for _, l := range lacking {
		if _, ok := why[l.Want.Job]; !ok {
			why[l.Want.Job] = l.Why
		}
	}
	for _, j := range c.order {
		var w *wait
		if n := j.Waiting(); n > 0 && j.State == model.JobActive {
			w = &wait{cause: c.cause(now, j, why), tasks: uint64(n), since: now}
		}
		c.waited(now, j, w)
	}
}

// waitsEvery is how fine waiting is told apart: passes come up to twenty times a second.
const waitsEvery = 250 * time.Millisecond

// cause tells what keeps a job's tasks waiting.
func (c *Core) cause(now time.Time, j *model.Job, why map[*model.Job]scheduler.Why) ledger.Cause {
	reason, lacks := why[j]
	switch {
	case !mayStart(j):
		return ledger.Awaits
	case now.Before(j.RetryNotBefore):
		return ledger.Backoff
	case c.inDoubt(j):
		return ledger.Takeover
	case reason == scheduler.WhyLimit, !lacks && c.limited(j):
		return ledger.Limit // what a pass does not lack and does not place is beyond the limit
	case reason == scheduler.WhyGuarantee:
		return ledger.Guarantee
	case reason == scheduler.WhyShare:
		return ledger.Share
	}
	return ledger.Room
}

// limited tells whether a job's team has a limit that its tasks could wait under.
func (c *Core) limited(j *model.Job) bool {
	t := c.teams[j.Spec.Team]
	return t != nil && t.Quota.Limited()
}

// waited charges what a job's tasks waited, and begins to count anew; nil: none waits.
func (c *Core) waited(now time.Time, j *model.Job, next *wait) {
	if c.acc == nil {
		return
	}
	w, ok := c.acc.waits[j]
	if next != nil {
		c.acc.waits[j] = *next
	} else if ok {
		delete(c.acc.waits, j)
	}
	b := c.acc.book
	if ms := b.Instant(now) - b.Instant(w.since); ok && ms > 0 {
		var u ledger.Use
		u.Wait[w.cause] = ms * w.tasks
		b.Charge(now, j.Spec.Team, j.Spec.Class, u)
	}
}

// account queues what is due to be settled.
func (c *Core) account(now time.Time) {
	acc := c.acc
	if acc == nil {
		return
	}
	if !now.Before(acc.book.Wake()) {
		c.chargeAll(now)
		for _, team := range acc.book.Due(now) {
			c.saves = append(c.saves, Save{Kind: SaveUse, Team: team})
		}
	}
	if len(acc.late) > 0 && now.After(acc.lateAt) {
		c.saves = append(c.saves, acc.late...)
		acc.late = nil
	}
	acc.held = slices.DeleteFunc(acc.held, func(s Save) bool {
		j := c.jobs[s.Job]
		if j != nil && acc.book.HoldsUp(now, j.Spec.Team) {
			return false
		}
		if j != nil {
			c.saves = append(c.saves, s)
		}
		return true
	})
	if !acc.reading && !now.Before(acc.readAt) {
		if teams := acc.book.Doubts(); len(teams) > 0 {
			acc.reading = true
			c.emit(ReadAccounts{teams})
		}
	}
	if len(acc.toFold) > 0 && !acc.folding && !now.Before(acc.foldAt) {
		// Pages of all teams are closed at the same time. Guards against reading them
		// all at once, or when a leader has just taken over.
		acc.folding, acc.foldAt = true, now.Add(foldEvery)
		c.emit(ReadPages{slices.Min(slices.Collect(maps.Keys(acc.toFold)))})
	}
}

// foldEvery is the time between looks through teams' closed pages.
const foldEvery = 5 * time.Second

// chargeAll charges what runs up to the last message of its machine.
func (c *Core) chargeAll(now time.Time) {
	for _, m := range c.machines {
		for _, a := range m.ActiveAttempts() {
			c.charge(now, a, m.LastSeen)
		}
	}
}

// together takes a save that goes alone, and with a settlement others of its kind: each
// has a condition of its own, and where one fails all are read and sent again. A
// settlement is made here, as its transaction leaves, of all that is charged by then;
// one that has left before stays as it was.
func (c *Core) together(now time.Time, first int) (batch, rest []Save) {
	lead := c.saves[first]
	if lead.Kind == SaveUse {
		c.chargeAll(now)
	}
	room := c.set.TxnOps
	if team, ok := c.settles(&lead); ok && !c.acc.book.Busy(team) {
		// What a job has used is on record with its end, or neither is.
		c.chargeAll(now)
		if s := c.acc.book.Settle(now, c.acc.set.Day(now), team); s != nil && !s.Empty() {
			batch = append(batch, Save{Kind: SaveUse, Team: team, Use: s})
		} else if s != nil {
			c.acc.book.Drop(team)
		}
	}
	for i, s := range c.saves {
		joins := i == first || lead.Kind == SaveUse && !lead.Solo && s.Kind == SaveUse && !s.Solo && i > first && room >= useOps
		if joins && s.Kind == SaveUse && s.Use == nil {
			s.Use = c.acc.book.Settle(now, c.acc.set.Day(now), s.Team)
		}
		switch {
		case !joins:
			rest = append(rest, s)
		case s.Kind != SaveUse:
			batch = append(batch, s)
		case s.Use != nil:
			batch = append(batch, s)
			if room--; s.Use.Closed != nil {
				room--
			}
		}
	}
	return batch, rest
}

// settles tells whether a save is the end of a job that goes with a settlement of its
// team's account.
func (c *Core) settles(s *Save) (team string, ok bool) {
	if c.acc == nil || s.Kind != EndJob || s.Solo || c.set.TxnOps < endOps+useOps {
		return "", false
	}
	j := c.jobs[s.Job]
	if j == nil {
		return "", false
	}
	return j.Spec.Team, true
}

// endOps is how many changes the end of a job makes.
const endOps = 2

// heldUp tells whether a save has to wait: the end of a job whose team's last settlement
// is on its way or in doubt. It returns the save to send first; -1: the record is being
// read.
func (c *Core) heldUp(now time.Time, s *Save) (instead int, waits bool) {
	if c.acc == nil || s.Kind != EndJob || len(c.acc.late) > 0 {
		return 0, false
	}
	j := c.jobs[s.Job]
	if j == nil || !c.acc.book.HoldsUp(now, j.Spec.Team) {
		return 0, false
	}
	return slices.IndexFunc(c.saves, func(o Save) bool { return o.Kind == SaveUse && o.Use != nil && o.Team == j.Spec.Team }), true
}

// refusedEnds takes a transaction that was refused whole although it ended a job and settled
// its team's account: each may have been the reason. The end waits until the account is
// known again, and then goes by itself; what it used is in the settlement before it.
func (c *Core) refusedEnds(saves []Save) []Save {
	if c.acc == nil || len(saves) < 2 {
		return saves
	}
	return slices.DeleteFunc(slices.Clone(saves), func(s Save) bool {
		if s.Kind != EndJob {
			return false
		}
		s.Solo = true
		c.acc.held = append(c.acc.held, s)
		return true
	})
}

// useOps is how many changes a settlement makes at the most.
const useOps = 2

// settled takes the outcome of a settlement, or of a fold.
func (c *Core) settled(now time.Time, s Save, ev SaveBack) {
	acc := c.acc
	switch {
	case s.Kind == FoldUse:
		acc.folding = false
		if ev.Outcome != OK {
			delete(acc.toFold, s.Fold.Into.Team) // looked through again when a page is closed
		}
	case ev.Outcome == OK:
		acc.book.Settled(s.Use.Open.Team, ev.Version)
		c.log.Debug("ledger settled", "team", s.Use.Open.Team, "settled", s.Use.Open.Settled, "with_end", len(ev.Saves) > 1, "closed", s.Use.Closed != nil)
		if s.Use.Closed != nil {
			c.log.Info("ledger page closed", "team", s.Use.Open.Team, "page", s.Use.Closed.First, "hour", s.Use.Closed.From, "sum", s.Use.Closed.Sum)
			acc.toFold[s.Use.Open.Team] = true
		}
	default:
		acc.book.Refused(now, s.Use.Open.Team)
	}
}

// unsettled keeps a settlement that the state service rejects, and tries it again much
// later: until then the team's account is not settled, and nothing of it is lost.
func (c *Core) unsettled(now time.Time, s Save) {
	c.acc.late = append(c.acc.late, s)
	c.acc.lateAt = now.Add(c.set.BackoffMost)
}

func (c *Core) accountsIn(now time.Time, ev AccountsIn) {
	acc := c.acc
	acc.reading = false
	acc.readAt = now.Add(doubtWait)
	for team, r := range ev.Accounts {
		s, foreign := acc.book.Read(team, r)
		if foreign {
			c.log.Error("a team's account is not what any leader wrote; going on from there", "team", team, "settled", r.Open.Settled, "token", r.Open.Token)
			continue
		}
		c.log.Info("ledger settlement was in doubt", "team", team, "carried_out", s == nil, "settled", r.Open.Settled)
		if s != nil {
			c.saves = append(c.saves, Save{Kind: SaveUse, Team: team, Use: s})
		}
	}
}

// doubtWait is the time between readings of accounts in doubt.
const doubtWait = 500 * time.Millisecond

func (c *Core) pagesIn(now time.Time, ev PagesIn) {
	acc, set := c.acc, c.acc.set
	into, from, n := ledger.Fold(&set.Settings, ev.Pages, set.Day(now), c.set.TxnOps)
	if n == 0 {
		delete(acc.toFold, ev.Team)
		acc.folding = false
		return
	}
	c.log.Info("ledger pages folded", "team", ev.Team, "pages", n, "into", into.Unit.String(), "from", into.From)
	c.saves = append(c.saves, Save{Kind: FoldUse, Fold: &Fold{From: ev.Pages[from : from+n], Into: into}})
}

// OldestPages is how many closed pages are looked through for such as are old enough.
const OldestPages = 400

// band is a team's band by fair share, looked over once a second.
func (c *Core) band(team string) int {
	if c.acc == nil || !c.acc.set.FairShare {
		return 0
	}
	return c.acc.bands[team]
}

// shares looks teams' bands over.
func (c *Core) shares(now time.Time) {
	if c.acc == nil || !c.acc.set.FairShare || now.Before(c.acc.bandsAt) {
		return
	}
	c.acc.bandsAt = now.Add(time.Second)
	for _, s := range ledger.Standings(c.acc.set.Weights, func(team string) uint64 { return c.acc.book.Decayed(now, team) }) {
		if c.acc.bands[s.Team] != s.Band {
			c.log.Info("fair share", "team", s.Team, "band", s.Band, "factor", s.Factor, "part", s.Part, "weight", s.Weight)
			c.acc.bands[s.Team] = s.Band
		}
	}
}
