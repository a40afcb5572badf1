package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/granter"
	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

func (a *Sidecar) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	received := timer.Now()
	id := r.PathValue("id")
	data, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		return
	}
	h, err := platform.DecodeHeartbeat(id, data)
	switch {
	case err != nil:
	case h.Address != a.settings.Backend:
		err = errWrongAddress
	case !a.knownService(h.Service):
		err = errUnknownService
	}
	if err != nil {
		_ = a.logger.Log("event", "heartbeat_rejected", "instance", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.awaitIncomingSlices(r.Context(), h)
	response, current := a.handleHeartbeat(received, h)
	if !current {
		_ = a.logger.Log("event", "heartbeat_of_earlier_life", "instance", id, "born", h.Incarnation.Born)
		http.Error(w, "a later incarnation of this server is known", http.StatusGone)
		return
	}
	if h.Draining && !a.secureLeaving(r.Context(), h.Incarnation) {
		refuseLeaving(w)
		return
	}
	body, err := platform.EncodeHeartbeatResponse(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", platform.ContentType)
	_, _ = w.Write(body) // If the response is lost, the server sends its next heartbeat.
}

// knownService reports whether a service is that of this sidecar or in the configuration. Without a configuration, any
// may be.
func (a *Sidecar) knownService(name string) bool {
	routes := a.forwarder.Routes()
	if routes == nil || name == a.settings.Service {
		return true
	}
	_, configured := routes.Services[name]
	return configured
}

// maxHeartbeatDelay is how long the response to a heartbeat may be delayed while keys move to the server. The server
// waits one second for a response.
const maxHeartbeatDelay = 650 * time.Millisecond

// awaitIncomingSlices waits while other owners release keys to the server, so that this response grants them instead of
// the next one, a heartbeat interval later.
func (a *Sidecar) awaitIncomingSlices(ctx context.Context, h platform.BackendHeartbeat) {
	if a.settings.Grants == loader.GrantsByRequest {
		return
	}
	self := assigner.Owner{Member: a.settings.Name, Incarnation: h.Incarnation}
	a.waitUntil(ctx, maxHeartbeatDelay, func() bool {
		t := a.registrar.View().Tables[a.settings.Service]
		return h.Draining || t == nil || !t.HasIncoming(self) || a.hasPendingChange()
	})
}

// hasPendingChange reports whether a grant or a release waits for the response to this heartbeat, which must then not
// be delayed.
func (a *Sidecar) hasPendingChange() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granter.Pending()
}

// handleHeartbeat processes a heartbeat that was received at the given time. It reports false for one of an earlier
// incarnation.
func (a *Sidecar) handleHeartbeat(now time.Duration, h platform.BackendHeartbeat) (granter.Response, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.server
	unheard := s.unconfirmed || h.Incarnation != s.incarnation
	if h.Incarnation != s.incarnation && h.Incarnation.Born >= s.incarnation.Born {
		if s.incarnation != (assigner.Incarnation{}) {
			_ = a.logger.Log("event", "server_started", "instance", h.Incarnation.Instance, "born", h.Incarnation.Born, "before", s.incarnation.Instance)
		}
		*s = serverState{incarnation: h.Incarnation}
		a.granter.Revoke()
	}
	if s.unconfirmed && h.Incarnation == s.incarnation {
		s.unconfirmed = false
		a.confirmGrants()
	}
	response, current := a.granter.Heartbeat(now, h.Heartbeat)
	if !current {
		return response, false
	}
	s.lastHeartbeat, s.service, s.slots, s.returnedAt = now, h.Service, h.Slots, 0
	a.logGrants(now, h, response)
	// An earlier process may have acknowledged the drain at an unknown time.
	s.drainOver = s.drainOver || h.Draining && unheard && !a.knowsLeavings(h.Incarnation)
	if h.Draining || s.drainingSince != 0 {
		a.startDraining(now)
	} else {
		a.setServerState(registrar.Ready)
		a.endUseOfLeftServer()
	}
	a.updateExecutor()
	wake(a.callWake)
	if len(response.Released) > 0 {
		owner := assigner.Owner{Member: a.settings.Name, Incarnation: s.incarnation}
		go a.releaseSlices(owner, response.Released)
	}
	return response, true
}
