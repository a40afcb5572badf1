package sidecar

import (
	"sync"
	"time"
)

// answerLatencies holds how long after its hold each topic's latest answers from the store came. The zero value is ready for use.
type answerLatencies struct {
	mu sync.Mutex
	// latest holds, by topic, the latest two.
	latest map[string][2]time.Duration
	// silent holds the topics whose latest read got no answer to any attempt.
	silent map[string]bool
}

// record adds the latency of an answer.
func (l *answerLatencies) record(topic string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil {
		l.latest = map[string][2]time.Duration{}
	}
	l.latest[topic] = [2]time.Duration{max(latency, 0), l.latest[topic][0]}
}

// estimate returns the latency to expect of a topic: the shorter one of the latest two, since a single slow answer doesn't show
// that the store is slow.
func (l *answerLatencies) estimate(topic string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.latest[topic][0], l.latest[topic][1])
}

// setSilent records whether the latest read of a topic got no answer to any attempt.
func (l *answerLatencies) setSilent(topic string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent == nil {
		l.silent = map[string]bool{}
	}
	l.silent[topic] = silent
}

// isSilent reports whether the latest read of a topic got no answer to any attempt.
func (l *answerLatencies) isSilent(topic string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[topic]
}
