package election

import (
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
)

// Event is an input of the state machine.
type Event interface{ electionEvent() }

// The events. In each of them, Sent is the local time at which this member sent the request whose response the event
// reports.
type (
	// Tick reports that time has passed. NextTick returns when the next one is due.
	Tick struct{}
	// RecordRead carries the content of the leader's keys, in response to a ReadRecord or from a watch.
	RecordRead struct {
		Record Record
		Err    error
	}
	// LeaderKeyVacant reports that a watch has observed the deletion of the leader's key.
	LeaderKeyVacant struct{}
	// LeaseGranted reports the outcome of a GrantLease.
	LeaseGranted struct {
		LeaseID uint64
		Sent    time.Time
		Err     error
	}
	// ClaimCompleted reports the outcome of a Claim.
	ClaimCompleted struct {
		OK           bool   // the transaction was committed
		TokenVersion uint64 // the version of the fencing token's record that the transaction wrote
		Err          error
	}
	// LeaseRenewed reports the outcome of a RenewLease.
	LeaseRenewed struct {
		LeaseID uint64
		Sent    time.Time
		Expired bool // the state service responded that the lease does not exist any more
		Err     error
	}
	// Fenced reports that a transaction of this leader failed because the version of the fencing token's record has
	// changed, which means that another leader has taken over.
	Fenced struct{ FencingToken uint64 }
	// TokenRewritten reports that this leader has rewritten the record of its own fencing token.
	TokenRewritten struct{ FencingToken, TokenVersion uint64 }
	// Resign makes a leader revoke its lease and step down. It does not claim the leadership again for two lease
	// durations.
	Resign struct{}
	// ProposeLevel sets the feature level to which the next claim may raise the deployment. Zero proposes none.
	ProposeLevel struct {
		Level    featuregate.Level
		StepDown bool // a leader steps down at once, so that the next claim can raise the level
	}
	// VoteReceived carries a member's vote for this leader, which is a promise not to claim the leadership for the
	// given duration.
	VoteReceived struct {
		Member       string
		FencingToken uint64
		Sent         time.Time
		Seq          uint64        // the number of the vote request
		Duration     time.Duration // zero if an old version sent the vote, which then lasts for Settings.VoteDuration
	}
	// NotLeadingReceived reports that another member does not lead. Votes that were cast for it before Sent have no
	// effect any more.
	NotLeadingReceived struct {
		Member string
		Sent   time.Time
	}
)

func (Tick) electionEvent()               {}
func (RecordRead) electionEvent()         {}
func (LeaderKeyVacant) electionEvent()    {}
func (LeaseGranted) electionEvent()       {}
func (ClaimCompleted) electionEvent()     {}
func (LeaseRenewed) electionEvent()       {}
func (Fenced) electionEvent()             {}
func (TokenRewritten) electionEvent()     {}
func (Resign) electionEvent()             {}
func (ProposeLevel) electionEvent()       {}
func (VoteReceived) electionEvent()       {}
func (NotLeadingReceived) electionEvent() {}

// Effect is an action that the state machine asks its caller to perform.
type Effect interface{ electionEffect() }

// The effects. The caller reports the outcome of each ReadRecord, GrantLease, Claim and RenewLease by one event.
type (
	// ReadRecord reads the leader's keys. RecordRead reports the outcome.
	ReadRecord struct{}
	// GrantLease requests a lease from the state service. LeaseGranted reports the outcome.
	GrantLease struct{ Duration time.Duration }
	// Claim writes the leader's key and the next fencing token in one transaction, on the condition that the records
	// still have the versions that were read. ClaimCompleted reports the outcome.
	Claim struct {
		LeaseID, FencingToken, TokenVersion uint64
		LevelVersion                        uint64
		NewLevel                            featuregate.Level // the level to record as in force; zero records none
	}
	// RenewLease renews the leader's lease. LeaseRenewed reports the outcome.
	RenewLease struct{ LeaseID uint64 }
	// RevokeLease revokes a lease, which also deletes the leader's key if it is attached to the lease.
	RevokeLease struct{ LeaseID uint64 }
	// Elected reports that this controller has become the leader.
	Elected struct{ FencingToken, TokenVersion uint64 }
	// Deposed reports that this controller has ceased to be the leader.
	Deposed struct{}
	// RequestVotes requests a vote for this leader from each other member.
	RequestVotes struct {
		FencingToken, Seq uint64
		Duration          time.Duration
		Supersedes        bool // the leader does not rely on longer votes for earlier requests any more
	}
	// QueryLeadership asks each other member whether it leads. NotLeadingReceived reports each response of a member
	// that does not.
	QueryLeadership struct{}
	// ReleaseVotes tells all other members that this leader does not need their votes any more.
	ReleaseVotes struct{ FencingToken uint64 }
)

func (ReadRecord) electionEffect()      {}
func (GrantLease) electionEffect()      {}
func (Claim) electionEffect()           {}
func (RenewLease) electionEffect()      {}
func (RevokeLease) electionEffect()     {}
func (Elected) electionEffect()         {}
func (Deposed) electionEffect()         {}
func (RequestVotes) electionEffect()    {}
func (QueryLeadership) electionEffect() {}
func (ReleaseVotes) electionEffect()    {}
