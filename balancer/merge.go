package balancer

import (
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

const (
	// coldShare is the share of its owner's load up to which a key that was isolated counts as cooled down. It is half of
	// warmShare, so that a key near one of the thresholds isn't split and merged in turns.
	coldShare = warmShare / 2
	// mergeResidence is how many residence times a part stays as it is before it is merged or moved for a merge.
	mergeResidence = 2
)

// reunion finds the changes that undo splits whose keys have cooled down.
type reunion struct {
	view      *view
	rates     map[hasher.Range]float64
	total     float64
	standings []standing
	mean      float64
	settled   func(applier.Assignment) bool
	fixed     map[hasher.Range]bool
}

// reunite returns the next change that undoes a split, or nil: it merges two adjacent parts of an initial range, or moves
// a part to the owner of the part beside it.
func (p *Planner) reunite(now time.Duration, s *applier.State, v *view, loads Loads, moves, merges int) Proposal {
	initial := hasher.Divide(s.Configuration.Services[v.self.Service].InitialRanges)
	if len(v.ranges) <= len(initial) {
		return nil
	}
	r := &reunion{
		view: v, rates: loads.Ranges, fixed: fixedPositions(s, v.self.Service),
		settled: func(a applier.Assignment) bool {
			return a.Settled() && now-p.epochs[a.Epoch] >= mergeResidence*p.config.Cooldown
		},
	}
	r.standings, r.mean = p.standings(now, v, loads)
	for _, rate := range loads.Ranges {
		r.total += rate
	}
	block := 0
	for i := 1; i < len(v.ranges); i++ {
		lower, upper := v.ranges[i-1], v.ranges[i]
		for initial[block].High < lower.Range.Low {
			block++
		}
		if upper.Range.High > initial[block].High || !r.movable(lower) && !r.movable(upper) {
			continue
		}
		switch proposal := r.pair(lower, upper).(type) {
		case MoveRanges:
			if moves > 0 {
				return proposal
			}
		case MergeRanges:
			if merges > 0 {
				return proposal
			}
		}
	}
	return nil
}

// movable reports whether a range is a part that this owner may merge: a key that is no longer warm, or more than a key.
func (r *reunion) movable(a applier.Assignment) bool {
	if a.Owner != r.view.self.ID || r.fixed[a.Range] || !r.settled(a) {
		return false
	}
	return a.Range.Low != a.Range.High || r.rates[a.Range] <= coldShare*r.total
}

// pair joins two parts, or brings them to one owner. Only the upper part moves to the lower one's owner, or a single key to
// its neighbour, so that two owners never exchange their parts. Nothing moves to a single key, which its owner may have
// because it is hot.
func (r *reunion) pair(lower, upper applier.Assignment) Proposal {
	if r.movable(lower) && r.movable(upper) {
		if r.rates[lower.Range]+r.rates[upper.Range] > hotShare*r.total {
			return nil
		}
		return MergeRanges{Merge: applier.Merge{
			Service: r.view.self.Service,
			Lower:   applier.RangeEpoch{Range: lower.Range, Epoch: lower.Epoch},
			Upper:   applier.RangeEpoch{Range: upper.Range, Epoch: upper.Epoch},
		}}
	}
	if lower.Owner == upper.Owner {
		return nil
	}
	single := func(a applier.Assignment) bool { return a.Range.Low == a.Range.High }
	switch {
	case r.movable(upper) && !single(lower):
		return r.moveBeside(upper, lower.Owner)
	case r.movable(lower) && single(lower) && !single(upper):
		return r.moveBeside(lower, upper.Owner)
	}
	return nil
}

// moveBeside moves a part to an owner that stays below the load from which owners give ranges away.
func (r *reunion) moveBeside(a applier.Assignment, owner applier.MemberID) Proposal {
	if !slices.ContainsFunc(r.view.members, func(m *applier.Member) bool { return m.ID == owner }) {
		return nil
	}
	for _, s := range r.standings {
		if s.id == owner && s.load+r.rates[a.Range]/s.slots < overloadRatio*r.mean {
			return move(r.view, owner, []applier.Assignment{a})
		}
	}
	return nil
}

// fixedPositions returns the ranges that the configuration isolates.
func fixedPositions(s *applier.State, service string) map[hasher.Range]bool {
	fixed := map[hasher.Range]bool{}
	for _, k := range s.Configuration.KeyRanges {
		if k.Service == service {
			position := hasher.KeyPosition(k.Key)
			fixed[hasher.Range{Low: position, High: position}] = true
		}
	}
	return fixed
}
