package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/reporter"
	"hibiscusline/timer"
)

const (
	// announcementTimeout is the time without an announcement after which a backend server counts as leaving. After one
	// lost announcement, the next arrives within 2 s. The rest of the 3 s after which a leaving server gets no new work
	// is for the next probe.
	announcementTimeout = 2400 * time.Millisecond
	// announcementOverdue is the time without an announcement after which a health report of "draining" takes effect. A
	// report may lag behind a more recent announcement.
	announcementOverdue = 1200 * time.Millisecond
	// maxHealthBytes is the maximum size of a health report; the rest is not read.
	maxHealthBytes = 4 << 10
	// maxBodyBytes is the maximum size of a request body on the local and admin endpoints.
	maxBodyBytes = 64 << 10
	// maxSlots bounds the slots and connections of a backend server. One address has no more ports, so a larger number
	// must be a mistake.
	maxSlots = 1 << 16
	// probeInterval and probeTimeout determine how soon a frozen backend server is detected.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which the backend server counts as lost. A
	// single probe may fail under load.
	maxFailedProbes = 2
)

// announcement is the body with which a backend server announces itself, once a second and at every change.
type announcement struct {
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// Fenced backend servers check the epoch of each request.
	Fenced bool `json:"fenced"`
	// State is "active" or "draining".
	State string `json:"state"`
}

func (a announcement) problem() string {
	switch {
	case a.Service == "":
		return "service is missing"
	case !a.Address.IsValid():
		return "address must be an IP address with a port"
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Sprintf("slots must be 1 to %d", maxSlots)
	case a.Connections < a.Slots || a.Connections > maxSlots:
		return fmt.Sprintf("connections must be at least the number of slots and at most %d", maxSlots)
	case a.State != "active" && a.State != "draining":
		return `state must be "active" or "draining"`
	}
	return ""
}

func (d *Daemon) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if err := decodeBody(w, r, &a); err != nil {
			writeError(w, http.StatusBadRequest, "announcement: "+err.Error())
			return
		}
		if problem := a.problem(); problem != "" {
			writeError(w, http.StatusBadRequest, "announcement: "+problem)
			return
		}
		d.handleAnnouncement(a)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// decodeBody decodes a request body, which must be a single JSON object without unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more follows after the JSON object")
	}
	return nil
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, reporter.ErrorResponse{Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(append(data, '\n'))
}

// backendState is the last known state of the local backend server.
type backendState struct {
	announcement announcement
	announcedAt  time.Time
	failedProbes int
}

// handleAnnouncement stores an announcement. It joins for a new backend server and resigns for a draining one.
func (d *Daemon) handleAnnouncement(a announcement) {
	d.mu.Lock()
	d.backend.announcement, d.backend.announcedAt = a, time.Now()
	current := d.current
	d.mu.Unlock()
	if d.draining.Load() || !d.state.Ready() {
		return
	}
	switch {
	case a.State == "draining":
		if current != nil {
			d.resign(current, "backend server is draining")
		}
	case current == nil:
		d.join(a)
	case current.backend.Service != a.Service || current.backend.Address != a.Address || current.backend.Fenced != a.Fenced:
		d.resign(current, "backend server announced another service, address or fencing mode")
	case current.leaving.Load():
		// The announcement was sent before the server began to leave, or the server has changed its mind. Its next
		// incarnation joins once this one has left.
		d.log("state", "announcement ignored", "member", current.id, "reason", "the incarnation is leaving")
	default:
		current.dispatcher.SetBackend(a.Address, a.Slots, a.Connections)
	}
}

// watchBackend probes the backend server and resigns if it stops announcing itself, refuses connections, is frozen or
// reports that it is draining.
func (d *Daemon) watchBackend(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHealthBytes}}
	defer client.CloseIdleConnections()
	every(ctx, probeInterval, func() {
		d.mu.Lock()
		last, at := d.backend.announcement, d.backend.announcedAt
		d.mu.Unlock()
		if at.IsZero() {
			return
		}
		alive, draining := probe(ctx, client, last.Address)
		d.mu.Lock()
		n := d.current
		if n != nil && timer.Now()-n.dispatcher.LastResponse() < probeTimeout {
			alive = true
		}
		d.backend.failedProbes++
		if alive {
			d.backend.failedProbes = 0
		}
		failed := d.backend.failedProbes
		d.mu.Unlock()
		if n == nil || d.draining.Load() {
			return
		}
		switch {
		case failed >= maxFailedProbes:
			d.abandonBackend(n, "backend server does not respond to health probes")
		case draining && time.Since(at) > announcementOverdue:
			d.resignSince(n, at, "backend server health reports draining")
		case time.Since(at) > announcementTimeout:
			d.resignSince(n, at, "announcements of the backend server stopped")
		}
	})
}

// resignSince resigns for a backend server that was last known to be active at the given time, from which
// stopAdmittingDelay counts.
func (d *Daemon) resignSince(n *incarnation, lastActive time.Time, reason string) {
	d.resignAfter(n, reason, func(context.Context) {
		time.AfterFunc(stopAdmittingDelay-time.Since(lastActive), n.dispatcher.StopAdmitting)
	})
}

// probe requests the health of a backend server. It reports whether the server responded and whether it reports that it
// is draining. The rest of the response is ignored, because health endpoints lag or are wrong.
func probe(ctx context.Context, client *http.Client, address netip.AddrPort) (alive, draining bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health", nil)
	if err != nil {
		return false, false
	}
	response, err := client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	if err := carrier.CheckResponse(response); err != nil {
		return false, false
	}
	var health struct {
		Status string `json:"status"`
	}
	report := io.LimitReader(response.Body, maxHealthBytes)
	draining = json.NewDecoder(report).Decode(&health) == nil && health.Status == "draining"
	// The body is read to its end so that the next probe reuses the connection. A server at its connection limit would
	// refuse a new one, and would be treated as lost.
	_, _ = io.Copy(io.Discard, report)
	return true, draining
}
