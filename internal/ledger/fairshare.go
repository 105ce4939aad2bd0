package ledger

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxBand is the highest fair-share band. It holds all teams that have used more than four times their share. A
	// team beyond eight times its share is served last anyway, so there are no higher bands.
	maxBand = 3

	// minTotalUsage is the decayed usage of all teams together, in weighted CPU-microseconds, below which all teams
	// get the same factor and band. It is 10 CPU-minutes: with less, no team has used significantly more than others.
	minTotalUsage = 600 * 1_000_000
)

// FairShare compares a team's decayed usage with its fair share of all usage.
type FairShare struct {
	Team          string
	Weight        float64 // the team's fraction of the weights of all teams
	DecayedUsage  uint64  // in weighted CPU-microseconds
	UsageFraction float64 // the team's fraction of all decayed usage; 0 if all teams together are below minTotalUsage
	Factor        float64 // 2^-(UsageFraction/Weight): 1 without usage, 1/2 if the team has used exactly its share
	Band          int     // work beyond guarantees is served in ascending order of its team's band
	Rank          int     // position by descending Factor, starting at 1; teams with equal factors share a rank
}

// FairShares returns the fair shares of all teams in descending order of Factor. weights holds the weight of each
// team by its name, and decayedUsage returns a team's decayed usage in weighted CPU-microseconds. Unused shares do
// not accumulate: no team has a higher factor than one that never ran anything.
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

// compute normalizes the weight to a fraction of totalWeight and fills in UsageFraction, Factor and Band.
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

// band returns the fair-share band of a team: 0 if it has used no more than its share, 1 up to twice its share, 2 up
// to four times its share, and 3 beyond that. The work of teams in the same band is ordered by slack.
func band(usageFraction, weight float64) int {
	if usageFraction <= weight {
		return 0
	}
	if weight <= 0 {
		return maxBand
	}
	return min(int(math.Ceil(math.Log2(usageFraction/weight))), maxBand)
}
