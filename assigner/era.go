package assigner

// eraShift is the number of bits of a counter that count within an era of the store.
const eraShift = 24

// CounterFloor returns the number that all tokens, serials and epochs given out in an era of the store exceed, and that none
// of an earlier era reaches.
func CounterFloor(era uint64) uint64 { return era << eraShift }

// Claim is the right to a slice that an owner had before the era of the store changed.
type Claim struct {
	Slice int
	Token uint64
}

// Open returns the table with which an era of the store begins. Moves and suspicions end, since they may have been replaced by
// records that the store has lost.
func Open(t *Table, era uint64) *Table {
	next := t.Clone()
	next.Era, next.Settling = era, true
	next.Suspects = nil
	next.LastToken = max(next.LastToken, CounterFloor(era))
	next.LastSerial = max(next.LastSerial, CounterFloor(era))
	for i := range next.Slices {
		next.Slices[i].Target = 0
	}
	next.removeUnusedOwners()
	return next
}

// ApplyClaims returns the table in which an owner has the slices that it claims, or nil if nothing changes or the table doesn't
// settle. Where the table has a token as high for another owner, that one keeps the slice.
func ApplyClaims(t *Table, by Owner, list []Claim) *Table {
	if !t.Settling {
		return nil
	}
	next := t.Clone()
	changed := false
	for _, c := range list {
		if !next.Yields(c) {
			continue
		}
		next.Slices[c.Slice] = Slice{Owner: next.ownerIndex(by), Token: c.Token}
		delete(next.Handovers, uint16(c.Slice))
		next.LastToken = max(next.LastToken, c.Token)
		changed = true
	}
	if !changed {
		return nil
	}
	next.removeUnusedOwners()
	return next
}

// Yields reports whether a claim replaces the owner of its slice.
func (t *Table) Yields(c Claim) bool {
	if c.Slice >= len(t.Slices) {
		return false
	}
	s := t.Slices[c.Slice]
	return s.Token < c.Token || s.Token == c.Token && s.Owner == 0
}

// Settle returns the table in which owners may grant all their slices, under a new token. All grants of earlier eras must have
// expired.
func Settle(t *Table) *Table {
	next := t.Clone()
	next.Settling = false
	next.LastToken++
	for i := range next.Slices {
		next.Slices[i].Token = next.LastToken
	}
	clear(next.Handovers)
	return next
}

// Bounds of the grants of an owner, so that they fit into one heartbeat response of at most 4 KiB.
const (
	// smallTokens is the bound up to which a token takes two bytes less than a larger one.
	smallTokens = 1 << 16
	// maxGrantsPerOwner and maxLargeGrantsPerOwner limit the grants with small and with larger tokens.
	maxGrantsPerOwner      = 320
	maxLargeGrantsPerOwner = 280
)

// maxGrants returns the limit on the grants of an owner.
func (t *Table) maxGrants() int {
	if t.LastToken < smallTokens {
		return maxGrantsPerOwner
	}
	return maxLargeGrantsPerOwner
}
