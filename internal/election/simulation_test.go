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

// cluster simulates three members, a state service and a network in a time of its own: messages
// that come late or never, outages for all and for one, crashes without memory, clocks that drift
// apart. At most one member may ever have a valid leadership, and none with a fencing token below
// one that another has led with.
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

	highestToken uint64 // the highest fencing token of a valid leadership
	validOnVotes int    // steps in which a leadership was valid on votes alone
	claims       int
}

type member struct {
	election    *StateMachine
	name        string
	clockRate   float64 // of its steady clock
	startedAt   time.Duration
	up          bool
	unreachable map[int]bool // members, and stateService, that it does not reach
}

// stateService stands for the state service among the unreachable members.
const stateService = -1

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
	votesCutShort            // members keep a vote for a third of its time
	votesForgotten           // a member that restarts claims at once
	votesAfterExpiry         // a leader counts votes after its leadership has lapsed
	shortRecovery            // a member that restarts waits only for the shorter votes of an earlier incarnation
	staleNotLeading          // a member accepts that the leader does not lead from before its vote
	overtakenRequest         // a member lets an overtaken request shorten its vote
)

const (
	voteDuration       = 3500 * time.Millisecond
	outageVoteDuration = 10 * time.Second

	simulatedTime = 2 * time.Minute
	simulatedStep = 20 * time.Millisecond
)

var memberNames = []string{"tiller-0", "tiller-1", "tiller-2"}

// testSettings are the settings of a member with these peers.
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
	m.election = New(c.clock(m), settings, discardLog)
	switch v := &m.election.votes; c.variant {
	case votesForgotten:
		v.recoveryUntil = time.Time{}
		v.transition(voteNone, time.Time{})
	case shortRecovery:
		v.recoveryUntil = c.clock(m).Add(withDrift(voteDuration) + settings.SafetyMargin)
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// deliver delivers a message after a while: mostly soon, now and then many seconds late or, if it may
// be lost, never.
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

// send carries a message from one member to another.
func (c *cluster) send(from, to int, handle func(receiver *member)) {
	receiver, incarnation := c.members[to], c.members[to].election
	if c.members[from].unreachable[to] || !receiver.up {
		return
	}
	c.deliver(true, func() {
		if receiver.up && receiver.election == incarnation {
			handle(receiver)
		}
	})
}

// broadcast carries a message from a member to all others.
func (c *cluster) broadcast(from int, handle func(to int, receiver *member)) {
	for to := range c.members {
		if to != from {
			c.send(from, to, func(receiver *member) { handle(to, receiver) })
		}
	}
}

func (c *cluster) step(i int, event Event) {
	m := c.members[i]
	for _, effect := range m.election.Step(c.clock(m), event) {
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
		c.broadcast(i, func(_ int, voter *member) { voter.election.HandleVoteRelease(e.FencingToken) })
	}
}

// handleVoteRequest has a member vote, and sends its vote to the leader.
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
	case overtakenRequest:
		voter.election.votes.castSeq = 0
	}
	duration := voter.election.HandleVoteRequest(now, request)
	if duration == 0 {
		return
	}
	if c.variant == votesCutShort {
		duration *= 3
	}
	c.send(to, from, func(leader *member) {
		vote := VoteReceived{voter.name, e.FencingToken, sent, e.Seq, duration}
		if c.variant == votesAfterExpiry && leader.election.leadsWith(e.FencingToken) {
			leader.election.votes.record(&leader.election.settings, vote)
		}
		c.step(from, vote)
	})
}

// handleLeadershipQuery has a member answer whether it leads.
func (c *cluster) handleLeadershipQuery(from, to int, asking, receiver *member, sent time.Time) {
	if receiver.election.state == Leading || receiver.election.state == Claiming {
		return
	}
	c.send(to, from, func(*member) {
		if c.variant == staleNotLeading {
			sent = c.clock(asking)
		}
		c.step(from, NotLeadingReceived{receiver.name, sent})
	})
}

// injectFault begins or ends a fault.
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

// simulate runs a cluster for two minutes, and returns what rule it broke.
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

// deliverDue delivers what is due, in the order of the times.
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

// check returns an error if two leaderships are valid, or one with a token that is too low.
func (c *cluster) check() error {
	valid := 0
	for _, m := range c.members {
		if !m.up || !m.election.LeadershipValid(c.clock(m)) {
			continue
		}
		valid++
		if token := m.election.FencingToken(); token < c.highestToken {
			return fmt.Errorf("at %v: %s leads with fencing token %d, want at least %d", c.now, m.name, token, c.highestToken)
		}
		c.highestToken = m.election.FencingToken()
		if !c.clock(m).Before(m.election.LeaseValidUntil()) {
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
		votesForgotten:   "votes forgotten",
		votesAfterExpiry: "votes counted after the leadership has lapsed",
		shortRecovery:    "votes of an earlier incarnation kept for too short",
		staleNotLeading:  "votes withdrawn on a stale answer",
		overtakenRequest: "votes shortened by an overtaken request",
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
