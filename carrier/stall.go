package carrier

import "time"

// StallDetector detects a peer that accepts requests but doesn't respond. The zero value is ready for use. It is not
// safe for concurrent use.
type StallDetector struct {
	// unansweredSince is the start of the current period without a response.
	unansweredSince time.Duration
	// pending is the number of requests without a response yet.
	pending int
	// unanswered is the number of requests that failed since the latest response.
	unanswered int
}

// Started records that a request was sent.
func (s *StallDetector) Started(now time.Duration) {
	if s.pending == 0 && s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.pending++
}

// Ended records the end of a request, with or without a response.
func (s *StallDetector) Ended(now time.Duration, answered bool) {
	s.pending--
	if answered {
		s.unansweredSince, s.unanswered = now, 0
		return
	}
	s.unanswered++
}

// Stalled reports whether requests are pending and none has been answered for longer than a limit.
func (s *StallDetector) Stalled(now, limit time.Duration) bool {
	return s.pending > 0 && now-s.unansweredSince > limit
}
