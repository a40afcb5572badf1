package retrier

import (
	"math/rand/v2"
	"time"
)

// Default bounds of the backoff.
const (
	DefaultBase  = 10 * time.Millisecond
	DefaultLimit = time.Second
)

// Jitter generates random backoff times. It is not safe for concurrent use.
type Jitter struct {
	base   time.Duration
	limit  time.Duration
	random *rand.Rand
}

// NewJitter returns a Jitter whose first backoff is below base. The bound doubles with each attempt up to limit. Values
// below one nanosecond are replaced by the defaults.
func NewJitter(base, limit time.Duration, seed uint64) *Jitter {
	if base < 1 {
		base = DefaultBase
	}
	if limit < 1 {
		limit = DefaultLimit
	}
	return &Jitter{base: base, limit: max(base, limit), random: rand.New(rand.NewPCG(seed, 0))}
}

// Backoff returns the time to wait before a retry. Attempt 1 is the first retry. The time is uniformly distributed
// between zero and the bound of the attempt (full jitter), so that clients that failed at the same time do not retry at
// the same time.
func (j *Jitter) Backoff(attempt int) time.Duration {
	bound := j.base
	for range attempt - 1 {
		if bound >= j.limit/2 {
			bound = j.limit
			break
		}
		bound *= 2
	}
	return time.Duration(j.random.Int64N(int64(bound)))
}
