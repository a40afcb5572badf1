package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/leaser"
	"hibiscusline/reporter"
	"hibiscusline/timer"
)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.status()) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.dump()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { d.handleHealth(w) })
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { d.handleDrain(w) })
	mux.HandleFunc("POST /move", d.handleMove)
	return mux
}

func (d *Daemon) handleHealth(w http.ResponseWriter) {
	switch {
	case d.draining.Load():
		writeError(w, http.StatusServiceUnavailable, "draining")
	case !d.state.Ready():
		writeError(w, http.StatusServiceUnavailable, "the state was not read yet, from the log or from a peer")
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (d *Daemon) handleDrain(w http.ResponseWriter) {
	n := d.incarnation()
	if n == nil {
		writeError(w, http.StatusConflict, "this process is not a member")
		return
	}
	d.resign(n, "drain requested by an operator")
	w.WriteHeader(http.StatusAccepted)
}

func (d *Daemon) handleMove(w http.ResponseWriter, r *http.Request) {
	var m reporter.MoveRequest
	if err := decodeBody(w, r, &m); err != nil {
		writeError(w, http.StatusBadRequest, "move: "+err.Error())
		return
	}
	n := d.incarnation()
	var a applier.Assignment
	var found bool
	d.state.View(func(s *applier.State) { a, found = s.Lookup(m.Service, m.Position) })
	if n == nil || !found || a.Owner != n.id {
		writeError(w, http.StatusConflict, "this process does not own the position")
		return
	}
	d.ownershipMu.Lock()
	defer d.ownershipMu.Unlock()
	if err := d.move(r.Context(), n, m.To, []applier.RangeEpoch{{Range: a.Range, Epoch: a.Epoch}}); err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (d *Daemon) status() reporter.Status {
	s := reporter.Status{Name: d.config.Settings.Name, Zone: d.config.Settings.Zone, Draining: d.draining.Load()}
	n := d.incarnation()
	if n != nil {
		s.Member, s.Service = n.id, n.backend.Service
		s.Draining = s.Draining || n.leaving.Load()
		until, now := n.ValidUntil(), timer.Now()
		s.Lease.Held = until > now
		s.Lease.Exempt = until == leaser.NoExpiry
		if s.Lease.Held && !s.Lease.Exempt {
			s.Lease.RemainingMs = (until - now).Milliseconds()
		}
		s.Owned = d.ownedRanges(n)
	}
	d.state.View(func(state *applier.State) {
		s.Version, s.Applied, s.EvacuatedZones = state.Version, state.Applied, state.EvacuatedZones()
	})
	return s
}

// Dump is the state of a process in human-readable form, as GET /dump returns it.
type Dump struct {
	Status      reporter.Status                   `json:"status"`
	Uptime      string                            `json:"uptime"`
	Ready       bool                              `json:"ready"`
	Load        *encoder.Load                     `json:"load,omitempty"`
	Admission   any                               `json:"admission,omitempty"`
	InFlight    int                               `json:"in_flight"`
	Loads       map[applier.MemberID]encoder.Load `json:"loads"`
	Goroutines  int                               `json:"goroutines"`
	Heap        uint64                            `json:"heap_bytes"`
	Connections int                               `json:"connections"`
	State       json.RawMessage                   `json:"state"`
}

func (d *Daemon) dump() Dump {
	dump := Dump{
		Status: d.status(), Uptime: time.Since(d.started).String(), Ready: d.state.Ready(), Loads: map[applier.MemberID]encoder.Load{},
		Goroutines: runtime.NumGoroutine(), Connections: d.transport.Connections(),
	}
	for id, l := range d.loadReports() {
		dump.Loads[id] = l.load
	}
	if n := d.incarnation(); n != nil {
		load := n.dispatcher.Load()
		dump.Load, dump.InFlight, dump.Admission = &load, n.dispatcher.InFlight(), n.dispatcher.Admission()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	dump.Heap = memory.HeapAlloc
	d.state.View(func(s *applier.State) {
		data, err := json.Marshal(s)
		if err != nil {
			data, _ = json.Marshal(err.Error())
		}
		dump.State = data
	})
	return dump
}

// recordLoad stores the load that another member reported for its backend server. It drops invalid values, which no
// correct process sends: a single NaN would make the JSON encoding of the whole dump fail.
func (d *Daemon) recordLoad(id applier.MemberID, load encoder.Load) {
	known := false
	d.state.View(func(s *applier.State) { _, known = s.Members[id] })
	valid := func(rate float64) bool { return rate >= 0 && rate <= math.MaxFloat64 }
	if !known || load.Running < 0 || load.Queued < 0 || !valid(load.Rate) || !valid(load.Offered) {
		return
	}
	d.loadsMu.Lock()
	defer d.loadsMu.Unlock()
	d.loads[id] = memberLoad{load: load, at: time.Now()}
}

// loadReportTTL is the time after which a load report of another member is ignored.
const loadReportTTL = 5 * time.Second

// loadReports returns the recent load reports of other members.
func (d *Daemon) loadReports() map[applier.MemberID]memberLoad {
	d.loadsMu.Lock()
	defer d.loadsMu.Unlock()
	known := make(map[applier.MemberID]memberLoad, len(d.loads))
	for id, l := range d.loads {
		if time.Since(l.at) > loadReportTTL {
			delete(d.loads, id)
			continue
		}
		known[id] = l
	}
	return known
}

func (d *Daemon) loadReportOf(id applier.MemberID) (memberLoad, bool) {
	d.loadsMu.Lock()
	defer d.loadsMu.Unlock()
	l, known := d.loads[id]
	return l, known
}

func (d *Daemon) registerGauges() {
	d.metrics.NewGauge("hibiscus_applied_offset", func() float64 { return float64(d.state.Applied()) })
	d.metrics.NewGauge("hibiscus_zones_evacuated", func() (count float64) {
		d.state.View(func(s *applier.State) { count = float64(len(s.EvacuatedZones())) })
		return count
	})
	d.metrics.NewGauge("hibiscus_records_skipped", func() float64 { return float64(d.state.Skipped()) })
	d.metrics.NewGauge("hibiscus_connections", func() float64 { return float64(d.transport.Connections()) })
	d.metrics.NewGauge(`hibiscus_wire_bytes{path="peers",direction="out"}`, func() float64 { return float64(d.transport.Traffic().BytesSent) })
	d.metrics.NewGauge(`hibiscus_wire_bytes{path="peers",direction="in"}`, func() float64 { return float64(d.transport.Traffic().BytesReceived) })
	d.metrics.NewGauge(`hibiscus_wire_packets{path="peers",direction="out"}`, func() float64 { return float64(d.transport.Traffic().PacketsSent) })
	d.metrics.NewGauge(`hibiscus_wire_packets{path="peers",direction="in"}`, func() float64 { return float64(d.transport.Traffic().PacketsReceived) })
	d.metrics.NewGauge(`hibiscus_wire_bytes{path="log",direction="both"}`, func() float64 { return float64(d.client.WireBytes()) })
	d.metrics.NewGauge("hibiscus_silent_connections_total", func() float64 { return float64(d.transport.Silences()) })
	d.metrics.NewGauge("hibiscus_log_calls_overdue_total", func() float64 { return float64(d.client.Overdue()) })
	d.metrics.NewGauge("hibiscus_lease_seconds", func() float64 {
		n := d.incarnation()
		if n == nil || n.ValidUntil() == leaser.NoExpiry {
			return 0
		}
		return max(0, (n.ValidUntil() - timer.Now()).Seconds())
	})
}
