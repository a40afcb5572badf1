package router

import (
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// hintLifetime is how long an owner's refusal of a rank is remembered. A request of that rank is sent again after that,
// so the entry notices soon when the flood has passed.
const hintLifetime = 50 * time.Millisecond

// hints remembers which ranks were refused by which members. The zero value is ready for use.
//
// A hint counts for one rank only: during a flood of the most urgent rank, less urgent ones still get their floors.
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
	until      time.Time
}

// learn takes a member's answer to a request of a rank. Only a refusal makes a hint, so an idle member costs no memory.
func (h *hints) learn(id applier.MemberID, urgency int, r encoder.Response, now time.Time) {
	if r.Outcome != encoder.NotRun || r.Reason != encoder.Overloaded || urgency <= r.Load.LowestAdmitted {
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
	h.entries[hintKey{id, urgency}] = hint{retryAfter: r.RetryAfter, until: now.Add(hintLifetime)}
}

// refuses reports whether a member is known to refuse requests of an urgency, and when to come back.
func (h *hints) refuses(id applier.MemberID, urgency int, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, present := h.entries[hintKey{id, urgency}]
	if !present || now.After(entry.until) {
		return 0, false
	}
	return entry.retryAfter, true
}
