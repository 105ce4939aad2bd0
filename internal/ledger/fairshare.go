package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// FairShare is a team's place by fair share.
type FairShare struct {
	Team          string
	Weight        float64 // its part of all weights
	DecayedUsage  uint64  // its decayed use, in CPU-microseconds by the weights
	UsageFraction float64 // its part of all decayed use
	Factor        float64 // 2^-(Part/Weight): 1 for a team without use, 1/2 for one at its share
	Band          int     // teams with a lower one go first in what goes beyond guarantees
	Rank          int     // by factor, from 1
}

// maxBand bounds the bands: beyond eight times its share a team is last anyway.
const maxBand = 3

// band is how far beyond its share a team is: 0 within it, then up to twice, up to four
// times, and more. Teams of one band compete by slack, as the design has it.
func band(part, weight float64) int {
	if part <= weight {
		return 0
	}
	if weight <= 0 {
		return maxBand
	}
	return min(int(math.Ceil(math.Log2(part/weight))), maxBand)
}

// minTotalUsage is the use of all teams together, in CPU-microseconds by the weights, below
// which nobody has had more than others that matters.
const minTotalUsage = 600 * 1_000_000

// FairShares tells the standings of teams by their weights and decayed use. Nobody's
// factor is above that of a team that never ran: what a team does not use is not saved
// up for it.
func FairShares(weights map[string]float64, decayed func(team string) uint64) []FairShare {
	var sum float64
	var all uint64
	out := make([]FairShare, 0, len(weights))
	for team, w := range weights {
		s := FairShare{Team: team, Weight: w, DecayedUsage: decayed(team)}
		sum += w
		all += s.DecayedUsage
		out = append(out, s)
	}
	for i := range out {
		s := &out[i]
		if sum > 0 {
			s.Weight /= sum
		}
		s.Factor = 1
		if all >= minTotalUsage {
			s.UsageFraction = float64(s.DecayedUsage) / float64(all)
			if s.Weight > 0 {
				s.Factor = math.Exp2(-s.UsageFraction / s.Weight)
			} else if s.DecayedUsage > 0 {
				s.Factor = 0
			}
			s.Band = band(s.UsageFraction, s.Weight)
		}
	}
	slices.SortFunc(out, func(x, y FairShare) int {
		return cmp.Or(cmp.Compare(y.Factor, x.Factor), cmp.Compare(x.Team, y.Team))
	})
	for i := range out {
		out[i].Rank = i + 1
		if i > 0 && out[i].Factor == out[i-1].Factor {
			out[i].Rank = out[i-1].Rank
		}
	}
	return out
}

// DecayedUsage is a team's decayed use as of now, with what is not on record yet, in
// CPU-microseconds by the weights.
func (b *Accounts) DecayedUsage(now time.Time, team string) uint64 {
	a := b.byTeam[team]
	if a == nil {
		return 0
	}
	v := decay(a.record.DecayedUsage, now.Sub(a.asOf), b.settings.HalfLife)
	return v + b.settings.Weights.cost(b.UnrecordedUsage(team))
}
