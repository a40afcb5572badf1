package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// A heartbeat speaks for its own server only. That another server has ended, because a later one reports from its address, is
// taken as true once the address itself shows it, or once the grants of the earlier one have expired.

// Reasons to reject the first heartbeat of a server.
var (
	errOtherServer = errors.New("heartbeat: another server responds at this address")
	errKeysHeld    = errors.New("heartbeat: the server before this one may still hold keys")
)

// identifyTimeout bounds the question which server is at the address. The sender of a heartbeat waits one second for the
// response.
const identifyTimeout = 300 * time.Millisecond

// checkReplacement returns an error if a heartbeat comes from a server that can't take the place of the known one, or not yet.
func (a *Sidecar) checkReplacement(ctx context.Context, h platform.BackendHeartbeat) error {
	known, state := a.knownServer()
	switch {
	case h.Incarnation.Instance == known.Instance:
		// A server that starts again under its id says itself that the earlier incarnation has ended.
		return nil
	case h.Incarnation.Born < known.Born:
		return nil
	}
	start := timer.Now()
	identity := a.executor.Identify(ctx, a.serviceOf(h.Service).HealthPath, identifyTimeout)
	_ = a.logger.Log("event", "server_identified", "instance", h.Incarnation.Instance, "known", known.Instance,
		"responds", identity.Instance, "health", identity.Health, "ms", (timer.Now() - start).Milliseconds())
	switch {
	case identity.Instance == h.Incarnation.Instance:
		a.observeHealth(h.Incarnation, identity)
		return nil
	case identity.Instance != "":
		return errOtherServer
	case known == (assigner.Incarnation{}), state == registrar.Ended, !a.mayHoldKeys():
		return nil
	}
	return errKeysHeld
}

func (a *Sidecar) knownServer() (assigner.Incarnation, registrar.ServerState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.server.incarnation, a.server.state
}

// mayHoldKeys reports whether the known server may hold keys that this process, or an earlier one of its name, has granted.
func (a *Sidecar) mayHoldKeys() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registrar.View().Tables[a.server.service] != nil && timer.Now() <= a.granter.GrantsLapseAt()
}
