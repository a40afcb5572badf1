package executor

import (
	"net/http"
	"time"

	"hibiscusline/platform"
)

// slownessLifetime is the age at which a server's report of its slowness no longer counts. Reports change many times a second.
const slownessLifetime = 400 * time.Millisecond

// reportedSlowness is the newest report of the slowness of a server.
type reportedSlowness struct {
	slowness   float64
	reportedAt time.Duration
	instance   string
}

// noteSlowness stores what a response of a server says of its slowness.
func (g *Executor) noteSlowness(now time.Duration, s Server, h http.Header) {
	l, found := platform.DecodeLoad(h)
	if !found || l.Slowness == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowness = reportedSlowness{slowness: l.Slowness, reportedAt: now, instance: s.Instance}
}

// at returns the slowness of an instance, or zero if it is unknown or the report is too old.
func (r reportedSlowness) at(now time.Duration, instance string) float64 {
	if r.instance != instance || now-r.reportedAt >= slownessLifetime {
		return 0
	}
	return r.slowness
}
