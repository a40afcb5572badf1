package granter

import (
	"time"

	"hibiscusline/assigner"
)

// Granter grants keys to one backend server.
type Granter struct {
	config      Config
	incarnation assigner.Incarnation
	// sequence is the highest heartbeat sequence number of the incarnation.
	sequence uint64
	table    *assigner.Table
	// era is the era of the store whose records were loaded, and claims holds the tokens of the slices to which the process had
	// the right before.
	era    uint64
	claims map[int]uint64
	// claimedSlices is the number of slices of the table that the claims are from.
	claimedSlices int
	// leaseStart is the start of the latest read that returned a table without a suspicion of this process. It is valid
	// if hasLease is set.
	leaseStart time.Duration
	hasLease   bool
	// revoked stops all grants until the store holds a member record of this process with the current revision.
	revoked  bool
	revision uint64
	// grantedTokens holds the token of each slice in the last response, or zero if it was not granted.
	grantedTokens []uint64
	// grantsEnd is a lower bound on the end of the last grants. The server may not run requests after it.
	grantsEnd time.Duration
	// lapseAt is the time after which all grants of this process and of earlier processes of the same name have
	// expired.
	lapseAt time.Duration
	// omittedSince holds, for each slice that the server may still hold although it is no longer granted, the sequence
	// number of the first heartbeat whose response omitted it.
	omittedSince map[int]uint64
	// resumed means that this process has not granted anything since it started, and that an earlier process of the
	// same name did. grantsKnown means that it has, or knows that the grants of the earlier one have ended.
	resumed, grantsKnown bool
	// handovers holds, by slice, the state that the server left for the next owner.
	handovers map[int]string
	// released holds the slices that the latest heartbeat reported as released and that were not granted since.
	released map[int]bool

	// calls holds, by slice, the state of a Granter that grants by calls. generation identifies the grants since the
	// latest DropGrants.
	calls []sliceCalls
	// concerned caches concernedSlices until the table, the incarnation or the generation changes.
	concerned  []int
	generation uint64
	// grantsInFlight counts the grants to the incarnation that are in flight, and staleGrants those of them that are of
	// an earlier generation.
	grantsInFlight, staleGrants int
	// aliveAt is the time of the latest sign of life of the server. disconnected means that grants wait for the next
	// heartbeat, since they need a connection that may not be opened before.
	aliveAt      time.Duration
	disconnected bool
	// connectionsLostAt is the time at which the server had closed all connections for grants.
	connectionsLostAt time.Duration
	// lastBeat is the time of the latest heartbeat, and beatsSince that of the first one since the latest pause. Both are
	// zero before the first heartbeat of an incarnation.
	lastBeat, beatsSince time.Duration
	// earlierGrantsEnd is an upper bound on the end of the grants of earlier generations, and of earlier processes of the
	// same name.
	earlierGrantsEnd time.Duration
}

// New returns a Granter without grants.
func New(c Config) *Granter {
	lapseAt := c.Started + maxRealDuration(c.MaxHold)
	return &Granter{
		config: c, lapseAt: lapseAt, earlierGrantsEnd: lapseAt,
		omittedSince: map[int]uint64{}, handovers: map[int]string{}, released: map[int]bool{},
	}
}

// Resume continues the work of an earlier process of the same name. Until the first grant, the server is assumed to
// hold the slices that the table assigns to its incarnation. The server itself refuses requests for keys that it does
// not hold. Heartbeats may have arrived before.
func (g *Granter) Resume(incarnation assigner.Incarnation) {
	if g.incarnation == (assigner.Incarnation{}) {
		g.incarnation, g.concerned = incarnation, nil
	}
	g.resumed = g.incarnation == incarnation && !g.grantsKnown
}

// Incarnation returns the newest incarnation that has sent a heartbeat.
func (g *Granter) Incarnation() assigner.Incarnation { return g.incarnation }

// Observe sets the newest table and the start time of the read that returned it. For a read by another process,
// readBegan must not be later than the actual start of that read.
func (g *Granter) Observe(t *assigner.Table, readBegan time.Duration) {
	if !g.adopt(t) {
		return
	}
	if t != nil && t.Suspected(g.config.Member) {
		return
	}
	if !g.hasLease || readBegan > g.leaseStart {
		g.leaseStart, g.hasLease = readBegan, true
	}
}

// setTable replaces the table. The number of slices of a service never changes, so existing tokens stay valid.
func (g *Granter) setTable(t *assigner.Table) {
	if t != nil && len(g.grantedTokens) != len(t.Slices) {
		g.grantedTokens = make([]uint64, len(t.Slices))
		g.calls = make([]sliceCalls, len(t.Slices))
	}
	g.table, g.concerned = t, nil
}

// LeaseEnd returns the time until which grants may be valid. It returns zero if the process has no lease or its grants
// are revoked.
func (g *Granter) LeaseEnd() time.Duration {
	if !g.hasLease || g.revoked {
		return 0
	}
	return g.leaseStart + g.config.LeaseTerm
}

// GrantsLapseAt returns the time after which all grants of this process have expired.
func (g *Granter) GrantsLapseAt() time.Duration {
	if g.grantsInFlight > 0 {
		return never
	}
	return g.lapseAt
}

// Revoke stops all grants until Confirm. The process must publish a member record with the new revision.
func (g *Granter) Revoke() {
	g.revoked = true
	g.revision++
}

// Revision returns the revision that the stored member record must have before keys are granted.
func (g *Granter) Revision() uint64 { return g.revision }

// Confirm reports that the store holds a member record of this process that allows an incarnation to hold keys, and the
// revision of that record. Records with an older revision are ignored, because a later one that declares the
// incarnation ended may not have been stored yet.
func (g *Granter) Confirm(incarnation assigner.Incarnation, revision uint64) {
	if incarnation == g.incarnation && revision == g.revision {
		g.revoked = false
	}
}

// DropGrants clears all grants after the incarnation of the server has ended or all its grants have expired.
func (g *Granter) DropGrants() {
	g.resumed, g.grantsKnown = false, true
	clear(g.grantedTokens)
	clear(g.omittedSince)
	clear(g.handovers)
	clear(g.released)
	clear(g.calls)
	g.concerned = nil
	g.generation++
	g.staleGrants = g.grantsInFlight
	g.grantsEnd = 0
	// The server may still run, and hold what it was granted before, although it was taken to have ended.
	g.earlierGrantsEnd = max(g.earlierGrantsEnd, g.lapseAt)
}

// observeHeartbeat records the incarnation and the sequence number of a heartbeat. It reports whether the heartbeat is
// of the newest incarnation, and whether it is the newest one of that.
func (g *Granter) observeHeartbeat(now time.Duration, h Heartbeat) (current, newest bool) {
	successor := false
	switch {
	case h.Incarnation != g.incarnation && h.Incarnation.Born < g.incarnation.Born:
		return false, false
	case h.Incarnation != g.incarnation:
		g.resumed = false
		if g.incarnation != (assigner.Incarnation{}) {
			g.DropGrants()
			// The successor may only get the keys under higher tokens.
			clear(g.claims)
			g.lapseAt, g.earlierGrantsEnd = now, 0
			g.grantsInFlight, g.staleGrants = 0, 0
		}
		successor = g.incarnation != (assigner.Incarnation{})
		g.incarnation, g.sequence, g.lastBeat, g.concerned = h.Incarnation, h.Sequence, 0, nil
	case h.Sequence <= g.sequence:
		return true, false
	default:
		g.sequence = h.Sequence
	}
	if g.lastBeat == 0 || now-g.lastBeat > maxBeatPause {
		g.beatsSince = now
	}
	g.lastBeat = now
	// Heartbeats of a server that was replaced can arrive late, at a process that doesn't know its successor yet, and
	// several at once. They stop, while those of a live server go on.
	if successor || now-g.beatsSince >= minBeatSpan {
		g.aliveAt, g.disconnected = now, false
	}
	return true, true
}

const (
	// maxBeatPause is the pause between two heartbeats after which a server may have been replaced.
	maxBeatPause = 2500 * time.Millisecond
	// minBeatSpan is the time over which heartbeats must have arrived, after the start of the process or a pause, to be a
	// sign of life of the server. It is shorter than the heartbeat interval.
	minBeatSpan = 100 * time.Millisecond
)

// Heartbeat handles a heartbeat and returns the response, which is empty if grants are made by calls. It returns false
// for a heartbeat of an earlier incarnation.
func (g *Granter) Heartbeat(now time.Duration, h Heartbeat) (Response, bool) {
	current, newest := g.observeHeartbeat(now, h)
	if !newest || g.table == nil || g.config.ByCalls {
		return Response{}, current
	}
	g.storeHandovers(h.Freed)
	released := g.releasedSlices(now, h)
	return g.respond(now, h, released), true
}

func (g *Granter) storeHandovers(list []Freed) {
	for _, f := range list {
		for i := g.table.SliceOf(f.First); i <= g.table.SliceOf(f.Last); i++ {
			if f.Handover != "" {
				g.handovers[i] = f.Handover
			}
		}
	}
}

// heldSlices reports, by slice, whether the server holds at least one key of it.
func (g *Granter) heldSlices(list []Holding) []bool {
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

// ownsSlice reports whether the table assigns a slice to the incarnation of the server.
func (g *Granter) ownsSlice(slice int) bool {
	o, found := g.table.OwnerOf(slice)
	return found && o.Member == g.config.Member && o.Incarnation == g.incarnation
}

// releasedSlices returns the slices with a target that the server no longer holds: either a heartbeat after the
// response that omitted the slice does not list it, or all grants have expired.
func (g *Granter) releasedSlices(now time.Duration, h Heartbeat) []assigner.Released {
	held := g.heldSlices(h.Holds)
	clear(g.released)
	var list []assigner.Released
	for i := range g.table.Slices {
		since, omitted := g.omittedSince[i]
		free := omitted && h.Sequence > since && !held[i] || now > g.lapseAt
		if _, moving := g.table.TargetOf(i); moving && g.ownsSlice(i) && free {
			list = append(list, assigner.Released{Slice: i, Token: g.table.Slices[i].Token, Handover: g.handovers[i]})
			g.released[i] = true
		}
		if omitted && !held[i] && !g.ownsSlice(i) {
			delete(g.omittedSince, i)
			delete(g.handovers, i)
		}
	}
	return list
}

// StillReleased returns those of the released slices of an earlier response that the server may not hold again, for a
// release that is built from a table. A target can be cleared and set again under the same token while a release waits,
// and the slice is granted again in between. Without the newest table, the result is empty.
func (g *Granter) StillReleased(t *assigner.Table, list []assigner.Released) []assigner.Released {
	if t != g.table {
		return nil
	}
	var still []assigner.Released
	for _, r := range list {
		if g.released[r.Slice] {
			still = append(still, r)
		}
	}
	return still
}

// respond grants the slices that the table assigns to the server and that have no target.
func (g *Granter) respond(now time.Duration, h Heartbeat, released []assigner.Released) Response {
	r := Response{Released: released}
	left := time.Duration(minClockRate * minClockRate * float64(g.LeaseEnd()-now))
	r.HoldTime = min(g.config.HoldTime, left).Truncate(time.Millisecond)
	if r.HoldTime < minHoldTime {
		r.HoldTime = 0
		return r
	}
	r.Renews = true
	g.resumed, g.grantsKnown = false, true
	held := g.heldSlices(h.Holds)
	size := 0
	for i, s := range g.table.Slices {
		if !g.mayGrant(i) {
			g.omit(i, h.Sequence, held[i])
			continue
		}
		size = g.grant(&r, i, s.Token, held[i], size)
	}
	g.grantsEnd = now + r.HoldTime
	g.lapseAt = max(g.lapseAt, now+maxRealDuration(r.HoldTime))
	return r
}

func (g *Granter) omit(slice int, sequence uint64, held bool) {
	g.grantedTokens[slice] = 0
	if _, present := g.omittedSince[slice]; !present && (held || g.ownsSlice(slice)) {
		g.omittedSince[slice] = sequence
	}
}

// grant adds a slice to the response unless the response would exceed its size limit. It returns the new size in bytes.
func (g *Granter) grant(r *Response, slice int, token uint64, held bool, size int) int {
	first, last := g.table.KeyRange(slice)
	handover := ""
	if !held {
		handover = g.table.Handovers[uint16(slice)]
	}
	n := len(r.Grants)
	if n > 0 && handover == "" && r.Grants[n-1].Handover == "" &&
		r.Grants[n-1].Token == token && r.Grants[n-1].Last+1 == first {
		r.Grants[n-1].Last = last
	} else {
		size += grantBytes + len(handover)
		if token >= smallTokens {
			size += largeTokenBytes
		}
		if size > maxResponseBytes {
			g.omit(slice, g.sequence, held)
			return size
		}
		r.Grants = append(r.Grants, Grant{Holding: Holding{First: first, Last: last, Token: token}, Handover: handover})
	}
	delete(g.omittedSince, slice)
	delete(g.released, slice)
	g.grantedTokens[slice] = token
	return size
}

// Permits reports whether a request for a key may run now.
func (g *Granter) Permits(now time.Duration, key uint16) bool {
	if g.table == nil {
		return false
	}
	if g.config.ByCalls {
		return g.permitsByCalls(now, g.table.SliceOf(key))
	}
	if g.resumed {
		slice := g.table.SliceOf(key)
		return now < g.lapseAt && g.ownsSlice(slice) && g.table.Slices[slice].Target == 0
	}
	if now >= g.grantsEnd || now >= g.LeaseEnd() {
		return false
	}
	return g.grantedTokens[g.table.SliceOf(key)] != 0
}

// Pending reports whether a slice waits for a heartbeat to be granted, withdrawn or reported as released.
func (g *Granter) Pending() bool {
	if g.table == nil {
		return false
	}
	for i, s := range g.table.Slices {
		if g.ownsSlice(i) && (s.Target != 0 || g.mayGrant(i)) && (s.Target == 0) != (g.grantedTokens[i] != 0) {
			return true
		}
	}
	return len(g.omittedSince) > 0
}

// AdoptUnverified sets a table that may not be the newest. It may end grants but does not extend the lease.
func (g *Granter) AdoptUnverified(t *assigner.Table) {
	g.adopt(t)
}
