package ledger

import (
	"slices"
	"time"
)

// accountState is how a team's account relates to its record.
type accountState uint8

// The states of an account.
const (
	accountClean        accountState = iota + 1 // everything is on record
	accountCharged                              // has charges that are not on record
	accountSettling                             // a settlement is pending; later charges gather behind it
	accountUnreconciled                         // the record is not what the settlement is based on: it has to be read
)

// accountTransitions lists the states that may follow each state. A clean account is settled to record its decay.
var accountTransitions = map[accountState][]accountState{
	accountClean:        {accountCharged, accountSettling},
	accountCharged:      {accountSettling},
	accountSettling:     {accountClean, accountCharged, accountUnreconciled},
	accountUnreconciled: {accountClean, accountCharged, accountSettling},
}

// account is one team's account: what is on record, at most one pending settlement, and what was charged since.
type account struct {
	state     accountState // changed by transition only
	record    OpenSegment  // as far as is known
	version   uint64       // of the record; 0: there is none
	asOf      time.Time    // of the monotonic clock, when record.DecayedUsage was right
	pending   *Settlement
	unsettled []ClassUsage // charged, and neither on record nor pending

	unreadable        bool      // this program version cannot read the record, so it is left as it is
	unreconciledSince time.Time // in accountUnreconciled
}

// transition changes the account's state, and reports whether the change is allowed.
func (a *account) transition(to accountState) bool {
	if a.state == to {
		return true
	}
	if !slices.Contains(accountTransitions[a.state], to) {
		return false
	}
	a.state = to
	return true
}

// clearPending forgets the pending settlement.
func (a *account) clearPending() {
	a.pending = nil
	if len(a.unsettled) > 0 {
		a.transition(accountCharged)
	} else {
		a.transition(accountClean)
	}
}
