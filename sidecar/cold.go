package sidecar

import (
	"fmt"
	"time"

	"hibiscusline/executor"
	"hibiscusline/limiter"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// coldState is what the sidecar knows of the cold time of its server.
type coldState struct {
	limiter.Signal
	// logged is whether the server was logged as cold.
	logged bool
	// silent is whether the server was taken to be cold because it was silent, since its latest heartbeat.
	silent bool
	// early is the latest heartbeat before the first configuration, which arrived at earlyAt.
	early   platform.BackendHeartbeat
	earlyAt time.Duration
}

// serviceOf returns the service of the server as the configuration in force describes it. The cold time and the rate of a
// service that isn't known, or has none, are zero.
func (a *Sidecar) serviceOf(name string) matcher.Service {
	if routes := a.forwarder.Routes(); routes != nil {
		return routes.Services[name]
	}
	return matcher.Service{}
}

// assumeCold takes the server to be cold until it reports otherwise. The caller holds mu.
func (a *Sidecar) assumeCold(now time.Duration, service string, source limiter.Source) {
	s := a.serviceOf(service)
	if s.ColdRate <= 0 {
		return
	}
	a.server.cold.Assume(now, s.ColdTime, source)
	if source != limiter.NewServer {
		// The heartbeat that reports a new server says whether it is cold.
		a.logCold(now)
	}
}

// observeCold applies the cold time of a heartbeat. The caller holds mu.
func (a *Sidecar) observeCold(now time.Duration, h platform.BackendHeartbeat) {
	s := a.serviceOf(h.Service)
	if a.forwarder.Routes() == nil {
		a.server.cold.early, a.server.cold.earlyAt = h, now
	}
	if s.ColdRate <= 0 {
		return
	}
	a.server.cold.silent = false
	a.server.cold.Observe(now, h.Sequence, h.ColdFor, s.ColdTime)
	a.logCold(now)
}

// setCold passes the cold time to the executor. The rate is set for a warm server too, so that its latest starts are known
// when it becomes cold. The caller holds mu.
func (a *Sidecar) setCold(g *executor.Server) {
	if g.Instance == "" {
		return
	}
	g.ColdUntil, g.ColdRate = a.server.cold.Until(), a.serviceOf(g.Service).ColdRate
}

// logCold logs that the server has become cold or warm. A server whose cold time ends without a report is logged as warm at
// the next one. The caller holds mu.
func (a *Sidecar) logCold(now time.Duration) {
	s := &a.server
	left := s.cold.Until() - now
	if cold := left > 0; cold != s.cold.logged {
		s.cold.logged = cold
		event := "server_warm"
		if cold {
			event = "server_cold"
		}
		_ = a.logger.Log("event", event, "instance", s.incarnation.Instance, "source", s.cold.Source(),
			"left_ms", max(left, 0).Milliseconds(), "heartbeat_age_ms", (now - s.lastHeartbeat).Milliseconds(),
			"rate", a.serviceOf(s.service).ColdRate)
		a.metrics.count(fmt.Sprintf(`hibiscus_server_cold_changes_total{event=%q,source=%q}`, event, s.cold.Source()))
	}
}

// suspectCold takes a server to be cold that has neither sent a heartbeat for two intervals nor answered a request since its
// last one: it may have been away, and comes back cold then. A server that goes on answering is as warm as it was.
func (a *Sidecar) suspectCold(s serverState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := timer.Now()
	if a.server.incarnation != s.incarnation || a.server.lastHeartbeat != s.lastHeartbeat || a.server.cold.silent ||
		a.executor.LastResponse() >= s.lastHeartbeat {
		return
	}
	a.server.cold.silent = true
	a.assumeCold(now, s.service, limiter.Silence)
	a.updateExecutor()
}

// registerColdMeters registers the metrics of cold servers.
func (a *Sidecar) registerColdMeters() {
	gauge := func(name string, value func(executor.ColdCounts) float64) {
		a.metrics.set.NewGauge(name, func() float64 { return value(a.executor.ColdCounts()) })
	}
	gauge("hibiscus_cold_paced_total", func(c executor.ColdCounts) float64 { return float64(c.Paced) })
	gauge("hibiscus_cold_refused_total", func(c executor.ColdCounts) float64 { return float64(c.Refused) })
	gauge("hibiscus_server_cold_seconds_total", func(c executor.ColdCounts) float64 { return c.Time.Seconds() })
}

// applyColdRate passes the rate of a new configuration to the executor. What the server said before the first configuration
// counts from then; one that has not been heard of is cold until its next heartbeat.
func (a *Sidecar) applyColdRate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server.service == "" {
		return
	}
	switch c := a.server.cold; {
	case c.Source() != limiter.NoSource:
	case c.earlyAt != 0:
		a.observeCold(c.earlyAt, c.early)
	default:
		a.assumeCold(timer.Now(), a.server.service, limiter.NewProcess)
	}
	a.updateExecutor()
}

// coldRoom is the mean offered load of the warm owners, with the keys of the cold ones, below which they have room for these.
const coldRoom = 0.7

func count(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}

// coldOwners returns the members of a service whose servers are cold, if warm ones have room.
func (a *Sidecar) coldOwners(service string) map[string]bool {
	if a.serviceOf(service).ColdRate <= 0 {
		return nil
	}
	cold, loads := a.forwarder.Cold(service), a.forwarder.Loads(service)
	own := a.executor.Load()
	cold[a.settings.Name], loads[a.settings.Name] = own.ColdFor > 0, own.Offered
	offered, warm := 0.0, 0
	for member, load := range loads {
		if !cold[member] {
			offered, warm = offered+load, warm+1
		}
	}
	all := 0
	for _, m := range a.registrar.View().ByService[service] {
		if m.State == registrar.Ready {
			all++
		}
	}
	if warm == 0 || offered/float64(warm)*float64(max(all, warm))/float64(max(all-count(cold), 1)) > coldRoom {
		return nil
	}
	return cold
}
