package daemon

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker tracks the client connections: those that have a request in flight or have not sent their first one
// yet are busy, the others idle. The zero value is ready to use.
type connectionTracker struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
	// waiting holds the connections that wait for a request, the longest waiting one first, and elements their elements.
	waiting  list.List
	elements map[net.Conn]*list.Element
}

// waitingConnection counts as idle from a time on.
type waitingConnection struct {
	net.Conn
	idleFrom time.Time
}

// firstRequestTime is how long a new connection may stay silent before it counts as idle.
const firstRequestTime = time.Second

// onStateChange is the ConnState hook of an http.Server.
func (c *connectionTracker) onStateChange(connection net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == nil {
		c.busy, c.elements = map[net.Conn]struct{}{}, map[net.Conn]*list.Element{}
	}
	delete(c.busy, connection)
	if e, found := c.elements[connection]; found {
		c.waiting.Remove(e)
		delete(c.elements, connection)
	}
	switch s {
	case http.StateNew:
		c.busy[connection] = struct{}{}
		c.addWaiting(connection, time.Now().Add(firstRequestTime))
	case http.StateActive:
		c.busy[connection] = struct{}{}
	case http.StateIdle:
		c.addWaiting(connection, time.Now())
	}
}

func (c *connectionTracker) addWaiting(connection net.Conn, idleFrom time.Time) {
	c.elements[connection] = c.waiting.PushBack(waitingConnection{connection, idleFrom})
}

// closeLongestIdle closes the connection that has been idle for longest, if there is one. Clients keep connections open
// that they may not use again, and a client that waits for a place isn't read. A request that arrives on the connection
// meanwhile becomes active after the close, so it isn't sent on.
func (c *connectionTracker) closeLongestIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		if w := e.Value.(waitingConnection); !w.idleFrom.After(now) {
			c.waiting.Remove(e)
			delete(c.elements, w.Conn)
			_ = w.Close() // There is no recovery from a failed close.
			return
		}
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
