package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/granter"
	"hibiscusline/limiter"
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
	case !h.ListsKeys && a.grantsByHeartbeat(h.Service):
		err = errNoKeyLists
	}
	if err != nil {
		_ = a.logger.Log("event", "heartbeat_rejected", "instance", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.checkReplacement(r.Context(), h); err != nil {
		_ = a.logger.Log("event", "heartbeat_refused", "instance", id, "born", h.Incarnation.Born, "error", err)
		refuseHeartbeat(w, err)
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

// refuseHeartbeat tells a server why it can't take the place of another one, at present or at all.
func refuseHeartbeat(w http.ResponseWriter, err error) {
	if errors.Is(err, errKeysHeld) {
		w.Header().Set("Retry-After", heartbeatRetryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	http.Error(w, err.Error(), http.StatusConflict)
}

// heartbeatRetryAfter is when a server whose heartbeat was refused may send the next one, in seconds.
const heartbeatRetryAfter = "0.5"

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

// grantsByHeartbeat reports whether the servers of a service are granted keys in the responses to their heartbeats, which then
// list the keys that they hold.
func (a *Sidecar) grantsByHeartbeat(service string) bool {
	return a.settings.Grants != loader.GrantsByRequest &&
		(a.serviceOf(service).Keyed || a.registrar.View().Tables[service] != nil)
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
		// An earlier process can't have known the successor of a server that this one has used.
		unconfirmed := s.unconfirmed || s.incarnation == (assigner.Incarnation{})
		*s = serverState{incarnation: h.Incarnation, lastHeartbeat: now, service: h.Service, unconfirmed: unconfirmed}
		a.assumeCold(now, h.Service, limiter.NewServer)
		a.granter.Revoke()
	}
	// An earlier process may have acknowledged the drain at an unknown time.
	drainOver := h.Draining && unheard && !a.excludesLeaving(h.Incarnation)
	a.believeHeartbeat(now, h)
	response, current := a.granter.Heartbeat(now, h.Heartbeat)
	if !current {
		return response, false
	}
	s.lastHeartbeat, s.service, s.slots = now, h.Service, h.Slots
	a.observeCold(now, h)
	a.logGrants(now, h, response)
	s.drainOver = s.drainOver || drainOver
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
