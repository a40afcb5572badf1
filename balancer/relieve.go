package balancer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// memberStat is a member with its load per slot.
type memberStat struct {
	id         applier.MemberID
	slots      float64
	load       float64 // requests/s per slot
	mayReceive bool
}

// relieve returns the changes that reduce the owner's load to the mean: moves to as many targets as necessary, and the
// split of a range that is too heavy to move. It returns at most maxMoves moves, and a split only if maxSplits is
// positive.
func (p *Planner) relieve(now time.Duration, v *serviceView, loads Loads, maxMoves, maxSplits int) []Proposal {
	stats, mean := p.memberStats(now, v, loads)
	i := slices.IndexFunc(stats, func(s memberStat) bool { return s.id == v.self.ID })
	if i < 0 || len(stats) < 2 || mean <= 0 || stats[i].load < overloadRatio*mean ||
		stats[i].load-overloadDeviations*loads.Deviation/stats[i].slots < fillRatio*mean {
		p.overloadedPlans = 0
		return nil
	}
	if p.shouldDelay(loads) {
		return nil
	}
	r := &reliefPlan{
		mean: mean, self: stats[i], targets: targetsOf(stats, v.self.ID, mean, v.salt), rates: loads.Ranges,
		assigned: map[applier.MemberID][]applier.Assignment{},
	}
	if len(r.targets) == 0 {
		return nil
	}
	own := v.ownRanges()
	r.history = p.history.forRanges(own)
	r.remaining = len(own) - 1
	r.ranges = slices.DeleteFunc(own, func(a applier.Assignment) bool {
		return !a.Settled() || now-p.epochs[a.Epoch] < p.config.StabilizationWindow
	})
	r.assignRanges(maxMoves)
	var proposals []Proposal
	for _, id := range r.receivers {
		// A move delays requests and counts against the limit, so small gains don't justify it.
		if r.assignedRate(id) >= minImprovement*mean*r.self.slots {
			proposals = append(proposals, moveProposal(v, id, r.assigned[id]))
		}
	}
	if maxSplits > 0 && r.self.load >= overloadRatio*mean {
		if split := planSplit(v, loads, r, maxMoves); split != nil {
			proposals = append(proposals, split)
		}
	}
	return proposals
}

// shouldDelay reports whether an overloaded owner should wait for the next plan: always in the first plan that finds
// the overload, and for a few more while its load rises, because an average that starts to follow a jump shows only a
// part of it.
func (p *Planner) shouldDelay(loads Loads) bool {
	rate := loads.Rate()
	rising := rate > p.lastRate+overloadDeviations*loads.Deviation
	p.lastRate = rate
	p.overloadedPlans++
	return p.overloadedPlans == 1 || rising && p.overloadedPlans <= maxDelayedPlans
}

// memberStats returns the members whose load is known, highest load first, and their mean load per slot. Members that
// received ranges recently are no targets, because their reported load doesn't include these ranges yet.
func (p *Planner) memberStats(now time.Duration, v *serviceView, loads Loads) ([]memberStat, float64) {
	latest := map[applier.MemberID]time.Duration{}
	for _, a := range v.ranges {
		latest[a.Owner] = max(latest[a.Owner], p.epochs[a.Epoch])
	}
	var stats []memberStat
	rates, slots := 0.0, 0.0
	for _, m := range v.members {
		rate, known := 0.0, true
		if m.ID == v.self.ID {
			for _, a := range v.ownRanges() {
				rate += loads.Ranges[a.Range]
			}
		} else {
			report, present := loads.Members[m.ID]
			rate, known = report.Rate, present && report.Age <= maxLoadAge
		}
		if !known {
			continue
		}
		s := memberStat{
			id: m.ID, slots: float64(max(m.Slots, 1)),
			mayReceive: now-latest[m.ID] >= p.config.StabilizationWindow,
		}
		s.load = rate / s.slots
		rates, slots = rates+rate, slots+s.slots
		stats = append(stats, s)
	}
	if rates < minRate*float64(len(stats)) {
		return nil, 0
	}
	slices.SortFunc(stats, func(x, y memberStat) int {
		return cmp.Or(cmp.Compare(y.load, x.load), cmp.Compare(x.id, y.id))
	})
	return stats, rates / slots
}

// groupSize is the number of members among which owners and targets are matched. Larger services are divided into
// groups by a salted hash, because matching all pairs of thousands of members would take too long.
const groupSize = 128

// targetsOf returns the members to which an overloaded owner may move ranges, the least loaded first. Each target
// belongs to one owner, so that two owners don't fill the same target. Pairs of owners and targets are matched in the
// order of a hash, until each owner has a share of the targets in proportion to its load above the mean. The hash
// order makes owners with slightly different load reports reach nearly the same result; matching in the order of loads
// did not.
func targetsOf(stats []memberStat, self applier.MemberID, mean float64, salt uint64) (targets []memberStat) {
	groups := uint64(len(stats)/groupSize + 1)
	group := func(id applier.MemberID) uint64 { return pairHash(id, applier.MemberID(salt)) % groups }
	var owners, receivers []memberStat
	excess := 0.0
	for _, s := range stats {
		switch {
		case group(s.id) != group(self):
		case s.load >= overloadRatio*mean:
			owners = append(owners, s)
			excess += (s.load - mean) * s.slots
		case s.load < mean && s.mayReceive:
			receivers = append(receivers, s)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	type candidatePair struct {
		owner, target int
		hash          uint64
	}
	var pairs []candidatePair
	for o := range owners {
		for t := range receivers {
			pairs = append(pairs, candidatePair{o, t, pairHash(owners[o].id, receivers[t].id)})
		}
	}
	slices.SortFunc(pairs, func(x, y candidatePair) int { return cmp.Compare(x.hash, y.hash) })
	counts, taken := make([]int, len(owners)), make([]bool, len(receivers))
	for _, p := range pairs {
		share := float64(len(receivers)) * (owners[p.owner].load - mean) * owners[p.owner].slots / excess
		if taken[p.target] || float64(counts[p.owner]) >= share {
			continue
		}
		taken[p.target] = true
		counts[p.owner]++
		if owners[p.owner].id == self {
			targets = append(targets, receivers[p.target])
		}
	}
	slices.SortFunc(targets, func(x, y memberStat) int {
		return cmp.Or(cmp.Compare(x.load, y.load), cmp.Compare(x.id, y.id))
	})
	return targets
}

func pairHash(owner, target applier.MemberID) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(owner))
	binary.LittleEndian.PutUint64(buffer[8:], uint64(target))
	return xxhash.Sum64(buffer[:])
}

// reliefPlan collects the ranges that an owner moves to its targets.
type reliefPlan struct {
	mean    float64
	self    memberStat
	targets []memberStat
	ranges  []applier.Assignment
	rates   map[hasher.Range]float64
	history history
	// remaining is the number of ranges that may still move. The last range stays, because a member without ranges
	// counts as new.
	remaining int
	assigned  map[applier.MemberID][]applier.Assignment
	// receivers lists the targets that receive ranges, in the order of their first range.
	receivers []applier.MemberID
}

// assignRanges assigns ranges to targets, heaviest first, until the owner's load is near the mean. Each target is
// filled to near the mean before the next, because each target costs a move. A range that is too heavy for that goes
// to the target where it minimizes the higher of the two loads.
func (r *reliefPlan) assignRanges(maxMoves int) {
	for r.self.load > fillRatio*r.mean && r.remaining > 0 && len(r.ranges) > 0 {
		i, t := r.bestFit(maxMoves)
		if i < 0 {
			if i, t = r.lowestPeak(maxMoves); i < 0 {
				return
			}
		}
		r.assign(i, t)
	}
}

func (r *reliefPlan) assign(i, t int) {
	a, target := r.ranges[i], &r.targets[t]
	rate := r.rates[a.Range]
	r.self.load -= rate / r.self.slots
	target.load += rate / target.slots
	if len(r.assigned[target.id]) == 0 {
		r.receivers = append(r.receivers, target.id)
	}
	r.assigned[target.id] = append(r.assigned[target.id], a)
	r.ranges = slices.Delete(r.ranges, i, i+1)
	r.remaining--
}

func (r *reliefPlan) assignedRate(id applier.MemberID) (sum float64) {
	for _, a := range r.assigned[id] {
		sum += r.rates[a.Range]
	}
	return sum
}

// accepts reports whether a target can receive one more range within the limits on moves and on ranges per move.
func (r *reliefPlan) accepts(t memberStat, maxMoves int) bool {
	count := len(r.assigned[t.id])
	return count > 0 && count < maxRangesPerMove || count == 0 && len(r.receivers) < maxMoves
}

// hasTargetFor reports whether a target could receive a part of a range.
func (r *reliefPlan) hasTargetFor(a applier.Assignment, maxMoves int) bool {
	return slices.ContainsFunc(r.targets, func(t memberStat) bool {
		return r.accepts(t, maxMoves) && t.load+minImprovement*r.mean <= fillRatio*r.mean &&
			!r.history.formerlyOwned(a.Range, t.id)
	})
}

// bestFit returns the heaviest range that leaves both loads near the mean, and its target, or -1.
func (r *reliefPlan) bestFit(maxMoves int) (index, target int) {
	for t, s := range r.targets {
		if !r.accepts(s, maxMoves) {
			continue
		}
		best, heaviest := -1, 0.0
		for i, a := range r.ranges {
			rate := r.rates[a.Range]
			if rate > heaviest && s.load+rate/s.slots <= fillRatio*r.mean && r.self.load-rate/r.self.slots >= r.mean/fillRatio &&
				!r.history.formerlyOwned(a.Range, s.id) {
				best, heaviest = i, rate
			}
		}
		if best >= 0 {
			return best, t
		}
	}
	return -1, -1
}

// lowestPeak returns the range and the target that minimize the higher of the two loads, or -1 if the improvement is
// too small.
func (r *reliefPlan) lowestPeak(maxMoves int) (index, target int) {
	index, target = -1, -1
	lowest := r.self.load - minImprovement*r.mean
	for t, s := range r.targets {
		if !r.accepts(s, maxMoves) {
			continue
		}
		for i, a := range r.ranges {
			rate := r.rates[a.Range]
			if peak := max(r.self.load-rate/r.self.slots, s.load+rate/s.slots); peak < lowest &&
				!r.history.formerlyOwned(a.Range, s.id) {
				index, target, lowest = i, t, peak
			}
		}
	}
	return index, target
}
