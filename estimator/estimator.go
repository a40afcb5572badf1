package estimator

import (
	"math"
	"time"
)

const (
	// reportLifetime is the age at which a report no longer counts.
	reportLifetime = 500 * time.Millisecond
	// recoveryTime is the time constant with which the estimate follows reports that say that a server is faster than before.
	// Reports that say that it is slower count at once.
	recoveryTime = 200 * time.Millisecond
	// usualTime is the time constant of the average of the reports.
	usualTime = 5 * time.Second
	// slowerTime and fasterTime are the time constants of the average of the service times while it rises and falls.
	slowerTime = time.Second
	fasterTime = 4 * time.Second
	// maxGap bounds the time for which one report or service time counts in the averages.
	maxGap = time.Second
	// minRatio and maxRatio bound how far the estimate differs from the measured mean because of a report.
	minRatio = 0.5
	maxRatio = 4
	// expiry is the time without a report after which a server is forgotten.
	expiry = time.Minute
)

// Report is what the process beside a server says of it.
type Report struct {
	// ServiceTime is the average time that the server took for a request, or zero if it is unknown.
	ServiceTime time.Duration
	// Slowness is how long work takes at present, as a multiple of the usual time, or zero if the server doesn't say.
	Slowness float64
}

// Estimator holds what is known of the servers of one service, by the names of their members.
type Estimator struct {
	servers   map[string]*server
	cleanedAt time.Duration
}

// server is what is known of one server.
type server struct {
	// told means that the server has said how slow it is.
	told bool
	// measured is the average of the service times as of measuredAt, in seconds, and observed that of the response times that
	// were seen by this process.
	measured, observed     float64
	measuredAt, observedAt time.Duration
	// usual is the geometric mean of the reported slowness, in which a wrong usual value loses its weight at the same speed whether it
	// is too large or too small, and ratio the quotient of the latest report and it, both as of toldAt.
	usual, ratio float64
	toldAt       time.Duration
	lastSeen     time.Duration
}

// NewEstimator returns an Estimator that knows no server.
func NewEstimator() *Estimator { return &Estimator{servers: map[string]*server{}} }

// Report records what was reported of a server.
func (e *Estimator) Report(now time.Duration, name string, r Report) {
	s := e.server(now, name)
	if r.ServiceTime > 0 {
		s.measured = follow(s.measured, r.ServiceTime.Seconds(), now-s.measuredAt)
		s.measuredAt = now
	}
	if r.Slowness > 0 {
		s.tell(now, r.Slowness)
	}
}

// Observe records the response time of a request that a server answered. It counts as long as no service time is known.
func (e *Estimator) Observe(now time.Duration, name string, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	s := e.server(now, name)
	s.observed = follow(s.observed, elapsed.Seconds(), now-s.observedAt)
	s.observedAt = now
}

// Expected returns how long a request is expected to run at a server that is started on it now, or zero if the server has never
// said how slow it is or nothing was measured.
func (e *Estimator) Expected(now time.Duration, name string) time.Duration {
	s, known := e.servers[name]
	if !known || !s.told {
		return 0
	}
	mean := s.measured
	if mean == 0 {
		mean = s.observed
	}
	return time.Duration(mean * s.ratioAt(now) * float64(time.Second))
}

func (e *Estimator) server(now time.Duration, name string) *server {
	if now-e.cleanedAt >= expiry {
		e.cleanedAt = now
		for n, s := range e.servers {
			if now-s.lastSeen >= expiry {
				delete(e.servers, n)
			}
		}
	}
	s, known := e.servers[name]
	if !known {
		s = &server{usual: 1, ratio: 1}
		e.servers[name] = s
	}
	s.lastSeen = now
	return s
}

// tell records the server's own report.
func (s *server) tell(now time.Duration, slowness float64) {
	before, gap := s.ratioAt(now), maxGap
	if s.told {
		gap = now - s.toldAt
	}
	ratio := min(max(slowness/s.usual, minRatio), maxRatio)
	if ratio < before {
		ratio = before + (ratio-before)*share(gap, recoveryTime)
	}
	s.usual *= math.Pow(slowness/s.usual, share(gap, usualTime))
	s.told, s.ratio, s.toldAt = true, ratio, now
}

// ratioAt returns the ratio of the present to the usual slowness, which fades to one.
func (s *server) ratioAt(now time.Duration) float64 {
	left := 1 - float64(now-s.toldAt)/float64(reportLifetime)
	return 1 + (s.ratio-1)*min(max(left, 0), 1)
}

// follow moves an average towards a value, faster upwards than downwards. An average of zero is unknown.
func follow(average, value float64, gap time.Duration) float64 {
	switch {
	case average == 0:
		return value
	case value > average:
		return average + (value-average)*share(gap, slowerTime)
	}
	return average + (value-average)*share(gap, fasterTime)
}

// share is the part of the way to a new value that an average goes within a time.
func share(gap, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(min(max(gap, 0), maxGap))/float64(constant))
}
