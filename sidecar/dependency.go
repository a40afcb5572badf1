package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"hibiscusline/timer"
)

// dependency tracks whether something that the sidecar depends on is reachable, and logs each change.
type dependency struct {
	name      string
	logger    log.Logger
	mu        sync.Mutex
	downSince time.Duration
	down      bool
	// failures counts the failed calls since the latest successful one.
	failures int
}

const (
	// firstRetryDelay bounds the wait after the first failed call, and maxRetryDelay the wait after any: an entry must be
	// back soon after the dependency is.
	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 1600 * time.Millisecond
)

// retryDelay counts a failed call, and returns how long to wait before the next: a random part of a time that doubles with
// each failed call of the process, so that the calls of many processes don't come at the same time.
func (d *dependency) retryDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := min(firstRetryDelay<<min(d.failures, 8), maxRetryDelay)
	d.failures++
	return minRetryDelay + rand.N(limit)
}

// minRetryDelay is the shortest wait after a failed call.
const minRetryDelay = 20 * time.Millisecond

func (d *dependency) markDown(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	d.down, d.downSince = true, timer.Now()
	_ = d.logger.Log("event", "dependency_lost", "dependency", d.name, "error", err)
}

func (d *dependency) markUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = 0
	if !d.down {
		return
	}
	d.down = false
	_ = d.logger.Log("event", "dependency_regained", "dependency", d.name,
		"after_ms", (timer.Now() - d.downSince).Milliseconds())
}

// downFor returns how long the dependency has been unreachable, or zero.
func (d *dependency) downFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.down {
		return 0
	}
	return max(timer.Now()-d.downSince, 1)
}

// broadcast wakes all waiters at once. The zero value is ready for use.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// wait returns a channel that the next send closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
