package balancer

import (
	"cmp"
	"math"
	"slices"

	"hibiscusline/applier"
)

// fill returns the moves that give new members their fair share of ranges. All owners compute the same plan: the owners
// with the most ranges give down to one common level, and gifts and needs are matched in a fixed order. So each owner
// gives at most its surplus, and the gifts to a member add up to its need.
func (p *Planner) fill(v *view, loads Loads) []Proposal {
	needs, total := p.needs(v)
	if total == 0 {
		return nil
	}
	gifts := giftsOf(v, total)
	from, count := 0, 0
	for _, g := range gifts {
		if g.id == v.self.ID {
			count = g.count
			break
		}
		from += g.count
	}
	if count == 0 {
		return nil
	}
	ranges := givable(v, loads)
	var proposals []Proposal
	start := 0
	for _, n := range needs {
		amount := min(from+count, start+n.count) - max(from, start)
		start += n.count
		if amount = min(amount, len(ranges)); amount <= 0 {
			continue
		}
		proposals = append(proposals, move(v, n.id, ranges[:amount]))
		ranges = ranges[amount:]
	}
	return proposals
}

// portion is a number of ranges that a member gives or needs.
type portion struct {
	id    applier.MemberID
	count int
}

func (p *Planner) needs(v *view) (needs []portion, total int) {
	for _, m := range v.members {
		if need := v.fair() - v.owned[m.ID]; need > 0 && !p.known[m.ID] {
			needs = append(needs, portion{id: m.ID, count: need})
			total += need
		}
	}
	return needs, total
}

// giftsOf divides the total over the members with the most ranges, in order of joining.
func giftsOf(v *view, total int) []portion {
	level := v.fair()
	highest := 0
	for _, m := range v.members {
		highest = max(highest, v.owned[m.ID])
	}
	above := func(level int) int {
		sum := 0
		for _, m := range v.members {
			sum += max(v.owned[m.ID]-level, 0)
		}
		return sum
	}
	for low, high := level, highest; low < high; {
		middle := (low + high + 1) / 2
		if above(middle) >= total {
			low, level = middle, middle
		} else {
			high = middle - 1
		}
	}
	surplus := max(above(level)-total, 0)
	var gifts []portion
	for _, m := range v.members {
		count := v.owned[m.ID] - level
		if count <= 0 {
			continue
		}
		if surplus > 0 {
			surplus--
			count--
		}
		gifts = append(gifts, portion{id: m.ID, count: count})
	}
	return gifts
}

// givable lists the own ranges, those of average load first, so that a gift of some ranges carries its share of the load.
// A range that isn't settled can't be moved yet, and would hold up the others of its move.
func givable(v *view, loads Loads) []applier.Assignment {
	sum := 0.0
	own := slices.DeleteFunc(v.own(), func(a applier.Assignment) bool { return !a.Settled() })
	for _, a := range own {
		sum += loads.Ranges[a.Range]
	}
	mean := sum / float64(max(len(own), 1))
	slices.SortStableFunc(own, func(x, y applier.Assignment) int {
		return cmp.Compare(math.Abs(loads.Ranges[x.Range]-mean), math.Abs(loads.Ranges[y.Range]-mean))
	})
	return own
}

func (v *view) own() []applier.Assignment {
	var own []applier.Assignment
	for _, a := range v.ranges {
		if a.Owner == v.self.ID {
			own = append(own, a)
		}
	}
	return own
}

func move(v *view, to applier.MemberID, ranges []applier.Assignment) MoveRanges {
	m := applier.Move{Service: v.self.Service, From: v.self.ID, To: to}
	for _, a := range ranges {
		m.Ranges = append(m.Ranges, applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch})
	}
	return MoveRanges{Move: m}
}
