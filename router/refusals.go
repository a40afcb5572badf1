package router

import (
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// maxRefusalLifetime is the longest time for which a member's refusal of a rank is cached. The next request of that
// rank is sent again, so the entry process notices soon when the overload has ended.
const maxRefusalLifetime = 50 * time.Millisecond

// refusalLifetimeDivisor limits the lifetime of a cached refusal to a fraction of the time that the owner needs for
// its queue, and of the remaining time of the refused request. So the owner's queue doesn't run empty because entry
// processes refuse requests on its behalf.
const refusalLifetimeDivisor = 4

// refusalCache caches which ranks were refused by which members. The zero value is ready for use.
//
// A refusal applies to one rank only: when the most urgent rank is overloaded, less urgent ranks still get their
// floors. It doesn't apply to requests that have clearly more time left than the refused one.
type refusalCache struct {
	mu      sync.Mutex
	entries map[refusalKey]refusal
}

type refusalKey struct {
	member  applier.MemberID
	urgency int
}

type refusal struct {
	retryAfter time.Duration
	// maxRemaining is the remaining time up to which a request is refused; requests with more time left are sent.
	maxRemaining time.Duration
	until        time.Time
}

// record processes a member's response to a request of a rank with the given remaining time. Only refusals are stored,
// so an idle member costs no memory.
func (c *refusalCache) record(
	id applier.MemberID, urgency int, remaining time.Duration, r encoder.Response, now time.Time,
) {
	if r.Outcome != encoder.NotRun || r.Reason != encoder.Overloaded {
		return
	}
	lifetime := maxRefusalLifetime
	if urgency <= r.Load.LowestAdmitted {
		lifetime = min(lifetime, remaining/refusalLifetimeDivisor, queueDuration(r.Load)/refusalLifetimeDivisor)
	}
	if lifetime <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[refusalKey]refusal{}
	}
	for key, entry := range c.entries {
		if now.After(entry.until) {
			delete(c.entries, key)
		}
	}
	// Requests of the same kind have slightly different remaining times when they arrive here.
	c.entries[refusalKey{id, urgency}] = refusal{
		retryAfter: r.RetryAfter, maxRemaining: remaining + remaining/10, until: now.Add(lifetime),
	}
}

// queueDuration returns the time that a member needs for its queued requests.
func queueDuration(l encoder.Load) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.Queued) / l.Rate * float64(time.Second))
}

// lookUp reports whether a refusal by the member applies to a request of the given urgency and remaining time, and
// returns the delay after which the caller may retry.
func (c *refusalCache) lookUp(
	id applier.MemberID, urgency int, remaining time.Duration, now time.Time,
) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, present := c.entries[refusalKey{id, urgency}]
	if !present || now.After(entry.until) || remaining > entry.maxRemaining {
		return 0, false
	}
	return entry.retryAfter, true
}
