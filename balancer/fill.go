package balancer

import (
	"cmp"
	"math"
	"slices"

	"hibiscusline/applier"
)

// fill returns the moves that give new members their fair share of ranges. All owners compute the same plan: the
// owners with the most ranges contribute down to one common level, and contributions are matched to deficits in a
// fixed order. So each owner contributes at most its surplus, and the contributions to a member add up to its deficit.
func (p *Planner) fill(v *serviceView, loads Loads) []Proposal {
	deficits, total := p.deficits(v)
	if total == 0 {
		return nil
	}
	contributed := contributions(v, total)
	from, count := 0, 0
	for _, g := range contributed {
		if g.id == v.self.ID {
			count = g.count
			break
		}
		from += g.count
	}
	if count == 0 {
		return nil
	}
	ranges := movableRanges(v, loads)
	var proposals []Proposal
	start := 0
	for _, n := range deficits {
		amount := min(from+count, start+n.count) - max(from, start)
		start += n.count
		if amount = min(amount, len(ranges)); amount <= 0 {
			continue
		}
		proposals = append(proposals, moveProposal(v, n.id, ranges[:amount]))
		ranges = ranges[amount:]
	}
	return proposals
}

// quota is the number of ranges that a member contributes or lacks.
type quota struct {
	id    applier.MemberID
	count int
}

func (p *Planner) deficits(v *serviceView) (deficits []quota, total int) {
	for _, m := range v.members {
		if deficit := v.fairShare() - v.owned[m.ID]; deficit > 0 && !p.filled[m.ID] {
			deficits = append(deficits, quota{id: m.ID, count: deficit})
			total += deficit
		}
	}
	return deficits, total
}

// contributions divides the total over the members with the most ranges, in order of joining.
func contributions(v *serviceView, total int) []quota {
	level := v.fairShare()
	highest := 0
	for _, m := range v.members {
		highest = max(highest, v.owned[m.ID])
	}
	rangesAbove := func(level int) int {
		sum := 0
		for _, m := range v.members {
			sum += max(v.owned[m.ID]-level, 0)
		}
		return sum
	}
	for low, high := level, highest; low < high; {
		middle := (low + high + 1) / 2
		if rangesAbove(middle) >= total {
			low, level = middle, middle
		} else {
			high = middle - 1
		}
	}
	surplus := max(rangesAbove(level)-total, 0)
	var contributed []quota
	for _, m := range v.members {
		count := v.owned[m.ID] - level
		if count <= 0 {
			continue
		}
		if surplus > 0 {
			surplus--
			count--
		}
		contributed = append(contributed, quota{id: m.ID, count: count})
	}
	return contributed
}

// movableRanges returns the ranges that the owner can move, those closest to the average load first, so that a subset
// carries its share of the load. A range that isn't settled can't move yet and would delay the other ranges of its
// move.
func movableRanges(v *serviceView, loads Loads) []applier.Assignment {
	sum := 0.0
	own := slices.DeleteFunc(v.ownRanges(), func(a applier.Assignment) bool { return !a.Settled() })
	for _, a := range own {
		sum += loads.Ranges[a.Range]
	}
	mean := sum / float64(max(len(own), 1))
	slices.SortStableFunc(own, func(x, y applier.Assignment) int {
		return cmp.Compare(math.Abs(loads.Ranges[x.Range]-mean), math.Abs(loads.Ranges[y.Range]-mean))
	})
	return own
}

func (v *serviceView) ownRanges() []applier.Assignment {
	var own []applier.Assignment
	for _, a := range v.ranges {
		if a.Owner == v.self.ID {
			own = append(own, a)
		}
	}
	return own
}

func moveProposal(v *serviceView, to applier.MemberID, ranges []applier.Assignment) MoveRanges {
	m := applier.Move{Service: v.self.Service, From: v.self.ID, To: to}
	for _, a := range ranges {
		m.Ranges = append(m.Ranges, applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch})
	}
	return MoveRanges{Move: m}
}
