package limiter

import (
	"math"
	"time"
)

// Config configures a Limiter. In any one second a cold server gets at most its rate times Share, and Slack more.
type Config struct {
	Share, Slack float64
}

// State is what is known of a backend server: the time until which it is cold, and the requests per second that it tolerates
// until then. Without a rate the server is not limited.
type State struct {
	Until time.Duration
	Rate  float64
}

const (
	// window is the span of the hard bound. Beyond the second of the bound it covers a clock that runs 2% slow and the time
	// between the decision to start a request and its arrival.
	window = 1060 * time.Millisecond
	// burstSpan is the time in which the bucket fills. It exceeds the interval at which waiting requests are looked at.
	burstSpan = 100 * time.Millisecond
)

// Limiter paces the starts of requests on one backend server. It is not safe for concurrent use.
type Limiter struct {
	config Config
	state  State
	// cold is whether the server was cold when the bucket was last filled.
	cold     bool
	tokens   float64
	filledAt time.Duration
	// starts holds the times of the latest starts, oldest first, of as many as the hard bound allows in one window. Starts
	// before the server became cold are included, since it may have been cold before that was known.
	starts []time.Duration
}

// New returns a Limiter of a server that isn't cold.
func New(c Config) *Limiter { return &Limiter{config: c} }

// Set replaces the state of the server.
func (l *Limiter) Set(now time.Duration, s State) {
	l.fill(now)
	l.state = s
	l.fill(now)
}

// Cold returns how much longer the server is cold, or zero.
func (l *Limiter) Cold(now time.Duration) time.Duration {
	if l.state.Rate <= 0 {
		return 0
	}
	return max(l.state.Until-now, 0)
}

// Rate returns the requests per second that the server tolerates while it is cold.
func (l *Limiter) Rate() float64 { return l.state.Rate }

// Allows reports whether a request may start now.
func (l *Limiter) Allows(now time.Duration) bool {
	if l.Cold(now) == 0 {
		return true
	}
	l.fill(now)
	return l.tokens >= 1 && l.withinBound(now)
}

// Started records the start of a request, cold or not.
func (l *Limiter) Started(now time.Duration) {
	l.fill(now)
	if l.cold {
		l.tokens--
	}
	l.starts = append(l.starts, now)
	if excess := len(l.starts) - max(l.bound(), 1); excess > 0 && l.state.Rate > 0 {
		l.starts = l.starts[excess:]
	}
	if len(l.starts) > 0 && l.state.Rate <= 0 {
		l.starts = nil
	}
}

// Room returns the number of requests that may start now while the server is cold. It is negative while more than the
// bucket holds was started.
func (l *Limiter) Room(now time.Duration) float64 {
	l.fill(now)
	return l.tokens
}

// Wait returns the time until a request starts that has a number of others before it, at a rate of which the server leaves
// it the given part per second. A server that is warm again by then starts it at once.
func (l *Limiter) Wait(now time.Duration, ahead, rate float64) time.Duration {
	cold := l.Cold(now)
	if cold == 0 {
		return 0
	}
	missing := ahead + 1 - l.Room(now)
	if missing <= 0 && l.withinBound(now) {
		return 0
	}
	wait := l.boundWait(now)
	if rate > 0 {
		wait = max(wait, time.Duration(math.Min(missing/rate, cold.Seconds())*float64(time.Second)))
	} else {
		wait = cold
	}
	return min(wait, cold)
}

// bound is the number of requests that the hard bound allows in one window.
func (l *Limiter) bound() int {
	return int(l.state.Rate*l.config.Share + l.config.Slack)
}

// withinBound reports whether one more start keeps the hard bound.
func (l *Limiter) withinBound(now time.Duration) bool { return l.boundWait(now) == 0 }

// boundWait returns the time until the hard bound allows a start.
func (l *Limiter) boundWait(now time.Duration) time.Duration {
	n := l.bound()
	switch {
	case n < 1:
		return l.Cold(now)
	case len(l.starts) < n:
		return 0
	}
	return max(l.starts[len(l.starts)-n]+window-now, 0)
}

// fill adds the tokens of the time since the last call. A server that becomes cold starts with an empty bucket: an earlier
// process may have used the tokens of the second before.
func (l *Limiter) fill(now time.Duration) {
	cold := l.Cold(now) > 0
	elapsed := max(now-l.filledAt, 0)
	l.filledAt = max(l.filledAt, now)
	if !cold || !l.cold {
		l.cold, l.tokens = cold, 0
		return
	}
	burst := max(l.state.Rate*burstSpan.Seconds(), 1)
	l.tokens = math.Min(l.tokens+elapsed.Seconds()*l.state.Rate, burst)
}
