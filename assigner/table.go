package assigner

import "slices"

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

// Incarnation is one run of a backend server, from its start to its end. A server that starts again under its id is a new incarnation.
type Incarnation struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the server's id.
	Instance string
	// Born is the server's own time of its start, in Unix milliseconds. It only tells incarnations of one id apart.
	Born int64
}

// Owner is an incarnation of a backend server together with the process beside it.
type Owner struct {
	_ struct{} `cbor:",toarray"`
	// Member is the name of the process.
	Member      string
	Incarnation Incarnation
}

// Slice is the state of one slice of the keys.
type Slice struct {
	// Owner is the index of the owner in Table.Owners plus one. Zero means none.
	Owner uint16
	// Target is the index of the owner that shall get the slice plus one. Zero means that it stays.
	Target uint16
	Token  uint64
}

// Suspicion says that a process seems to be lost. The process answers by removing it.
type Suspicion struct {
	_      struct{} `cbor:",toarray"`
	Member string
	// Serial tells suspicions of one member apart, so that the time of one that was answered doesn't count for the next.
	Serial uint64
}

// Table is the assignment of all keys of one service.
type Table struct {
	Service string
	// LastToken is the highest fencing token given out so far.
	LastToken uint64
	Owners    []Owner
	Slices    []Slice
	Suspects  []Suspicion
	// LastSerial is the highest serial of a suspicion so far.
	LastSerial uint64
	// Handovers holds, by slice, what the last owner left for the next one.
	Handovers map[uint16]string
}

// Clone returns a copy that shares nothing with t.
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

// Width is the number of keys of a slice. The last slice may have fewer.
func (t *Table) Width() int { return (KeyCount + len(t.Slices) - 1) / len(t.Slices) }

// SliceOf returns the slice of a key.
func (t *Table) SliceOf(key uint16) int { return int(key) / t.Width() }

// KeyRange returns the first and the last key of a slice.
func (t *Table) KeyRange(slice int) (first, last uint16) {
	w := t.Width()
	return uint16(slice * w), uint16(min(slice*w+w, KeyCount) - 1)
}

// OwnerOf returns the owner of a slice.
func (t *Table) OwnerOf(slice int) (Owner, bool) { return t.owner(t.Slices[slice].Owner) }

// TargetOf returns the owner that shall get a slice.
func (t *Table) TargetOf(slice int) (Owner, bool) { return t.owner(t.Slices[slice].Target) }

func (t *Table) owner(index uint16) (Owner, bool) {
	if index == 0 {
		return Owner{}, false
	}
	return t.Owners[index-1], true
}

// Members returns the names of the processes that own slices or shall get some.
func (t *Table) Members() []string {
	var names []string
	for _, o := range t.Owners {
		if !slices.Contains(names, o.Member) {
			names = append(names, o.Member)
		}
	}
	return names
}

// HasIncoming reports whether slices are to come to an owner from others.
func (t *Table) HasIncoming(o Owner) bool {
	index := slices.Index(t.Owners, o)
	return index >= 0 && slices.ContainsFunc(t.Slices, func(s Slice) bool { return s.Target == uint16(index+1) })
}

// Suspected reports whether a member is suspected to be lost.
func (t *Table) Suspected(member string) bool {
	return slices.ContainsFunc(t.Suspects, func(s Suspicion) bool { return s.Member == member })
}

// index returns the index of an owner plus one, adding it if needed.
func (t *Table) index(o Owner) uint16 {
	i := slices.Index(t.Owners, o)
	if i < 0 {
		t.Owners = append(t.Owners, o)
		i = len(t.Owners) - 1
	}
	return uint16(i + 1)
}

// give makes an owner the owner of slices, with a new token that all of them share.
func (t *Table) give(to Owner, list []int) {
	if len(list) == 0 {
		return
	}
	t.LastToken++
	index := t.index(to)
	for _, i := range list {
		t.Slices[i] = Slice{Owner: index, Token: t.LastToken}
		delete(t.Handovers, uint16(i))
	}
}

// compact removes the owners that no slice names.
func (t *Table) compact() {
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

// SliceCounts returns the number of slices of each owner, counting a slice that moves for its target.
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
