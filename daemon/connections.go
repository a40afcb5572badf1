package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker tracks the client connections that have a request in flight or have not sent their first one yet.
// The zero value is ready to use.
type connectionTracker struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// onStateChange is the ConnState hook of an http.Server.
func (c *connectionTracker) onStateChange(connection net.Conn, s http.ConnState) {
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

func (c *connectionTracker) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// waitIdle waits until no connection is busy, for maxWait at most, because a client may open a connection and never use
// it.
func (c *connectionTracker) waitIdle(ctx context.Context) {
	const (
		interval = 5 * time.Millisecond
		maxWait  = 2 * time.Second
	)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for c.busyCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}
