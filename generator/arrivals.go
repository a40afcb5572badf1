package generator

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// pacer draws the times at which a stream's requests leave, as durations since the start of the run.
type pacer struct {
	random   *rand.Rand
	arrivals Arrivals
	// interval is the mean time between requests in nanoseconds.
	interval float64
	at       float64
}

func newPacer(random *rand.Rand, a Arrivals, s Stream) *pacer {
	return &pacer{random: random, arrivals: a, interval: float64(time.Second) / s.Rate, at: float64(s.Start)}
}

func (p *pacer) next() time.Duration {
	if p.arrivals == Fixed {
		p.at += p.interval
	} else {
		p.at += p.interval * p.random.ExpFloat64()
	}
	return time.Duration(p.at)
}

// chooser draws key numbers. Unlike rand.Zipf it accepts exponents of 1 and below, which are common in practice.
type chooser struct {
	random *rand.Rand
	keys   int
	// cumulative holds the probability that a key number is at most the index; nil for equal popularity.
	cumulative []float64
}

func newChooser(random *rand.Rand, keys int, skew float64) *chooser {
	c := &chooser{random: random, keys: keys}
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

func (c *chooser) next() int {
	if c.cumulative == nil {
		return c.random.IntN(c.keys)
	}
	return min(sort.SearchFloat64s(c.cumulative, c.random.Float64()), c.keys-1)
}
