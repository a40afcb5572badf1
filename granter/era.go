package granter

import (
	"time"

	"hibiscusline/assigner"
)

// Enter records that the records of a later era of the store were loaded. The slices to which the process has the right at that
// moment become its claims: it may grant them although tables of the new era may assign them to an earlier owner.
func (g *Granter) Enter(now time.Duration, era uint64) {
	claims := map[int]uint64{}
	if g.table != nil && now < g.LeaseEnd() {
		for i, s := range g.table.Slices {
			if g.mayGrant(i) {
				claims[i] = s.Token
			}
		}
	}
	if len(claims) > 0 {
		g.claimedSlices = len(g.table.Slices)
	}
	g.claims, g.era = claims, era
}

// ClaimCount returns the number of slices that the process claims.
func (g *Granter) ClaimCount() int { return len(g.claims) }

// mayGrant reports whether the server may be granted a slice: the table assigns it to the server, it isn't moving, and, while the
// store's records settle after a change of era, the process had the right to it before.
func (g *Granter) mayGrant(slice int) bool {
	if !g.ownsSlice(slice) || g.table.Slices[slice].Target != 0 {
		return false
	}
	if g.table.Era >= g.era && !g.table.Settling {
		return true
	}
	_, claimed := g.claims[slice]
	return claimed
}

// Unwritten returns the claims with which a table of the present era disagrees and that it yields to. The others with which it
// disagrees are given up.
func (g *Granter) Unwritten(t *assigner.Table) []assigner.Claim {
	if t == nil || !t.Settling {
		return nil
	}
	if len(t.Slices) != g.claimedSlices {
		// The store has lost the first table, and another one divides the keys differently.
		clear(g.claims)
	}
	var list []assigner.Claim
	for i := range t.Slices {
		token, claimed := g.claims[i]
		if !claimed || g.isOwn(t, i) && t.Slices[i].Token >= token {
			continue
		}
		if c := (assigner.Claim{Slice: i, Token: token}); t.Yields(c) {
			list = append(list, c)
		} else {
			delete(g.claims, i)
		}
	}
	return list
}

// isOwn reports whether a table assigns a slice to the incarnation of the server.
func (g *Granter) isOwn(t *assigner.Table, slice int) bool {
	o, found := t.OwnerOf(slice)
	return found && o.Member == g.config.Member && o.Incarnation == g.incarnation
}

// adopt replaces the table unless the process has claims that it disagrees with or that were made for a later era. It reports
// whether the table was opened in the present era, so that it may renew the lease.
func (g *Granter) adopt(t *assigner.Table) bool {
	opened := t == nil && g.era == 0 || t != nil && t.Era >= g.era
	if t == g.table {
		return opened
	}
	if len(g.claims) > 0 && (!opened || len(g.Unwritten(t)) > 0) {
		return false
	}
	g.setTable(t)
	return opened
}
