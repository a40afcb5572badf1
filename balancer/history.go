package balancer

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// ownerChange records that a range left an owner.
type ownerChange struct {
	keyRange    hasher.Range
	formerOwner applier.MemberID
	at          time.Duration
}

// rangeOwner is a range, by its last position, with its owner.
type rangeOwner struct {
	high  hasher.Position
	owner applier.MemberID
}

// history records the former owners of ranges for the cooldown time, so that no range returns to one of them for load.
type history struct {
	changes []ownerChange
	// owners holds the ranges of the last update, in order of position.
	owners []rangeOwner
}

// update compares the ranges with those of the last update. Ranges that a new member received as its fair share are
// not recorded: they did not move for load, and otherwise the first member of a new cluster would get none of them
// back.
func (h *history) update(now, cooldown time.Duration, ranges []applier.Assignment, filled map[applier.MemberID]bool) {
	h.changes = slices.DeleteFunc(h.changes, func(d ownerChange) bool { return now-d.at >= cooldown })
	i := 0
	for _, a := range ranges {
		for i < len(h.owners) && h.owners[i].high < a.Range.Low {
			i++
		}
		if i < len(h.owners) && h.owners[i].owner != a.Owner && filled[a.Owner] {
			h.changes = append(h.changes, ownerChange{keyRange: a.Range, formerOwner: h.owners[i].owner, at: now})
		}
	}
	h.owners = h.owners[:0]
	for _, a := range ranges {
		h.owners = append(h.owners, rangeOwner{high: a.Range.High, owner: a.Owner})
	}
}

// forRanges returns the changes that concern some ranges, which are in order of position.
func (h *history) forRanges(ranges []applier.Assignment) history {
	var relevant history
	for _, d := range h.changes {
		i, _ := slices.BinarySearchFunc(ranges, d.keyRange.Low, func(a applier.Assignment, p hasher.Position) int {
			return cmp.Compare(a.Range.High, p)
		})
		if i < len(ranges) && ranges[i].Range.Low <= d.keyRange.High {
			relevant.changes = append(relevant.changes, d)
		}
	}
	return relevant
}

// formerlyOwned reports whether a part of a range left an owner within the cooldown time.
func (h *history) formerlyOwned(r hasher.Range, owner applier.MemberID) bool {
	return slices.ContainsFunc(h.changes, func(d ownerChange) bool {
		return d.formerOwner == owner && d.keyRange.Low <= r.High && r.Low <= d.keyRange.High
	})
}
