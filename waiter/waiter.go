package waiter

import (
	"time"

	"hibiscusline/hedger"
)

// Promise is a time within which something must have happened.
type Promise struct {
	Name   string
	Within time.Duration
}

// Hold is how long another party may hold a read while it has nothing new. Only a Promise makes one that isn't zero.
type Hold struct{ length time.Duration }

// Duration returns the length.
func (h Hold) Duration() time.Duration { return h.length }

// AtMost returns a hold that isn't longer than a limit.
func (h Hold) AtMost(limit time.Duration) Hold { return Hold{min(h.length, max(limit, 0))} }

// Shares of the time of a promise that rests on reads. What the hold and the answer leave is for the repeated read and for
// the way to other processes.
const (
	holdShare   = 0.4
	answerShare = 0.15
	// intervalShare is the time until a read without a hold, or the next part of an answer, is overdue, and retryShare the
	// longest wait after a read that failed. After the return of another party that was away, the next read begins within their sum.
	intervalShare = 0.4
	retryShare    = 0.4
	// pauseShare is the longest pause after a read. It leaves the hold and the answer of the next one, should that be lost.
	pauseShare = 0.4
	// relayShare is how long a process that reads holds the request of one that relies on it.
	relayShare = 0.35
	// urgentShare is the shortest time until a read is overdue.
	urgentShare = 0.05
	// fallbackShare is the time without news from the usual source, or without a part of an answer of one process, after which
	// the next process is asked. peerShare is how long the latest one of several is waited for.
	fallbackShare = 0.25
	peerShare     = 0.75
	// ageShare is the age of knowledge, confirmed by others, from which on a process reads itself.
	ageShare = 0.85
)

// A party that answers slowly is given a multiple of the time of its latest answers, up to a limit.
const (
	latencyFactor = 2
	maxSlowAnswer = 1500 * time.Millisecond
)

const (
	// attempts is the number of attempts of a read, and of processes that are asked for the same at once.
	attempts = 2
	// attemptsAfterSilence is the number of attempts of a read after one that got no answer.
	attemptsAfterSilence = 4
)

// Hold returns how long the other party may hold a read.
func (p Promise) Hold() Hold { return Hold{p.share(holdShare)} }

// RelayHold returns how long a process that reads may hold the request of one that relies on it.
func (p Promise) RelayHold() time.Duration { return p.share(relayShare) }

// Retry returns the longest wait after a read that failed.
func (p Promise) Retry() time.Duration { return p.share(retryShare) }

// Pause returns the longest pause after a read that returned something.
func (p Promise) Pause() time.Duration { return p.share(pauseShare) }

// MaxAge returns the age from which on knowledge that others confirm isn't relied on.
func (p Promise) MaxAge() time.Duration { return p.share(ageShare) }

// Hedge returns when a read with a hold is repeated, if the latest answers took a time beyond their hold.
func (p Promise) Hedge(h Hold, latency time.Duration) hedger.Config {
	slow := min(latencyFactor*latency, maxSlowAnswer)
	c := hedger.Config{Interval: max(p.share(intervalShare), slow), Attempts: attempts}
	c.Overdue, c.Pause = c.Interval, c.Interval
	if h.length > 0 {
		c.Overdue = h.length + max(p.share(answerShare), slow)
	}
	return c
}

// HedgeBy returns when a read without a hold is repeated whose answer must come within a time: after half of it, unless that
// is over or the latest answers took longer.
func (p Promise) HedgeBy(left, latency time.Duration) hedger.Config {
	c := p.Hedge(Hold{}, latency)
	if left > 0 {
		c.Overdue = min(c.Overdue, max(left/2, p.share(urgentShare), latencyFactor*latency))
	}
	return c
}

// HedgeAfterSilence returns what Hedge does, for a read after one that got no answer. The other party may take longer than all
// attempts of one read. It is given that time by more attempts and not by longer intervals: it may as well have been away, and be
// back.
func (p Promise) HedgeAfterSilence(h Hold, latency time.Duration) hedger.Config {
	c := p.Hedge(h, latency)
	c.Attempts = attemptsAfterSilence
	return c
}

// FallbackDelay returns how long a process that knows of news waits for its usual source before it asks other processes.
func (p Promise) FallbackDelay() time.Duration { return p.share(fallbackShare) }

// HedgePeers returns when a further process is asked for what another one hasn't delivered.
func (p Promise) HedgePeers() hedger.Config {
	return hedger.Config{
		Overdue: p.share(fallbackShare), Interval: p.share(peerShare), Pause: p.share(intervalShare), Attempts: attempts,
	}
}

func (p Promise) share(part float64) time.Duration { return time.Duration(part * float64(p.Within)) }
