package assigner

import "slices"

// Released describes a slice that its owner has released.
type Released struct {
	Slice int
	// Token is the fencing token under which the slice was held.
	Token uint64
	// Handover is the state that the owner left for the next one. It may be empty.
	Handover string
}

// Release returns the table in which the targets of the released slices own them, or nil if no slice changes. Slices
// whose token has changed or that have no target are skipped. Each slice that changes its owner gets a new token.
func Release(t *Table, by Owner, list []Released) *Table {
	if t.Settling {
		return nil
	}
	next := t.Clone()
	changed := false
	for _, r := range list {
		if r.Slice >= len(next.Slices) {
			continue
		}
		owner, owned := next.OwnerOf(r.Slice)
		target, moving := next.TargetOf(r.Slice)
		if !owned || !moving || owner != by || next.Slices[r.Slice].Token != r.Token {
			continue
		}
		next.assign(target, []int{r.Slice})
		if r.Handover != "" {
			next.Handovers[uint16(r.Slice)] = r.Handover
		}
		changed = true
	}
	if !changed {
		return nil
	}
	next.removeUnusedOwners()
	return next
}

// Suspect returns the table with a suspicion of a member added, or nil if the member is suspected already.
func Suspect(t *Table, member string) *Table {
	if t.Suspected(member) {
		return nil
	}
	next := t.Clone()
	next.LastSerial++
	next.Suspects = append(next.Suspects, Suspicion{Member: member, Serial: next.LastSerial})
	return next
}

// Refute returns the table without the suspicions of a member, or nil if there are none.
func Refute(t *Table, member string) *Table {
	next := t.Clone()
	next.Suspects = slices.DeleteFunc(next.Suspects, func(s Suspicion) bool { return s.Member == member })
	if len(next.Suspects) == len(t.Suspects) {
		return nil
	}
	return next
}

// NewOwners returns the names of the processes that gained slices between two versions of a table. The earlier version
// may be nil.
func NewOwners(before, after *Table) []string {
	var names []string
	for i := range after.Slices {
		o, found := after.OwnerOf(i)
		if !found || slices.Contains(names, o.Member) {
			continue
		}
		if before != nil && i < len(before.Slices) {
			if had, _ := before.OwnerOf(i); had == o {
				continue
			}
		}
		names = append(names, o.Member)
	}
	return names
}

// SuspectsWithoutSlices returns the names of the suspected processes that lost all their slices between two versions of
// a table. Their member records still say that they are ready, and no other process would correct them: a process that
// never tried to reach them would assign slices to them again.
func SuspectsWithoutSlices(before, after *Table) []string {
	var names []string
	if before == nil {
		return nil
	}
	for _, s := range before.Suspects {
		owns := func(o Owner) bool { return o.Member == s.Member }
		if slices.ContainsFunc(before.Owners, owns) && !slices.ContainsFunc(after.Owners, owns) {
			names = append(names, s.Member)
		}
	}
	return names
}
