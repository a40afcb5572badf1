package granter

import (
	"math"
	"time"

	"hibiscusline/assigner"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=names.go

// Call is a request by which the process grants keys to its backend server or takes them back: a GrantCall or a
// ReleaseCall.
type Call interface {
	// Instance returns the id of the server that the call is meant for. Another one must not apply it.
	Instance() string
	reference() callReference
}

// callReference tells which slices of which generation of grants a call is about.
type callReference struct {
	incarnation assigner.Incarnation
	generation  uint64
	first, last int
	sentAt      time.Duration
}

func (r callReference) reference() callReference { return r }

// Instance returns the id of the server that the call is meant for.
func (r callReference) Instance() string { return r.incarnation.Instance }

// GrantCall grants a range of keys, or renews its grant.
type GrantCall struct {
	callReference
	Grant
	// HoldTime is the validity of the grant, counted from when the call arrives.
	HoldTime time.Duration
	// SendBy is the latest time at which the call may be sent. A later arrival could outlast the lease of the process.
	SendBy time.Duration
}

// ReleaseCall takes a range of keys back. The server answers when its work on the keys has ended.
type ReleaseCall struct {
	callReference
	Holding
}

// Outcome is the result of a Call.
type Outcome uint8

// Outcomes of a call. NotSent, NotConnected and Misdirected guarantee that the call has no effect. NotConnected means that
// it needs a new connection, which may not be opened now, and Misdirected that another server has the address.
const (
	Applied      Outcome = iota // applied
	Superseded                  // superseded
	NotSent                     // not_sent
	NotConnected                // not_connected
	Misdirected                 // misdirected
	Unanswered                  // unanswered
)

const (
	// sendSlack is the time between the decision to send a call and the latest time at which it may be sent.
	sendSlack = 100 * time.Millisecond
	// renewShare is the part of HoldTime that is left when a grant is renewed.
	renewShare = 0.6
	// minRenewalGain is the least useful extension of a grant.
	minRenewalGain = 400 * time.Millisecond
	// Waits after a call that had no effect, or an unknown one, before the next call for its slices.
	unansweredRetryDelay = 100 * time.Millisecond
	notSentRetryDelay    = 50 * time.Millisecond
	supersededRetryDelay = 500 * time.Millisecond
)

// never is later than every time.
const never = time.Duration(math.MaxInt64)

// sliceCalls is what the calls of this process have established about one slice. The zero value means that this process
// has sent none.
type sliceCalls struct {
	// token is that of the latest grant that the server has acknowledged and that was not taken back since, or zero.
	token uint64
	// grantedUntil is a lower bound on the end of that grant.
	grantedUntil time.Duration
	// sentToken is the token of the latest grant that was sent.
	sentToken uint64
	// answeredUntil is an upper bound on the end of the grants that the server has acknowledged, and zero after it has
	// answered a release.
	answeredUntil time.Duration
	// unansweredUntil is an upper bound on the end of the grants without an answer. The server may apply them at any time
	// before, also after it has answered later calls.
	unansweredUntil time.Duration
	// inFlight means that a call for the slice is in flight, and granting that it is a grant. There is at most one call.
	inFlight, granting bool
	// released means that the server has answered a release since the latest grant.
	released bool
	retryAt  time.Duration
}

// maxGrantEnd returns an upper bound on the end of all grants of a slice, including those of an earlier process.
func (g *Granter) maxGrantEnd(i int) time.Duration {
	c := &g.calls[i]
	if c.granting || g.staleGrants > 0 {
		return never
	}
	return max(c.answeredUntil, c.unansweredUntil, g.earlierGrantsEnd)
}

// sliceFree reports whether the server can't hold a slice that was taken from it.
func (g *Granter) sliceFree(now time.Duration, i int) bool {
	return !g.calls[i].inFlight && now > g.maxGrantEnd(i)
}

// step is what a slice needs next.
type step uint8

const (
	nothing step = iota
	grantSlice
	releaseSlice
)

// nextStep returns what a slice needs now.
func (g *Granter) nextStep(now time.Duration, i int, hold time.Duration) step {
	c := &g.calls[i]
	if c.inFlight || now < c.retryAt {
		return nothing
	}
	if g.ownsSlice(i) && g.table.Slices[i].Target == 0 {
		if !g.mayGrant(i) {
			return nothing
		}
		held := c.token == g.table.Slices[i].Token && now < c.grantedUntil
		switch {
		case hold < minHoldTime, g.disconnected:
			return nothing
		case !held,
			c.grantedUntil-now < time.Duration(renewShare*float64(g.config.HoldTime)) &&
				now+hold > c.grantedUntil+minRenewalGain:
			return grantSlice
		}
		return nothing
	}
	if g.mustTakeBack(now, i) {
		return releaseSlice
	}
	return nothing
}

// mustTakeBack reports whether the server may hold a slice that it must give up and has not been asked to.
func (g *Granter) mustTakeBack(now time.Duration, i int) bool {
	if g.calls[i].released || g.sliceFree(now, i) {
		return false
	}
	return g.calls[i].sentToken != 0 || g.ownsSlice(i)
}

// Calls returns up to limit calls that are to be sent now. Each must be reported to Finished.
func (g *Granter) Calls(now time.Duration, limit int) []Call {
	if g.table == nil || g.incarnation == (assigner.Incarnation{}) {
		return nil
	}
	hold := g.callHoldTime(now)
	var list []Call
	for _, i := range g.concernedSlices() {
		if len(list) >= limit {
			break
		}
		switch g.nextStep(now, i, hold) {
		case grantSlice:
			list = append(list, g.beginGrant(now, i, hold))
		case releaseSlice:
			list = append(list, g.beginRelease(now, i))
		case nothing:
		}
	}
	return list
}

// concernedSlices returns, in order, the slices that the server owns or that this process has granted to it. The others,
// nearly all in a large system, need no calls.
func (g *Granter) concernedSlices() []int {
	if g.concerned != nil {
		return g.concerned
	}
	g.concerned = []int{}
	for i := range g.table.Slices {
		if g.ownsSlice(i) || g.calls[i].sentToken != 0 || g.calls[i].inFlight {
			g.concerned = append(g.concerned, i)
		}
	}
	return g.concerned
}

// callHoldTime returns the validity of a grant that is sent at sendSlack from now at the latest, or less than
// minHoldTime if there is no lease.
func (g *Granter) callHoldTime(now time.Duration) time.Duration {
	left := time.Duration(minClockRate * minClockRate * float64(g.LeaseEnd()-now-sendSlack))
	return min(g.config.HoldTime, left).Truncate(time.Millisecond)
}

// beginGrant starts the grant of a slice and of the adjacent ones that are granted under the same token without handover.
func (g *Granter) beginGrant(now time.Duration, i int, hold time.Duration) GrantCall {
	token := g.table.Slices[i].Token
	c := GrantCall{
		callReference: g.newReference(now, i),
		HoldTime:      hold, SendBy: now + sendSlack,
	}
	c.Handover = g.handoverFor(i)
	for c.Handover == "" && c.last+1 < len(g.table.Slices) && g.table.Slices[c.last+1].Token == token &&
		g.handoverFor(c.last+1) == "" && g.nextStep(now, c.last+1, hold) == grantSlice {
		c.last++
	}
	c.Token = token
	c.First, _ = g.table.KeyRange(i)
	_, c.Last = g.table.KeyRange(c.last)
	for n := i; n <= c.last; n++ {
		s := &g.calls[n]
		s.inFlight, s.granting, s.released, s.sentToken = true, true, false, token
		delete(g.released, n)
		delete(g.handovers, n)
	}
	g.grantsInFlight++
	return c
}

// handoverFor returns the handover text with which a slice is granted. The text belongs to the first grant only.
func (g *Granter) handoverFor(i int) string {
	if g.calls[i].token == g.table.Slices[i].Token {
		return ""
	}
	return g.table.Handovers[uint16(i)]
}

func (g *Granter) newReference(now time.Duration, slice int) callReference {
	return callReference{incarnation: g.incarnation, generation: g.generation, first: slice, last: slice, sentAt: now}
}

func (g *Granter) beginRelease(now time.Duration, i int) ReleaseCall {
	s := &g.calls[i]
	r := ReleaseCall{callReference: g.newReference(now, i)}
	r.First, r.Last = g.table.KeyRange(i)
	r.Token = s.sentToken
	if g.ownsSlice(i) {
		r.Token = g.table.Slices[i].Token
	}
	s.inFlight, s.token = true, 0
	return r
}

// Finished reports the outcome of a call and, for a release, the handover text. The connection of a call without an
// answer must be closed before, so that the call can't arrive later.
func (g *Granter) Finished(now time.Duration, c Call, o Outcome, handover string) {
	r := c.reference()
	if r.incarnation != g.incarnation {
		return
	}
	grant, isGrant := c.(GrantCall)
	if isGrant {
		g.grantsInFlight--
		g.observeGrant(now, grant, o)
	}
	if r.generation != g.generation {
		if isGrant {
			g.staleGrants--
			g.earlierGrantsEnd = max(g.earlierGrantsEnd, g.lapseAt)
		}
		return
	}
	for i := r.first; i <= r.last; i++ {
		g.calls[i].inFlight = false
		switch c := c.(type) {
		case GrantCall:
			g.finishGrant(now, i, c, o)
		case ReleaseCall:
			g.finishRelease(now, i, o, handover)
		}
	}
}

// observeGrant records what the outcome of a grant tells about the server and about the end of all grants.
func (g *Granter) observeGrant(now time.Duration, c GrantCall, o Outcome) {
	switch o {
	case Applied:
		g.observeAnswer(now, c)
		g.lapseAt = max(g.lapseAt, now+maxRealDuration(c.HoldTime))
	case Unanswered:
		g.lapseAt = max(g.lapseAt, now+maxRealDuration(c.HoldTime))
	case NotConnected, Misdirected:
		g.disconnected = true
	case Superseded:
		g.observeAnswer(now, c)
	case NotSent:
	}
}

// observeAnswer records an answer to a grant as a sign of life, unless the connections were lost since it was sent.
func (g *Granter) observeAnswer(now time.Duration, c GrantCall) {
	if c.sentAt > g.connectionsLostAt {
		g.aliveAt = now
	}
}

// ConnectionsLost records that the server has closed all connections for grants, so that it may have ended. The next
// connection waits for further heartbeats.
func (g *Granter) ConnectionsLost(now time.Duration) {
	g.connectionsLostAt, g.aliveAt, g.lastBeat = now, 0, 0
}

// connectWindow is how long after a sign of life of the server a connection for grants may be opened. It is shorter than
// a server takes to start again under the same id.
const connectWindow = 250 * time.Millisecond

// MayConnect reports whether a connection for grants may be opened, or used if it was just opened. A new incarnation at the
// address of the server must not receive grants of the earlier one. As long as an older connection is open, the server
// can't have ended. Without one, a connection is opened only just after a sign of life of the server.
func (g *Granter) MayConnect(now time.Duration, open bool) bool {
	return g.incarnation != (assigner.Incarnation{}) && (open || g.aliveAt != 0 && now-g.aliveAt < connectWindow)
}

// MaySend reports whether a call is for the newest known incarnation of the server. A call that waited for a connection may
// have got one to a later incarnation under the same id, which must not receive it.
func (g *Granter) MaySend(c Call) bool { return c.reference().incarnation == g.incarnation }

func (g *Granter) finishGrant(now time.Duration, i int, c GrantCall, o Outcome) {
	s := &g.calls[i]
	s.granting = false
	latestEnd := now + maxRealDuration(c.HoldTime)
	switch o {
	case Applied:
		s.token, s.grantedUntil = c.Token, c.sentAt+c.HoldTime
		s.answeredUntil = max(s.answeredUntil, latestEnd)
	case Unanswered:
		s.unansweredUntil = max(s.unansweredUntil, latestEnd)
		s.retryAt = now + unansweredRetryDelay
	case Superseded:
		s.token, s.retryAt = 0, now+supersededRetryDelay
	case NotSent, NotConnected, Misdirected:
		s.retryAt = now + notSentRetryDelay
	}
}

func (g *Granter) finishRelease(now time.Duration, i int, o Outcome, handover string) {
	s := &g.calls[i]
	if o != Applied {
		s.retryAt = now + unansweredRetryDelay
		return
	}
	s.released, s.answeredUntil = true, 0
	if handover != "" {
		g.handovers[i] = handover
	}
}

// ReleasedSlices returns the slices with a target that the server can't hold any more.
func (g *Granter) ReleasedSlices(now time.Duration) []assigner.Released {
	clear(g.released)
	if g.table == nil {
		return nil
	}
	var list []assigner.Released
	for _, i := range g.concernedSlices() {
		if _, moving := g.table.TargetOf(i); moving && g.ownsSlice(i) && g.sliceFree(now, i) {
			list = append(list, assigner.Released{Slice: i, Token: g.table.Slices[i].Token, Handover: g.handovers[i]})
			g.released[i] = true
		}
	}
	return list
}

// NextCallAt returns the time at which Calls or ReleasedSlices may have something new, if nothing else happens before.
func (g *Granter) NextCallAt(now time.Duration) time.Duration {
	if g.table == nil {
		return never
	}
	next := never
	for _, i := range g.concernedSlices() {
		c := &g.calls[i]
		switch owns := g.ownsSlice(i); {
		case c.inFlight:
		case owns && g.table.Slices[i].Target == 0:
			renewAt := c.grantedUntil - time.Duration(renewShare*float64(g.config.HoldTime))
			next = min(next, max(c.retryAt, renewAt, now+idleCheckInterval))
		case owns || c.sentToken != 0 && !g.sliceFree(now, i):
			next = min(next, max(min(g.maxGrantEnd(i), max(c.retryAt, now+idleCheckInterval)), now))
		}
	}
	return next
}

// idleCheckInterval is the shortest wait of NextCallAt for a slice that needs nothing at the moment, for example while
// there is no lease.
const idleCheckInterval = 100 * time.Millisecond

// KeyRefused reports that the server refused a request for a key that it was granted, since it doesn't hold the key. A
// release that arrived late may have taken it back. The next call grants it again.
func (g *Granter) KeyRefused(key uint16) {
	if g.table == nil || !g.config.ByCalls {
		return
	}
	if c := &g.calls[g.table.SliceOf(key)]; !c.inFlight {
		c.grantedUntil = 0
	}
}

// permitsByCalls reports whether the server holds the slice of a key now, according to the calls.
func (g *Granter) permitsByCalls(now time.Duration, slice int) bool {
	if !g.ownsSlice(slice) || g.table.Slices[slice].Target != 0 {
		return false
	}
	c := &g.calls[slice]
	if c.token != 0 && now < c.grantedUntil {
		// The token of the table may be a later one, under which the slice is granted next.
		return now < g.LeaseEnd()
	}
	return g.resumed && c.sentToken == 0 && now < g.earlierGrantsEnd
}
