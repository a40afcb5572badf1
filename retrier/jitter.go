package retrier

import (
	"math/rand/v2"
	"time"
)

// Bounds of the back-off when none are given.
const (
	DefaultBase  = 10 * time.Millisecond
	DefaultLimit = time.Second
)

// Jitter draws back-off times. It is not safe for concurrent use.
type Jitter struct {
	base   time.Duration
	limit  time.Duration
	random *rand.Rand
}

// NewJitter returns a Jitter whose first back-off is below base and whose later ones double up to limit. Values below one
// take the defaults.
func NewJitter(base, limit time.Duration, seed uint64) *Jitter {
	if base < 1 {
		base = DefaultBase
	}
	if limit < 1 {
		limit = DefaultLimit
	}
	return &Jitter{base: base, limit: max(base, limit), random: rand.New(rand.NewPCG(seed, 0))}
}

// Backoff returns the time to wait before a retry. Attempt 1 is the first retry. The time is uniform between zero and the
// bound of the attempt (full jitter), so that callers that failed together don't return together.
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
