package election

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// model plays three members against a state service and a network in a time of its own:
// messages that come late or never, outages for all and for one, crashes without memory,
// clocks that part. Only one may ever be entitled to act, and none with a token below one
// that another has led with.
type model struct {
	r       *rand.Rand
	now     time.Duration // true time
	members []*member
	queue   []delivery
	variant variant

	holder   int // lease that holds the leader's key; 0: nobody
	owner    string
	token    uint64
	version  uint64
	leases   map[int]*lease
	next     int
	down     bool
	highest  uint64 // token that anybody was entitled with
	entitled int    // moments in which somebody was, on promises alone
	claims   int
}

type member struct {
	m     *Machine
	name  string
	rate  float64 // of its steady clock
	since time.Duration
	up    bool
	cutTo map[int]bool // members, and -1 for the state service, that it does not reach
}

type lease struct {
	life, since time.Duration
}

type delivery struct {
	at time.Duration
	do func()
}

// variant breaks the protocol on purpose.
type variant int

const (
	correct   variant = iota
	cutShort          // members keep a promise for a third of the time
	forgotten         // a member that restarts claims at once
	revived           // a leader takes promises after its right has lapsed
	briefly           // a member that restarts keeps only the shorter promises of an earlier life
	stale             // a member takes word from before its promise that the leader does not lead
	overtaken         // a member has a question that was overtaken shorten its promise
)

const (
	short   = 3500 * time.Millisecond
	outages = 10 * time.Second
)

var names = []string{"tiller-0", "tiller-1", "tiller-2"}

func (w *model) clock(k *member) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now-k.since) * k.rate))
}

func (w *model) start(i int) {
	k := w.members[i]
	k.up, k.since = true, w.now
	set := Settings{Member: k.name, Life: 4 * time.Second, Margin: 200 * time.Millisecond, Look: 2 * time.Second, Retry: 250 * time.Millisecond, Promise: short, Outage: outages}
	for _, n := range names {
		if n != k.name {
			set.Others = append(set.Others, n)
		}
	}
	k.m = New(w.clock(k), set, slog.New(slog.NewTextHandler(io.Discard, nil)))
	switch p := &k.m.promises; w.variant {
	case forgotten:
		p.born = time.Time{}
		p.move(bondFree, time.Time{})
	case briefly:
		p.born = w.clock(k).Add(short + short/1000 + set.Margin)
		p.move(bondBorn, p.born)
	}
}

// later delivers a message after a while: mostly soon, now and then minutes late or never.
func (w *model) later(never bool, do func()) {
	d := time.Duration(w.r.IntN(60)) * time.Millisecond
	switch w.r.IntN(40) {
	case 0:
		d = time.Duration(w.r.IntN(15000)) * time.Millisecond
	case 1:
		if never {
			return
		}
	}
	w.queue = append(w.queue, delivery{w.now + d, do})
}

// ask carries a request to the state service and its answer back.
func (w *model) ask(i int, serve func() any, back func(k *member, answer any, err error)) {
	k, life := w.members[i], w.members[i].m
	answer := func(a any, err error) {
		w.later(false, func() {
			if k.up && k.m == life {
				back(k, a, err)
			}
		})
	}
	if k.cutTo[-1] || w.down {
		answer(nil, io.EOF)
		return
	}
	w.later(false, func() {
		w.expire()
		if w.down {
			answer(nil, io.EOF)
			return
		}
		a := serve()
		if w.r.IntN(30) == 0 {
			answer(nil, io.ErrUnexpectedEOF) // carried out, and not answered
			return
		}
		answer(a, nil)
	})
}

func (w *model) expire() {
	if w.down {
		return
	}
	for id, l := range w.leases {
		if w.now-l.since > l.life {
			delete(w.leases, id)
			if w.holder == id {
				w.holder = 0
			}
		}
	}
}

// tell carries a message from one member to another.
func (w *model) tell(from, to int, do func(k *member)) {
	k, life := w.members[to], w.members[to].m
	if w.members[from].cutTo[to] || !k.up {
		return
	}
	w.later(true, func() {
		if k.up && k.m == life {
			do(k)
		}
	})
}

func (w *model) step(i int, ev Event) {
	k := w.members[i]
	for _, e := range k.m.Step(w.clock(k), ev) {
		w.perform(i, k, e)
	}
}

func (w *model) perform(i int, k *member, e Effect) {
	sent := w.clock(k)
	switch e := e.(type) {
	case Look:
		w.ask(i, func() any {
			return Record{Held: w.holder != 0, Leader: w.owner, Lease: uint64(w.holder), Token: w.token, TokenVersion: w.version}
		}, func(_ *member, a any, err error) {
			r, _ := a.(Record)
			w.step(i, Looked{r, err})
		})
	case Grant:
		w.ask(i, func() any {
			w.next++
			w.leases[w.next] = &lease{e.Life, w.now}
			return w.next
		}, func(_ *member, a any, err error) {
			id, _ := a.(int)
			w.step(i, Granted{uint64(id), sent, err})
		})
	case Claim:
		w.claims++
		w.ask(i, func() any {
			if w.holder != 0 || w.version != e.TokenVersion || w.leases[int(e.Lease)] == nil {
				return uint64(0)
			}
			w.holder, w.owner, w.token, w.version = int(e.Lease), k.name, e.Token, w.version+1
			return w.version
		}, func(_ *member, a any, err error) {
			v, _ := a.(uint64)
			w.step(i, Claimed{OK: v > 0 && err == nil, Version: v, Err: err})
		})
	case Touch:
		w.ask(i, func() any {
			l := w.leases[int(e.Lease)]
			if l != nil {
				l.since = w.now
			}
			return l != nil
		}, func(_ *member, a any, err error) {
			ok, _ := a.(bool)
			w.step(i, Touched{Lease: e.Lease, Sent: sent, Lost: err == nil && !ok, Err: err})
		})
	case Drop:
		w.ask(i, func() any {
			delete(w.leases, int(e.Lease))
			if w.holder == int(e.Lease) {
				w.holder = 0
			}
			return nil
		}, func(*member, any, error) {})
	case AskPromises:
		for o := range w.members {
			if o == i {
				continue
			}
			w.tell(i, o, func(other *member) {
				q := Question{Leader: k.name, Token: e.Token, Seq: e.Seq, For: e.For, Instead: e.Instead}
				at, p := w.clock(other), &other.m.promises
				switch w.variant {
				case cutShort:
					q.For /= 3
				case overtaken:
					p.asked = 0
				}
				long := other.m.Promise(at, q)
				if long == 0 {
					return
				}
				if w.variant == cutShort {
					long *= 3
				}
				w.tell(o, i, func(k *member) {
					back := PromiseBack{other.name, e.Token, sent, e.Seq, long}
					if w.variant == revived && k.m.state == Leading && k.m.token == e.Token {
						k.m.promises.have(&k.m.set, back)
					}
					w.step(i, back)
				})
			})
		}
	case AskUnbound:
		for o := range w.members {
			if o != i {
				w.tell(i, o, func(other *member) {
					if other.m.state != Leading && other.m.state != Claiming {
						w.tell(o, i, func(*member) {
							if w.variant == stale {
								sent = w.clock(k)
							}
							w.step(i, Unbound{other.name, sent})
						})
					}
				})
			}
		}
	case Release:
		for o := range w.members {
			if o != i {
				w.tell(i, o, func(other *member) { other.m.Released(e.Token) })
			}
		}
	}
}

// trouble makes something go wrong, or right again.
func (w *model) trouble() {
	i := w.r.IntN(len(w.members))
	k := w.members[i]
	switch w.r.IntN(9) {
	case 0:
		k.up = false
	case 1, 2:
		for j := range w.members {
			if !w.members[j].up {
				w.start(j)
			}
		}
	case 3:
		w.expire()
		w.down = true
	case 4:
		if w.down {
			w.down = false
			for _, l := range w.leases {
				l.since = w.now
			}
		}
	case 5:
		k.cutTo[-1] = true
	case 6:
		k.cutTo = map[int]bool{}
	case 7:
		k.cutTo[(i+1)%3] = true
	case 8:
		k.cutTo[-1] = false
	}
}

// play plays two minutes and says what broke.
func play(seed uint64, v variant) (w *model, err error) {
	w = &model{r: rand.New(rand.NewPCG(seed, 3)), variant: v, leases: map[int]*lease{}}
	for _, n := range names {
		w.members = append(w.members, &member{name: n, rate: 1 + (w.r.Float64()-0.5)*0.001, cutTo: map[int]bool{}})
	}
	for i := range w.members {
		w.start(i)
	}
	for w.now < 2*time.Minute {
		w.now += 20 * time.Millisecond
		if w.r.IntN(100) == 0 {
			w.trouble()
		}
		due := w.queue
		w.queue = nil
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for _, d := range due {
			if d.at <= w.now {
				d.do()
			} else {
				w.queue = append(w.queue, d)
			}
		}
		for i, k := range w.members {
			if k.up {
				w.step(i, Tick{})
			}
		}
		acting := 0
		for _, k := range w.members {
			if !k.up || !k.m.Entitled(w.clock(k)) {
				continue
			}
			acting++
			if k.m.Token() < w.highest {
				return w, fmt.Errorf("%v: %s may act with token %d, after %d", w.now, k.name, k.m.Token(), w.highest)
			}
			w.highest = k.m.Token()
			if !w.clock(k).Before(k.m.LeaseUntil()) {
				w.entitled++
			}
		}
		if acting > 1 {
			return w, fmt.Errorf("%v: %d members may act", w.now, acting)
		}
	}
	return w, nil
}

func TestOnlyOneMayActWhateverFails(t *testing.T) {
	const shards = 4
	var claims, onPromises [shards]int
	t.Run("plays", func(t *testing.T) {
		for i := range shards {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(i); seed < 2000; seed += shards {
					w, err := play(seed, correct)
					if err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					claims[i] += w.claims
					onPromises[i] += w.entitled
				}
			})
		}
	})
	for i := range shards {
		if claims[i] < 250 || onPromises[i] < 250 {
			t.Errorf("%d claims and %d moments on promises alone show little", claims[i], onPromises[i])
		}
		t.Logf("%d claims, %d moments of 20 ms on promises alone", claims[i], onPromises[i])
	}
}

func TestTheModelFindsBrokenPromises(t *testing.T) {
	for v, name := range map[variant]string{cutShort: "cut short", forgotten: "forgotten", revived: "taken after the right has lapsed",
		briefly: "kept for too short by a new life", stale: "given up on old word", overtaken: "shortened by an old question"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				if _, err := play(seed, v); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// longer is two members of which the first leads and the second has promised it for longer: both
// are without the state service since 3 s.
func longer(t *testing.T) (a, b *Machine, now time.Time, q AskPromises) {
	t.Helper()
	now = time.Unix(1000, 0)
	set := func(name string, others ...string) Settings {
		return Settings{Member: name, Life: 4 * time.Second, Margin: 200 * time.Millisecond, Look: 2 * time.Second, Retry: 250 * time.Millisecond,
			Promise: short, Outage: outages, Others: others}
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	a, b = New(now, set("a", "b"), quiet), New(now, set("b", "a"), quiet)
	a.Step(now, Unbound{"b", now})
	a.Step(now, Tick{})
	a.Step(now, Looked{})
	a.Step(now, Granted{Lease: 7, Sent: now})
	a.Step(now, Claimed{OK: true, Version: 1})
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range a.Step(now, Tick{}) {
			switch e := e.(type) {
			case AskPromises:
				q = e
				long := b.Promise(now, Question{"a", e.Token, e.Seq, e.For, e.Instead})
				a.Step(now, PromiseBack{"b", e.Token, now, e.Seq, long})
			case Touch:
				a.Step(now, Touched{Lease: 7, Sent: now, Err: io.EOF})
			}
		}
	}
	if q.For != outages || q.Instead || !a.RightUntil().After(now.Add(8*time.Second)) || a.StartsUntil().After(now.Add(short)) {
		t.Fatalf("asked for %+v, the right until %v, starts until %v", q, a.RightUntil().Sub(now), a.StartsUntil().Sub(now))
	}
	return a, b, now, q
}

// The lease is renewed: what was promised for longer is given back, and an answer to it that
// comes late must not count, since the other one is bound by the shorter promise only.
func TestALongerPromiseThatWasWaivedCountsNoMore(t *testing.T) {
	a, b, now, q := longer(t)
	renewed := now
	a.Step(now, Touched{Lease: 7, Sent: renewed})
	if until := a.RightUntil(); !until.Equal(a.LeaseUntil()) {
		t.Fatalf("after the renewal the right goes %v beyond the lease", until.Sub(a.LeaseUntil()))
	}
	now = now.Add(time.Second)
	for _, e := range a.Step(now, Tick{}) {
		if e, ok := e.(AskPromises); ok {
			if !e.Instead || e.For != short {
				t.Fatalf("asked %+v", e)
			}
			b.Promise(now, Question{"a", e.Token, e.Seq, e.For, e.Instead})
		}
	}
	if left := b.Standing(now).Bound; left > short {
		t.Errorf("the other one is still bound for %v", left)
	}
	b.Promise(now, Question{"a", q.Token, q.Seq, q.For, q.Instead}) // the old question comes late: it binds, and is not counted on
	a.Step(now, PromiseBack{"b", q.Token, renewed, q.Seq, outages})
	if until := a.RightUntil(); until.After(a.LeaseUntil()) {
		t.Errorf("an answer to a question that was waived extends the right by %v", until.Sub(a.LeaseUntil()))
	}
}

// A member that has crashed promises something to a leader of old, which then steps down and gives
// it back. What the member's earlier life promised the present leader stands.
func TestAStaleLeaderGivesBackNothingOfOthers(t *testing.T) {
	_, b, now, _ := longer(t)
	c := New(now, b.set, b.log)
	if c.Promise(now, Question{Leader: "old", Token: 0, Seq: 1, For: short}) == 0 {
		t.Fatal("promised nothing")
	}
	c.Released(0)
	if left := c.Standing(now).Bound; left < outages {
		t.Errorf("bound for %v only", left)
	}
}

// A leader crashes in the outage: those that are bound to it for long are free as soon as its
// new life says that it does not lead, and not by a word from before their promise.
func TestAPromiseEndsWhenItsLeaderSaysThatItLeadsNoMore(t *testing.T) {
	_, b, now, _ := longer(t)
	b.Step(now, Unbound{"a", now.Add(-time.Minute)})
	if b.Standing(now).Bound == 0 {
		t.Fatal("free by old word")
	}
	b.Step(now, Tick{})
	asks := false
	for _, e := range b.Step(now, Looked{}) {
		_, ok := e.(AskUnbound)
		asks = asks || ok
	}
	b.Step(now.Add(time.Second), Unbound{"a", now.Add(time.Second)})
	if !asks || b.Standing(now.Add(time.Second)).Bound != 0 {
		t.Errorf("asked: %v, bound for %v", asks, b.Standing(now.Add(time.Second)).Bound)
	}
}
