package forwarder

import (
	"time"

	"hibiscusline/assigner"
	"hibiscusline/balancer"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
)

// serverAges holds, by member, since when its server is known, so that a server that has started gets its share of requests
// little by little. It is not safe for concurrent use.
type serverAges map[string]knownServer

// knownServer is a server and the time at which it was first seen.
type knownServer struct {
	incarnation assigner.Incarnation
	since       time.Duration
}

// observe records the servers of the members of a service. Those that are known from the start, and were not seen to start, count
// as warm.
func (a serverAges) observe(now time.Duration, members []registrar.Member) {
	since := now
	if len(a) == 0 {
		since -= balancer.DefaultRampUp
	}
	for _, m := range members {
		if a[m.Name].incarnation != m.Incarnation {
			a[m.Name] = knownServer{incarnation: m.Incarnation, since: since}
		}
	}
}

// of returns the age of the server of a member.
func (a serverAges) of(now time.Duration, member string) time.Duration { return now - a[member].since }

// restoredRampUp is the time over which the servers of a service with a cold rate get their share of requests again after an
// evacuation. What reaches them while they are cold is bounded by that rate.
const restoredRampUp = 2 * time.Second

// ageSinceRestore returns the age at which a server counts whose availability zone was evacuated until a time ago.
func ageSinceRestore(since time.Duration, s matcher.Service) time.Duration {
	if s.ColdRate > 0 {
		return since * (balancer.DefaultRampUp / restoredRampUp)
	}
	return since
}
