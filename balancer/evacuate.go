package balancer

import (
	"cmp"
	"slices"

	"hibiscusline/applier"
)

// Evacuate returns the moves that spread all ranges of a member over the other members that may own them, one move for
// each target and the most ranges first. It is for a member that stops, resigns or lies outside the zones of the
// placement rule. Members to avoid get ranges only when there are no others. It returns none when no other member may own
// ranges.
func Evacuate(s *applier.State, self applier.MemberID, avoid ...applier.MemberID) []MoveRanges {
	member, present := s.Members[self]
	if !present {
		return nil
	}
	v := newView(s, member)
	targets := slices.DeleteFunc(slices.Clone(v.members), func(m *applier.Member) bool { return m.ID == self })
	if len(targets) == 0 {
		return nil
	}
	fit := slices.DeleteFunc(slices.Clone(targets), func(m *applier.Member) bool { return slices.Contains(avoid, m.ID) })
	if len(fit) > 0 {
		targets = fit
	}
	// Members that evacuate at the same time start with different targets among those with equally many ranges.
	start := int(uint64(self) % uint64(len(targets)))
	targets = slices.Concat(targets[start:], targets[:start])
	gifts := map[applier.MemberID][]applier.Assignment{}
	for _, a := range v.own() {
		to := slices.MinFunc(targets, func(x, y *applier.Member) int { return cmp.Compare(v.owned[x.ID], v.owned[y.ID]) })
		v.owned[to.ID]++
		gifts[to.ID] = append(gifts[to.ID], a)
	}
	var moves []MoveRanges
	for _, m := range targets {
		if ranges := gifts[m.ID]; len(ranges) > 0 {
			moves = append(moves, move(v, m.ID, ranges))
		}
	}
	slices.SortStableFunc(moves, func(x, y MoveRanges) int { return cmp.Compare(len(y.Move.Ranges), len(x.Move.Ranges)) })
	return moves
}
