package balancer

import (
	"cmp"
	"slices"

	"hibiscusline/applier"
)

// Evacuate returns the moves that distribute all ranges of a member over the other eligible owners, one move for each
// target, those with the most ranges first. It serves a member that stops, resigns or lies outside the zones of the
// placement rule or in an evacuated zone. Members in avoid get ranges only if there are no others. Without another eligible owner it returns
// no moves.
func Evacuate(s *applier.State, self applier.MemberID, avoid ...applier.MemberID) []MoveRanges {
	member, present := s.Members[self]
	if !present {
		return nil
	}
	v := newServiceView(s, member)
	targets := slices.DeleteFunc(slices.Clone(v.members), func(m *applier.Member) bool { return m.ID == self })
	if len(targets) == 0 {
		return nil
	}
	preferred := slices.DeleteFunc(slices.Clone(targets), func(m *applier.Member) bool {
		return slices.Contains(avoid, m.ID)
	})
	if len(preferred) > 0 {
		targets = preferred
	}
	// Targets with equally many ranges are tried in an order that depends on the member, so that members that evacuate
	// at the same time start with different targets.
	start := int(uint64(self) % uint64(len(targets)))
	targets = slices.Concat(targets[start:], targets[:start])
	byTarget := map[applier.MemberID][]applier.Assignment{}
	for _, a := range v.ownRanges() {
		to := slices.MinFunc(targets, func(x, y *applier.Member) int { return cmp.Compare(v.owned[x.ID], v.owned[y.ID]) })
		v.owned[to.ID]++
		byTarget[to.ID] = append(byTarget[to.ID], a)
	}
	var moves []MoveRanges
	for _, m := range targets {
		if ranges := byTarget[m.ID]; len(ranges) > 0 {
			moves = append(moves, moveProposal(v, m.ID, ranges))
		}
	}
	slices.SortStableFunc(moves, func(x, y MoveRanges) int { return cmp.Compare(len(y.Move.Ranges), len(x.Move.Ranges)) })
	return moves
}
