package constraint

import (
	"iter"
	"math/bits"
)

// Bounds of the search for the smallest conflict.
const (
	maxSearchRounds = 200    // hitting sets that are computed
	maxSearchSteps  = 20_000 // calls of hittingSet in all rounds together
)

// conditionSet is a bit set of conditions of a problem: bit i stands for the condition with index i.
type conditionSet uint64

// allConditions returns the set of all conditions of the problem. They fit into a conditionSet because the number of
// conditions is bounded by maxClauses and the few other fields of a job that add one.
func (p *problem) allConditions() conditionSet { return conditionSet(1)<<len(p.conditions) - 1 }

// size returns the number of conditions in the set.
func (s conditionSet) size() int { return bits.OnesCount64(uint64(s)) }

// lowest returns the set that contains only the condition with the lowest index in s. s must not be empty.
func (s conditionSet) lowest() conditionSet { return s & -s }

// singletons yields a set of its own for each condition in s, in the order of their indices.
func (s conditionSet) singletons() iter.Seq[conditionSet] {
	return func(yield func(conditionSet) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(rest.lowest()) {
				return
			}
		}
	}
}

// indices yields the indices of the conditions in s in ascending order.
func (s conditionSet) indices() iter.Seq[int] {
	return func(yield func(int) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(bits.TrailingZeros64(uint64(rest))) {
				return
			}
		}
	}
}

// smallestConflict returns the smallest infeasible subset of an infeasible set. exact is false if the search reached
// its bounds. The returned subset is then only minimal: it becomes feasible when any one condition is removed, but a
// smaller conflict may exist.
//
// A set is infeasible if and only if it intersects the complement of every maximal feasible set. The search therefore
// computes the smallest set that intersects all complements found so far (a minimum hitting set). If that set is
// infeasible, it is the result. If it is feasible, the search extends it to a maximal feasible set, adds the
// complement of that to the complements and repeats.
func (p *problem) smallestConflict(all conditionSet) (conflict conditionSet, exact bool) {
	var complements []conditionSet
	stepsLeft := maxSearchSteps
	for range maxSearchRounds {
		candidate := smallestHittingSet(complements, all, &stepsLeft)
		if stepsLeft <= 0 {
			break
		}
		if !p.feasible(candidate) {
			return candidate, true
		}
		complements = append(complements, all&^p.extend(candidate, all))
	}
	return p.shrink(all), false
}

// extend returns a maximal feasible superset of a feasible set: it adds every condition that keeps the set feasible.
func (p *problem) extend(feasible, all conditionSet) conditionSet {
	for singleton := range (all &^ feasible).singletons() {
		if p.feasible(feasible | singleton) {
			feasible |= singleton
		}
	}
	return feasible
}

// shrink returns a minimal infeasible subset of an infeasible set: it removes every condition without which the set
// stays infeasible.
func (p *problem) shrink(infeasible conditionSet) conditionSet {
	for singleton := range infeasible.singletons() {
		if !p.feasible(infeasible &^ singleton) {
			infeasible &^= singleton
		}
	}
	return infeasible
}

// smallestHittingSet returns the smallest set that intersects each of the given sets. It decrements stepsLeft with
// each step of the search. If stepsLeft reaches 0 the result is meaningless.
func smallestHittingSet(sets []conditionSet, all conditionSet, stepsLeft *int) conditionSet {
	for size := 0; ; size++ {
		hitting, found := hittingSet(sets, 0, size, stepsLeft)
		if found || *stepsLeft <= 0 || size > all.size() {
			return hitting
		}
	}
}

// hittingSet extends chosen by at most maxAdded conditions to a set that intersects each of the given sets. found is
// false if there is no such set or stepsLeft reaches 0.
func hittingSet(
	sets []conditionSet, chosen conditionSet, maxAdded int, stepsLeft *int,
) (hitting conditionSet, found bool) {
	if *stepsLeft--; *stepsLeft <= 0 {
		return 0, false
	}
	missed, ok := smallestMissed(sets, chosen)
	if !ok {
		return chosen, true
	}
	if maxAdded == 0 {
		return 0, false
	}
	for singleton := range missed.singletons() {
		if hitting, found := hittingSet(sets, chosen|singleton, maxAdded-1, stepsLeft); found {
			return hitting, true
		}
	}
	return 0, false
}

// smallestMissed returns the smallest of the given sets that do not intersect chosen. ok is false if all of them do.
func smallestMissed(sets []conditionSet, chosen conditionSet) (missed conditionSet, ok bool) {
	for _, s := range sets {
		if s&chosen == 0 && (!ok || s.size() < missed.size()) {
			missed, ok = s, true
		}
	}
	return missed, ok
}
