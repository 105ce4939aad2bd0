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
	// settlementWriteShare bounds the writes of settlements, as a fraction of the state service's write limit.
	settlementWriteShare = 0.02
	// maxLedgerRecordBytes bounds the size of a ledger record, because one transaction writes two records.
	maxLedgerRecordBytes = 12 << 10
	// adminRequestShare bounds the reads for operators, as a fraction of the state service's request limit. They
	// are part of the fraction that each controller may use in total.
	adminRequestShare = 0.02
	// minWriteRPS, in writes per second, avoids a division by a write limit near 0.
	minWriteRPS = 1e-3
)

// LedgerSettings returns the settings of the usage ledger. It returns nil if the ledger is disabled.
func LedgerSettings(p *Platform, o *Operator) *reconciler.LedgerSettings {
	if o.Ledger == nil {
		return nil
	}
	fairShare := defaultFairShare()
	if o.FairShare != nil {
		fairShare = *o.FairShare
	}
	teams := p.Teams()
	return &reconciler.LedgerSettings{
		Settings: ledger.Settings{
			SettleInterval: settleInterval(p, o.Ledger, len(teams)),
			HalfLife:       fairShare.HalfLife.Std(),
			Weights:        ledger.Weights{GPU: fairShare.GPUWeight, Mem: fairShare.MemoryWeight},
			MaxRecordBytes: min(int(p.StateLimits().ValueKB*bytesPerKB), maxLedgerRecordBytes),
			Retention:      ledger.Retention{Hours: o.Ledger.KeepHours.Std(), Days: o.Ledger.KeepDays.Std()},
			Hasher:         ledger.NewSegmentHasher(o.Ledger.Key),
		},
		FairShare: o.FairShare != nil,
		Weights:   teamWeights(teams, &fairShare),
		TimeOfDay: func(now time.Time) time.Time { return now },
	}
}

// settleInterval returns the time between settlements of one account. A settlement of a team's account is one
// write. If there are so many teams that the interval in the settings would exceed settlementWriteShare, it is
// lengthened.
func settleInterval(p *Platform, l *Ledger, teams int) time.Duration {
	writesPerSecond := settlementWriteShare * max(p.StateLimits().WriteRPS, minWriteRPS)
	return max(l.SettleInterval.Std(), seconds(float64(teams)/writesPerSecond))
}

// teamWeights returns the fair-share weight of each team. The default is the team's guarantee in CPUs, but at least
// 1. A team without a guarantee must not have a weight of 0, so it gets the smallest weight of the teams with a
// guarantee. If no team has a guarantee, all get the same weight.
func teamWeights(teams []model.Team, fairShare *FairShare) map[string]float64 {
	weights := map[string]float64{}
	minWeight := 0.0
	for _, t := range teams {
		if guarantee := t.Guarantee.CPU + fairShare.GPUWeight*t.Guarantee.GPU; guarantee > 0 {
			weights[t.Name] = max(guarantee, 1)
			if minWeight == 0 || weights[t.Name] < minWeight {
				minWeight = weights[t.Name]
			}
		}
	}
	for _, t := range teams {
		if _, ok := weights[t.Name]; !ok {
			weights[t.Name] = max(minWeight, 1)
		}
	}
	for _, w := range fairShare.Weights {
		weights[w.Team] = w.Value
	}
	return weights
}

// CheckConsistency returns an error if the operators' settings name a team that the platform's settings lack.
func CheckConsistency(p *Platform, o *Operator) error {
	if o.FairShare == nil {
		return nil
	}
	for _, w := range o.FairShare.Weights {
		if !slices.ContainsFunc(p.Deployment.Teams, func(t team) bool { return t.Name == w.Team }) {
			return fmt.Errorf("fair-share/weight: unknown team %q", w.Team)
		}
	}
	return nil
}

// AdminSettings returns the settings of the operators' interface. o.Admin must not be nil.
func AdminSettings(p *Platform, o *Operator) admin.Settings {
	s := admin.Settings{
		BearerToken:      o.Admin.Token,
		FairShareEnabled: o.FairShare != nil,
		ReadsPerSecond:   max(adminRequestShare*p.StateLimits().RPS, 1),
	}
	if l := LedgerSettings(p, o); l != nil {
		s.LedgerEnabled, s.HalfLife, s.Weights, s.Hasher = true, l.HalfLife, l.Weights, l.Hasher
	}
	return s
}
