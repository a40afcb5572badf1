package attendant

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
func (a *Attendant) permits(now time.Duration, key uint16) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granter.Permits(now, key)
}

// serverLost takes the news that the server's address refused a connection.
func (a *Attendant) serverLost(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance == a.server.incarnation.Instance {
		a.endServer("connection_refused")
	}
}

// endServer notes that the server's incarnation has ended, or that no grant of it can hold any more.
func (a *Attendant) endServer(why string) {
	if a.server.state == registrar.Ended || a.server.incarnation == (assigner.Incarnation{}) {
		return
	}
	_ = a.logger.Log("event", "server_ended", "instance", a.server.incarnation.Instance, "why", why)
	a.granter.Revoke()
	a.granter.DropGrants()
	a.setServerState(registrar.Ended)
	a.updateGate()
}

const (
	// watchInterval is how often the process looks whether heartbeats are missing.
	watchInterval = 250 * time.Millisecond
	// missingBeats is the number of heartbeat intervals after which the server is looked for.
	missingBeats = 2
	// dialTimeout bounds the attempt to connect to a server that is silent.
	dialTimeout = 200 * time.Millisecond
)

// watchServer looks for a server whose heartbeats are missing or that has said that it ends.
func (a *Attendant) watchServer(ctx context.Context) {
	for timer.Sleep(ctx, watchInterval) {
		a.mu.Lock()
		s, lapse := a.server, a.granter.GrantsLapseAt()
		a.mu.Unlock()
		now := timer.Now()
		overdue := now-s.heard > missingBeats*time.Duration(a.heartbeat.Load()) || s.deregistered
		if !overdue || s.incarnation == (assigner.Incarnation{}) || s.state == registrar.Ended {
			continue
		}
		c, err := net.DialTimeout("tcp", a.settings.Backend.String(), dialTimeout)
		if err == nil {
			_ = c.Close()
		}
		refused := errors.Is(err, syscall.ECONNREFUSED)
		lapsed := now > lapse && now-s.heard > missingBeats*time.Duration(a.heartbeat.Load())
		if !refused && !lapsed {
			continue
		}
		why := "grants_lapsed"
		if refused {
			why = "connection_refused"
		}
		a.mu.Lock()
		if a.server.incarnation == s.incarnation && a.server.heard == s.heard {
			a.endServer(why)
		}
		a.mu.Unlock()
	}
}
