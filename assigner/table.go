package assigner

import "slices"

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

// Incarnation identifies one run of a backend server, from its start to its end. A server that restarts under the same
// id is a new incarnation.
type Incarnation struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the id of the server.
	Instance string
	// Born is the start time of the server by its own clock, in Unix milliseconds. It only serves to distinguish and
	// order incarnations.
	Born int64
}

// Owner identifies an incarnation of a backend server and its sidecar process.
type Owner struct {
	_ struct{} `cbor:",toarray"`
	// Member is the name of the sidecar process.
	Member      string
	Incarnation Incarnation
}

// Slice is the state of one slice.
type Slice struct {
	// Owner is one plus the index of the owner in Table.Owners. Zero means none.
	Owner uint16
	// Target is one plus the index in Table.Owners of the owner that the slice moves to. Zero means that it does not
	// move.
	Target uint16
	// Token is the fencing token that was issued last for the slice.
	Token uint64
}

// Suspicion marks a process as possibly failed. The process refutes a suspicion by removing it.
type Suspicion struct {
	_      struct{} `cbor:",toarray"`
	Member string
	// Serial distinguishes the suspicions of one member, so that the time since a refuted one does not count for the
	// next.
	Serial uint64
}

// Table is the assignment of all keys of one service.
type Table struct {
	Service string
	// LastToken is the highest fencing token issued so far.
	LastToken uint64
	Owners    []Owner
	Slices    []Slice
	Suspects  []Suspicion
	// LastSerial is the highest serial of a suspicion so far.
	LastSerial uint64
	// Handovers holds, by slice, the state that the last owner left for the next one.
	Handovers map[uint16]string
	// Era is the era of the store in which the table was built.
	Era uint64
	// Settling means that the store has lost records since an earlier era, so that owners other than those of the table may
	// hold slices. Only what an owner held before may be granted.
	Settling bool
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() *Table {
	c := *t
	c.Owners = slices.Clone(t.Owners)
	c.Slices = slices.Clone(t.Slices)
	c.Suspects = slices.Clone(t.Suspects)
	c.Handovers = make(map[uint16]string, len(t.Handovers))
	for i, h := range t.Handovers {
		c.Handovers[i] = h
	}
	return &c
}

// Width returns the number of keys of a slice. The last slice may have fewer.
func (t *Table) Width() int { return (KeyCount + len(t.Slices) - 1) / len(t.Slices) }

// SliceOf returns the slice of a key.
func (t *Table) SliceOf(key uint16) int { return int(key) / t.Width() }

// KeyRange returns the first and the last key of a slice.
func (t *Table) KeyRange(slice int) (first, last uint16) {
	w := t.Width()
	return uint16(slice * w), uint16(min(slice*w+w, KeyCount) - 1)
}

// OwnerOf returns the owner of a slice and whether it has one.
func (t *Table) OwnerOf(slice int) (Owner, bool) { return t.ownerAt(t.Slices[slice].Owner) }

// TargetOf returns the owner that a slice moves to and whether it has one.
func (t *Table) TargetOf(slice int) (Owner, bool) { return t.ownerAt(t.Slices[slice].Target) }

func (t *Table) ownerAt(index uint16) (Owner, bool) {
	if index == 0 {
		return Owner{}, false
	}
	return t.Owners[index-1], true
}

// Members returns the names of the processes that own slices or are their targets.
func (t *Table) Members() []string {
	var names []string
	for _, o := range t.Owners {
		if !slices.Contains(names, o.Member) {
			names = append(names, o.Member)
		}
	}
	return names
}

// HasIncoming reports whether an owner is the target of any slice.
func (t *Table) HasIncoming(o Owner) bool {
	index := slices.Index(t.Owners, o)
	return index >= 0 && slices.ContainsFunc(t.Slices, func(s Slice) bool { return s.Target == uint16(index+1) })
}

// Suspected reports whether a member is suspected to have failed.
func (t *Table) Suspected(member string) bool {
	return slices.ContainsFunc(t.Suspects, func(s Suspicion) bool { return s.Member == member })
}

// ownerIndex returns one plus the index of an owner in Owners, adding the owner if needed.
func (t *Table) ownerIndex(o Owner) uint16 {
	i := slices.Index(t.Owners, o)
	if i < 0 {
		t.Owners = append(t.Owners, o)
		i = len(t.Owners) - 1
	}
	return uint16(i + 1)
}

// assign sets the owner of slices and gives them a new common token.
func (t *Table) assign(to Owner, list []int) {
	if len(list) == 0 {
		return
	}
	t.LastToken++
	index := t.ownerIndex(to)
	for _, i := range list {
		t.Slices[i] = Slice{Owner: index, Token: t.LastToken}
		delete(t.Handovers, uint16(i))
	}
}

// removeUnusedOwners removes the owners that no slice refers to.
func (t *Table) removeUnusedOwners() {
	used := make([]uint16, len(t.Owners)+1)
	for _, s := range t.Slices {
		used[s.Owner], used[s.Target] = 1, 1
	}
	var kept []Owner
	for i, o := range t.Owners {
		if used[i+1] != 0 {
			kept = append(kept, o)
			used[i+1] = uint16(len(kept))
		}
	}
	used[0] = 0
	for i := range t.Slices {
		t.Slices[i].Owner, t.Slices[i].Target = used[t.Slices[i].Owner], used[t.Slices[i].Target]
	}
	t.Owners = kept
}

// SliceCounts returns the number of slices of each owner. A slice that has a target counts for the target.
func (t *Table) SliceCounts() map[Owner]int {
	count := map[Owner]int{}
	for i := range t.Slices {
		o, found := t.TargetOf(i)
		if !found {
			o, found = t.OwnerOf(i)
		}
		if found {
			count[o]++
		}
	}
	return count
}
