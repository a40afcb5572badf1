package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hibiscusline/applier"
)

// standing is a member's load per slot.
type standing struct {
	id     applier.MemberID
	slots  float64
	load   float64 // requests/s and slot
	target bool
}

// relieve returns the change that lowers the owner's load most, or nil.
func (p *Planner) relieve(now time.Duration, v *view, loads Loads) Proposal {
	standings, mean := p.standings(now, v, loads)
	i := slices.IndexFunc(standings, func(s standing) bool { return s.id == v.self.ID })
	if i < 0 || len(standings) < 2 || mean <= 0 || standings[i].load < overloadRatio*mean {
		return nil
	}
	self := standings[i]
	if split := hotKey(v, loads, hotShare*self.load*self.slots); split != nil {
		return split
	}
	target, found := targetOf(standings, v.self.ID, mean)
	if !found {
		return nil
	}
	if ranges := p.relief(now, v, loads, self, target, mean); len(ranges) > 0 {
		return move(v, target.id, ranges)
	}
	return hotKey(v, loads, warmShare*self.load*self.slots)
}

// standings returns the members whose load is known, highest load first, and their mean load per slot. Members that got
// ranges lately are no targets, since their reported load doesn't show it.
func (p *Planner) standings(now time.Duration, v *view, loads Loads) ([]standing, float64) {
	latest := map[applier.MemberID]time.Duration{}
	for _, a := range v.ranges {
		latest[a.Owner] = max(latest[a.Owner], p.epochs[a.Epoch])
	}
	var standings []standing
	rates, slots := 0.0, 0.0
	for _, m := range v.members {
		rate, known := 0.0, true
		if m.ID == v.self.ID {
			for _, a := range v.own() {
				rate += loads.Ranges[a.Range]
			}
		} else {
			report, present := loads.Members[m.ID]
			rate, known = report.Rate, present && report.Age <= staleLoad
		}
		if !known {
			continue
		}
		s := standing{id: m.ID, slots: float64(max(m.Slots, 1)), target: now-latest[m.ID] >= p.config.Settle}
		s.load = rate / s.slots
		rates, slots = rates+rate, slots+s.slots
		standings = append(standings, s)
	}
	if rates < leastRate*float64(len(standings)) {
		return nil, 0
	}
	slices.SortFunc(standings, func(x, y standing) int { return cmp.Or(cmp.Compare(y.load, x.load), cmp.Compare(x.id, y.id)) })
	return standings, rates / slots
}

// targetOf pairs the overloaded members with the others: the most loaded one with the least loaded target, the second
// with the second, and so on, so that two owners don't choose the same target. An owner without a partner waits.
func targetOf(standings []standing, self applier.MemberID, mean float64) (standing, bool) {
	turn := 0
	for _, s := range standings {
		if s.id == self {
			break
		}
		turn++
	}
	for i := len(standings) - 1; i >= 0 && standings[i].load < mean; i-- {
		if !standings[i].target {
			continue
		}
		if turn == 0 {
			return standings[i], true
		}
		turn--
	}
	return standing{}, false
}

// relief returns the ranges to move to a target: one after the other the range that leaves the higher of the two loads
// lowest, until the owner is no longer overloaded. It returns none when all together improve too little. The last range
// stays, since a member without ranges counts as new.
func (p *Planner) relief(
	now time.Duration, v *view, loads Loads, self, target standing, mean float64,
) (ranges []applier.Assignment) {
	own := v.own()
	most := min(maxRanges, len(own)-1)
	own = slices.DeleteFunc(own, func(a applier.Assignment) bool { return now-p.epochs[a.Epoch] < p.config.Residence })
	highest := self.load
	for len(own) > 0 && len(ranges) < most && self.load >= overloadRatio*mean {
		i, peak := bestRange(own, loads, self, target)
		if peak >= max(self.load, target.load) {
			break
		}
		rate := loads.Ranges[own[i].Range]
		self.load -= rate / self.slots
		target.load += rate / target.slots
		ranges = append(ranges, own[i])
		own = slices.Delete(own, i, i+1)
	}
	if highest-max(self.load, target.load) < leastImprovement*mean {
		return nil
	}
	return ranges
}

// bestRange returns the index of the range whose move leaves the higher of the two loads lowest, and that load.
func bestRange(own []applier.Assignment, loads Loads, self, target standing) (best int, lowest float64) {
	lowest = math.Inf(1)
	for i, a := range own {
		rate := loads.Ranges[a.Range]
		if peak := max(self.load-rate/self.slots, target.load+rate/target.slots); peak < lowest {
			best, lowest = i, peak
		}
	}
	return best, lowest
}

// hotKey returns the split that isolates the hottest key of at least a rate that isn't isolated, if there is one and the
// service may have more ranges.
func hotKey(v *view, loads Loads, rate float64) Proposal {
	if len(v.ranges)+2 > v.bound {
		return nil
	}
	own := v.own()
	for _, k := range loads.Keys {
		if k.Rate < rate {
			return nil
		}
		for _, a := range own {
			if a.Range.Contains(k.Position) && a.Range.Low != a.Range.High {
				return SplitRange{Split: applier.Split{
					Service: v.self.Service, Range: applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch}, Position: k.Position,
				}}
			}
		}
	}
	return nil
}
