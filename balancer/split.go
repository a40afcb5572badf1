package balancer

import (
	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// planSplit returns the split of the owner's heaviest range, if that range is too heavy to move, or nil. A key that
// causes at least half of the range's load is isolated; otherwise the range is split at the median of its load.
func planSplit(v *serviceView, loads Loads, r *reliefPlan, maxMoves int) Proposal {
	if len(v.ranges)+2 > v.maxRanges {
		return nil
	}
	var heaviest applier.Assignment
	highest := minImprovement * r.mean * r.self.slots
	for _, a := range r.ranges {
		if rate := r.rates[a.Range]; rate > highest && a.Range.Low != a.Range.High && r.hasTargetFor(a, maxMoves) {
			heaviest, highest = a, rate
		}
	}
	if heaviest.Owner == 0 {
		return nil
	}
	return SplitRange{Split: applier.Split{
		Service:  v.self.Service,
		Range:    applier.RangeEpoch{Range: heaviest.Range, Epoch: heaviest.Epoch},
		Position: splitPosition(heaviest.Range, highest, loads.Keys),
	}}
}

// splitPosition returns the position at which to split a range. The load of keys without a known rate counts as
// uniformly distributed.
func splitPosition(whole hasher.Range, rate float64, keys []KeyRate) hasher.Position {
	var inside []KeyRate
	known := 0.0
	for _, k := range keys {
		if whole.Contains(k.Position) {
			inside = append(inside, k)
			known += k.Rate
		}
	}
	// The keys are sorted by rate, highest first.
	if len(inside) > 0 && inside[0].Rate >= rate/2 {
		return inside[0].Position
	}
	unknown := max(rate-known, 0)
	loadBelow := func(p hasher.Position) float64 {
		sum := unknown * float64(p-whole.Low) / width(whole)
		for _, k := range inside {
			if k.Position < p {
				sum += k.Rate
			}
		}
		return sum
	}
	low, high := whole.Low, whole.High
	for low < high {
		middle := low + (high-low)/2
		if loadBelow(middle) >= (unknown+known)/2 {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
