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
	var suspected serverState
	for timer.Sleep(ctx, watchInterval) {
		a.mu.Lock()
		s, lapse := a.server, a.granter.GrantsLapseAt()
		a.mu.Unlock()
		missing := timer.Now()-s.lastHeartbeat > missedHeartbeats*time.Duration(a.heartbeat.Load())
		if !missing && !s.deregistered || s.incarnation == (assigner.Incarnation{}) || s.state == registrar.Ended {
			continue
		}
		if missing {
			a.suspectCold(s)
		}
		refused := a.serverRefusesConnections()
		lapsed := missing && timer.Now() > lapse
		// A process that has stalled gets here before it has handled the heartbeats that arrived meanwhile.
		suspectedBefore := suspected.incarnation == s.incarnation && suspected.lastHeartbeat == s.lastHeartbeat
		suspected = serverState{}
		switch {
		case refused:
			a.endUnheardServer(s, "connection_refused")
		case lapsed && suspectedBefore:
			a.endUnheardServer(s, "grants_lapsed")
		case lapsed:
			suspected = s
		}
	}
}

// serverRefusesConnections reports whether nothing listens at the address of the server.
func (a *Sidecar) serverRefusesConnections() bool {
	c, err := net.DialTimeout("tcp", a.settings.Backend.String(), dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// endUnheardServer ends the server's incarnation unless there was a heartbeat since its state was read.
func (a *Sidecar) endUnheardServer(s serverState, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server.incarnation == s.incarnation && a.server.lastHeartbeat == s.lastHeartbeat {
		a.markServerEnded(reason)
	}
}
