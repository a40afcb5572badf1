package balancer

import (
	"math"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Thresholds of outlier ejection.
const (
	ejectAfterFailures = 5
	// failureThreshold is the share of failed requests from which a member with at least minSamples requests is
	// ejected.
	failureThreshold = 0.5
	minSamples       = 20
	// slowFactor is the multiple of the median latency over all members above which a member is ejected as slow.
	slowFactor = 4
	// slowMargin is the least absolute excess over the median. It prevents ejections for differences that callers
	// don't notice, such as the latency between zones.
	slowMargin = 10 * time.Millisecond

	baseEjectionTime = time.Second
	maxEjectionTime  = time.Minute
	// backoffReset is the time without an ejection after which the next ejection is as short as the first.
	backoffReset = 2 * time.Minute
	// probeTimeout is the time after which a probe without a result counts as lost.
	probeTimeout   = 10 * time.Second
	reviewInterval = 100 * time.Millisecond

	// outcomeWeight is the weight of one request in the exponential moving averages.
	outcomeWeight = 1.0 / 16
	shedHalfLife  = time.Second
	// failureWeight is the load score, in requests in flight per slot, of a member that fails every request. It
	// diverts most requests before the member is ejected, and also when the limit forbids its ejection.
	failureWeight   = 4
	failureHalfLife = 5 * time.Second
)

// health holds the observations of this process about one member.
type health struct {
	inFlight int
	// lastProgress is the time of the last completed request, or of the start of a request on an idle member.
	lastProgress        time.Duration
	lastSeen            time.Duration
	samples             int
	consecutiveFailures int
	failureAverage      float64
	latencyAverage      time.Duration
	shedAverage         float64
	shedAt              time.Duration
	// decayedFailures is the share of failed requests as of decayedFailuresAt. Unlike failureAverage, it also decays
	// with time.
	decayedFailures   float64
	decayedFailuresAt time.Duration

	ejected      bool
	cause        Cause
	ejectedAt    time.Duration
	ejectedUntil time.Duration
	ejections    int
	probing      bool
	probedAt     time.Duration
}

func (h *health) record(now time.Duration, outcome Outcome, latency time.Duration) {
	h.lastSeen = now
	if outcome == Abandoned {
		// An abandoned request tells nothing about the member.
		return
	}
	h.lastProgress = now
	h.samples++
	shedShare, failed := h.shedShare(now), 0.0
	h.shedAt = now
	switch outcome {
	case Shed:
		h.shedAverage = shedShare + outcomeWeight*(1-shedShare)
		return
	case Success:
		h.consecutiveFailures = 0
	case Failure, Timeout:
		h.consecutiveFailures++
		failed = 1
	}
	h.shedAverage = shedShare * (1 - outcomeWeight)
	h.failureAverage += outcomeWeight * (failed - h.failureAverage)
	decayed := h.failureShare(now)
	h.decayedFailures, h.decayedFailuresAt = decayed+outcomeWeight*(failed-decayed), now
	// A failure can be fast on a slow member, so its latency isn't used. A timeout is a lower bound of the latency.
	if outcome == Failure {
		return
	}
	if h.latencyAverage == 0 {
		h.latencyAverage = latency
	}
	h.latencyAverage += time.Duration(outcomeWeight * float64(latency-h.latencyAverage))
}

// shedShare is the share of recent requests that the member shed. It decays with time, so that a member that receives
// no requests because of it is tried again.
func (h *health) shedShare(now time.Duration) float64 {
	return h.shedAverage * math.Exp2(-float64(now-h.shedAt)/float64(shedHalfLife))
}

// failureShare is the share of recent requests that failed. It decays with time for the same reason as shedShare.
func (h *health) failureShare(now time.Duration) float64 {
	return h.decayedFailures * math.Exp2(-float64(now-h.decayedFailuresAt)/float64(failureHalfLife))
}

func (h *health) failing() bool {
	return h.consecutiveFailures >= ejectAfterFailures || h.samples >= minSamples && h.failureAverage >= failureThreshold
}

func (h *health) slow(medianLatency time.Duration) bool {
	return medianLatency > 0 && h.samples >= minSamples && h.latencyAverage > slowFactor*medianLatency &&
		h.latencyAverage > medianLatency+slowMargin
}

// review ejects frozen members, updates the median latency and deletes the records of former members. Members that are
// no longer candidates don't count against the limit on ejections, because the limit is a share of the candidates.
func (c *Chooser) review(candidates []Candidate) {
	if c.now-c.reviewedAt < reviewInterval {
		return
	}
	c.reviewedAt = c.now
	present := make(map[applier.MemberID]bool, len(candidates))
	for _, candidate := range candidates {
		present[candidate.ID] = true
	}
	var latencies []time.Duration
	for id, h := range c.members {
		if !present[id] {
			h.ejected = false
			delete(c.ejected, id)
			if h.inFlight == 0 && c.now-h.lastSeen > memberExpiry {
				delete(c.members, id)
			}
			continue
		}
		if h.samples >= minSamples {
			latencies = append(latencies, h.latencyAverage)
		}
	}
	c.medianLatency = 0
	if len(latencies) > 0 {
		slices.Sort(latencies)
		c.medianLatency = latencies[(len(latencies)-1)/2]
	}
	for _, id := range c.frozen(present) {
		c.eject(id, c.members[id], Frozen)
	}
}

// frozen returns the present members that have requests in flight and made no progress for too long, in ascending
// order.
func (c *Chooser) frozen(present map[applier.MemberID]bool) []applier.MemberID {
	limit := max(c.config.FrozenAfter, 2*slowFactor*c.medianLatency)
	var ids []applier.MemberID
	for id, h := range c.members {
		if present[id] && !h.ejected && h.inFlight > 0 && c.now-h.lastProgress > limit {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// eject stops sending requests to a member, except probes. At most a third of the candidates are ejected: if most
// members look unhealthy, the cause is probably elsewhere, and the remaining members couldn't carry the load. When the
// limit is reached, a failing or frozen member replaces one that was ejected earlier, because the evidence against
// that one is older.
func (c *Chooser) eject(id applier.MemberID, h *health, cause Cause) {
	if c.config.Policy != TwoChoices {
		return
	}
	if (len(c.ejected)+1)*3 > c.candidateCount && (cause == Slow || !c.readmitOne()) {
		c.counts.EjectionsRefused++
		return
	}
	if c.now-h.ejectedUntil > backoffReset {
		h.ejections = 0
	}
	h.ejected, h.cause, h.ejectedAt = true, cause, c.now
	c.ejected[id] = h
	c.counts.Ejected[cause]++
	c.extendEjection(h)
}

// readmitOne readmits the member that was ejected for slowness, or else the one that was ejected first. It returns
// false if no member is ejected or the limit is already exceeded.
func (c *Chooser) readmitOne() bool {
	if len(c.ejected)*3 > c.candidateCount {
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

// readmit ends an ejection and resets the statistics that led to it. Failures from before still raise the member's
// load score until they have decayed.
func (c *Chooser) readmit(id applier.MemberID, h *health) {
	h.ejected, h.probing = false, false
	h.consecutiveFailures, h.failureAverage, h.samples, h.latencyAverage = 0, 0, 0, 0
	h.ejectedUntil, h.lastProgress = c.now, c.now
	delete(c.ejected, id)
}

func (c *Chooser) extendEjection(h *health) {
	h.probing = false
	h.ejectedUntil = c.now + min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
}

// probe returns an ejected candidate whose ejection time has passed and that has no probe in flight. A retried request
// is never used as a probe, because it has less time left and its caller has already waited.
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
		h, ejected := c.ejected[candidate.ID]
		if !ejected || c.now < h.ejectedUntil || h.probing && c.now-h.probedAt < probeTimeout {
			continue
		}
		h.probing, h.probedAt, h.lastSeen = true, c.now, c.now
		return candidate.ID, true
	}
	return 0, false
}

// evaluateProbe readmits an ejected member after a successful probe and doubles its ejection time after a failed or
// slow one. Results of requests that were sent before the probe are ignored.
func (c *Chooser) evaluateProbe(id applier.MemberID, h *health, outcome Outcome, latency time.Duration) {
	if !h.probing || c.now-latency < h.probedAt {
		return
	}
	if outcome == Abandoned {
		h.probing = false
		return
	}
	tooSlow := c.medianLatency > 0 && latency > slowFactor*c.medianLatency && latency > c.medianLatency+slowMargin
	if outcome == Failure || outcome == Timeout || outcome == Success && tooSlow {
		c.extendEjection(h)
		return
	}
	h.decayedFailures = 0
	c.readmit(id, h)
}
