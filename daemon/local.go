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

	"hibiscusline/reporter"
	"hibiscusline/timer"
)

const (
	// announceTimeout is the time without announcement after which a backend server counts as lost.
	announceTimeout = 3 * time.Second
	// maxAnnouncement bounds the body of an announcement in bytes.
	maxAnnouncement = 64 << 10
	// maxSlots bounds slots and connections. One address has no more ports, so larger numbers can only be slips.
	maxSlots = 1 << 16
	// probeInterval and probeTimeout set how soon a frozen backend server is noticed.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxFailedProbes in a row count as the loss of the backend server. One may fail under load.
	maxFailedProbes = 2
)

// announcement is what a backend server says about itself, once a second and at every change.
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
			writeRefusal(w, http.StatusBadRequest, "announcement: "+err.Error())
			return
		}
		if problem := a.problem(); problem != "" {
			writeRefusal(w, http.StatusBadRequest, "announcement: "+problem)
			return
		}
		d.announced(a)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// decodeBody decodes a request's body, which must be one JSON object of known fields and nothing else.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more follows after the JSON object")
	}
	return nil
}

func writeRefusal(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, reporter.Refusal{Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone needs no answer.
	_, _ = w.Write(append(data, '\n'))
}

// server is what this process knows of the backend server beside it.
type server struct {
	last         announcement
	at           time.Time
	failedProbes int
}

// announced takes an announcement: it joins for a new backend server and resigns for a draining one.
func (d *Daemon) announced(a announcement) {
	d.mu.Lock()
	d.server.last, d.server.at = a, time.Now()
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
	case current.server.Service != a.Service || current.server.Address != a.Address || current.server.Fenced != a.Fenced:
		d.resign(current, "backend server changed")
	default:
		current.dispatcher.SetBackend(a.Address, a.Slots, a.Connections)
	}
}

// watchBackend notices a backend server that is gone, refuses connections, or is frozen, and resigns for it.
func (d *Daemon) watchBackend(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	every(ctx, probeInterval, func() {
		d.mu.Lock()
		last, at := d.server.last, d.server.at
		d.mu.Unlock()
		if at.IsZero() {
			return
		}
		alive := probe(ctx, client, last.Address)
		d.mu.Lock()
		n := d.current
		if n != nil && timer.Now()-n.dispatcher.LastAnswer() < probeTimeout {
			alive = true
		}
		d.server.failedProbes++
		if alive {
			d.server.failedProbes = 0
		}
		failed := d.server.failedProbes
		d.mu.Unlock()
		if n == nil || d.draining.Load() {
			return
		}
		switch {
		case failed >= maxFailedProbes:
			d.giveUp(n, "backend server does not answer")
		case time.Since(at) > announceTimeout:
			d.resign(n, "backend server stopped announcing itself")
		}
	})
}

func probe(ctx context.Context, client *http.Client, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// Only the fact of an answer counts: what health endpoints say lags or misleads. The body is read so that the next
	// probe uses the same connection; a server at its connection limit would refuse a new one and be taken for lost.
	_, _ = io.CopyN(io.Discard, response.Body, maxAnnouncement)
	_ = response.Body.Close()
	return true
}
