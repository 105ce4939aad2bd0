package electionsim

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lukechampine.com/blake3"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
)

// memberNames are the members' names; a cluster has the first few.
var memberNames = [maxMembers]string{"a", "b", "c", "d", "e"}

// The members' settings.
const (
	leaseDuration      = 4 * time.Second
	safetyMargin       = 200 * time.Millisecond
	pollInterval       = 2 * time.Second
	retryInterval      = time.Second
	voteDuration       = 3500 * time.Millisecond
	outageVoteDuration = 7 * time.Second
)

// member is a controller with its state machine.
type member struct {
	machine             *election.StateMachine
	up                  bool
	stateUnreachable    bool // it is partitioned from the state service
	peersUnreachable    bool // it is partitioned from the other members
	incarnation         int
	withoutFeatureGates bool // its program is of a version before feature levels
}

// cluster is one state of the simulated deployment: its members, the network between them and the state
// service. The explorer steps a clone, so that a visited state stays as it is.
type cluster struct {
	now        time.Time
	members    []member
	network    network
	state      stateService
	faultsLeft int
	trace      string // the faults so far

	highestToken uint64 // the highest fencing token with which a member was allowed to act
	fault        fault  // of the second that is simulated

	settings *Settings
	result   *Result // counts the claims
}

// newCluster returns a cluster whose members start now. With feature gates, the last one of three or more
// starts with a program without them.
func newCluster(settings *Settings, result *Result) *cluster {
	c := &cluster{
		now:        startTime,
		members:    make([]member, settings.Members),
		state:      stateService{leases: map[uint64]int{}},
		faultsLeft: settings.MaxFaults,
		settings:   settings,
		result:     result,
	}
	last := len(c.members) - 1
	for i := range c.members {
		c.members[i].up = true
		c.members[i].withoutFeatureGates = settings.FeatureGates && i == last && settings.Members > 2
		c.members[i].machine = c.newMachine(i)
	}
	return c
}

// newMachine returns the state machine of a member that starts now, without memory.
func (c *cluster) newMachine(i int) *election.StateMachine {
	settings := election.Settings{
		Member:             memberNames[i],
		LeaseDuration:      leaseDuration,
		SafetyMargin:       safetyMargin,
		PollInterval:       pollInterval,
		RetryInterval:      retryInterval,
		VoteDuration:       voteDuration,
		OutageVoteDuration: outageVoteDuration,
	}
	if c.settings.FeatureGates && !c.members[i].withoutFeatureGates {
		settings.MaxLevel = featuregate.Supported
	}
	for peer := range c.members {
		if peer != i {
			settings.Peers = append(settings.Peers, memberNames[peer])
		}
	}
	return election.New(c.now, settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// restart gives a member a new state machine and its next incarnation.
func (c *cluster) restart(i int) {
	c.members[i].machine = c.newMachine(i)
	c.members[i].incarnation++
}

// clone returns an independent copy. The queue is empty between steps.
func (c *cluster) clone() *cluster {
	out := *c
	out.members = slices.Clone(c.members)
	for i := range out.members {
		if out.members[i].up {
			out.members[i].machine = out.members[i].machine.Clone()
		}
	}
	out.network.held = slices.Clone(c.network.held)
	out.state.leases = maps.Clone(c.state.leases)
	return &out
}

// stateKey is a hash of all that the further course depends on.
type stateKey [32]byte

// fingerprint returns the state's key. Times count relative to now, so that states of different seconds can
// have the same one.
func (c *cluster) fingerprint() stateKey {
	b := make([]byte, 0, 512)
	for i := range c.members {
		m := &c.members[i]
		b = appendFlags(b, m.up, m.stateUnreachable, m.peersUnreachable, m.withoutFeatureGates)
		if m.up {
			b = m.machine.AppendKey(b, c.now)
		}
	}
	b = append(b, byte(c.faultsLeft))
	b = binary.AppendUvarint(b, c.highestToken)
	b = c.state.appendKey(b)
	for _, m := range c.network.held {
		staleReceiver := c.members[m.to].incarnation != m.receiverIncarnation
		staleSender := c.members[m.from].incarnation != m.senderIncarnation
		b = appendFlags(b, staleReceiver || staleSender)
		b = append(b, byte(m.kind), byte(m.from), byte(m.to))
		b = binary.AppendVarint(b, int64(c.now.Sub(m.sentAt)))
		b = fmt.Appendf(b, "%v %v %v", m.request, m.duration, m.claim)
	}
	return blake3.Sum256(b)
}

// appendFlags appends a byte for each flag.
func appendFlags(b []byte, flags ...bool) []byte {
	for _, f := range flags {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

// step simulates one second with a fault in it: leases expire, the fault begins, messages arrive, and each member
// gets a tick.
func (c *cluster) step(f fault) {
	c.now = c.now.Add(time.Second)
	c.state.expireLeases()
	c.fault = f
	c.apply(f)
	c.deliver()
	for i := range c.members {
		c.stepMember(i, c.now, election.Tick{})
		c.deliver()
	}
	if f.kind != noFault {
		c.trace += fmt.Sprintf(" %ds:%s %s", c.now.Sub(startTime)/time.Second, f.kind, memberNames[f.member])
	}
}

// stepMember passes an event to a member and performs the effects that its state machine asks for.
func (c *cluster) stepMember(i int, now time.Time, event election.Event) {
	m := &c.members[i]
	if !m.up {
		return
	}
	incarnation := m.incarnation
	for _, effect := range m.machine.Step(now, event) {
		if m.incarnation != incarnation {
			return // an effect before this one crashed it
		}
		c.perform(i, effect)
	}
}

// perform performs an effect of a member. Elected and Deposed need nothing here: check asks the members.
func (c *cluster) perform(i int, effect election.Effect) {
	switch e := effect.(type) {
	case election.ReadRecord:
		c.readRecord(i)
	case election.GrantLease:
		c.grantLease(i, e)
	case election.Claim:
		c.claimLeadership(i, e)
	case election.RenewLease:
		c.renewLease(i, e)
	case election.RevokeLease:
		if served, _ := c.reachable(i); served {
			c.state.endLease(e.LeaseID)
		}
	case election.RequestVotes:
		c.broadcast(i, message{kind: voteRequest, request: election.VoteRequest{
			Leader:       memberNames[i],
			FencingToken: e.FencingToken,
			Seq:          e.Seq,
			Duration:     e.Duration,
			Supersedes:   e.Supersedes,
		}})
	case election.QueryLeadership:
		c.broadcast(i, message{kind: leadershipQuery})
	case election.ReleaseVotes:
		if c.restartIf(i, RestartBeforeRelease) {
			return
		}
		c.broadcast(i, message{kind: voteRelease, request: election.VoteRequest{FencingToken: e.FencingToken}})
		c.restartIf(i, RestartAfterRelease)
	}
}
