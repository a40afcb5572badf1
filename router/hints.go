package router

import (
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// hintLifetime is how long an owner's refusal of a rank is remembered at most. A request of that rank is sent again after
// that, so the entry notices soon when the flood has passed.
const hintLifetime = 50 * time.Millisecond

// hintShare bounds a hint's lifetime by a share of the time for which the owner has work and of the refused request's
// remaining time. The owner's queue then never runs empty because entries refuse on its behalf.
const hintShare = 4

// hints remembers which ranks were refused by which members. The zero value is ready for use.
//
// A hint counts for one rank only: during a flood of the most urgent rank, less urgent ones still get their floors. It
// doesn't count for requests that have clearly more time left than the refused one.
type hints struct {
	mu      sync.Mutex
	entries map[hintKey]hint
}

type hintKey struct {
	member  applier.MemberID
	urgency int
}

type hint struct {
	retryAfter time.Duration
	// remaining is the time that a request must have left to be sent in spite of the hint.
	remaining time.Duration
	until     time.Time
}

// learn takes a member's answer to a request of a rank that had some time left. Only a refusal makes a hint, so an idle
// member costs no memory.
func (h *hints) learn(id applier.MemberID, urgency int, remaining time.Duration, r encoder.Response, now time.Time) {
	if r.Outcome != encoder.NotRun || r.Reason != encoder.Overloaded {
		return
	}
	lifetime := hintLifetime
	if urgency <= r.Load.LowestAdmitted {
		lifetime = min(lifetime, remaining/hintShare, work(r.Load)/hintShare)
	}
	if lifetime <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries == nil {
		h.entries = map[hintKey]hint{}
	}
	for key, entry := range h.entries {
		if now.After(entry.until) {
			delete(h.entries, key)
		}
	}
	// Requests of one kind differ a little in the time that they took to get here.
	h.entries[hintKey{id, urgency}] = hint{
		retryAfter: r.RetryAfter, remaining: remaining + remaining/10, until: now.Add(lifetime),
	}
}

// work returns the time that a member needs for the requests that wait there.
func work(l encoder.Load) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.Queued) / l.Rate * float64(time.Second))
}

// refuses reports whether a member is known to refuse requests of an urgency with a time left, and when to come back.
func (h *hints) refuses(id applier.MemberID, urgency int, remaining time.Duration, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, present := h.entries[hintKey{id, urgency}]
	if !present || now.After(entry.until) || remaining > entry.remaining {
		return 0, false
	}
	return entry.retryAfter, true
}
