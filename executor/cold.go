package executor

import (
	"time"

	"hibiscusline/admitter"
	"hibiscusline/limiter"
	"hibiscusline/timer"
)

// coldCounter counts what happened while the server was cold.
type coldCounter struct {
	ColdCounts
	// countedAt is the time up to which the cold time is counted.
	countedAt time.Duration
	// endedAt is the end of the latest cold time before the current one, or zero.
	endedAt time.Duration
}

// ColdCounts counts the requests that were sent to a cold server and those that were refused because it was cold, and the
// time for which it was cold.
type ColdCounts struct {
	Paced, Refused uint64
	Time           time.Duration
}

// ColdCounts returns the counts since the start of the process.
func (g *Executor) ColdCounts() ColdCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countColdTime(timer.Now())
	return g.cold.ColdCounts
}

// setPace tells the queue until when the server is cold. The caller holds mu.
func (g *Executor) setPace(s Server) {
	now := timer.Now()
	g.countColdTime(now)
	if s.ColdUntil == g.server.ColdUntil && s.ColdRate == g.server.ColdRate {
		return
	}
	if g.server.ColdRate > 0 {
		g.cold.endedAt = min(now, g.server.ColdUntil)
	}
	g.queue.Step(now, admitter.Pace{State: limiter.State{Until: s.ColdUntil, Rate: s.ColdRate}})
}

// stallLimit returns how long the server may take for an answer before it counts as stalled. The caller holds mu.
func (g *Executor) stallLimit(now time.Duration) time.Duration {
	limit := stallTimeout
	if now < max(g.server.ColdUntil, g.cold.endedAt)+coldStallTimeout && (g.server.ColdRate > 0 || g.cold.endedAt > 0) {
		limit = coldStallTimeout
	}
	return max(limit, stallServiceTimes*g.queue.Admitter().MeanServiceTime())
}

// countColdTime adds the cold time since the last call. The caller holds mu.
func (g *Executor) countColdTime(now time.Duration) {
	if g.server.ColdRate > 0 {
		g.cold.Time += max(min(now, g.server.ColdUntil)-g.cold.countedAt, 0)
	}
	g.cold.countedAt = now
}

// countPaced counts a request that was sent or refused, if the server is cold.
func (g *Executor) countPaced(refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.server.ColdRate <= 0 || timer.Now() >= g.server.ColdUntil:
	case refused:
		g.cold.Refused++
	default:
		g.cold.Paced++
	}
}

// LastResponse returns when the server last answered a request, or zero.
func (g *Executor) LastResponse() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastResponse
}
