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

// cluster simulates three members, a state service and a network in simulated time. Messages are delayed or lost, the
// state service is unavailable for all members or for one, members crash and restart without memory, and their clocks
// drift apart. At any time at most one member may have a valid leadership, and its fencing token must not be lower than
// that of any earlier valid leadership.
type cluster struct {
	random     *rand.Rand
	now        time.Duration // the simulated time without clock drift
	members    []*member
	deliveries []delivery
	variant    variant

	leaderKeyLease int // the lease that the leader's key is attached to; zero if the key does not exist
	leader         string
	fencingToken   uint64
	tokenVersion   uint64
	leases         map[int]*lease
	lastLeaseID    int
	storeDown      bool

	highestToken uint64 // the highest fencing token of a valid leadership
	validOnVotes int    // the number of steps in which a leadership was valid on votes alone
	claims       int
}

type member struct {
	stateMachine *StateMachine
	name         string
	clockRate    float64 // the rate of its monotonic clock relative to the simulated time
	startedAt    time.Duration
	up           bool
	unreachable  map[int]bool // the members, or stateService, to which its messages do not get through
}

// stateService represents the state service in member.unreachable.
const stateService = -1

type lease struct {
	duration, renewedAt time.Duration
}

type delivery struct {
	deliverAt time.Duration
	handle    func()
}

// variant selects the correct protocol or a deliberate fault in it.
type variant int

const (
	correct          variant = iota
	votesCutShort            // members keep a vote for only a third of its duration
	votesForgotten           // a member that restarts may claim immediately
	votesAfterExpiry         // a leader counts votes after its leadership has lapsed
	shortRecovery            // a member that restarts waits only for the normal, not for the extended votes to end
	staleNotLeading          // a member drops its vote after a not-leading response from before the vote
	delayedRequest           // a member lets a delayed earlier request shorten its vote
)

const (
	voteDuration       = 3500 * time.Millisecond
	outageVoteDuration = 10 * time.Second

	simulatedTime = 2 * time.Minute
	simulatedStep = 20 * time.Millisecond
)

var memberNames = []string{"tiller-0", "tiller-1", "tiller-2"}

// testSettings returns the settings of a member with the given peers.
func testSettings(member string, peers ...string) Settings {
	return Settings{
		Member:             member,
		Peers:              peers,
		LeaseDuration:      4 * time.Second,
		SafetyMargin:       200 * time.Millisecond,
		PollInterval:       2 * time.Second,
		RetryInterval:      250 * time.Millisecond,
		VoteDuration:       voteDuration,
		OutageVoteDuration: outageVoteDuration,
	}
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func (c *cluster) clock(m *member) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(c.now-m.startedAt) * m.clockRate))
}

func (c *cluster) startMember(i int) {
	m := c.members[i]
	m.up, m.startedAt = true, c.now
	var peers []string
	for _, name := range memberNames {
		if name != m.name {
			peers = append(peers, name)
		}
	}
	settings := testSettings(m.name, peers...)
	m.stateMachine = New(c.clock(m), settings, discardLog)
	switch v := &m.stateMachine.votes; c.variant {
	case votesForgotten:
		v.recoveryUntil = time.Time{}
		v.transition(voteNone, time.Time{})
	case shortRecovery:
		v.recoveryUntil = c.clock(m).Add(extendForDrift(voteDuration) + settings.SafetyMargin)
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// deliver delivers a message after a random delay, which is up to 60 ms for most messages and up to 15 s for one in 40.
// If mayBeLost is set, it also loses one in 40.
func (c *cluster) deliver(mayBeLost bool, handle func()) {
	delay := time.Duration(c.random.IntN(60)) * time.Millisecond
	switch c.random.IntN(40) {
	case 0:
		delay = time.Duration(c.random.IntN(15000)) * time.Millisecond
	case 1:
		if mayBeLost {
			return
		}
	}
	c.deliveries = append(c.deliveries, delivery{c.now + delay, handle})
}

// send sends a message from one member to another. It is not delivered if the receiver is unreachable or down, or
// restarts before the delivery.
func (c *cluster) send(from, to int, handle func(receiver *member)) {
	receiver, incarnation := c.members[to], c.members[to].stateMachine
	if c.members[from].unreachable[to] || !receiver.up {
		return
	}
	c.deliver(true, func() {
		if receiver.up && receiver.stateMachine == incarnation {
			handle(receiver)
		}
	})
}

// broadcast sends a message from one member to all others.
func (c *cluster) broadcast(from int, handle func(to int, receiver *member)) {
	for to := range c.members {
		if to != from {
			c.send(from, to, func(receiver *member) { handle(to, receiver) })
		}
	}
}

func (c *cluster) step(i int, event Event) {
	m := c.members[i]
	for _, effect := range m.stateMachine.Step(c.clock(m), event) {
		c.perform(i, m, effect)
	}
}

func (c *cluster) perform(i int, m *member, effect Effect) {
	sent := c.clock(m)
	switch e := effect.(type) {
	case ReadRecord:
		c.readRecord(i)
	case GrantLease:
		c.grantLease(i, e, sent)
	case Claim:
		c.claims++
		c.claim(i, m, e)
	case RenewLease:
		c.renewLease(i, e, sent)
	case RevokeLease:
		c.revokeLease(i, e)
	case RequestVotes:
		c.broadcast(i, func(to int, voter *member) { c.handleVoteRequest(i, to, m, voter, e, sent) })
	case QueryLeadership:
		c.broadcast(i, func(to int, receiver *member) { c.handleLeadershipQuery(i, to, m, receiver, sent) })
	case ReleaseVotes:
		c.broadcast(i, func(_ int, voter *member) { voter.stateMachine.HandleVoteRelease(e.FencingToken) })
	}
}

// handleVoteRequest passes a vote request to a member, and sends its vote, if it casts one, to the leader.
func (c *cluster) handleVoteRequest(from, to int, leader, voter *member, e RequestVotes, sent time.Time) {
	request := VoteRequest{
		Leader:       leader.name,
		FencingToken: e.FencingToken,
		Seq:          e.Seq,
		Duration:     e.Duration,
		Supersedes:   e.Supersedes,
	}
	now := c.clock(voter)
	switch c.variant {
	case votesCutShort:
		request.Duration /= 3
	case delayedRequest:
		voter.stateMachine.votes.castSeq = 0
	}
	duration := voter.stateMachine.HandleVoteRequest(now, request)
	if duration == 0 {
		return
	}
	if c.variant == votesCutShort {
		duration *= 3
	}
	c.send(to, from, func(leader *member) {
		vote := VoteReceived{voter.name, e.FencingToken, sent, e.Seq, duration}
		if c.variant == votesAfterExpiry && leader.stateMachine.leadsWith(e.FencingToken) {
			leader.stateMachine.votes.countVote(&leader.stateMachine.settings, vote)
		}
		c.step(from, vote)
	})
}

// handleLeadershipQuery lets a member respond to a query that it does not lead. One that may lead does not respond.
func (c *cluster) handleLeadershipQuery(from, to int, querier, receiver *member, sent time.Time) {
	if receiver.stateMachine.state == Leading || receiver.stateMachine.state == Claiming {
		return
	}
	c.send(to, from, func(*member) {
		if c.variant == staleNotLeading {
			sent = c.clock(querier)
		}
		c.step(from, NotLeadingReceived{receiver.name, sent})
	})
}

// injectFault starts or ends a random fault.
func (c *cluster) injectFault() {
	i := c.random.IntN(len(c.members))
	m := c.members[i]
	switch c.random.IntN(9) {
	case 0:
		m.up = false
	case 1, 2:
		for j := range c.members {
			if !c.members[j].up {
				c.startMember(j)
			}
		}
	case 3:
		c.expireLeases()
		c.storeDown = true
	case 4:
		c.endOutage()
	case 5:
		m.unreachable[stateService] = true
	case 6:
		m.unreachable = map[int]bool{}
	case 7:
		m.unreachable[(i+1)%3] = true
	case 8:
		m.unreachable[stateService] = false
	}
}

// simulate runs a cluster for simulatedTime. It returns an error if an invariant was violated.
func simulate(seed uint64, v variant) (*cluster, error) {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 3)), variant: v, leases: map[int]*lease{}}
	for _, name := range memberNames {
		clockRate := 1 + (c.random.Float64()-0.5)*0.001
		c.members = append(c.members, &member{name: name, clockRate: clockRate, unreachable: map[int]bool{}})
	}
	for i := range c.members {
		c.startMember(i)
	}
	for c.now < simulatedTime {
		c.now += simulatedStep
		if c.random.IntN(100) == 0 {
			c.injectFault()
		}
		c.deliverDue()
		for i, m := range c.members {
			if m.up {
				c.step(i, Tick{})
			}
		}
		if err := c.check(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// deliverDue delivers the messages that are due, ordered by delivery time.
func (c *cluster) deliverDue() {
	due := c.deliveries
	c.deliveries = nil
	slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
	for _, d := range due {
		if d.deliverAt <= c.now {
			d.handle()
		} else {
			c.deliveries = append(c.deliveries, d)
		}
	}
}

// check returns an error if more than one leadership is valid, or if one is valid with a lower fencing token than an
// earlier one.
func (c *cluster) check() error {
	valid := 0
	for _, m := range c.members {
		if !m.up || !m.stateMachine.LeadershipValid(c.clock(m)) {
			continue
		}
		valid++
		if token := m.stateMachine.FencingToken(); token < c.highestToken {
			return fmt.Errorf("at %v: %s leads with fencing token %d, want at least %d", c.now, m.name, token, c.highestToken)
		}
		c.highestToken = m.stateMachine.FencingToken()
		if !c.clock(m).Before(m.stateMachine.LeaseValidUntil()) {
			c.validOnVotes++
		}
	}
	if valid > 1 {
		return fmt.Errorf("at %v: got %d members with a valid leadership, want at most 1", c.now, valid)
	}
	return nil
}

func TestElectionUnderFaultsHasOneValidLeader(t *testing.T) {
	const shards = 4
	var claims, validOnVotes [shards]int
	t.Run("simulations", func(t *testing.T) {
		for i := range shards {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(i); seed < 2000; seed += shards {
					c, err := simulate(seed, correct)
					if err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					claims[i] += c.claims
					validOnVotes[i] += c.validOnVotes
				}
			})
		}
	})
	for i := range shards {
		if claims[i] < 250 || validOnVotes[i] < 250 {
			t.Errorf("got %d claims and %d steps on votes alone, want at least 250 of each", claims[i], validOnVotes[i])
		}
		t.Logf("%d claims, %d steps of %v on votes alone", claims[i], validOnVotes[i], simulatedStep)
	}
}

func TestSimulationDetectsBrokenVoteProtocols(t *testing.T) {
	for v, name := range map[variant]string{
		votesCutShort:    "votes cut short",
		votesForgotten:   "votes forgotten after a restart",
		votesAfterExpiry: "votes counted after the leadership has lapsed",
		shortRecovery:    "recovery wait too short for extended votes",
		staleNotLeading:  "vote withdrawn on a stale response",
		delayedRequest:   "vote shortened by a delayed earlier request",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				if _, err := simulate(seed, v); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("got no error from any seed, want one")
		})
	}
}
