package sidecar

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// permits reports whether the server may run a request for a key.
func (a *Sidecar) permits(now time.Duration, key uint16) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granter.Permits(now, key)
}

// handleConnectionRefused ends the server's incarnation after its address refused a connection.
func (a *Sidecar) handleConnectionRefused(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance == a.server.incarnation.Instance {
		a.markServerEnded("connection_refused")
	}
}

// markServerEnded records that the server's incarnation has ended, or that its grants have all expired.
func (a *Sidecar) markServerEnded(reason string) {
	if a.server.state == registrar.Ended || a.server.incarnation == (assigner.Incarnation{}) {
		return
	}
	_ = a.logger.Log("event", "server_ended", "instance", a.server.incarnation.Instance, "why", reason)
	a.granter.Revoke()
	a.granter.DropGrants()
	a.setServerState(registrar.Ended)
	a.updateExecutor()
}

const (
	// watchInterval is how often the sidecar checks for missing heartbeats.
	watchInterval = 250 * time.Millisecond
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which the server is probed.
	missedHeartbeats = 2
	// dialTimeout bounds the attempt to connect to an unresponsive server.
	dialTimeout = 200 * time.Millisecond
)

// watchServer probes a server whose heartbeats are missing or that has announced its shutdown, and marks it as ended if
// its address refuses connections or its grants have lapsed.
func (a *Sidecar) watchServer(ctx context.Context) {
	for timer.Sleep(ctx, watchInterval) {
		a.mu.Lock()
		s, lapse := a.server, a.granter.GrantsLapseAt()
		a.mu.Unlock()
		now := timer.Now()
		overdue := now-s.lastHeartbeat > missedHeartbeats*time.Duration(a.heartbeat.Load()) || s.deregistered
		if !overdue || s.incarnation == (assigner.Incarnation{}) || s.state == registrar.Ended {
			continue
		}
		c, err := net.DialTimeout("tcp", a.settings.Backend.String(), dialTimeout)
		if err == nil {
			_ = c.Close()
		}
		refused := errors.Is(err, syscall.ECONNREFUSED)
		lapsed := now > lapse && now-s.lastHeartbeat > missedHeartbeats*time.Duration(a.heartbeat.Load())
		if !refused && !lapsed {
			continue
		}
		reason := "grants_lapsed"
		if refused {
			reason = "connection_refused"
		}
		a.mu.Lock()
		if a.server.incarnation == s.incarnation && a.server.lastHeartbeat == s.lastHeartbeat {
			a.markServerEnded(reason)
		}
		a.mu.Unlock()
	}
}
