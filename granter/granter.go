package granter

import (
	"time"

	"hibiscusline/assigner"
)

// Granter grants keys to one backend server.
type Granter struct {
	config      Config
	incarnation assigner.Incarnation
	// sequence is that of the newest heartbeat of the incarnation.
	sequence uint64
	table    *assigner.Table
	// evidence is the start of the newest read that showed a table without a suspicion of this process.
	evidence time.Duration
	proven   bool
	// revoked stops all grants until the store holds a record of this process with the present revision.
	revoked  bool
	revision uint64
	// granted holds the token of each slice that the last response granted, zero for none.
	granted []uint64
	// until is the conservative end of the last grant: after it the server may not run requests.
	until time.Duration
	// lapse is the time after which no grant of this process or an earlier one at its place can hold.
	lapse time.Duration
	// omitted holds, for each slice that the server may still hold without being granted it, the sequence of the first
	// heartbeat that was answered without it.
	omitted map[int]uint64
	// resumed means that nothing was granted since the process started, and that an earlier process at its place granted keys.
	resumed bool
	// handovers holds what the server left for slices that it released.
	handovers map[int]string
}

// New returns a Granter that grants nothing.
func New(c Config) *Granter {
	return &Granter{
		config: c, lapse: c.Started + longest(c.MaxHold), omitted: map[int]uint64{}, handovers: map[int]string{},
	}
}

// Resume takes over from an earlier process at the same place: until the first grant, the server is expected to hold what
// the table gives to its incarnation. It refuses requests for keys that it doesn't hold.
func (g *Granter) Resume(incarnation assigner.Incarnation) {
	if g.incarnation == (assigner.Incarnation{}) {
		g.incarnation, g.resumed = incarnation, true
	}
}

// Incarnation returns the newest incarnation that has sent a heartbeat.
func (g *Granter) Incarnation() assigner.Incarnation { return g.incarnation }

// Observe takes the newest table and the time at which the read that showed it began. A read that is known through another
// process counts from a time at which that process can't have known less.
func (g *Granter) Observe(t *assigner.Table, readBegan time.Duration) {
	if t != g.table {
		g.adopt(t)
	}
	if t != nil && t.Suspected(g.config.Member) {
		return
	}
	if !g.proven || readBegan > g.evidence {
		g.evidence, g.proven = readBegan, true
	}
}

// adopt replaces the table. A table of another width can't follow one that is in force, as the width never changes.
func (g *Granter) adopt(t *assigner.Table) {
	if t != nil && len(g.granted) != len(t.Slices) {
		g.granted = make([]uint64, len(t.Slices))
	}
	g.table = t
}

// LeaseEnd returns the time until which grants may hold.
func (g *Granter) LeaseEnd() time.Duration {
	if !g.proven || g.revoked {
		return 0
	}
	return g.evidence + g.config.LeaseTerm
}

// GrantsLapseAt returns the time after which no grant of this process holds any more.
func (g *Granter) GrantsLapseAt() time.Duration { return g.lapse }

// Revoke stops all grants until Confirm. The process must publish a record with the new revision.
func (g *Granter) Revoke() {
	g.revoked = true
	g.revision++
}

// Revision returns the revision that the process's record must bear for grants to be given.
func (g *Granter) Revision() uint64 { return g.revision }

// Confirm takes what the store holds of this process: a record that names an incarnation as one that may hold keys, with the revision
// under which it was published. An older record doesn't count, since a later one that declares the incarnation ended may be on its
// way to the store.
func (g *Granter) Confirm(incarnation assigner.Incarnation, revision uint64) {
	if incarnation == g.incarnation && revision == g.revision {
		g.revoked = false
	}
}

// DropGrants forgets all grants, because the server's incarnation has ended.
func (g *Granter) DropGrants() {
	g.resumed = false
	clear(g.granted)
	clear(g.omitted)
	clear(g.handovers)
	g.until = 0
}

// Heartbeat takes a heartbeat and returns the response. It reports false for a heartbeat of an earlier incarnation.
func (g *Granter) Heartbeat(now time.Duration, h Heartbeat) (Response, bool) {
	switch {
	case h.Incarnation != g.incarnation && h.Incarnation.Born < g.incarnation.Born:
		return Response{}, false
	case h.Incarnation != g.incarnation:
		g.resumed = false
		if g.incarnation != (assigner.Incarnation{}) {
			g.DropGrants()
			g.lapse = now
		}
		g.incarnation, g.sequence = h.Incarnation, h.Sequence
	case h.Sequence <= g.sequence:
		return Response{}, true
	default:
		g.sequence = h.Sequence
	}
	if g.table == nil {
		return Response{}, true
	}
	g.noteHandovers(h.Freed)
	released := g.released(now, h)
	return g.answer(now, h, released), true
}

func (g *Granter) noteHandovers(list []Freed) {
	for _, f := range list {
		for i := g.table.SliceOf(f.First); i <= g.table.SliceOf(f.Last); i++ {
			if f.Handover != "" {
				g.handovers[i] = f.Handover
			}
		}
	}
}

// held marks the slices of which a server holds at least one key.
func (g *Granter) held(list []Holding) []bool {
	held := make([]bool, len(g.table.Slices))
	for _, r := range list {
		if r.Last < r.First {
			continue
		}
		for i := g.table.SliceOf(r.First); i <= g.table.SliceOf(r.Last); i++ {
			held[i] = true
		}
	}
	return held
}

// mine reports whether the table gives a slice to the server's incarnation.
func (g *Granter) mine(slice int) bool {
	o, found := g.table.OwnerOf(slice)
	return found && o.Member == g.config.Member && o.Incarnation == g.incarnation
}

// released returns the slices with a target that the server no longer holds: it was told to release them and a later
// heartbeat shows that it did, or no grant of them can hold any more.
func (g *Granter) released(now time.Duration, h Heartbeat) []assigner.Released {
	held := g.held(h.Holds)
	var list []assigner.Released
	for i := range g.table.Slices {
		since, omitted := g.omitted[i]
		free := omitted && h.Sequence > since && !held[i] || now > g.lapse
		if _, moving := g.table.TargetOf(i); moving && g.mine(i) && free {
			list = append(list, assigner.Released{Slice: i, Token: g.table.Slices[i].Token, Handover: g.handovers[i]})
		}
		if omitted && !held[i] && !g.mine(i) {
			delete(g.omitted, i)
			delete(g.handovers, i)
		}
	}
	return list
}

// answer grants what the table gives to the server and what isn't to move.
func (g *Granter) answer(now time.Duration, h Heartbeat, released []assigner.Released) Response {
	a := Response{Released: released}
	left := time.Duration(clockRate * clockRate * float64(g.LeaseEnd()-now))
	a.HoldTime = min(g.config.HoldTime, left).Truncate(time.Millisecond)
	if a.HoldTime < minHold {
		a.HoldTime = 0
		return a
	}
	a.Renews = true
	g.resumed = false
	held := g.held(h.Holds)
	size := 0
	for i, s := range g.table.Slices {
		if !g.mine(i) || s.Target != 0 {
			g.omit(i, h.Sequence, held[i])
			continue
		}
		size = g.grant(&a, i, s.Token, held[i], size)
	}
	g.until = now + a.HoldTime
	g.lapse = max(g.lapse, now+longest(a.HoldTime))
	return a
}

func (g *Granter) omit(slice int, sequence uint64, held bool) {
	g.granted[slice] = 0
	if _, present := g.omitted[slice]; !present && (held || g.mine(slice)) {
		g.omitted[slice] = sequence
	}
}

// grant adds a slice to the response, unless the response would grow too large. It returns the size of the response.
func (g *Granter) grant(a *Response, slice int, token uint64, held bool, size int) int {
	first, last := g.table.KeyRange(slice)
	handover := ""
	if !held {
		handover = g.table.Handovers[uint16(slice)]
	}
	n := len(a.Grants)
	if n > 0 && handover == "" && a.Grants[n-1].Handover == "" && a.Grants[n-1].Token == token && a.Grants[n-1].Last+1 == first {
		a.Grants[n-1].Last = last
	} else {
		size += grantBytes + len(handover)
		if size > maxBytes {
			g.omit(slice, g.sequence, held)
			return size
		}
		a.Grants = append(a.Grants, Grant{Holding: Holding{First: first, Last: last, Token: token}, Handover: handover})
	}
	delete(g.omitted, slice)
	g.granted[slice] = token
	return size
}

// Permits reports whether a request for a key may run now.
func (g *Granter) Permits(now time.Duration, key uint16) bool {
	if g.table == nil {
		return false
	}
	if g.resumed {
		slice := g.table.SliceOf(key)
		return now < g.lapse && g.mine(slice) && g.table.Slices[slice].Target == 0
	}
	if now >= g.until || now >= g.LeaseEnd() {
		return false
	}
	return g.granted[g.table.SliceOf(key)] != 0
}

// Pending reports whether slices of the server wait for a heartbeat to be granted or released.
func (g *Granter) Pending() bool {
	if g.table == nil {
		return false
	}
	for i, s := range g.table.Slices {
		if g.mine(i) && (s.Target == 0) != (g.granted[i] != 0) {
			return true
		}
	}
	return len(g.omitted) > 0
}

// AdoptUnverified takes a table of which it is not certain that it is the newest. It may end grants but lengthens none.
func (g *Granter) AdoptUnverified(t *assigner.Table) {
	if t != g.table {
		g.adopt(t)
	}
}
