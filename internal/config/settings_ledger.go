package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
)

const (
	// settlementChangeShare is the share of the state service's changes that
	// settlements take at the most.
	settlementChangeShare = 0.02
	// maxLedgerRecordBytes bounds a ledger record: two go into one transaction.
	maxLedgerRecordBytes = 12 << 10
	// adminRequestShare is the share of the state service's requests that operators'
	// reads take at the most, out of the share that a controller has anyway.
	adminRequestShare = 0.02
	// minWriteRPS keeps quotients by the limit on changes finite.
	minWriteRPS = 1e-3
)

// LedgerSettings returns the settings of the accounting; nil: no ledger is kept.
func LedgerSettings(p *Platform, o *Operator) *reconciler.LedgerSettings {
	if o.Ledger == nil {
		return nil
	}
	share := defaultFairShare()
	if o.FairShare != nil {
		share = *o.FairShare
	}
	teams := p.Teams()
	return &reconciler.LedgerSettings{
		Settings: ledger.Settings{
			SettleInterval: settleInterval(p, o.Ledger, len(teams)),
			HalfLife:       share.HalfLife.Std(),
			Weights:        ledger.Weights{GPU: share.GPUWeight, Mem: share.MemoryWeight},
			MaxRecordBytes: min(int(p.StateLimits().ValueKB*bytesPerKB), maxLedgerRecordBytes),
			Retention:      ledger.Retention{Hours: o.Ledger.KeepHours.Std(), Days: o.Ledger.KeepDays.Std()},
			Seal:           ledger.NewSeal(o.Ledger.Key),
		},
		FairShare: o.FairShare != nil,
		Weights:   teamWeights(teams, &share),
		TimeOfDay: func(now time.Time) time.Time { return now },
	}
}

// settleInterval returns the time between settlements of an account. Each team's
// settlement is one change, so many teams stretch the interval that operators set.
func settleInterval(p *Platform, l *Ledger, teams int) time.Duration {
	changesPerSecond := settlementChangeShare * max(p.StateLimits().WriteRPS, minWriteRPS)
	return max(l.SettleInterval.Std(), Seconds(float64(teams)/changesPerSecond))
}

// teamWeights returns the teams' weights in fair share. By default it is a team's
// guarantee. A team without one must not count for nothing beside the others: it
// weighs as much as the least of those that have one, and where no team has one all
// weigh alike.
func teamWeights(teams []model.Team, share *FairShare) map[string]float64 {
	weights := map[string]float64{}
	least := 0.0
	for _, t := range teams {
		if guarantee := t.Guarantee.CPU + share.GPUWeight*t.Guarantee.GPU; guarantee > 0 {
			weights[t.Name] = max(guarantee, 1)
			if least == 0 || weights[t.Name] < least {
				least = weights[t.Name]
			}
		}
	}
	for _, t := range teams {
		if _, ok := weights[t.Name]; !ok {
			weights[t.Name] = max(least, 1)
		}
	}
	for _, w := range share.Weights {
		weights[w.Team] = w.Value
	}
	return weights
}

// CheckConsistency checks the operators' file against the platform's.
func CheckConsistency(p *Platform, o *Operator) error {
	if o.FairShare == nil {
		return nil
	}
	for _, w := range o.FairShare.Weights {
		if !slices.ContainsFunc(p.Deployment.Teams, func(t team) bool { return t.Name == w.Team }) {
			return fmt.Errorf("fair-share: there is no team %q to have a weight", w.Team)
		}
	}
	return nil
}

// AdminSettings returns the settings of the operators' interface.
func AdminSettings(p *Platform, o *Operator) admin.Settings {
	s := admin.Settings{
		BearerToken:      o.Admin.Token,
		FairShareEnabled: o.FairShare != nil,
		ReadsPerSecond:   max(adminRequestShare*p.StateLimits().RPS, 1),
	}
	if l := LedgerSettings(p, o); l != nil {
		s.LedgerEnabled, s.HalfLife, s.Weights, s.Seal = true, l.HalfLife, l.Weights, l.Seal
	}
	return s
}
