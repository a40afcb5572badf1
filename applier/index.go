package applier

import (
	"cmp"
	"slices"

	"hibiscusline/hasher"
)

// index holds lookup tables derived from the members and assignments, so that the time to apply a record depends on
// what it changes and not on the size of the state. Without them, the loss of a zone among 11,000 members and 176,000
// ranges took five seconds of scans in every process. The index is not part of the encoded state.
type index struct {
	entries map[MemberID]*entry
	// services holds the members of each service in ascending order of id.
	services map[string][]*entry
	// unowned holds, by service, the lowest positions of the ranges without owner, in ascending order.
	unowned map[string][]hasher.Position
	// moving holds, by service, the lowest positions of the ranges with a source, in ascending order.
	moving map[string][]hasher.Position
	// lastMemberChange is the offset of the last record that changed a member.
	lastMemberChange Offset
}

// entry is a member with the lowest positions of the ranges that it owns, in ascending order.
type entry struct {
	member *Member
	owned  []hasher.Position
}

func buildIndex(s *State) *index {
	x := &index{
		lastMemberChange: s.Applied, entries: map[MemberID]*entry{}, services: map[string][]*entry{},
		unowned: map[string][]hasher.Position{}, moving: map[string][]hasher.Position{},
	}
	for _, m := range s.Members {
		e := &entry{member: m}
		x.entries[m.ID] = e
		x.services[m.Service] = append(x.services[m.Service], e)
	}
	for _, entries := range x.services {
		slices.SortFunc(entries, compareEntries)
	}
	for service, ranges := range s.Assignments {
		for _, a := range ranges {
			if e := x.entries[a.Owner]; e != nil {
				e.owned = append(e.owned, a.Range.Low)
			} else {
				x.unowned[service] = append(x.unowned[service], a.Range.Low)
			}
			if a.Source != 0 {
				x.moving[service] = append(x.moving[service], a.Range.Low)
			}
		}
	}
	return x
}

func compareEntries(a, b *entry) int { return cmp.Compare(a.member.ID, b.member.ID) }

func (x *index) addMember(m *Member) {
	e := &entry{member: m}
	x.entries[m.ID] = e
	i, _ := slices.BinarySearchFunc(x.services[m.Service], e, compareEntries)
	x.services[m.Service] = slices.Insert(x.services[m.Service], i, e)
}

// removeMember removes a member, whose ranges must have been unassigned before.
func (x *index) removeMember(m *Member) {
	e := x.entries[m.ID]
	delete(x.entries, m.ID)
	if i, found := slices.BinarySearchFunc(x.services[m.Service], e, compareEntries); found {
		x.services[m.Service] = slices.Delete(x.services[m.Service], i, i+1)
	}
}

// rangeStarts returns the lowest positions of the ranges of an owner, or of those without owner if the owner is not a
// member.
func (x *index) rangeStarts(service string, owner MemberID) []hasher.Position {
	if e := x.entries[owner]; e != nil {
		return e.owned
	}
	return x.unowned[service]
}

func (x *index) setRangeStarts(service string, owner MemberID, list []hasher.Position) {
	if e := x.entries[owner]; e != nil {
		e.owned = list
		return
	}
	if len(list) == 0 {
		delete(x.unowned, service)
		return
	}
	x.unowned[service] = list
}

func (x *index) addRange(service string, owner MemberID, low hasher.Position) {
	list := x.rangeStarts(service, owner)
	if i, found := slices.BinarySearch(list, low); !found {
		x.setRangeStarts(service, owner, slices.Insert(list, i, low))
	}
}

func (x *index) removeRange(service string, owner MemberID, low hasher.Position) {
	list := x.rangeStarts(service, owner)
	if i, found := slices.BinarySearch(list, low); found {
		x.setRangeStarts(service, owner, slices.Delete(list, i, i+1))
	}
}

func (x *index) setMoving(service string, low hasher.Position, moving bool) {
	list := x.moving[service]
	i, found := slices.BinarySearch(list, low)
	switch {
	case moving && !found:
		x.moving[service] = slices.Insert(list, i, low)
	case !moving && found && len(list) == 1:
		delete(x.moving, service)
	case !moving && found:
		x.moving[service] = slices.Delete(list, i, i+1)
	}
}

// LastMemberChange returns an offset after which no record has changed a member, its status or its guardians. A reader
// that scans all members needs no new scan while this offset stays the same.
func (s *State) LastMemberChange() Offset {
	if s.index == nil {
		return s.Applied
	}
	return s.index.lastMemberChange
}

// setOwner changes the owner of a range in the assignment and in the index.
func (s *State) setOwner(service string, a *Assignment, owner MemberID) {
	s.index.removeRange(service, a.Owner, a.Range.Low)
	a.Owner = owner
	s.index.addRange(service, owner, a.Range.Low)
}

// setSource changes the source of a range in the assignment and in the index.
func (s *State) setSource(service string, a *Assignment, source MemberID) {
	a.Source = source
	s.index.setMoving(service, a.Range.Low, source != 0)
}
