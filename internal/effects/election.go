package effects

import (
	"context"
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/store"
)

// ElectionState stores the leader's keys and grants the leases of leaders. *store.Client implements it.
type ElectionState interface {
	ReadLeaderRecord(ctx context.Context) (record election.Record, revision uint64, err error)
	GrantLease(duration time.Duration) (leaseID uint64, err error)
	ClaimLeadership(ctx context.Context, member string, claim election.Claim) (tokenVersion uint64, ok bool, err error)
	// RenewLease returns store.ErrLeaseExpired, possibly wrapped, if the lease does not exist any more.
	RenewLease(leaseID uint64) error
}

// ElectionExecutor performs the effects of the election that are requests to the state service. It has one method for
// each of these effects, which returns the event that reports the outcome.
type ElectionExecutor struct {
	Member string // the name of this controller
	State  ElectionState
	Now    func() time.Time
}

// ReadRecord reads the leader's keys.
func (x ElectionExecutor) ReadRecord(ctx context.Context) election.RecordRead {
	record, _, err := x.State.ReadLeaderRecord(ctx)
	return election.RecordRead{Record: record, Err: err}
}

// GrantLease requests a lease. The event holds the time at which the request was sent, since the caller has to assume
// that the lease starts then.
func (x ElectionExecutor) GrantLease(e election.GrantLease) election.LeaseGranted {
	sent := x.Now()
	leaseID, err := x.State.GrantLease(e.Duration)
	return election.LeaseGranted{LeaseID: leaseID, Sent: sent, Err: err}
}

// Claim tries to write the leader's key for this controller.
func (x ElectionExecutor) Claim(ctx context.Context, e election.Claim) election.ClaimCompleted {
	version, ok, err := x.State.ClaimLeadership(ctx, x.Member, e)
	return election.ClaimCompleted{OK: ok, TokenVersion: version, Err: err}
}

// RenewLease renews a lease. The event holds the time at which the request was sent, since the caller has to assume
// that the renewed lease starts then.
func (x ElectionExecutor) RenewLease(leaseID uint64) election.LeaseRenewed {
	sent := x.Now()
	err := x.State.RenewLease(leaseID)
	return election.LeaseRenewed{
		LeaseID: leaseID,
		Sent:    sent,
		Expired: errors.Is(err, store.ErrLeaseExpired),
		Err:     err,
	}
}
