package carrier

import "time"

// StallDetector notices another end that takes requests and answers none. The zero value is ready for use. It is not safe for
// concurrent use.
type StallDetector struct {
	// since is the start of the time without an answer to any request.
	since time.Duration
	// open is the number of requests at the other end.
	open int
	// unanswered is the number of requests that ended without an answer since the latest one.
	unanswered int
}

// Started notes a request.
func (s *StallDetector) Started(now time.Duration) {
	if s.open == 0 && s.unanswered == 0 {
		s.since = now
	}
	s.open++
}

// Ended notes the end of a request, with an answer or without.
func (s *StallDetector) Ended(now time.Duration, answered bool) {
	s.open--
	if answered {
		s.since, s.unanswered = now, 0
		return
	}
	s.unanswered++
}

// Stalled reports whether requests have been at the other end for longer than a time, and none was answered in it.
func (s *StallDetector) Stalled(now, limit time.Duration) bool {
	return s.open > 0 && now-s.since > limit
}
