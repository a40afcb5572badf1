package forwarder

import (
	"time"

	"hibiscusline/executor"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// coldServers holds, by member, what is known of the servers that are cold. It is not safe for concurrent use.
type coldServers map[string]coldServer

// coldServer is a cold server, as its member reported it with the latest result.
type coldServer struct {
	until, reportedAt time.Duration
	// room is the number of requests that this entry may send the server at the time countedAt.
	room      float64
	countedAt time.Duration
	// share is the part of the rate of the server, per second, that the entry credits itself since then, and burst the most
	// that it saves up.
	share, burst float64
	// refused is the latest refusal for want of room, which counts for requests of the priority and less urgent ones.
	refused  refusal
	priority int
}

const (
	// maxColdRefusal bounds how long a member isn't asked again after its cold server had no room, unless it reports room
	// before. More urgent requests may have left, and the rate of the server is shared with other entries.
	maxColdRefusal = 500 * time.Millisecond
	// coldBurst is the span of the rate of a cold server that an entry sends it at once.
	coldBurst = 100 * time.Millisecond
)

// refusedCold reports whether a result is a refusal because the server is cold and can't start the request in time.
func refusedCold(r executor.Result) bool {
	return r.Outcome == executor.NotRun && !r.Reached && r.Load.ColdFor > 0 &&
		(r.Reason == executor.Overloaded || r.Reason == executor.DeadlineTooClose)
}

// record stores what a result says of the server of a member.
func (c coldServers) record(member string, now time.Duration, priority int, r executor.Result) {
	if r.Load.Slots == 0 {
		return
	}
	if r.Load.ColdFor <= 0 {
		delete(c, member)
		return
	}
	s := c[member]
	s.until, s.reportedAt, s.room, s.countedAt = now+r.Load.ColdFor, now, r.Load.ColdRoom, now
	if s.room >= 1 {
		s.refused = refusal{}
	}
	if refusedCold(r) && (now >= s.refused.until || priority <= s.priority) {
		s.refused = refusal{
			until: now + min(r.RetryAfter, maxColdRefusal), retryAt: now + r.RetryAfter, reason: executor.Overloaded,
		}
		s.priority = priority
	}
	c[member] = s
}

// lookUp returns the refusal that applies to a further request of a priority, if there is one.
func (c coldServers) lookUp(member string, now time.Duration, priority int) (refusal, bool) {
	s := c[member]
	return s.refused, now < s.until && now < s.refused.until && priority >= s.priority
}

// send records that a request is sent to a member.
func (c coldServers) send(member string, now time.Duration) {
	if s, known := c[member]; known {
		s.room, s.countedAt = s.roomAt(now)-1, now
		c[member] = s
	}
}

// roomAt returns the number of requests that the entry may send the server now.
func (s coldServer) roomAt(now time.Duration) float64 {
	return min(s.room+s.share*(now-s.countedAt).Seconds(), max(s.burst, s.room))
}

// coldWait estimates how long a request waits at the member for the rate of its cold server, or zero. An entry credits itself
// its share of the rate since the report. A server that started and hasn't reported yet is taken to be cold.
func (p *forwardedRequest) coldWait(now time.Duration, m registrar.Member, entries int) time.Duration {
	service := p.match.Service
	if service.ColdRate <= 0 {
		return 0
	}
	if m.Name == p.forwarder.config.Member && p.forwarder.config.Local != nil {
		l := p.forwarder.config.Local.Load()
		return min(waitForRoom(l.ColdRoom, service.ColdRate), l.ColdFor)
	}
	s, known := p.service.cold[m.Name]
	since := p.service.ages[m.Name].since
	heard := p.service.loads[m.Name].reportedAt > since
	switch {
	case known && now >= s.until:
		delete(p.service.cold, m.Name)
		return 0
	case known && s.reportedAt >= since:
	case !heard && now-since < service.ColdTime:
		s = coldServer{until: since + service.ColdTime, reportedAt: since, countedAt: since}
	default:
		return 0
	}
	s.share, s.burst = service.ColdRate/float64(max(entries, 1)), max(service.ColdRate*coldBurst.Seconds(), 1)
	p.service.cold[m.Name] = s
	return min(waitForRoom(s.roomAt(now), service.ColdRate), s.until-now)
}

// waitForRoom returns the time until there is room for a request at a rate per second.
func waitForRoom(room, rate float64) time.Duration {
	return max(time.Duration((1-room)/rate*float64(time.Second)), 0)
}

// Cold returns the members of a service whose servers are cold, by their latest reports.
func (f *Forwarder) Cold(name string) map[string]bool {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := map[string]bool{}
	for member, c := range s.cold {
		if timer.Now() < c.until {
			cold[member] = true
		}
	}
	return cold
}
