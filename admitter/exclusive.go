package admitter

import "time"

// Limits on the slot time that exclusive requests take from all others.
const (
	// exclusiveTimeShare is the fraction of time available to exclusive requests, including the wait for running
	// requests to finish.
	exclusiveTimeShare = 0.1
	// maxHoldTime limits how long the start of other requests is held back while running requests finish.
	maxHoldTime = time.Second
)

// exclusiveState schedules exclusive requests, which may run only while no other request runs.
type exclusiveState struct {
	waiting []*request
	current *request
	// holdStart is the time since which no other request has been started. It is valid while holding is set.
	holdStart time.Duration
	holding   bool
	// nextHoldAt is the earliest time at which other requests may be held back again.
	nextHoldAt time.Duration
}

// hold reports whether other requests must not start because an exclusive request is next.
func (s *exclusiveState) hold(now time.Duration, running int) bool {
	if len(s.waiting) == 0 {
		s.release(now)
		return false
	}
	if !s.holding {
		if now < s.nextHoldAt {
			return false
		}
		s.holding, s.holdStart = true, now
	}
	if now-s.holdStart > maxHoldTime && running > 0 {
		s.release(now)
		return false
	}
	return true
}

// release ends the hold and reserves enough time for other requests to keep exclusive ones within their time share.
func (s *exclusiveState) release(now time.Duration) {
	if !s.holding {
		return
	}
	s.holding = false
	s.nextHoldAt = now + time.Duration(float64(now-s.holdStart)*(1/exclusiveTimeShare-1))
}

func (s *exclusiveState) finish(now time.Duration, e *request) {
	if s.current != e {
		return
	}
	s.current = nil
	s.release(now)
}

// expectedWait returns the time until exclusive requests may run again. It doesn't count those that wait already.
func (s *exclusiveState) expectedWait(now time.Duration) time.Duration {
	return max(s.nextHoldAt-now, 0)
}
