package admitter

import "time"

// Bounds of the time that requests which run alone take from all others.
const (
	// aloneShare is the part of time that they may use, including the wait for the slots to become free.
	aloneShare = 0.1
	// holdLimit bounds the wait for the slots to become free; after it, the others start again.
	holdLimit = time.Second
)

// aloneState schedules the requests that may run only while nothing else runs.
type aloneState struct {
	waiting []*entry
	current *entry
	// since is the time from which no other request has started, while holding is set.
	since   time.Duration
	holding bool
	// earliest is the time before which no other request is held back again.
	earliest time.Duration
}

// hold reports whether other requests must not start because a request that runs alone is next.
func (s *aloneState) hold(now time.Duration, running int) bool {
	if len(s.waiting) == 0 {
		s.release(now)
		return false
	}
	if !s.holding {
		if now < s.earliest {
			return false
		}
		s.holding, s.since = true, now
	}
	if now-s.since > holdLimit && running > 0 {
		s.release(now)
		return false
	}
	return true
}

// release ends the hold and gives the others the time that they are due.
func (s *aloneState) release(now time.Duration) {
	if !s.holding {
		return
	}
	s.holding = false
	s.earliest = now + time.Duration(float64(now-s.since)*(1/aloneShare-1))
}

func (s *aloneState) finish(now time.Duration, e *entry) {
	if s.current != e {
		return
	}
	s.current = nil
	s.release(now)
}

func (s *aloneState) expectedWait(now time.Duration) time.Duration { return max(s.earliest-now, 0) }
