package constraint

import (
	"iter"
	"math/bits"
)

// The bounds of the search for the smallest conflict.
const (
	maxRounds = 200
	maxSteps  = 20_000
)

// conditionSet is a set of conditions of a problem: bit i stands for the condition with index i.
type conditionSet uint64

// allConditions is the set of all conditions. Their number is bounded by that of clauses.
func (p *problem) allConditions() conditionSet { return conditionSet(1)<<len(p.conditions) - 1 }

// size is the number of conditions in the set.
func (s conditionSet) size() int { return bits.OnesCount64(uint64(s)) }

// lowest is the set of the first condition of a set that is not empty.
func (s conditionSet) lowest() conditionSet { return s & -s }

// singles yields the sets of one condition each.
func (s conditionSet) singles() iter.Seq[conditionSet] {
	return func(yield func(conditionSet) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(rest.lowest()) {
				return
			}
		}
	}
}

// indices yields the indices of the conditions.
func (s conditionSet) indices() iter.Seq[int] {
	return func(yield func(int) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(bits.TrailingZeros64(uint64(rest))) {
				return
			}
		}
	}
}

// smallestConflict finds the smallest infeasible subset of an infeasible set; exact is false where the search was given
// up, and the subset is merely one of which nothing can be left out.
//
// A set that intersects the complement of every maximal feasible set is infeasible, and the other way round. So the
// search takes the smallest set that intersects the complements found so far (a hitting set) and, while that is
// feasible, extends it to a maximal feasible set, whose complement is the next one.
func (p *problem) smallestConflict(all conditionSet) (conflict conditionSet, exact bool) {
	var complements []conditionSet
	steps := maxSteps
	for range maxRounds {
		candidate := smallestHittingSet(complements, all, &steps)
		if steps <= 0 {
			break
		}
		if !p.feasible(candidate) {
			return candidate, true
		}
		complements = append(complements, all&^p.extend(candidate, all))
	}
	return p.shrink(all), false
}

// extend adds conditions to a feasible set as long as it stays feasible.
func (p *problem) extend(feasible, all conditionSet) conditionSet {
	for single := range (all &^ feasible).singles() {
		if p.feasible(feasible | single) {
			feasible |= single
		}
	}
	return feasible
}

// shrink removes conditions from an infeasible set as long as it stays infeasible.
func (p *problem) shrink(infeasible conditionSet) conditionSet {
	for single := range infeasible.singles() {
		if !p.feasible(infeasible &^ single) {
			infeasible &^= single
		}
	}
	return infeasible
}

// smallestHittingSet is the smallest set that intersects each of some sets. Each step is taken off steps; once none are
// left the result means nothing.
func smallestHittingSet(sets []conditionSet, all conditionSet, steps *int) conditionSet {
	for size := 0; ; size++ {
		hitting, found := hittingSet(sets, 0, size, steps)
		if found || *steps <= 0 || size > all.size() {
			return hitting
		}
	}
}

// hittingSet extends a set by at most some conditions to one that intersects each of the sets.
func hittingSet(sets []conditionSet, chosen conditionSet, left int, steps *int) (hitting conditionSet, found bool) {
	if *steps--; *steps <= 0 {
		return 0, false
	}
	missed, ok := smallestMissed(sets, chosen)
	if !ok {
		return chosen, true
	}
	if left == 0 {
		return 0, false
	}
	for single := range missed.singles() {
		if hitting, found := hittingSet(sets, chosen|single, left-1, steps); found {
			return hitting, true
		}
	}
	return 0, false
}

// smallestMissed is the smallest of the sets that do not intersect the chosen one; ok is false where all do.
func smallestMissed(sets []conditionSet, chosen conditionSet) (missed conditionSet, ok bool) {
	for _, s := range sets {
		if s&chosen == 0 && (!ok || s.size() < missed.size()) {
			missed, ok = s, true
		}
	}
	return missed, ok
}
