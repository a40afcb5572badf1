package balancer

import "time"

// unknownLatency is the response time by which the wait for a cold server is judged until one is known.
const unknownLatency = 100 * time.Millisecond

// coldPenalty is the part of a candidate's load score that comes from the wait for a cold server: like the time that a busy
// server takes until it has done the requests before.
func (c *Chooser) coldPenalty(candidate Candidate) float64 {
	if candidate.ColdWait <= 0 {
		return 0
	}
	latency := c.medianLatency
	if latency <= 0 {
		latency = unknownLatency
	}
	return 1 + float64(candidate.ColdWait)/float64(latency)
}

// soonest returns the usable candidate with the lowest load score. It is used instead of a sample when the sample holds
// only cold members without room, since one member with room may be left among many.
func (c *Chooser) soonest(candidates []Candidate, best *Candidate) *Candidate {
	score := c.loadScore(*best)
	offset := c.random.IntN(len(candidates))
	for i := range candidates {
		candidate := &candidates[(offset+i)%len(candidates)]
		if _, ejected := c.ejected[candidate.ID]; ejected || candidate.Tried {
			continue
		}
		if s := c.loadScore(*candidate); s < score {
			best, score = candidate, s
		}
	}
	return best
}
