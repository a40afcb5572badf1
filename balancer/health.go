package balancer

import (
	"math"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Rules of ejection.
const (
	failuresInRow = 5
	// failureShare ejects a member that fails this share of its recent requests, with at least leastSamples of them.
	failureShare = 0.5
	leastSamples = 20
	// slowFactor ejects a member whose average latency is this multiple of the median member's.
	slowFactor = 4
	// slowMargin keeps differences that callers don't notice, such as the distance of zones, from ejecting a member.
	slowMargin = 10 * time.Millisecond

	firstEjection = time.Second
	maxEjection   = time.Minute
	// forgiveAfter is the time without ejection after which the next one is as short as the first.
	forgiveAfter = 2 * time.Minute
	// probeLimit is the time after which a probe without result is taken as lost.
	probeLimit     = 10 * time.Second
	reviewInterval = 100 * time.Millisecond

	outcomeWeight = 1.0 / 16
	shedHalfLife  = time.Second
	// failureWeight is what a member that fails everything adds to how busy it looks, in requests in flight per slot. It
	// keeps most requests away before the ejection and where no ejection is allowed.
	failureWeight   = 4
	failureHalfLife = 5 * time.Second
)

// health is what a Chooser knows first-hand of a member.
type health struct {
	inFlight int
	// progress is the time of the latest sign of life: a finished request, or the start of one on an idle member.
	progress time.Duration
	seen     time.Duration
	samples  int
	row      int
	failures float64
	latency  time.Duration
	shed     float64
	shedAt   time.Duration
	// trouble is the share of failures as of troubleAt; unlike failures it fades with time.
	trouble   float64
	troubleAt time.Duration

	out       bool
	cause     Cause
	ejectedAt time.Duration
	until     time.Duration
	ejections int
	probing   bool
	probedAt  time.Duration
}

func (h *health) record(now time.Duration, outcome Outcome, latency time.Duration) {
	h.seen = now
	if outcome == Abandoned {
		// The member did nothing and is not to blame either.
		return
	}
	h.progress = now
	h.samples++
	shed, failed := h.shedNow(now), 0.0
	h.shedAt = now
	switch outcome {
	case Shed:
		h.shed = shed + outcomeWeight*(1-shed)
		return
	case Success:
		h.row = 0
	case Failure, Timeout:
		h.row++
		failed = 1
	}
	h.shed = shed * (1 - outcomeWeight)
	h.failures += outcomeWeight * (failed - h.failures)
	trouble := h.troubleNow(now)
	h.trouble, h.troubleAt = trouble+outcomeWeight*(failed-trouble), now
	// The latency of a failure says nothing about slowness, while a timeout took at least as long.
	if outcome == Failure {
		return
	}
	if h.latency == 0 {
		h.latency = latency
	}
	h.latency += time.Duration(outcomeWeight * float64(latency-h.latency))
}

// shedNow is the share of recent requests that were shed. It fades with time too, so that a member that gets no requests
// because of it is tried again.
func (h *health) shedNow(now time.Duration) float64 {
	return h.shed * math.Exp2(-float64(now-h.shedAt)/float64(shedHalfLife))
}

// troubleNow is the share of recent requests that failed. It fades with time for the same reason as shedNow.
func (h *health) troubleNow(now time.Duration) float64 {
	return h.trouble * math.Exp2(-float64(now-h.troubleAt)/float64(failureHalfLife))
}

func (h *health) failing() bool {
	return h.row >= failuresInRow || h.samples >= leastSamples && h.failures >= failureShare
}

func (h *health) slow(reference time.Duration) bool {
	return reference > 0 && h.samples >= leastSamples && h.latency > slowFactor*reference && h.latency > reference+slowMargin
}

// review ejects frozen members, updates the reference latency and forgets members that are gone. An ejection of a member
// that is gone doesn't count against the share, since the member isn't among the candidates either.
func (c *Chooser) review(candidates []Candidate) {
	if c.now-c.reviewed < reviewInterval {
		return
	}
	c.reviewed = c.now
	present := make(map[applier.MemberID]bool, len(candidates))
	for _, candidate := range candidates {
		present[candidate.ID] = true
	}
	var latencies []time.Duration
	for id, h := range c.members {
		if !present[id] {
			h.out = false
			delete(c.ejected, id)
			if h.inFlight == 0 && c.now-h.seen > forgetAfter {
				delete(c.members, id)
			}
			continue
		}
		if h.samples >= leastSamples {
			latencies = append(latencies, h.latency)
		}
	}
	c.reference = 0
	if len(latencies) > 0 {
		slices.Sort(latencies)
		c.reference = latencies[(len(latencies)-1)/2]
	}
	for _, id := range c.frozen(present) {
		c.eject(id, c.members[id], Frozen)
	}
}

// frozen lists present members that have shown no sign of life for too long, in ascending order.
func (c *Chooser) frozen(present map[applier.MemberID]bool) []applier.MemberID {
	limit := max(c.config.FrozenAfter, 2*slowFactor*c.reference)
	var ids []applier.MemberID
	for id, h := range c.members {
		if present[id] && !h.out && h.inFlight > 0 && c.now-h.progress > limit {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// eject stops sending requests to a member. At most a third of the candidates is ejected: when most members look bad, the
// fault is probably elsewhere, and the rest couldn't carry the load. When the third is used up, a member that fails or is
// frozen takes the place of one that was ejected earlier, since what is known of that one is older.
func (c *Chooser) eject(id applier.MemberID, h *health, cause Cause) {
	if c.config.Policy != TwoChoices {
		return
	}
	if (len(c.ejected)+1)*3 > c.count && (cause == Slow || !c.release()) {
		c.counts.EjectionsRefused++
		return
	}
	if c.now-h.until > forgiveAfter {
		h.ejections = 0
	}
	h.out, h.cause, h.ejectedAt = true, cause, c.now
	c.ejected[id] = h
	c.counts.Ejected[cause]++
	c.extend(h)
}

// release takes back the member that was ejected for slowness, or else the one that was ejected first. It reports false
// when none is ejected or too many are.
func (c *Chooser) release() bool {
	if len(c.ejected)*3 > c.count {
		return false
	}
	var oldest applier.MemberID
	var found *health
	for id, h := range c.ejected {
		if found == nil || olderEjection(id, h, oldest, found) {
			oldest, found = id, h
		}
	}
	if found == nil {
		return false
	}
	c.counts.EjectionsReplaced++
	c.readmit(oldest, found)
	return true
}

func olderEjection(id applier.MemberID, h *health, otherID applier.MemberID, other *health) bool {
	if slow := h.cause == Slow; slow != (other.cause == Slow) {
		return slow
	}
	if h.ejectedAt != other.ejectedAt {
		return h.ejectedAt < other.ejectedAt
	}
	return id < otherID
}

// readmit ends an ejection. The member is judged anew; what it failed lately still repels requests for a while.
func (c *Chooser) readmit(id applier.MemberID, h *health) {
	h.out, h.probing = false, false
	h.row, h.failures, h.samples, h.latency = 0, 0, 0, 0
	h.until, h.progress = c.now, c.now
	delete(c.ejected, id)
}

func (c *Chooser) extend(h *health) {
	h.probing = false
	h.until = c.now + min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
}

// probe returns an ejected candidate whose time has passed and that has no probe under way. A request that was sent before
// is no probe: it has less time left, and its caller has waited already.
func (c *Chooser) probe(candidates []Candidate) (applier.MemberID, bool) {
	if len(c.ejected) == 0 {
		return 0, false
	}
	for _, candidate := range candidates {
		if candidate.Tried {
			return 0, false
		}
	}
	for _, candidate := range candidates {
		h, out := c.ejected[candidate.ID]
		if !out || c.now < h.until || h.probing && c.now-h.probedAt < probeLimit {
			continue
		}
		h.probing, h.probedAt, h.seen = true, c.now, c.now
		return candidate.ID, true
	}
	return 0, false
}

// judgeProbe takes an ejected member back after a good probe and ejects it for twice the time after a bad one. Results
// of requests from before the probe don't count.
func (c *Chooser) judgeProbe(id applier.MemberID, h *health, outcome Outcome, latency time.Duration) {
	if !h.probing || c.now-latency < h.probedAt {
		return
	}
	if outcome == Abandoned {
		h.probing = false
		return
	}
	tooSlow := c.reference > 0 && latency > slowFactor*c.reference && latency > c.reference+slowMargin
	if outcome == Failure || outcome == Timeout || outcome == Success && tooSlow {
		c.extend(h)
		return
	}
	h.trouble = 0
	c.readmit(id, h)
}
