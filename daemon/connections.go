package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections counts the connections of callers that have a request in flight or are about to send their first one. The
// zero value counts none.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// note is the ConnState hook of an http.Server.
func (c *connections) note(connection net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == nil {
		c.busy = map[net.Conn]struct{}{}
	}
	delete(c.busy, connection)
	if s == http.StateNew || s == http.StateActive {
		c.busy[connection] = struct{}{}
	}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// quiet waits until no connection is busy. The time for connections without any request is bounded by silentBound, since
// a caller may open one and not use it.
func (c *connections) quiet(ctx context.Context) {
	const (
		interval    = 5 * time.Millisecond
		silentBound = 2 * time.Second
	)
	ctx, cancel := context.WithTimeout(ctx, silentBound)
	defer cancel()
	for c.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}
