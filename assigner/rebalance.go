package assigner

import (
	"cmp"
	"slices"
)

// Load is the offered load of an owner: the slots that its requests would need, as a share of the slots that it has.
type Load struct {
	Owner   Owner
	Offered float64
}

// Move gives a slice a target.
type Move struct {
	Slice  int
	Target Owner
}

// Bounds of moves for load.
const (
	// rebalanceAbove is how far above the mean an owner's load must be for it to give slices away, as a share of the mean and as
	// a share of its slots.
	rebalanceAbove      = 1.15
	rebalanceAboveSlots = 0.08
	// rebalanceBusy is the load below which an owner keeps its slices: its requests hardly wait, and slices that move do.
	rebalanceBusy = 0.55
	// rebalanceCap bounds the loads that are compared. Refused callers come back, so an overload looks larger than it is.
	rebalanceCap = 1.6
	// rebalanceShare is the part of the excess that is given away at once, since the loads are estimates and other owners act
	// on the same ones.
	rebalanceShare = 0.7
	// rebalanceSlices bounds the slices that are given away at once. They are not served while they move.
	rebalanceSlices = 24
)

// Rebalance returns the moves by which an owner brings its load down to the mean. The rates are the requests per second of
// each slice; loads holds all usable owners of which a recent load is known, the owner itself included.
func Rebalance(t *Table, self Owner, rates []float64, loads []Load) []Move {
	own, mean, sum, known := summary(self, rates, loads)
	if !known || len(loads) < 2 || sum <= 0 || own < rebalanceBusy || own < mean*rebalanceAbove || own-mean < rebalanceAboveSlots {
		return nil
	}
	excess := (own - mean) * rebalanceShare
	room := map[Owner]float64{}
	count := t.SliceCounts()
	for _, l := range loads {
		if l.Owner != self && l.Offered < mean && count[l.Owner]+rebalanceSlices <= maxPerOwner {
			room[l.Owner] = mean - l.Offered
		}
	}
	var moves []Move
	for _, i := range heaviest(t, self, rates) {
		load := rates[i] / sum * own
		to, left := roomiest(loads, room)
		if load <= 0 || len(moves) == rebalanceSlices || excess <= 0 || left <= 0 {
			break
		}
		// A slice that is heavier than the excess would only carry the problem to another owner.
		if load > excess || load > left {
			continue
		}
		moves = append(moves, Move{Slice: i, Target: to})
		room[to] -= load
		excess -= load
	}
	return moves
}

func summary(self Owner, rates []float64, loads []Load) (own, mean, sum float64, known bool) {
	for _, l := range loads {
		offered := min(l.Offered, rebalanceCap)
		mean += offered / float64(len(loads))
		if l.Owner == self {
			own, known = offered, true
		}
	}
	for _, r := range rates {
		sum += r
	}
	return own, mean, sum, known
}

// heaviest returns the owner's slices that stay, the heaviest first.
func heaviest(t *Table, self Owner, rates []float64) []int {
	var list []int
	for i, s := range t.Slices {
		if o, found := t.OwnerOf(i); found && o == self && s.Target == 0 && i < len(rates) {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	return list
}

func roomiest(loads []Load, room map[Owner]float64) (Owner, float64) {
	var best Owner
	most := 0.0
	for _, l := range loads {
		if room[l.Owner] > most {
			best, most = l.Owner, room[l.Owner]
		}
	}
	return best, most
}

// SetTargets returns the table with the targets of moves, or nil when nothing changes. Slices that the owner doesn't own any more
// or that move already are left alone.
func SetTargets(t *Table, from Owner, moves []Move) *Table {
	next := t.Clone()
	changed := false
	for _, m := range moves {
		if o, found := next.OwnerOf(m.Slice); found && o == from && next.Slices[m.Slice].Target == 0 {
			next.Slices[m.Slice].Target = next.index(m.Target)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}
