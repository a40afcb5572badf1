package generator

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrivalProcess draws the send times of a stream's requests, as durations since the start of the run.
type arrivalProcess struct {
	random   *rand.Rand
	arrivals Arrivals
	// interval is the mean time between requests, and lastSend the last time drawn, both in nanoseconds.
	interval float64
	lastSend float64
}

func newArrivalProcess(random *rand.Rand, a Arrivals, s Stream) *arrivalProcess {
	return &arrivalProcess{
		random: random, arrivals: a, interval: float64(time.Second) / s.Rate, lastSend: float64(s.Start),
	}
}

func (p *arrivalProcess) next() time.Duration {
	if p.arrivals == Fixed {
		p.lastSend += p.interval
	} else {
		p.lastSend += p.interval * p.random.ExpFloat64()
	}
	return time.Duration(p.lastSend)
}

// keySampler draws key numbers from a Zipf distribution. Unlike rand.Zipf it accepts exponents of 1 and below, which
// are common in practice.
type keySampler struct {
	random *rand.Rand
	keys   int
	// cumulative holds, for each key number, the probability that a drawn number is at most as large. It is nil if all
	// keys are equally popular.
	cumulative []float64
}

func newKeySampler(random *rand.Rand, keys int, skew float64) *keySampler {
	c := &keySampler{random: random, keys: keys}
	if skew == 0 || keys == 0 {
		return c
	}
	c.cumulative = make([]float64, keys)
	sum := 0.0
	for i := range c.cumulative {
		sum += math.Pow(float64(i+1), -skew)
		c.cumulative[i] = sum
	}
	for i := range c.cumulative {
		c.cumulative[i] /= sum
	}
	return c
}

func (c *keySampler) next() int {
	if c.cumulative == nil {
		return c.random.IntN(c.keys)
	}
	return min(sort.SearchFloat64s(c.cumulative, c.random.Float64()), c.keys-1)
}
