package attendant

import (
	"io"
	"net/http"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/gatekeeper"
	"hibiscusline/granter"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// serverState is what the process knows of the backend server beside it.
type serverState struct {
	incarnation assigner.Incarnation
	service     string
	slots       int
	state       registrar.ServerState
	// heard is the time of the latest heartbeat.
	heard time.Duration
	// leftAt is when the server's leaving was acknowledged, or zero.
	leftAt time.Duration
	// renewed and grants are those of the last answer to a heartbeat.
	renewed bool
	grants  int
	// deregistered means that the server has said that it ends.
	deregistered bool
}

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 1 << 20

func (a *Attendant) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.HeartbeatPath+"{id}", a.serveHeartbeat)
	mux.HandleFunc("POST "+platform.DeregisterPath+"{id}", a.serveDeregister)
	return mux
}

func (a *Attendant) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := a.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// unready returns why the process takes no requests, or nothing.
func (a *Attendant) unready() string {
	switch {
	case a.stopping.Load():
		return "stopping"
	case a.configDoc.Load() == nil:
		return "no configuration"
	case len(a.registrar.View().Members) == 0:
		return "no members"
	}
	return ""
}

// logGrants logs a change of what the server is granted, with what decided it.
func (a *Attendant) logGrants(now time.Duration, h platform.Announcement, answer granter.Response) {
	if answer.Renews == a.server.renewed && len(answer.Grants) == a.server.grants && len(answer.Released) == 0 {
		return
	}
	a.server.renewed, a.server.grants = answer.Renews, len(answer.Grants)
	_ = a.logger.Log("event", "grants", "instance", h.Incarnation.Instance, "sequence", h.Sequence, "renews", answer.Renews,
		"ranges", len(answer.Grants), "held", len(h.Holds), "released", len(answer.Released), "freed", len(h.Freed),
		"hold_ms", answer.HoldTime.Milliseconds(), "lease_left_ms", (a.granter.LeaseEnd() - now).Milliseconds(),
		"records_end", a.registrar.View().End)
}

// resume takes the state of the server from the record of an earlier process at this place, until the first heartbeat. A
// server that has ended since then is found by the first request to it, or by its missing heartbeats.
func (a *Attendant) resume() {
	p := a.published
	if a.server.incarnation != (assigner.Incarnation{}) || p.State != registrar.Ready && p.State != registrar.Draining {
		return
	}
	_ = a.logger.Log("event", "server_resumed", "instance", p.Incarnation.Instance, "state", p.State, "epoch", p.Epoch)
	a.granter.Resume(p.Incarnation)
	a.server = serverState{incarnation: p.Incarnation, service: p.Service, slots: p.Slots, heard: timer.Now()}
	if p.State == registrar.Draining {
		a.serverLeaves(timer.Now())
	} else {
		a.setServerState(registrar.Ready)
	}
	a.updateGate()
}

func (a *Attendant) setServerState(state registrar.ServerState) {
	if a.server.state == state {
		return
	}
	_ = a.logger.Log("event", "server_state", "instance", a.server.incarnation.Instance, "state", state, "before", a.server.state)
	a.server.state = state
	a.own.Incarnation, a.own.State, a.own.Slots, a.own.Service = a.server.incarnation, state, a.server.slots, a.server.service
	a.own.Revision = a.granter.Revision()
	signal(a.publish)
}

// serverLeaves notes that the server's leaving is acknowledged.
func (a *Attendant) serverLeaves(now time.Duration) {
	if a.server.leftAt == 0 {
		a.server.leftAt = now
	}
	a.setServerState(registrar.Draining)
}

// Shares of the drain time after which no new request is sent to a leaving server. Requests for keys may go on longer,
// until the keys have moved.
const (
	drainShare     = 0.4
	drainShareKeys = 0.85
)

// updateGate tells the gate the server's state.
func (a *Attendant) updateGate() {
	s := a.server
	g := gatekeeper.Server{}
	if s.state == registrar.Ready || s.state == registrar.Draining {
		g = gatekeeper.Server{Instance: s.incarnation.Instance, Service: s.service, Slots: s.slots}
	}
	if s.leftAt != 0 {
		drain := float64(a.drain.Load())
		g.Drained = s.leftAt + time.Duration(drainShare*drain)
		g.DrainedKeys = s.leftAt + time.Duration(drainShareKeys*drain)
	}
	a.gate.SetServer(g)
}

func (a *Attendant) serveDeregister(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		return
	}
	incarnation := platform.DecodeIncarnation(r.PathValue("id"), data)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.server
	if incarnation.Instance != s.incarnation.Instance || incarnation.Born != 0 && incarnation.Born != s.incarnation.Born {
		_ = a.logger.Log("event", "deregister_of_other_life", "instance", incarnation.Instance, "born", incarnation.Born)
		w.WriteHeader(http.StatusOK)
		return
	}
	s.deregistered = true
	a.serverLeaves(timer.Now())
	a.updateGate()
	w.WriteHeader(http.StatusOK)
}
