package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Chooser picks the member for each request of one unkeyed service. Members of different services must not share one, since
// latencies are compared and ejections are counted over all of them.
type Chooser struct {
	config  ChooserConfig
	random  *rand.Rand
	now     time.Duration
	members map[applier.MemberID]*health
	ejected map[applier.MemberID]*health
	// count is the number of candidates of the latest pick, tried ones included, which bounds the ejections.
	count     int
	reference time.Duration
	reviewed  time.Duration
	turn      int
	demand    map[string]int
	counts    ChooserCounts
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
// candidates are all members of the service, including those that the request was sent to before. The caller reports a
// request that it sends with Started and its end with Finished.
func (c *Chooser) Pick(now time.Duration, candidates []Candidate, zone string) (applier.MemberID, bool) {
	c.now, c.count = max(c.now, now), len(candidates)
	if len(candidates) == 0 {
		return 0, false
	}
	c.review(candidates)
	switch c.config.Policy {
	case RoundRobin:
		c.turn++
		candidates = untried(candidates)
		return candidates[c.turn%len(candidates)].ID, true
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
	c.know(best.ID).seen = c.now
	return best.ID, true
}

// untried returns the candidates that the request was not sent to, or all when there is none.
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

// best returns the least busy of some usable candidates, or nil when there is none.
func (c *Chooser) best(candidates []Candidate, zone string) *Candidate {
	near, far, cold := c.sample(candidates, zone)
	best := c.lessBusy(near)
	if other := c.lessBusy(far); best == nil || other != nil && c.busy(*other)+c.nearBias(candidates, best, zone) < c.busy(*best) {
		best = other
	}
	if cold != nil && (best == nil || c.crowded(*cold) < c.busy(*best)) {
		return cold
	}
	return best
}

// fallback returns a candidate when none is both usable and new to the request. An ejected one is the last resort, since a
// request can hang there until its deadline.
func (c *Chooser) fallback(candidates []Candidate) *Candidate {
	offset := c.random.IntN(len(candidates))
	for i := range candidates {
		candidate := &candidates[(offset+i)%len(candidates)]
		if _, out := c.ejected[candidate.ID]; !out {
			return candidate
		}
	}
	return &candidates[offset]
}

// sample draws up to two usable candidates of the zone and two of other zones, each with equal chance, and returns one of
// those that were left out because they started recently.
func (c *Chooser) sample(candidates []Candidate, zone string) (near, far [2]*Candidate, cold *Candidate) {
	var seenNear, seenFar, seenCold int
	for i := range candidates {
		candidate := &candidates[i]
		if _, out := c.ejected[candidate.ID]; out || candidate.Tried {
			continue
		}
		switch {
		case c.random.Float64() >= c.ramp(*candidate):
			seenCold++
			if c.random.IntN(seenCold) == 0 {
				cold = candidate
			}
		case candidate.Zone == zone:
			c.keep(&near, &seenNear, candidate)
		default:
			c.keep(&far, &seenFar, candidate)
		}
	}
	return near, far, cold
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

// ramp is the share of its samples that a member accepts. It grows after the member's start, so that caches fill gradually.
func (c *Chooser) ramp(candidate Candidate) float64 {
	return min(max(leastRamp, float64(candidate.Age)/float64(c.config.RampUp)), 1)
}

// crowded is how busy a cold candidate would look with one more request, in proportion to its ramp. The others are
// relieved by it once they are busier than that; without it one warm member among cold ones was sent everything.
func (c *Chooser) crowded(candidate Candidate) float64 {
	return (c.busy(candidate) + 1/float64(max(candidate.Slots, 1))) / c.ramp(candidate)
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

// busy is how busy a candidate looks: requests in flight per slot, the bounded hint of its report, and the shares of recent
// requests that it shed or failed. A member that refuses or fails at once has few requests in flight and would otherwise
// look idle.
func (c *Chooser) busy(candidate Candidate) float64 {
	h, known := c.members[candidate.ID]
	if !known {
		return candidate.hint(0)
	}
	return float64(h.inFlight)/float64(max(candidate.Slots, 1)) + candidate.hint(h.inFlight) + h.shedNow(c.now) +
		failureWeight*h.troubleNow(c.now)
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
	switch {
	case h.failing():
		c.eject(id, h, Failing)
	case h.slow(c.reference):
		c.eject(id, h, Slow)
	}
}

// InFlight returns the number of requests that were sent to a member and have not finished.
func (c *Chooser) InFlight(id applier.MemberID) int {
	if h, known := c.members[id]; known {
		return h.inFlight
	}
	return 0
}

// Counts returns the counters.
func (c *Chooser) Counts() ChooserCounts { return c.counts }

// EjectedCount returns the number of members that get no requests but probes.
func (c *Chooser) EjectedCount() int { return len(c.ejected) }

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
