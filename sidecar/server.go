package sidecar

import (
	"io"
	"net/http"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/executor"
	"hibiscusline/granter"
	"hibiscusline/limiter"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// serverState is the known state of the backend server.
type serverState struct {
	incarnation assigner.Incarnation
	service     string
	slots       int
	state       registrar.ServerState
	// lastHeartbeat is the time of the latest heartbeat.
	lastHeartbeat time.Duration
	// drainingSince is when the server's drain was acknowledged, or zero.
	drainingSince time.Duration
	// drainOver means that an earlier process acknowledged the drain, at an unknown time.
	drainOver bool
	// unconfirmed means that an earlier process may have acknowledged a leaving that this one doesn't know. The server gets
	// neither requests nor grants.
	unconfirmed bool
	// renewed and grantCount describe the last response to a heartbeat: whether it renewed the server's grants, and the
	// number of grants in it.
	renewed    bool
	grantCount int
	// deregistered means that the server has announced its shutdown.
	deregistered bool
	cold         coldState
}

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 1 << 20

func (a *Sidecar) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.HeartbeatPath+"{id}", a.serveHeartbeat)
	mux.HandleFunc("POST "+platform.DeregisterPath+"{id}", a.serveDeregister)
	return mux
}

func (a *Sidecar) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := a.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// notReadyReason returns why the sidecar isn't ready, or an empty string.
func (a *Sidecar) notReadyReason() string {
	switch {
	case a.stopping.Load():
		return "stopping"
	case a.current.Load() == nil:
		return "no configuration"
	case len(a.registrar.View().Members) == 0:
		return "no members"
	}
	return ""
}

// logGrants logs a change of the server's grants with the values that determined it.
func (a *Sidecar) logGrants(now time.Duration, h platform.BackendHeartbeat, response granter.Response) {
	if response.Renews == a.server.renewed && len(response.Grants) == a.server.grantCount && len(response.Released) == 0 {
		return
	}
	a.server.renewed, a.server.grantCount = response.Renews, len(response.Grants)
	_ = a.logger.Log("event", "grants", "instance", h.Incarnation.Instance, "sequence", h.Sequence, "renews", response.Renews,
		"ranges", len(response.Grants), "held", len(h.Holds), "released", len(response.Released), "freed", len(h.Freed),
		"hold_ms", response.HoldTime.Milliseconds(), "lease_left_ms", (a.granter.LeaseEnd() - now).Milliseconds(),
		"records_end", a.registrar.View().End)
}

// resumeServer continues the work of the earlier process of this name, by its record in the store. If there was no
// heartbeat yet, the state of the server is that of the record until the first one. A server that has since ended is
// detected by the first request to it or by its missing heartbeats. A record that says ready may be older than a leaving
// that was acknowledged while the store was down. The caller holds mu.
func (a *Sidecar) resumeServer() {
	p := a.predecessor
	heard := a.server.incarnation != (assigner.Incarnation{})
	if a.resumed || !p.State.Running() || heard && a.server.incarnation != p.Incarnation {
		return
	}
	a.resumed = true
	confirmed := a.excludesLeaving(p.Incarnation)
	_ = a.logger.Log("event", "server_resumed", "instance", p.Incarnation.Instance, "state", p.State, "epoch", p.Epoch,
		"confirmed", confirmed, "heard", heard)
	a.granter.Resume(p.Incarnation)
	if heard {
		a.confirmServer(false)
		return
	}
	a.server = serverState{
		incarnation: p.Incarnation, service: p.Service, slots: p.Slots, lastHeartbeat: timer.Now(), unconfirmed: !confirmed,
	}
	a.assumeCold(timer.Now(), p.Service, limiter.NewProcess)
	a.setServerState(registrar.Ready)
	a.endUseOfLeftServer()
	a.updateExecutor()
	wake(a.doubtWake)
}

func (a *Sidecar) setServerState(state registrar.ServerState) {
	if a.server.state == state {
		return
	}
	_ = a.logger.Log("event", "server_state", "instance", a.server.incarnation.Instance, "state", state, "before", a.server.state)
	a.server.state = state
	a.own.Incarnation, a.own.State, a.own.Slots, a.own.Service = a.server.incarnation, state, a.server.slots, a.server.service
	a.own.Revision = a.granter.Revision()
	wake(a.publishWake)
}

// startDraining records that the server's drain was acknowledged.
func (a *Sidecar) startDraining(now time.Duration) {
	if a.server.drainingSince == 0 {
		a.server.drainingSince = now
	}
	a.setServerState(registrar.Draining)
}

// Shares of the drain time after which no new request is sent to a draining server. Requests for keys continue longer,
// until the keys have moved.
const (
	drainCutoffShare      = 0.4
	keyedDrainCutoffShare = 0.85
)

// updateExecutor passes the server's state to the executor.
func (a *Sidecar) updateExecutor() {
	s := a.server
	g := executor.Server{}
	if a.leavingsKnown && !s.unconfirmed && s.state.Running() && a.knowsEvacuations() {
		g = executor.Server{Instance: s.incarnation.Instance, Service: s.service, Slots: s.slots}
	}
	a.setCold(&g)
	switch {
	case s.drainOver:
		g.RefuseFrom, g.RefuseKeyedFrom = s.drainingSince, s.drainingSince
	case s.drainingSince != 0:
		drain := float64(a.drain.Load())
		g.RefuseFrom = s.drainingSince + time.Duration(drainCutoffShare*drain)
		g.RefuseKeyedFrom = s.drainingSince + time.Duration(keyedDrainCutoffShare*drain)
	}
	a.addEvacuation(&g)
	a.executor.SetServer(g)
}

func (a *Sidecar) serveDeregister(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		return
	}
	incarnation, err := platform.DecodeDeregistration(r.PathValue("id"), data)
	if err != nil {
		_ = a.logger.Log("event", "deregistration_rejected", "instance", r.PathValue("id"), "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation, leaves := a.observeDeregistration(incarnation)
	switch {
	case incarnation.Born == 0:
		_ = a.logger.Log("event", "deregistration_rejected", "instance", incarnation.Instance, "error", "born is missing")
		http.Error(w, "deregistration: born is missing", http.StatusBadRequest)
	case leaves && !a.secureLeaving(r.Context(), incarnation):
		refuseLeaving(w)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// observeDeregistration applies a deregistration. It returns the incarnation that leaves and reports whether that may
// still be used.
func (a *Sidecar) observeDeregistration(incarnation assigner.Incarnation) (assigner.Incarnation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.server
	if incarnation.Born == 0 && incarnation.Instance == s.incarnation.Instance {
		incarnation = s.incarnation
	}
	if incarnation != s.incarnation {
		_ = a.logger.Log("event", "deregister_of_other_life", "instance", incarnation.Instance, "born", incarnation.Born, "known", s.incarnation.Born)
		// The process may not have seen a heartbeat of a server that has just started, or, after its own start, any.
		return incarnation, incarnation.Born > s.incarnation.Born
	}
	s.deregistered = true
	// A server that this process hasn't used may have announced its leaving before.
	s.drainOver, s.unconfirmed = s.drainOver || s.unconfirmed, false
	a.startDraining(timer.Now())
	a.updateExecutor()
	return incarnation, true
}

// refuseLeaving tells a server that its leaving isn't acknowledged yet.
func refuseLeaving(w http.ResponseWriter) {
	w.Header().Set("Retry-After", leavingRetryAfter)
	http.Error(w, "the leaving can't be stored yet", http.StatusServiceUnavailable)
}

// leavingRetryAfter is when a server may announce its leaving again, in seconds.
const leavingRetryAfter = "0.5"
