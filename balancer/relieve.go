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

// standing is a member's load per slot.
type standing struct {
	id     applier.MemberID
	slots  float64
	load   float64 // requests/s and slot
	target bool
}

// relieve returns the changes that bring the owner's load down to the mean: moves to as many targets as it takes, and the
// split of a range that is too heavy to be moved. At most some moves and splits are returned.
func (p *Planner) relieve(now time.Duration, v *view, loads Loads, most, splits int) []Proposal {
	standings, mean := p.standings(now, v, loads)
	i := slices.IndexFunc(standings, func(s standing) bool { return s.id == v.self.ID })
	if i < 0 || len(standings) < 2 || mean <= 0 || standings[i].load < overloadRatio*mean ||
		standings[i].load-certainty*loads.Deviation/standings[i].slots < fillRatio*mean {
		p.overloaded = 0
		return nil
	}
	if p.patient(loads) {
		return nil
	}
	r := &relief{
		mean: mean, self: standings[i], targets: targetsOf(standings, v.self.ID, mean, v.salt), rates: loads.Ranges,
		groups: map[applier.MemberID][]applier.Assignment{},
	}
	if len(r.targets) == 0 {
		return nil
	}
	own := v.own()
	r.history = p.history.of(own)
	r.spare = len(own) - 1
	r.ranges = slices.DeleteFunc(own, func(a applier.Assignment) bool {
		return !a.Settled() || now-p.epochs[a.Epoch] < p.config.StabilizationWindow
	})
	r.spread(most)
	var proposals []Proposal
	for _, id := range r.order {
		// A move holds requests up and counts against the limit, which a small gain isn't worth.
		if r.total(id) >= leastImprovement*mean*r.self.slots {
			proposals = append(proposals, move(v, id, r.groups[id]))
		}
	}
	if splits > 0 && r.self.load >= overloadRatio*mean {
		if split := divide(v, loads, r, most); split != nil {
			proposals = append(proposals, split)
		}
	}
	return proposals
}

// patient reports whether an overloaded owner should look again before it acts: in the first plan that shows the overload,
// and for a few more while its load rises, since an average that starts to follow a jump shows only a part of it.
func (p *Planner) patient(loads Loads) bool {
	rate := loads.Rate()
	rising := rate > p.rate+certainty*loads.Deviation
	p.rate = rate
	p.overloaded++
	return p.overloaded == 1 || rising && p.overloaded <= patience
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
		s := standing{id: m.ID, slots: float64(max(m.Slots, 1)), target: now-latest[m.ID] >= p.config.StabilizationWindow}
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

// groupSize is the number of members among which owners and targets are matched. In a larger service the members are
// grouped by hash, anew after every salt, because all pairs of thousands of members would cost too much time.
const groupSize = 128

// targetsOf returns the members that an overloaded owner may give ranges to, the least loaded first. Each target belongs to
// one owner, so that two owners don't fill the same one. Pairs of owners and targets are matched in the order of a hash,
// until an owner has its share of the targets by its load above the mean: owners whose reports differ a little still decide
// nearly alike, which they did not when targets were matched in the order of loads.
func targetsOf(standings []standing, self applier.MemberID, mean float64, salt uint64) (targets []standing) {
	groups := uint64(len(standings)/groupSize + 1)
	group := func(id applier.MemberID) uint64 { return pairHash(id, applier.MemberID(salt)) % groups }
	var owners, free []standing
	excess := 0.0
	for _, s := range standings {
		switch {
		case group(s.id) != group(self):
		case s.load >= overloadRatio*mean:
			owners = append(owners, s)
			excess += (s.load - mean) * s.slots
		case s.load < mean && s.target:
			free = append(free, s)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	type pair struct {
		owner, target int
		hash          uint64
	}
	var pairs []pair
	for o := range owners {
		for t := range free {
			pairs = append(pairs, pair{o, t, pairHash(owners[o].id, free[t].id)})
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int { return cmp.Compare(x.hash, y.hash) })
	counts, taken := make([]int, len(owners)), make([]bool, len(free))
	for _, p := range pairs {
		share := float64(len(free)) * (owners[p.owner].load - mean) * owners[p.owner].slots / excess
		if taken[p.target] || float64(counts[p.owner]) >= share {
			continue
		}
		taken[p.target] = true
		counts[p.owner]++
		if owners[p.owner].id == self {
			targets = append(targets, free[p.target])
		}
	}
	slices.SortFunc(targets, func(x, y standing) int { return cmp.Or(cmp.Compare(x.load, y.load), cmp.Compare(x.id, y.id)) })
	return targets
}

func pairHash(owner, target applier.MemberID) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(owner))
	binary.LittleEndian.PutUint64(buffer[8:], uint64(target))
	return xxhash.Sum64(buffer[:])
}

// relief collects the ranges that an owner gives to its targets.
type relief struct {
	mean    float64
	self    standing
	targets []standing
	ranges  []applier.Assignment
	rates   map[hasher.Range]float64
	history history
	// spare is the number of ranges that may still go. The last one stays, since a member without ranges counts as new.
	spare  int
	groups map[applier.MemberID][]applier.Assignment
	// order lists the targets that get ranges.
	order []applier.MemberID
}

// spread gives ranges away, largest first, until the owner's load is near the mean. It fills one target up to near the mean
// before the next, since each costs a move. A range that is too heavy for that goes where it lowers the higher of the two
// loads.
func (r *relief) spread(most int) {
	for r.self.load > fillRatio*r.mean && r.spare > 0 && len(r.ranges) > 0 {
		i, t := r.fitting(most)
		if i < 0 {
			if i, t = r.lowering(most); i < 0 {
				return
			}
		}
		r.give(i, t)
	}
}

func (r *relief) give(i, t int) {
	a, target := r.ranges[i], &r.targets[t]
	rate := r.rates[a.Range]
	r.self.load -= rate / r.self.slots
	target.load += rate / target.slots
	if len(r.groups[target.id]) == 0 {
		r.order = append(r.order, target.id)
	}
	r.groups[target.id] = append(r.groups[target.id], a)
	r.ranges = slices.Delete(r.ranges, i, i+1)
	r.spare--
}

func (r *relief) total(id applier.MemberID) (sum float64) {
	for _, a := range r.groups[id] {
		sum += r.rates[a.Range]
	}
	return sum
}

// open reports whether a target can take one more range without more than the allowed number of moves.
func (r *relief) open(t standing, most int) bool {
	count := len(r.groups[t.id])
	return count > 0 && count < maxRanges || count == 0 && len(r.order) < most
}

// room reports whether a target could take a part of a range.
func (r *relief) room(a applier.Assignment, most int) bool {
	return slices.ContainsFunc(r.targets, func(t standing) bool {
		return r.open(t, most) && t.load+leastImprovement*r.mean <= fillRatio*r.mean && !r.history.left(a.Range, t.id)
	})
}

// fitting returns the heaviest range that leaves both loads near the mean, and its target, or -1.
func (r *relief) fitting(most int) (index, target int) {
	for t, s := range r.targets {
		if !r.open(s, most) {
			continue
		}
		best, heaviest := -1, 0.0
		for i, a := range r.ranges {
			rate := r.rates[a.Range]
			if rate > heaviest && s.load+rate/s.slots <= fillRatio*r.mean && r.self.load-rate/r.self.slots >= r.mean/fillRatio &&
				!r.history.left(a.Range, s.id) {
				best, heaviest = i, rate
			}
		}
		if best >= 0 {
			return best, t
		}
	}
	return -1, -1
}

// lowering returns the range and the target that leave the higher of the two loads lowest, or -1 if that improves too
// little.
func (r *relief) lowering(most int) (index, target int) {
	index, target = -1, -1
	lowest := r.self.load - leastImprovement*r.mean
	for t, s := range r.targets {
		if !r.open(s, most) {
			continue
		}
		for i, a := range r.ranges {
			rate := r.rates[a.Range]
			if peak := max(r.self.load-rate/r.self.slots, s.load+rate/s.slots); peak < lowest && !r.history.left(a.Range, s.id) {
				index, target, lowest = i, t, peak
			}
		}
	}
	return index, target
}
