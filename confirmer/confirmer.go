package confirmer

import (
	"sync"
	"time"
)

// Confirmer tracks the age of knowledge against a limit. It is safe for concurrent use.
type Confirmer struct {
	limit time.Duration

	mu sync.Mutex
	// at is the time up to which the knowledge is complete, or that of the start while it was never confirmed.
	at        time.Duration
	confirmed bool
	// reported means that an age above the limit was reported and no later confirmation was.
	reported bool
}

// New returns a Confirmer of knowledge that was never confirmed, whose age counts from now. An older age than the limit is
// reported.
func New(now, limit time.Duration) *Confirmer {
	return &Confirmer{limit: limit, at: now}
}

// Confirm records that the knowledge is complete up to a time. A time before the known one, or zero, changes nothing.
func (c *Confirmer) Confirm(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= 0 {
		return
	}
	if !c.confirmed || at > c.at {
		c.at, c.confirmed = at, true
	}
}

// Confirmed returns the age of the knowledge, and reports whether it was ever confirmed.
func (c *Confirmer) Confirmed(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.at, c.confirmed
}

// Age returns the age of the knowledge.
func (c *Confirmer) Age(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.at
}

// Change is a change that Check reports: Exceeded or Recovered, or nil.
type Change interface{ change() }

// Exceeded means that the age has come to exceed the limit.
type Exceeded struct{ Age time.Duration }

// Recovered means that the knowledge was confirmed after its age had exceeded the limit.
type Recovered struct{ Age time.Duration }

func (Exceeded) change()  {}
func (Recovered) change() {}

// Check reports whether the age has come to exceed the limit, or no longer does, since the last call.
func (c *Confirmer) Check(now time.Duration) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now - c.at
	if exceeded := age > c.limit; exceeded == c.reported {
		return nil
	}
	c.reported = !c.reported
	if c.reported {
		return Exceeded{Age: age}
	}
	return Recovered{Age: age}
}
