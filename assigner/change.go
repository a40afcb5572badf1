package assigner

import "slices"

// Released is a slice that its owner has released.
type Released struct {
	Slice int
	// Token is the token under which the slice was held.
	Token uint64
	// Handover is what the owner left for the next one, or empty.
	Handover string
}

// Release returns the table in which released slices belong to their targets, or nil when no slice changes. Slices that
// meanwhile have another token or no target are left alone. The slices of one target that come without handover share a
// token.
func Release(t *Table, by Owner, list []Released) *Table {
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
		next.give(target, []int{r.Slice})
		if r.Handover != "" {
			next.Handovers[uint16(r.Slice)] = r.Handover
		}
		changed = true
	}
	if !changed {
		return nil
	}
	next.compact()
	return next
}

// Suspect returns the table with a suspicion of a member, or nil when there is one already.
func Suspect(t *Table, member string) *Table {
	if t.Suspected(member) {
		return nil
	}
	next := t.Clone()
	next.LastSerial++
	next.Suspects = append(next.Suspects, Suspicion{Member: member, Serial: next.LastSerial})
	return next
}

// Refute returns the table without suspicions of a member, or nil when there is none.
func Refute(t *Table, member string) *Table {
	next := t.Clone()
	next.Suspects = slices.DeleteFunc(next.Suspects, func(s Suspicion) bool { return s.Member == member })
	if len(next.Suspects) == len(t.Suspects) {
		return nil
	}
	return next
}

// NewOwners returns the names of the processes that own slices in a table that they didn't own in an earlier one.
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

// SuspectsWithoutSlices returns the names of the suspected processes that lost all their slices between two tables. Their own records say that
// they are ready, and nobody else would ever correct that: a process that hasn't met them would give them slices again.
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
