package balancer

import (
	"math/rand/v2"
	"time"

	"hibiscusline/applier"
)

// Chooser picks the member for each request of an unkeyed service.
type Chooser struct {
	config  ChooserConfig
	random  *rand.Rand
	now     time.Duration
	members map[applier.MemberID]*health
	ejected map[applier.MemberID]*health
	// count is the number of candidates of the latest pick, which bounds the ejections.
	count     int
	reference time.Duration
	reviewed  time.Duration
	turn      int
}

// NewChooser returns a Chooser that knows no members.
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

// Pick returns the member that should get a request made in a zone. It reports false when there is no candidate. The
// caller reports a request that it sends with Started and its end with Finished.
func (c *Chooser) Pick(now time.Duration, candidates []Candidate, zone string) (applier.MemberID, bool) {
	c.now, c.count = max(c.now, now), len(candidates)
	if len(candidates) == 0 {
		return 0, false
	}
	c.review()
	switch c.config.Policy {
	case RoundRobin:
		c.turn++
		return candidates[c.turn%len(candidates)].ID, true
	case ReportedLoad:
		return c.leastReported(candidates), true
	}
	if id, due := c.probe(candidates); due {
		return id, true
	}
	near, far := c.sample(candidates, zone)
	best := c.lessBusy(near)
	if other := c.lessBusy(far); best == nil || other != nil && c.busy(*other) < c.busy(*best) {
		best = other
	}
	if best == nil {
		best = &candidates[c.random.IntN(len(candidates))]
	}
	c.know(best.ID).seen = c.now
	return best.ID, true
}

// sample draws up to two usable candidates of the zone and two of other zones, each with equal chance.
func (c *Chooser) sample(candidates []Candidate, zone string) (near, far [2]*Candidate) {
	var seenNear, seenFar int
	for i := range candidates {
		candidate := &candidates[i]
		if _, out := c.ejected[candidate.ID]; out || c.tooCold(candidate) {
			continue
		}
		if candidate.Zone == zone {
			c.keep(&near, &seenNear, candidate)
		} else {
			c.keep(&far, &seenFar, candidate)
		}
	}
	return near, far
}

// keep is one step of reservoir sampling.
func (c *Chooser) keep(sample *[2]*Candidate, seen *int, candidate *Candidate) {
	slot := *seen
	if *seen >= len(sample) {
		slot = c.random.IntN(*seen + 1)
	}
	if slot < len(sample) {
		sample[slot] = candidate
	}
	*seen++
}

// tooCold rejects a part of the samples of a member that started recently, so that its caches fill gradually.
func (c *Chooser) tooCold(candidate *Candidate) bool {
	if candidate.Joined >= c.config.RampUp {
		return false
	}
	return c.random.Float64() >= max(leastRamp, float64(candidate.Joined)/float64(c.config.RampUp))
}

func (c *Chooser) lessBusy(sample [2]*Candidate) *Candidate {
	first, second := sample[0], sample[1]
	if first == nil || second == nil {
		return first
	}
	x, y := c.busy(*first), c.busy(*second)
	if y < x || x == y && c.random.IntN(2) == 0 {
		return second
	}
	return first
}

// busy is how busy a candidate looks: requests in flight per slot, the bounded hint of its report, and the share of
// recent requests that it shed. A member that sheds has few requests in flight and would otherwise look idle.
func (c *Chooser) busy(candidate Candidate) float64 {
	h, known := c.members[candidate.ID]
	if !known {
		return candidate.hint(0)
	}
	return float64(h.inFlight)/float64(max(candidate.Slots, 1)) + candidate.hint(h.inFlight) + h.shedNow(c.now)
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

// Started reports that a request was sent to a member.
func (c *Chooser) Started(id applier.MemberID) {
	h := c.know(id)
	if h.inFlight == 0 {
		h.progress = c.now
	}
	h.inFlight++
}

// Finished reports the end of a request that Started had reported.
func (c *Chooser) Finished(now time.Duration, id applier.MemberID, outcome Outcome, latency time.Duration) {
	c.now = max(c.now, now)
	h := c.know(id)
	h.inFlight = max(h.inFlight-1, 0)
	h.record(c.now, outcome, latency)
	if h.out {
		c.judgeProbe(id, h, outcome, latency)
		return
	}
	if h.failing() || h.slow(c.reference) {
		c.eject(id, h)
	}
}

// InFlight returns the number of requests that were sent to a member and have not finished.
func (c *Chooser) InFlight(id applier.MemberID) int {
	if h, known := c.members[id]; known {
		return h.inFlight
	}
	return 0
}

// Ejected reports whether a member gets no requests but probes.
func (c *Chooser) Ejected(id applier.MemberID) bool {
	_, out := c.ejected[id]
	return out
}

func (c *Chooser) know(id applier.MemberID) *health {
	h, known := c.members[id]
	if !known {
		h = &health{progress: c.now, seen: c.now}
		c.members[id] = h
	}
	return h
}
