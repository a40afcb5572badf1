package balancer

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// departure says that an owner lost a range at a time.
type departure struct {
	whole hasher.Range
	owner applier.MemberID
	at    time.Duration
}

// holding is a range, by its last position, with its owner.
type holding struct {
	high  hasher.Position
	owner applier.MemberID
}

// history remembers for the residence time which owners ranges have left, so that none returns to one of them for load.
type history struct {
	departures []departure
	// holdings are those of the last update, in order of position.
	holdings []holding
}

// update compares the ranges with those of the last update. Ranges that members got before they were known to have had
// their share are not noted: they did not move for load, and the first member of a new cluster would get none back.
func (h *history) update(now, residence time.Duration, ranges []applier.Assignment, known map[applier.MemberID]bool) {
	h.departures = slices.DeleteFunc(h.departures, func(d departure) bool { return now-d.at >= residence })
	i := 0
	for _, a := range ranges {
		for i < len(h.holdings) && h.holdings[i].high < a.Range.Low {
			i++
		}
		if i < len(h.holdings) && h.holdings[i].owner != a.Owner && known[a.Owner] {
			h.departures = append(h.departures, departure{whole: a.Range, owner: h.holdings[i].owner, at: now})
		}
	}
	h.holdings = h.holdings[:0]
	for _, a := range ranges {
		h.holdings = append(h.holdings, holding{high: a.Range.High, owner: a.Owner})
	}
}

// of returns the departures that concern some ranges, which are in order of position.
func (h *history) of(ranges []applier.Assignment) history {
	var relevant history
	for _, d := range h.departures {
		i, _ := slices.BinarySearchFunc(ranges, d.whole.Low, func(a applier.Assignment, p hasher.Position) int {
			return cmp.Compare(a.Range.High, p)
		})
		if i < len(ranges) && ranges[i].Range.Low <= d.whole.High {
			relevant.departures = append(relevant.departures, d)
		}
	}
	return relevant
}

// left reports whether a part of a range left an owner within the residence time.
func (h *history) left(r hasher.Range, owner applier.MemberID) bool {
	return slices.ContainsFunc(h.departures, func(d departure) bool {
		return d.owner == owner && d.whole.Low <= r.High && r.Low <= d.whole.High
	})
}
