package admitter

import (
	"math"
	"slices"
	"time"

	"hibiscusline/limiter"
)

// Pace reports that the server is cold until a time and tolerates a number of starts per second until then. Without a
// rate, starts aren't paced.
type Pace struct{ limiter.State }

func (Pace) event() {}

const (
	// minPacedShare is the lower bound, as a share of the rate of a cold server, on what the more urgent ranks leave to a
	// rank in wait estimates.
	minPacedShare = 0.1
	// minPacedStarts is the number of starts for which a request may wait at a cold server even if its target leaves less
	// time. Without it a server with a low rate would get too few requests.
	minPacedStarts = 2
)

// paced reports whether the starts of requests are paced.
func (a *Admitter) paced() bool {
	return a.config.Policy.ranked() && a.pace.Cold(a.now) > 0
}

// mayStart reports whether the pace allows a start now.
func (a *Admitter) mayStart() bool {
	return !a.config.Policy.ranked() || a.pace.Allows(a.now)
}

// pacedWait estimates how long a new request waits until a cold server may be sent it: the requests that start before it,
// at the part of the rate that the more urgent ranks leave.
func (a *Admitter) pacedWait(e *request) time.Duration {
	rate := a.pace.Rate()
	lowest := rate * minPacedShare
	ahead := len(a.exclusive.waiting)
	for _, q := range a.queues {
		if q.Urgency <= e.queue.Urgency {
			ahead += q.waiting()
		}
		if q.Urgency < e.queue.Urgency {
			rate -= q.startRate
		}
	}
	return a.pace.Wait(a.now, float64(ahead), math.Max(rate, lowest))
}

// admissiblePaced reports whether a new request can start in time at a cold server. A request that waits longer than its
// target allows would delay all later ones, since the rate can't rise.
func (a *Admitter) admissiblePaced(e *request) bool {
	wait := a.pacedWait(e)
	if !a.canMeetDeadline(e, max(wait, a.slotWait(e))) {
		return false
	}
	allowed := time.Duration(minPacedStarts / a.pace.Rate() * float64(time.Second))
	return e.queue.Target <= 0 || wait <= max(e.queue.allowedWait(), allowed)
}

// expirePaced refuses the waiting requests that a cold server can't be sent in time, the least urgent and the latest first.
func (a *Admitter) expirePaced() {
	if !a.paced() {
		return
	}
	ahead := len(a.exclusive.waiting)
	for _, q := range a.queues {
		for _, e := range slices.Concat(q.nested, q.plain) {
			if a.canMeetDeadline(e, a.pace.Wait(a.now, float64(ahead), a.pace.Rate())) {
				ahead++
				continue
			}
			a.refuse(e, DeadlineUnreachable)
		}
	}
}

// Room returns the number of requests that a cold server may be sent now beyond those that wait for it, and how much longer
// it is cold. The room is negative while requests wait for the pace.
func (a *Admitter) Room(now time.Duration) (room float64, cold time.Duration) {
	cold = a.pace.Cold(now)
	if cold == 0 {
		return 0, 0
	}
	waiting := len(a.exclusive.waiting)
	for _, q := range a.queues {
		waiting += q.waiting()
	}
	return a.pace.Room(now) - float64(waiting), cold
}
