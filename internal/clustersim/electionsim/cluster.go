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

// memberNames are the names of the members. A cluster with n members uses the first n.
var memberNames = [maxMembers]string{"a", "b", "c", "d", "e"}

// The election settings of every member.
const (
	leaseDuration      = 4 * time.Second
	safetyMargin       = 200 * time.Millisecond
	pollInterval       = 2 * time.Second
	retryInterval      = time.Second
	voteDuration       = 3500 * time.Millisecond
	outageVoteDuration = 7 * time.Second
)

// member is a simulated controller that takes part in the election.
type member struct {
	stateMachine        *election.StateMachine
	up                  bool
	stateUnreachable    bool // partitioned from the state service
	peersUnreachable    bool // partitioned from all other members
	incarnation         int  // counts crashes and restarts
	withoutFeatureGates bool // runs a version that predates feature levels
}

// cluster is one state of the simulated deployment: its members, the network between them and the state service. The
// explorer clones a state before it simulates the next second, so a visited state never changes.
type cluster struct {
	now          time.Time
	members      []member
	network      network
	stateService stateService
	faultsLeft   int    // how many more faults Settings.MaxFaults allows
	trace        string // the faults that led to this state, each preceded by a space

	highestToken uint64 // the highest fencing token with which a member was allowed to act as leader
	currentFault fault  // the fault of the simulated second; zero once a restart has happened

	settings *Settings
	result   *Result // counts the claims; shared by all states of an exploration
}

// newCluster returns a cluster whose members have just started. With Settings.FeatureGates and three or more members,
// the last member runs a version without feature gates.
func newCluster(settings *Settings, result *Result) *cluster {
	c := &cluster{
		now:          startTime,
		members:      make([]member, settings.Members),
		stateService: stateService{leases: map[uint64]int{}},
		faultsLeft:   settings.MaxFaults,
		settings:     settings,
		result:       result,
	}
	lastMember := len(c.members) - 1
	for i := range c.members {
		c.members[i].up = true
		c.members[i].withoutFeatureGates = settings.FeatureGates && i == lastMember && settings.Members > 2
		c.members[i].stateMachine = c.newStateMachine(i)
	}
	return c
}

// newStateMachine returns the state machine of a member that has just started and remembers nothing of its earlier
// incarnations.
func (c *cluster) newStateMachine(i int) *election.StateMachine {
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

// restart replaces the state machine of a member and begins the member's next incarnation.
func (c *cluster) restart(i int) {
	c.members[i].stateMachine = c.newStateMachine(i)
	c.members[i].incarnation++
}

// clone returns an independent copy of the cluster. It does not copy the message queue, which is empty between steps.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.members = slices.Clone(c.members)
	for i := range copied.members {
		if copied.members[i].up {
			copied.members[i].stateMachine = copied.members[i].stateMachine.Clone()
		}
	}
	copied.network.held = slices.Clone(c.network.held)
	copied.stateService.leases = maps.Clone(c.stateService.leases)
	return &copied
}

// stateKey is a hash of everything in a cluster that determines its further behavior.
type stateKey [32]byte

// fingerprint returns the key of the cluster's state. Times enter the key relative to now, so that equivalent states
// of different seconds have the same key.
func (c *cluster) fingerprint() stateKey {
	b := make([]byte, 0, 512)
	for i := range c.members {
		m := &c.members[i]
		b = appendFlags(b, m.up, m.stateUnreachable, m.peersUnreachable, m.withoutFeatureGates)
		if m.up {
			b = m.stateMachine.AppendKey(b, c.now)
		}
	}
	b = append(b, byte(c.faultsLeft))
	b = binary.AppendUvarint(b, c.highestToken)
	b = c.stateService.appendKey(b)
	for _, held := range c.network.held {
		staleReceiver := c.members[held.to].incarnation != held.receiverIncarnation
		staleSender := c.members[held.from].incarnation != held.senderIncarnation
		b = appendFlags(b, staleReceiver || staleSender)
		b = append(b, byte(held.kind), byte(held.from), byte(held.to))
		b = binary.AppendVarint(b, int64(c.now.Sub(held.sentAt)))
		b = fmt.Appendf(b, "%v %v %v", held.request, held.duration, held.claim)
	}
	return blake3.Sum256(b)
}

// appendFlags appends each flag to b as one byte, 0 or 1.
func appendFlags(b []byte, flags ...bool) []byte {
	for _, flag := range flags {
		if flag {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

// step simulates one second and the fault that happens in it: leases expire, the fault takes effect, queued messages
// arrive, and each member receives a tick.
func (c *cluster) step(f fault) {
	c.now = c.now.Add(time.Second)
	c.stateService.advanceLeases()
	c.currentFault = f
	c.applyFault(f)
	c.deliver()
	for i := range c.members {
		c.stepMember(i, c.now, election.Tick{})
		c.deliver()
	}
	if f.kind != noFault {
		c.trace += fmt.Sprintf(" %ds:%s %s", c.now.Sub(startTime)/time.Second, f.kind, memberNames[f.member])
	}
}

// stepMember passes an event, received at now, to the state machine of a member and performs the resulting effects. It
// does nothing if the member is down.
func (c *cluster) stepMember(i int, now time.Time, event election.Event) {
	m := &c.members[i]
	if !m.up {
		return
	}
	incarnation := m.incarnation
	for _, effect := range m.stateMachine.Step(now, event) {
		if m.incarnation != incarnation {
			return // an earlier effect has crashed and restarted the member
		}
		c.perform(i, effect)
	}
}

// perform performs an effect of a member. It ignores election.Elected and election.Deposed, because checkInvariants
// asks each state machine whether its member may act as leader.
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
			c.stateService.deleteLease(e.LeaseID)
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
		if c.restartIfInjected(i, RestartBeforeRelease) {
			return
		}
		c.broadcast(i, message{kind: voteRelease, request: election.VoteRequest{FencingToken: e.FencingToken}})
		c.restartIfInjected(i, RestartAfterRelease)
	}
}
