package assigner

import (
	"cmp"
	"slices"
)

// Load is the offered load of an owner: the number of slots that its requests need, as a fraction of its slots.
type Load struct {
	Owner   Owner
	Offered float64
	// Cold means that the owner's server is cold. It gets no slices then.
	Cold bool
}

// Move assigns a target to a slice.
type Move struct {
	Slice  int
	Target Owner
}

// Thresholds and limits of Rebalance.
const (
	// rebalanceMinRatio and rebalanceMinExcess are how far the load of an owner must exceed the mean before it moves
	// slices away: as a ratio to the mean and as a fraction of its slots.
	rebalanceMinRatio  = 1.15
	rebalanceMinExcess = 0.08
	// rebalanceMinLoad is the load below which an owner keeps its slices: its requests hardly queue, whereas requests
	// for moving slices wait.
	rebalanceMinLoad = 0.55
	// rebalanceMaxLoad caps the loads that are compared. Callers retry refused requests, so an overload appears larger
	// than it is.
	rebalanceMaxLoad = 1.6
	// rebalanceFraction is the fraction of the excess that one round moves, since loads are estimates and other owners
	// react to the same ones.
	rebalanceFraction = 0.7
	// rebalanceMaxMoves limits the slices that one round moves. They are not served while they move.
	rebalanceMaxMoves = 24
)

// Rebalance returns the moves that reduce the load of an owner towards the mean. The rates are the requests per second
// of each slice. The loads are those of all usable owners with a known recent load, including the owner itself.
func Rebalance(t *Table, self Owner, rates []float64, loads []Load) []Move {
	own, mean, sum, known := summarizeLoads(self, rates, loads)
	if !known || len(loads) < 2 || sum <= 0 ||
		own < rebalanceMinLoad || own < mean*rebalanceMinRatio || own-mean < rebalanceMinExcess {
		return nil
	}
	excess := (own - mean) * rebalanceFraction
	headroom := map[Owner]float64{}
	count := t.SliceCounts()
	for _, l := range loads {
		if l.Owner != self && !l.Cold && l.Offered < mean && count[l.Owner]+rebalanceMaxMoves <= t.maxGrants() {
			headroom[l.Owner] = mean - l.Offered
		}
	}
	var moves []Move
	for _, i := range slicesByRate(t, self, rates) {
		load := rates[i] / sum * own
		to, available := largestHeadroom(loads, headroom)
		if load <= 0 || len(moves) == rebalanceMaxMoves || excess <= 0 || available <= 0 {
			break
		}
		// Moving a slice whose load exceeds the excess or the headroom would only overload another owner.
		if load > excess || load > available {
			continue
		}
		moves = append(moves, Move{Slice: i, Target: to})
		headroom[to] -= load
		excess -= load
	}
	return moves
}

func summarizeLoads(self Owner, rates []float64, loads []Load) (own, mean, sum float64, known bool) {
	for _, l := range loads {
		offered := min(l.Offered, rebalanceMaxLoad)
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

// slicesByRate returns the owner's slices that have no target, in descending order of request rate.
func slicesByRate(t *Table, self Owner, rates []float64) []int {
	var list []int
	for i, s := range t.Slices {
		if o, found := t.OwnerOf(i); found && o == self && s.Target == 0 && i < len(rates) {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	return list
}

func largestHeadroom(loads []Load, headroom map[Owner]float64) (Owner, float64) {
	var best Owner
	most := 0.0
	for _, l := range loads {
		if headroom[l.Owner] > most {
			best, most = l.Owner, headroom[l.Owner]
		}
	}
	return best, most
}

// SetTargets returns the table with the targets of moves set, or nil if nothing changes. Slices that the owner no
// longer owns or that already have a target are skipped.
func SetTargets(t *Table, from Owner, moves []Move) *Table {
	if t.Settling {
		return nil
	}
	next := t.Clone()
	changed := false
	for _, m := range moves {
		if o, found := next.OwnerOf(m.Slice); found && o == from && next.Slices[m.Slice].Target == 0 {
			next.Slices[m.Slice].Target = next.ownerIndex(m.Target)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}
