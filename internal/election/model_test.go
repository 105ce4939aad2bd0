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

// cluster plays three members against a state service and a network in a time of its own:
// messages that come late or never, outages for all and for one, crashes without memory,
// clocks that part. Only one may ever be entitled to act, and none with a token below one
// that another has led with.
type cluster struct {
	random     *rand.Rand
	now        time.Duration // true time
	members    []*member
	deliveries []delivery
	variant    variant

	holderLease  int // lease that holds the leader's key; 0: nobody
	leader       string
	fencingToken uint64
	tokenVersion uint64
	leases       map[int]*lease
	lastLeaseID  int
	storeDown    bool
	highestToken uint64 // token that anybody was entitled with
	validOnVotes int    // moments in which somebody was, on promises alone
	claims       int
}

type member struct {
	election    *StateMachine
	name        string
	clockRate   float64 // of its steady clock
	startedAt   time.Duration
	up          bool
	unreachable map[int]bool // members, and -1 for the state service, that it does not reach
}

type lease struct {
	duration, renewedAt time.Duration
}

type delivery struct {
	deliverAt time.Duration
	handle    func()
}

// variant breaks the protocol on purpose.
type variant int

const (
	correct          variant = iota
	votesCutShort            // members keep a promise for a third of the time
	votesForgotten           // a member that restarts claims at once
	votesAfterExpiry         // a leader takes promises after its right has lapsed
	shortRecovery            // a member that restarts keeps only the shorter promises of an earlier life
	staleNotLeading          // a member takes word from before its promise that the leader does not lead
	overtakenRequest         // a member has a question that was overtaken shorten its promise
)

const (
	voteDuration       = 3500 * time.Millisecond
	outageVoteDuration = 10 * time.Second
)

var memberNames = []string{"tiller-0", "tiller-1", "tiller-2"}

func (w *cluster) clock(k *member) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now-k.startedAt) * k.clockRate))
}

func (w *cluster) startMember(i int) {
	k := w.members[i]
	k.up, k.startedAt = true, w.now
	set := Settings{Member: k.name, LeaseDuration: 4 * time.Second, SafetyMargin: 200 * time.Millisecond, PollInterval: 2 * time.Second, RetryInterval: 250 * time.Millisecond, VoteDuration: voteDuration, OutageVoteDuration: outageVoteDuration}
	for _, n := range memberNames {
		if n != k.name {
			set.Peers = append(set.Peers, n)
		}
	}
	k.election = New(w.clock(k), set, slog.New(slog.NewTextHandler(io.Discard, nil)))
	switch p := &k.election.votes; w.variant {
	case votesForgotten:
		p.recoveryUntil = time.Time{}
		p.transition(voteNone, time.Time{})
	case shortRecovery:
		p.recoveryUntil = w.clock(k).Add(voteDuration + voteDuration/1000 + set.SafetyMargin)
		p.transition(voteRecovering, p.recoveryUntil)
	}
}

// deliver delivers a message after a while: mostly soon, now and then minutes late or never.
func (w *cluster) deliver(never bool, do func()) {
	d := time.Duration(w.random.IntN(60)) * time.Millisecond
	switch w.random.IntN(40) {
	case 0:
		d = time.Duration(w.random.IntN(15000)) * time.Millisecond
	case 1:
		if never {
			return
		}
	}
	w.deliveries = append(w.deliveries, delivery{w.now + d, do})
}

// callStore carries a request to the state service and its answer back.
func (w *cluster) callStore(i int, serve func() any, back func(k *member, answer any, err error)) {
	k, life := w.members[i], w.members[i].election
	answer := func(a any, err error) {
		w.deliver(false, func() {
			if k.up && k.election == life {
				back(k, a, err)
			}
		})
	}
	if k.unreachable[-1] || w.storeDown {
		answer(nil, io.EOF)
		return
	}
	w.deliver(false, func() {
		w.expireLeases()
		if w.storeDown {
			answer(nil, io.EOF)
			return
		}
		a := serve()
		if w.random.IntN(30) == 0 {
			answer(nil, io.ErrUnexpectedEOF) // carried out, and not answered
			return
		}
		answer(a, nil)
	})
}

func (w *cluster) expireLeases() {
	if w.storeDown {
		return
	}
	for id, l := range w.leases {
		if w.now-l.renewedAt > l.duration {
			delete(w.leases, id)
			if w.holderLease == id {
				w.holderLease = 0
			}
		}
	}
}

// send carries a message from one member to another.
func (w *cluster) send(from, to int, do func(k *member)) {
	k, life := w.members[to], w.members[to].election
	if w.members[from].unreachable[to] || !k.up {
		return
	}
	w.deliver(true, func() {
		if k.up && k.election == life {
			do(k)
		}
	})
}

func (w *cluster) step(i int, ev Event) {
	k := w.members[i]
	for _, e := range k.election.Step(w.clock(k), ev) {
		w.perform(i, k, e)
	}
}

func (w *cluster) perform(i int, k *member, e Effect) {
	sent := w.clock(k)
	switch e := e.(type) {
	case ReadRecord:
		w.callStore(i, func() any {
			return Record{Held: w.holderLease != 0, Leader: w.leader, LeaseID: uint64(w.holderLease), FencingToken: w.fencingToken, TokenVersion: w.tokenVersion}
		}, func(_ *member, a any, err error) {
			r, _ := a.(Record)
			w.step(i, RecordRead{r, err})
		})
	case GrantLease:
		w.callStore(i, func() any {
			w.lastLeaseID++
			w.leases[w.lastLeaseID] = &lease{e.Duration, w.now}
			return w.lastLeaseID
		}, func(_ *member, a any, err error) {
			id, _ := a.(int)
			w.step(i, LeaseGranted{uint64(id), sent, err})
		})
	case Claim:
		w.claims++
		w.callStore(i, func() any {
			if w.holderLease != 0 || w.tokenVersion != e.TokenVersion || w.leases[int(e.LeaseID)] == nil {
				return uint64(0)
			}
			w.holderLease, w.leader, w.fencingToken, w.tokenVersion = int(e.LeaseID), k.name, e.FencingToken, w.tokenVersion+1
			return w.tokenVersion
		}, func(_ *member, a any, err error) {
			v, _ := a.(uint64)
			w.step(i, ClaimCompleted{OK: v > 0 && err == nil, TokenVersion: v, Err: err})
		})
	case RenewLease:
		w.callStore(i, func() any {
			l := w.leases[int(e.LeaseID)]
			if l != nil {
				l.renewedAt = w.now
			}
			return l != nil
		}, func(_ *member, a any, err error) {
			ok, _ := a.(bool)
			w.step(i, LeaseRenewed{LeaseID: e.LeaseID, Sent: sent, Expired: err == nil && !ok, Err: err})
		})
	case RevokeLease:
		w.callStore(i, func() any {
			delete(w.leases, int(e.LeaseID))
			if w.holderLease == int(e.LeaseID) {
				w.holderLease = 0
			}
			return nil
		}, func(*member, any, error) {})
	case RequestVotes:
		for o := range w.members {
			if o == i {
				continue
			}
			w.send(i, o, func(other *member) {
				q := VoteRequest{Leader: k.name, FencingToken: e.FencingToken, Seq: e.Seq, Duration: e.Duration, Supersedes: e.Supersedes}
				at, p := w.clock(other), &other.election.votes
				switch w.variant {
				case votesCutShort:
					q.Duration /= 3
				case overtakenRequest:
					p.castSeq = 0
				}
				long := other.election.HandleVoteRequest(at, q)
				if long == 0 {
					return
				}
				if w.variant == votesCutShort {
					long *= 3
				}
				w.send(o, i, func(k *member) {
					back := VoteReceived{other.name, e.FencingToken, sent, e.Seq, long}
					if w.variant == votesAfterExpiry && k.election.state == Leading && k.election.fencingToken == e.FencingToken {
						k.election.votes.record(&k.election.settings, back)
					}
					w.step(i, back)
				})
			})
		}
	case QueryLeadership:
		for o := range w.members {
			if o != i {
				w.send(i, o, func(other *member) {
					if other.election.state != Leading && other.election.state != Claiming {
						w.send(o, i, func(*member) {
							if w.variant == staleNotLeading {
								sent = w.clock(k)
							}
							w.step(i, NotLeadingReceived{other.name, sent})
						})
					}
				})
			}
		}
	case ReleaseVotes:
		for o := range w.members {
			if o != i {
				w.send(i, o, func(other *member) { other.election.HandleVoteRelease(e.FencingToken) })
			}
		}
	}
}

// injectFault makes something go wrong, or right again.
func (w *cluster) injectFault() {
	i := w.random.IntN(len(w.members))
	k := w.members[i]
	switch w.random.IntN(9) {
	case 0:
		k.up = false
	case 1, 2:
		for j := range w.members {
			if !w.members[j].up {
				w.startMember(j)
			}
		}
	case 3:
		w.expireLeases()
		w.storeDown = true
	case 4:
		if w.storeDown {
			w.storeDown = false
			for _, l := range w.leases {
				l.renewedAt = w.now
			}
		}
	case 5:
		k.unreachable[-1] = true
	case 6:
		k.unreachable = map[int]bool{}
	case 7:
		k.unreachable[(i+1)%3] = true
	case 8:
		k.unreachable[-1] = false
	}
}

// simulate plays two minutes and says what broke.
func simulate(seed uint64, v variant) (w *cluster, err error) {
	w = &cluster{random: rand.New(rand.NewPCG(seed, 3)), variant: v, leases: map[int]*lease{}}
	for _, n := range memberNames {
		w.members = append(w.members, &member{name: n, clockRate: 1 + (w.random.Float64()-0.5)*0.001, unreachable: map[int]bool{}})
	}
	for i := range w.members {
		w.startMember(i)
	}
	for w.now < 2*time.Minute {
		w.now += 20 * time.Millisecond
		if w.random.IntN(100) == 0 {
			w.injectFault()
		}
		due := w.deliveries
		w.deliveries = nil
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
		for _, d := range due {
			if d.deliverAt <= w.now {
				d.handle()
			} else {
				w.deliveries = append(w.deliveries, d)
			}
		}
		for i, k := range w.members {
			if k.up {
				w.step(i, Tick{})
			}
		}
		acting := 0
		for _, k := range w.members {
			if !k.up || !k.election.LeadershipValid(w.clock(k)) {
				continue
			}
			acting++
			if k.election.FencingToken() < w.highestToken {
				return w, fmt.Errorf("%v: %s may act with token %d, after %d", w.now, k.name, k.election.FencingToken(), w.highestToken)
			}
			w.highestToken = k.election.FencingToken()
			if !w.clock(k).Before(k.election.LeaseValidUntil()) {
				w.validOnVotes++
			}
		}
		if acting > 1 {
			return w, fmt.Errorf("%v: %d members may act", w.now, acting)
		}
	}
	return w, nil
}

func TestElectionUnderFaultsHasOneValidLeader(t *testing.T) {
	const shards = 4
	var claims, onPromises [shards]int
	t.Run("plays", func(t *testing.T) {
		for i := range shards {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(i); seed < 2000; seed += shards {
					w, err := simulate(seed, correct)
					if err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					claims[i] += w.claims
					onPromises[i] += w.validOnVotes
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

func TestSimulationDetectsBrokenVoteProtocols(t *testing.T) {
	for v, name := range map[variant]string{votesCutShort: "cut short", votesForgotten: "forgotten", votesAfterExpiry: "taken after the right has lapsed",
		shortRecovery: "kept for too short by a new life", staleNotLeading: "given up on old word", overtakenRequest: "shortened by an old question"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				if _, err := simulate(seed, v); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// extendedVoteScenario is two members of which the first leads and the second has promised it for longer: both
// are without the state service since 3 s.
func extendedVoteScenario(t *testing.T) (a, b *StateMachine, now time.Time, q RequestVotes) {
	t.Helper()
	now = time.Unix(1000, 0)
	set := func(name string, others ...string) Settings {
		return Settings{Member: name, LeaseDuration: 4 * time.Second, SafetyMargin: 200 * time.Millisecond, PollInterval: 2 * time.Second, RetryInterval: 250 * time.Millisecond,
			VoteDuration: voteDuration, OutageVoteDuration: outageVoteDuration, Peers: others}
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	a, b = New(now, set("a", "b"), quiet), New(now, set("b", "a"), quiet)
	a.Step(now, NotLeadingReceived{"b", now})
	a.Step(now, Tick{})
	a.Step(now, RecordRead{})
	a.Step(now, LeaseGranted{LeaseID: 7, Sent: now})
	a.Step(now, ClaimCompleted{OK: true, TokenVersion: 1})
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range a.Step(now, Tick{}) {
			switch e := e.(type) {
			case RequestVotes:
				q = e
				long := b.HandleVoteRequest(now, VoteRequest{"a", e.FencingToken, e.Seq, e.Duration, e.Supersedes})
				a.Step(now, VoteReceived{"b", e.FencingToken, now, e.Seq, long})
			case RenewLease:
				a.Step(now, LeaseRenewed{LeaseID: 7, Sent: now, Err: io.EOF})
			}
		}
	}
	if q.Duration != outageVoteDuration || q.Supersedes || !a.ValidUntil().After(now.Add(8*time.Second)) || a.StartsValidUntil().After(now.Add(voteDuration)) {
		t.Fatalf("asked for %+v, the right until %v, starts until %v", q, a.ValidUntil().Sub(now), a.StartsValidUntil().Sub(now))
	}
	return a, b, now, q
}

// The lease is renewed: what was promised for longer is given back, and an answer to it that
// comes late must not count, since the other one is bound by the shorter promise only.
func TestWaivedExtendedVoteDoesNotExtendValidity(t *testing.T) {
	a, b, now, q := extendedVoteScenario(t)
	renewed := now
	a.Step(now, LeaseRenewed{LeaseID: 7, Sent: renewed})
	if until := a.ValidUntil(); !until.Equal(a.LeaseValidUntil()) {
		t.Fatalf("after the renewal the right goes %v beyond the lease", until.Sub(a.LeaseValidUntil()))
	}
	now = now.Add(time.Second)
	for _, e := range a.Step(now, Tick{}) {
		if e, ok := e.(RequestVotes); ok {
			if !e.Supersedes || e.Duration != voteDuration {
				t.Fatalf("asked %+v", e)
			}
			b.HandleVoteRequest(now, VoteRequest{"a", e.FencingToken, e.Seq, e.Duration, e.Supersedes})
		}
	}
	if left := b.Status(now).ClaimBlockedFor; left > voteDuration {
		t.Errorf("the other one is still bound for %v", left)
	}
	b.HandleVoteRequest(now, VoteRequest{"a", q.FencingToken, q.Seq, q.Duration, q.Supersedes}) // the old question comes late: it binds, and is not counted on
	a.Step(now, VoteReceived{"b", q.FencingToken, renewed, q.Seq, outageVoteDuration})
	if until := a.ValidUntil(); until.After(a.LeaseValidUntil()) {
		t.Errorf("an answer to a question that was waived extends the right by %v", until.Sub(a.LeaseValidUntil()))
	}
}

// A member that has crashed promises something to a leader of old, which then steps down and gives
// it back. What the member's earlier life promised the present leader stands.
func TestStaleLeaderReleaseKeepsRecoveryBlock(t *testing.T) {
	_, b, now, _ := extendedVoteScenario(t)
	c := New(now, b.settings, b.log)
	if c.HandleVoteRequest(now, VoteRequest{Leader: "old", FencingToken: 0, Seq: 1, Duration: voteDuration}) == 0 {
		t.Fatal("promised nothing")
	}
	c.HandleVoteRelease(0)
	if left := c.Status(now).ClaimBlockedFor; left < outageVoteDuration {
		t.Errorf("bound for %v only", left)
	}
}

// A leader crashes in the outage: those that are bound to it for long are free as soon as its
// new life says that it does not lead, and not by a word from before their promise.
func TestVoteEndsWhenItsLeaderReportsNotLeading(t *testing.T) {
	_, b, now, _ := extendedVoteScenario(t)
	b.Step(now, NotLeadingReceived{"a", now.Add(-time.Minute)})
	if b.Status(now).ClaimBlockedFor == 0 {
		t.Fatal("free by old word")
	}
	b.Step(now, Tick{})
	asks := false
	for _, e := range b.Step(now, RecordRead{}) {
		_, ok := e.(QueryLeadership)
		asks = asks || ok
	}
	b.Step(now.Add(time.Second), NotLeadingReceived{"a", now.Add(time.Second)})
	if !asks || b.Status(now.Add(time.Second)).ClaimBlockedFor != 0 {
		t.Errorf("asked: %v, bound for %v", asks, b.Status(now.Add(time.Second)).ClaimBlockedFor)
	}
}
