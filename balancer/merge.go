package balancer

import (
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

const (
	// coldShare is the share of its owner's load up to which an isolated key counts as cooled down. It is half of
	// warmShare, so that a key near one of the thresholds isn't split and merged repeatedly.
	coldShare = warmShare / 2
	// mergeCooldowns is the number of cooldown times for which a range stays unchanged before it is merged or moved
	// for a merge.
	mergeCooldowns = 2
)

// mergePlan finds the changes that undo splits whose keys have cooled down.
type mergePlan struct {
	view     *serviceView
	rates    map[hasher.Range]float64
	total    float64
	stats    []memberStat
	mean     float64
	stable   func(applier.Assignment) bool
	isolated map[hasher.Range]bool
}

// planMerge returns the next change that undoes a split, or nil: it merges two adjacent parts of an initial range, or
// moves a part to the owner of the adjacent part.
func (p *Planner) planMerge(
	now time.Duration, s *applier.State, v *serviceView, loads Loads, maxMoves, maxMerges int,
) Proposal {
	initial := hasher.Divide(s.Configuration.Services[v.self.Service].InitialRanges)
	if len(v.ranges) <= len(initial) {
		return nil
	}
	r := &mergePlan{
		view: v, rates: loads.Ranges, isolated: isolatedRanges(s, v.self.Service),
		stable: func(a applier.Assignment) bool {
			return a.Settled() && now-p.epochs[a.Epoch] >= mergeCooldowns*p.config.Cooldown
		},
	}
	r.stats, r.mean = p.memberStats(now, v, loads)
	for _, rate := range loads.Ranges {
		r.total += rate
	}
	parent := 0
	for i := 1; i < len(v.ranges); i++ {
		lower, upper := v.ranges[i-1], v.ranges[i]
		for initial[parent].High < lower.Range.Low {
			parent++
		}
		if upper.Range.High > initial[parent].High || !r.mergeable(lower) && !r.mergeable(upper) {
			continue
		}
		switch proposal := r.mergeOrMove(lower, upper).(type) {
		case MoveRanges:
			if maxMoves > 0 {
				return proposal
			}
		case MergeRanges:
			if maxMerges > 0 {
				return proposal
			}
		}
	}
	return nil
}

// mergeable reports whether this owner may merge a range: it holds one key that is no longer warm, or more than one
// key.
func (r *mergePlan) mergeable(a applier.Assignment) bool {
	if a.Owner != r.view.self.ID || r.isolated[a.Range] || !r.stable(a) {
		return false
	}
	return a.Range.Low != a.Range.High || r.rates[a.Range] <= coldShare*r.total
}

// mergeOrMove merges two adjacent parts, or moves one of them to the owner of the other. Only the upper part moves to
// the lower one's owner, or a single key to its neighbour, so that two owners never exchange their parts. No part
// moves next to a single key, because that key may have been isolated on its owner for being hot.
func (r *mergePlan) mergeOrMove(lower, upper applier.Assignment) Proposal {
	if r.mergeable(lower) && r.mergeable(upper) {
		if r.rates[lower.Range]+r.rates[upper.Range] > maxMergedShare*r.total {
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
	singleKey := func(a applier.Assignment) bool { return a.Range.Low == a.Range.High }
	switch {
	case r.mergeable(upper) && !singleKey(lower):
		return r.moveToOwner(upper, lower.Owner)
	case r.mergeable(lower) && singleKey(lower) && !singleKey(upper):
		return r.moveToOwner(lower, upper.Owner)
	}
	return nil
}

// moveToOwner moves a part to an owner whose load stays below the overload threshold.
func (r *mergePlan) moveToOwner(a applier.Assignment, owner applier.MemberID) Proposal {
	if !slices.ContainsFunc(r.view.members, func(m *applier.Member) bool { return m.ID == owner }) {
		return nil
	}
	for _, s := range r.stats {
		if s.id == owner && s.load+r.rates[a.Range]/s.slots < overloadRatio*r.mean {
			return moveProposal(r.view, owner, []applier.Assignment{a})
		}
	}
	return nil
}

// isolatedRanges returns the single-key ranges that the configuration requires.
func isolatedRanges(s *applier.State, service string) map[hasher.Range]bool {
	isolated := map[hasher.Range]bool{}
	for _, k := range s.Configuration.KeyRanges {
		if k.Service == service {
			position := hasher.KeyPosition(k.Key)
			isolated[hasher.Range{Low: position, High: position}] = true
		}
	}
	return isolated
}
