package effects

import (
	"context"
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/store"
)

// ElectionState holds the leader's records and leases. *store.Client implements it.
type ElectionState interface {
	ReadLeaderRecord(ctx context.Context) (record election.Record, revision uint64, err error)
	GrantLease(duration time.Duration) (leaseID uint64, err error)
	ClaimLeadership(ctx context.Context, member string, claim election.Claim) (tokenVersion uint64, ok bool, err error)
	RenewLease(leaseID uint64) error
}

// ElectionExecutor carries out those effects of the election that are requests to the state service, one
// method for each. The methods return the event that answers the effect.
type ElectionExecutor struct {
	Member string
	State  ElectionState
	Now    func() time.Time
}

// ReadRecord reads who leads.
func (x ElectionExecutor) ReadRecord(ctx context.Context) election.RecordRead {
	record, _, err := x.State.ReadLeaderRecord(ctx)
	return election.RecordRead{Record: record, Err: err}
}

// GrantLease has a lease granted. It lasts from the sending of the request.
func (x ElectionExecutor) GrantLease(e election.GrantLease) election.LeaseGranted {
	sent := x.Now()
	leaseID, err := x.State.GrantLease(e.Duration)
	return election.LeaseGranted{LeaseID: leaseID, Sent: sent, Err: err}
}

// Claim claims the leadership.
func (x ElectionExecutor) Claim(ctx context.Context, e election.Claim) election.ClaimCompleted {
	version, ok, err := x.State.ClaimLeadership(ctx, x.Member, e)
	return election.ClaimCompleted{OK: ok, TokenVersion: version, Err: err}
}

// RenewLease renews a lease, from the sending of the request on.
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
