package sidecar

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"hibiscusline/forwarder"
	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// meters holds the counters and histograms of the sidecar.
type meters struct{ set *metrics.Set }

func newMeters() *meters { return &meters{set: metrics.NewSet()} }

// request records a completed request.
func (m *meters) request(s forwarder.Summary) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hibiscus_requests_total{service=%q,status="%d",reason=%q}`, s.Service, s.Status, s.Reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hibiscus_request_seconds{service=%q,outcome=%q}`, s.Service, s.Outcome)).Update(s.Elapsed.Seconds())
}

// senderLeft counts a request whose sender had left when the request would be sent over a hop.
func (m *meters) senderLeft(hop string, d watcher.Departure) {
	m.count(fmt.Sprintf(`hibiscus_senders_left_total{hop=%q,noticed=%q}`, hop, d))
}

func (m *meters) count(name string) { m.set.GetOrCreateCounter(name).Inc() }

func (a *Sidecar) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	a.metrics.set.NewGauge("hibiscus_log_lines_dropped", func() float64 { return float64(a.logWriter.dropped.Load()) })
	a.metrics.set.NewGauge("hibiscus_slots_running", func() float64 { return float64(a.executor.Load().Running) })
	a.metrics.set.NewGauge("hibiscus_requests_waiting", func() float64 { return float64(a.executor.Load().Waiting) })
	a.metrics.set.NewGauge("hibiscus_server_slowness", func() float64 { return a.executor.Load().Slowness })
	a.metrics.set.NewGauge("hibiscus_service_seconds", func() float64 { return a.executor.Load().ServiceTime.Seconds() })
	a.metrics.set.NewGauge("hibiscus_link_backlog_seconds", func() float64 { return a.link.Backlog().Seconds() })
	a.metrics.set.NewGauge("hibiscus_configuration_age_seconds", func() float64 { return a.configurationAge.Age(timer.Now()).Seconds() })
	a.metrics.set.NewGauge("hibiscus_store_answered_seconds", func() float64 { return a.store.AnsweredFor(timer.Now()).Seconds() })
	a.registerColdMeters()
	a.metrics.set.NewGauge("hibiscus_zones_evacuated", func() float64 { return float64(len(a.evacuations.Zones())) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET /dump", a.serveDump)
	return mux
}
