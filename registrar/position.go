package registrar

import "cmp"

// Position is a place in a topic of the store. The store may come back from an older copy and then gives offsets out again,
// in a new era. So offsets of different eras say nothing about each other.
type Position struct {
	Era, Offset uint64
}

// Compare orders positions by era and then by offset. It returns a negative number if p is before q, zero if they are equal
// and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}
