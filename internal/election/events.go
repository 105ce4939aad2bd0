package election

import (
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
)

// Event is an input of the election's state machine.
type Event interface{ electionEvent() }

// The events. Sent is always the local time at which the request was sent that the event answers.
type (
	// Tick reports that time has passed; NextTick returns when it is due.
	Tick struct{}
	// RecordRead carries the leader's keys, from a ReadRecord or from a watch.
	RecordRead struct {
		Record Record
		Err    error
	}
	// LeaderKeyVacant says that a watch has seen the leader's key disappear.
	LeaderKeyVacant struct{}
	// LeaseGranted completes a GrantLease.
	LeaseGranted struct {
		LeaseID uint64
		Sent    time.Time
		Err     error
	}
	// ClaimCompleted completes a Claim.
	ClaimCompleted struct {
		OK           bool   // the transaction was committed
		TokenVersion uint64 // version of the fencing token's record that it wrote
		Err          error
	}
	// LeaseRenewed completes a RenewLease.
	LeaseRenewed struct {
		LeaseID uint64
		Sent    time.Time
		Expired bool // the state service has answered that the lease is gone
		Err     error
	}
	// Fenced says that a transaction of this leader failed on the version of the token's record.
	Fenced struct{ FencingToken uint64 }
	// TokenRewritten says that this leader has rewritten the record of its own token.
	TokenRewritten struct{ FencingToken, TokenVersion uint64 }
	// Resign has a leader release its lease and step down.
	Resign struct{}
	// ProposeLevel says to which feature level the next claim may raise the deployment; 0: to none.
	ProposeLevel struct {
		Level    featuregate.Level
		StepDown bool // a leader steps down for it, and claims again at once
	}
	// VoteReceived carries a member's vote for this leader: not to claim for a time.
	VoteReceived struct {
		Member       string
		FencingToken uint64
		Sent         time.Time
		Seq          uint64        // of the vote request
		Duration     time.Duration // 0: sent by an old version, which votes for Settings.VoteDuration
	}
	// NotLeadingReceived says that another member does not lead, so that no vote cast for it
	// before Sent counts any more.
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

// Effect is an action that the caller of the state machine has to perform.
type Effect interface{ electionEffect() }

// The effects. ReadRecord, GrantLease, Claim and RenewLease are each answered by one event.
type (
	// ReadRecord reads the leader's keys; RecordRead answers.
	ReadRecord struct{}
	// GrantLease requests a lease from the state service; LeaseGranted answers.
	GrantLease struct{ Duration time.Duration }
	// Claim writes the leader's key and the next fencing token in one transaction, on condition that
	// the records still have the versions that were read; ClaimCompleted answers.
	Claim struct {
		LeaseID, FencingToken, TokenVersion uint64
		LevelVersion                        uint64
		NewLevel                            featuregate.Level // written as the level in force; 0: not written
	}
	// RenewLease renews the leader's lease; LeaseRenewed answers.
	RenewLease struct{ LeaseID uint64 }
	// RevokeLease ends a lease, and with it a leader's key that is attached to it.
	RevokeLease struct{ LeaseID uint64 }
	// Elected says that this controller leads from now on.
	Elected struct{ FencingToken, TokenVersion uint64 }
	// Deposed says that this controller leads no longer.
	Deposed struct{}
	// RequestVotes requests the votes of all other members for this leader.
	RequestVotes struct {
		FencingToken, Seq uint64
		Duration          time.Duration
		Supersedes        bool // longer votes for earlier requests no longer count
	}
	// QueryLeadership asks all other members whether they lead.
	QueryLeadership struct{}
	// ReleaseVotes releases the votes of all other members, which this leader no longer needs.
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
