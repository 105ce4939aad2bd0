package ledger

import (
	"slices"
	"time"
)

// accountState says how a team's account in the leader's memory relates to its stored record.
type accountState uint8

// The states of an account.
const (
	accountClean        accountState = iota + 1 // all charges are in the record
	accountCharged                              // some charges are not in the record; no settlement is pending
	accountSettling                             // a settlement is pending; later charges wait for the next one
	accountUnreconciled                         // the pending settlement was refused; the record has to be read
)

// accountTransitions lists the states that may follow each state. A clean account can be settled too, because the
// decay of its usage is recorded from time to time.
var accountTransitions = map[accountState][]accountState{
	accountClean:        {accountCharged, accountSettling},
	accountCharged:      {accountSettling},
	accountSettling:     {accountClean, accountCharged, accountUnreconciled},
	accountUnreconciled: {accountClean, accountCharged, accountSettling},
}

// teamAccount is one team's account. Its usage is the sum of the stored record, at most one pending settlement, and
// the charges that neither contains.
type teamAccount struct {
	state      accountState // changed only by transition
	record     OpenSegment  // the latest known content of the stored record
	version    uint64       // version of the stored record; 0 if there is none
	recordAsOf time.Time    // time on the monotonic clock at which record.DecayedUsage was computed
	pending    *Settlement  // settlement with an unknown outcome; nil if there is none
	unsettled  []ClassUsage // charges that are neither in the record nor in the pending settlement

	unreadable        bool      // this program version cannot read the record, so the account is never settled
	unreconciledSince time.Time // when the account became accountUnreconciled; valid only in that state
}

// transition changes the account's state if the change is allowed, and reports whether the account is in the new
// state.
func (a *teamAccount) transition(to accountState) bool {
	if a.state == to {
		return true
	}
	if !slices.Contains(accountTransitions[a.state], to) {
		return false
	}
	a.state = to
	return true
}

// clearPending removes the pending settlement and sets the state according to the charges that remain unsettled.
func (a *teamAccount) clearPending() {
	a.pending = nil
	if len(a.unsettled) > 0 {
		a.transition(accountCharged)
	} else {
		a.transition(accountClean)
	}
}
