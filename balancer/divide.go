package balancer

import (
	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// divide returns the split of the heaviest range that an owner would give away if it were lighter, or nil. A key that
// explains half of the range's load is isolated; otherwise the range is divided where half of its load lies on either side.
func divide(v *view, loads Loads, r *relief, most int) Proposal {
	if len(v.ranges)+2 > v.bound {
		return nil
	}
	var heaviest applier.Assignment
	highest := leastImprovement * r.mean * r.self.slots
	for _, a := range r.ranges {
		if rate := r.rates[a.Range]; rate > highest && a.Range.Low != a.Range.High && r.room(a, most) {
			heaviest, highest = a, rate
		}
	}
	if heaviest.Owner == 0 {
		return nil
	}
	return SplitRange{Split: applier.Split{
		Service:  v.self.Service,
		Range:    applier.RangeEpoch{Range: heaviest.Range, Epoch: heaviest.Epoch},
		Position: dividing(heaviest.Range, highest, loads.Keys),
	}}
}

// dividing returns the position at which to split a range. The load of keys whose rates aren't known counts as spread
// evenly.
func dividing(whole hasher.Range, rate float64, keys []KeyRate) hasher.Position {
	var inside []KeyRate
	known := 0.0
	for _, k := range keys {
		if whole.Contains(k.Position) {
			inside = append(inside, k)
			known += k.Rate
		}
	}
	// The hottest key comes first.
	if len(inside) > 0 && inside[0].Rate >= rate/2 {
		return inside[0].Position
	}
	rest := max(rate-known, 0)
	below := func(p hasher.Position) float64 {
		sum := rest * float64(p-whole.Low) / width(whole)
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
		if below(middle) >= (rest+known)/2 {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
