package sidecar

import (
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
}

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
