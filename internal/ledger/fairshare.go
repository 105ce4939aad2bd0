package ledger

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxBand is the highest band: beyond eight times its share a team is served last anyway.
	maxBand = 3

	// minTotalUsage is the decayed usage of all teams together, in weighted CPU-microseconds, below which no team has
	// used notably more than others.
	minTotalUsage = 600 * 1_000_000
)

// FairShare is how a team's decayed usage relates to its fair share.
type FairShare struct {
	Team          string
	Weight        float64 // its fraction of all weights
	DecayedUsage  uint64  // in weighted CPU-microseconds
	UsageFraction float64 // its fraction of all decayed usage
	Factor        float64 // 2^-(UsageFraction/Weight): 1 without usage, 1/2 at its share
	Band          int     // of work beyond guarantees, teams with a lower band are served first
	Rank          int     // by factor, from 1
}

// FairShares compares teams by their weights and decayed usage, best factor first. What a team does not use is not
// saved up for it: no factor is above that of a team that never ran anything.
func FairShares(weights map[string]float64, decayedUsage func(team string) uint64) []FairShare {
	var totalWeight float64
	var totalUsage uint64
	shares := make([]FairShare, 0, len(weights))
	for team, weight := range weights {
		share := FairShare{Team: team, Weight: weight, DecayedUsage: decayedUsage(team)}
		totalWeight += weight
		totalUsage += share.DecayedUsage
		shares = append(shares, share)
	}
	for i := range shares {
		shares[i].compute(totalWeight, totalUsage)
	}
	slices.SortFunc(shares, func(a, b FairShare) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Team, b.Team))
	})
	for i := range shares {
		shares[i].Rank = i + 1
		if i > 0 && shares[i].Factor == shares[i-1].Factor {
			shares[i].Rank = shares[i-1].Rank
		}
	}
	return shares
}

// compute turns the weight into a fraction and fills in what depends on the totals of all teams.
func (s *FairShare) compute(totalWeight float64, totalUsage uint64) {
	if totalWeight > 0 {
		s.Weight /= totalWeight
	}
	s.Factor = 1
	if totalUsage < minTotalUsage {
		return
	}
	s.UsageFraction = float64(s.DecayedUsage) / float64(totalUsage)
	if s.Weight > 0 {
		s.Factor = math.Exp2(-s.UsageFraction / s.Weight)
	} else if s.DecayedUsage > 0 {
		s.Factor = 0
	}
	s.Band = band(s.UsageFraction, s.Weight)
}

// band is how far a team is beyond its share: 0 within it, 1 up to twice, 2 up to four times, 3 beyond that. Teams of
// one band compete by slack.
func band(usageFraction, weight float64) int {
	if usageFraction <= weight {
		return 0
	}
	if weight <= 0 {
		return maxBand
	}
	return min(int(math.Ceil(math.Log2(usageFraction/weight))), maxBand)
}
