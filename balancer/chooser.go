package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Chooser selects the member for each request of one unkeyed service. Each service needs its own Chooser, because
// latencies are compared and ejections are limited over all members.
type Chooser struct {
	config  ChooserConfig
	random  *rand.Rand
	now     time.Duration
	members map[applier.MemberID]*health
	ejected map[applier.MemberID]*health
	// candidateCount is the number of candidates of the latest pick, including tried ones. It limits the ejections.
	candidateCount int
	medianLatency  time.Duration
	reviewedAt     time.Duration
	nextIndex      int
	zoneWeights    map[string]int
	// meanSpeed is the mean speed of the candidates of the latest pick, in requests per second, or zero if it is unknown.
	meanSpeed float64
	counts    ChooserCounts
}

// NewChooser returns a Chooser without observations.
func NewChooser(c ChooserConfig) *Chooser {
	if c.RampUp <= 0 {
		c.RampUp = DefaultRampUp
	}
	if c.FrozenAfter <= 0 {
		c.FrozenAfter = DefaultFrozenAfter
	}
	return &Chooser{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)),
		members: map[applier.MemberID]*health{}, ejected: map[applier.MemberID]*health{},
	}
}

// Pick returns the member for a request that originates in a zone, or false if there is no candidate. The candidates
// are all members of the service, including those that earlier attempts of the request were sent to. The caller
// reports each request that it sends with Started and its end with Finished.
func (c *Chooser) Pick(now time.Duration, candidates []Candidate, zone string) (applier.MemberID, bool) {
	c.now, c.candidateCount = max(c.now, now), len(candidates)
	if len(candidates) == 0 {
		return 0, false
	}
	c.review(candidates)
	c.setSpeeds(candidates)
	switch c.config.Policy {
	case RoundRobin:
		c.nextIndex++
		candidates = untried(candidates)
		return candidates[c.nextIndex%len(candidates)].ID, true
	case ReportedLoad:
		return c.leastReported(untried(candidates)), true
	}
	if id, due := c.probe(candidates); due {
		return id, true
	}
	best := c.best(candidates, zone)
	if best == nil {
		best = c.fallback(candidates)
	}
	c.healthOf(best.ID).lastSeen = c.now
	return best.ID, true
}

// untried returns the candidates without an earlier attempt of the request, or all candidates if there is none.
func untried(candidates []Candidate) []Candidate {
	tried := func(candidate Candidate) bool { return candidate.Tried }
	if !slices.ContainsFunc(candidates, tried) {
		return candidates
	}
	if left := slices.DeleteFunc(slices.Clone(candidates), tried); len(left) > 0 {
		return left
	}
	return candidates
}

// best returns the candidate with the lowest load score in a sample of usable candidates, or nil if none is usable.
func (c *Chooser) best(candidates []Candidate, zone string) *Candidate {
	local, remote, cold := c.sample(candidates, zone)
	best := c.lowerScore(local)
	if other := c.lowerScore(remote); best == nil ||
		other != nil && c.loadScore(*other)+c.localBias(candidates, best, zone) < c.loadScore(*best) {
		best = other
	}
	if cold != nil && (best == nil || c.coldScore(*cold) < c.loadScore(*best)) {
		best = cold
	}
	if best != nil && best.ColdWait > 0 {
		return c.soonest(candidates, best)
	}
	return best
}

// fallback returns a candidate when none is both usable and untried. It prefers members that aren't ejected, because a
// request to an ejected one can hang until its deadline.
func (c *Chooser) fallback(candidates []Candidate) *Candidate {
	offset := c.random.IntN(len(candidates))
	for i := range candidates {
		candidate := &candidates[(offset+i)%len(candidates)]
		if _, ejected := c.ejected[candidate.ID]; !ejected {
			return candidate
		}
	}
	return &candidates[offset]
}

// sample draws up to two usable candidates of the zone and up to two of other zones, uniformly at random, or by capacity if
// expected times are known. It also returns one of the recently started candidates that it left out, or nil.
func (c *Chooser) sample(candidates []Candidate, zone string) (local, remote [2]*Candidate, cold *Candidate) {
	var seenLocal, seenRemote, seenCold int
	var weightedLocal, weightedRemote sampleByCapacity
	for i := range candidates {
		candidate := &candidates[i]
		if _, ejected := c.ejected[candidate.ID]; ejected || candidate.Tried {
			continue
		}
		switch {
		case c.random.Float64() >= c.rampShare(*candidate):
			seenCold++
			if c.random.IntN(seenCold) == 0 {
				cold = candidate
			}
		case c.meanSpeed > 0 && candidate.Zone == zone:
			weightedLocal.add(c, candidate)
		case c.meanSpeed > 0:
			weightedRemote.add(c, candidate)
		case candidate.Zone == zone:
			c.addToReservoir(&local, &seenLocal, candidate)
		default:
			c.addToReservoir(&remote, &seenRemote, candidate)
		}
	}
	if c.meanSpeed > 0 {
		local = [2]*Candidate{weightedLocal[0].candidate, weightedLocal[1].candidate}
		remote = [2]*Candidate{weightedRemote[0].candidate, weightedRemote[1].candidate}
	}
	return local, remote, cold
}

// addToReservoir performs one step of reservoir sampling.
func (c *Chooser) addToReservoir(sample *[2]*Candidate, seen *int, candidate *Candidate) {
	index := *seen
	if *seen >= len(sample) {
		index = c.random.IntN(*seen + 1)
	}
	if index < len(sample) {
		sample[index] = candidate
	}
	*seen++
}

// rampShare is the share of its samples that a member accepts. It grows with the member's age, so that caches warm up
// gradually.
func (c *Chooser) rampShare(candidate Candidate) float64 {
	return min(max(minRampShare, float64(candidate.Age)/float64(c.config.RampUp)), 1)
}

// coldScore is the load score of a recently started candidate with one more request, divided by its ramp share. When
// the other members exceed this score, the candidate takes requests from them. Without it, one warm member among cold
// ones received all requests.
func (c *Chooser) coldScore(candidate Candidate) float64 {
	return (c.loadScore(candidate) + 1/float64(max(candidate.Slots, 1))/c.speed(candidate)) / c.rampShare(candidate)
}

func (c *Chooser) lowerScore(sample [2]*Candidate) *Candidate {
	first, second := sample[0], sample[1]
	if first == nil || second == nil {
		return first
	}
	x, y := c.loadScore(*first), c.loadScore(*second)
	if y < x || x == y && c.meanSpeed == 0 && c.random.IntN(2) == 0 {
		return second
	}
	return first
}

// loadScore estimates the load of a candidate: requests in flight per slot and the limited penalty of its load report, both
// divided by its speed, and the shares of recent requests that it shed or failed. Without these shares, a member that rejects
// or fails requests at once would look idle, because few of its requests are in flight.
func (c *Chooser) loadScore(candidate Candidate) float64 {
	h, known := c.members[candidate.ID]
	if !known {
		return candidate.reportPenalty(0, c.speed(candidate)) + c.coldPenalty(candidate)
	}
	speed := c.speed(candidate)
	load := float64(h.inFlight)/float64(max(candidate.Slots, 1))/speed + candidate.reportPenalty(h.inFlight, speed)
	return c.coldPenalty(candidate) + load + h.shedShare(c.now) + failureWeight*h.failureShare(c.now)
}

func (c *Chooser) leastReported(candidates []Candidate) applier.MemberID {
	offset := c.random.IntN(len(candidates))
	best := candidates[offset]
	for i := range candidates {
		other := candidates[(offset+i)%len(candidates)]
		if other.ReportedInFlight*max(best.Slots, 1) < best.ReportedInFlight*max(other.Slots, 1) {
			best = other
		}
	}
	return best.ID
}

// Started records that a request was sent to a member.
func (c *Chooser) Started(id applier.MemberID) {
	h := c.healthOf(id)
	if h.inFlight == 0 {
		h.lastProgress = c.now
	}
	h.inFlight++
}

// Finished records the end of a request that was recorded with Started.
func (c *Chooser) Finished(now time.Duration, id applier.MemberID, outcome Outcome, latency time.Duration) {
	c.now = max(c.now, now)
	h := c.healthOf(id)
	h.inFlight = max(h.inFlight-1, 0)
	h.record(c.now, outcome, latency)
	if h.ejected {
		c.evaluateProbe(id, h, outcome, latency)
		return
	}
	switch {
	case h.failing():
		c.eject(id, h, Failing)
	case h.slow(c.medianLatency):
		c.eject(id, h, Slow)
	}
}

// InFlight returns the number of unfinished requests that this process sent to a member.
func (c *Chooser) InFlight(id applier.MemberID) int {
	if h, known := c.members[id]; known {
		return h.inFlight
	}
	return 0
}

// Counts returns the ejection counters.
func (c *Chooser) Counts() ChooserCounts { return c.counts }

// EjectedCount returns the number of members that receive only probes.
func (c *Chooser) EjectedCount() int { return len(c.ejected) }

// Ejected reports whether a member receives only probes.
func (c *Chooser) Ejected(id applier.MemberID) bool {
	_, ejected := c.ejected[id]
	return ejected
}

func (c *Chooser) healthOf(id applier.MemberID) *health {
	h, known := c.members[id]
	if !known {
		h = &health{lastProgress: c.now, lastSeen: c.now}
		c.members[id] = h
	}
	return h
}
