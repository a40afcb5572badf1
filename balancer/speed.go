package balancer

import "math"

// maxSpeedFactor bounds how much faster or slower than the others a candidate counts, so that no estimate starves a candidate or
// sends it everything.
const maxSpeedFactor = 4

// setSpeeds computes the reference of the candidates' speeds: the mean speed of those whose expected time is known. It is zero if
// fewer than two are known, and the choice is then as without expected times.
func (c *Chooser) setSpeeds(candidates []Candidate) {
	sum, known := 0.0, 0
	for i := range candidates {
		if t := candidates[i].Expected; t > 0 {
			sum += 1 / t.Seconds()
			known++
		}
	}
	c.meanSpeed = 0
	if known >= 2 {
		c.meanSpeed = sum / float64(known)
	}
}

// speed is a candidate's speed as a multiple of the mean, or 1 if it is unknown.
func (c *Chooser) speed(candidate Candidate) float64 {
	if c.meanSpeed == 0 || candidate.Expected <= 0 {
		return 1
	}
	return min(max(1/(candidate.Expected.Seconds()*c.meanSpeed), 1.0/maxSpeedFactor), maxSpeedFactor)
}

// drawn is a candidate in a weighted sample, with the key by which it was drawn.
type drawn struct {
	candidate *Candidate
	key       float64
}

// sampleByCapacity draws up to two candidates with probabilities in proportion to their speeds and slots, the first one at index
// 0. Among equally loaded candidates the first is chosen, so each gets the share that it can serve.
type sampleByCapacity [2]drawn

func (s *sampleByCapacity) add(c *Chooser, candidate *Candidate) {
	weight := c.speed(*candidate) * float64(max(candidate.Slots, 1))
	d := drawn{candidate: candidate, key: -math.Log(1-c.random.Float64()) / weight}
	switch {
	case s[0].candidate == nil || d.key < s[0].key:
		s[0], s[1] = d, s[0]
	case s[1].candidate == nil || d.key < s[1].key:
		s[1] = d
	}
}
