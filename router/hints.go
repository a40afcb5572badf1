package router

import (
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// hintLifetime is how long an owner's statement about the ranks it admits is trusted. A request of a refused rank is sent
// again after that, so the entry notices soon when the flood has passed.
const hintLifetime = 50 * time.Millisecond

// hints remembers, by member, the lowest rank that it admitted when it last answered. The zero value is ready for use.
type hints struct {
	mu      sync.Mutex
	entries map[applier.MemberID]hint
}

type hint struct {
	lowestAdmitted int
	retryAfter     time.Duration
	until          time.Time
}

// learn takes the load that a response carries. Only a refusal starts a hint, so an idle owner costs no memory.
func (h *hints) learn(id applier.MemberID, r encoder.Response, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Outcome != encoder.NotRun || r.Reason != encoder.Overloaded {
		return
	}
	if h.entries == nil {
		h.entries = map[applier.MemberID]hint{}
	}
	for other, entry := range h.entries {
		if now.After(entry.until) {
			delete(h.entries, other)
		}
	}
	h.entries[id] = hint{lowestAdmitted: r.Load.LowestAdmitted, retryAfter: r.RetryAfter, until: now.Add(hintLifetime)}
}

// refuses reports whether a member is known to refuse requests of an urgency, and when to come back.
func (h *hints) refuses(id applier.MemberID, urgency int, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, present := h.entries[id]
	if !present || now.After(entry.until) || urgency <= entry.lowestAdmitted {
		return 0, false
	}
	return entry.retryAfter, true
}
