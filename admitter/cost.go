package admitter

import (
	"math"
	"time"
)

// Benefit is what the response to a request is expected to be worth to its caller if the request starts at a given time.
type Benefit uint8

// Benefits, the greatest first.
const (
	Full     Benefit = iota // full
	Doubtful                // doubtful
	Late                    // late
	Lost                    // lost
	benefitCount
)

// benefitAfter returns the benefit of a request that starts after a wait. It is full if few requests of the rank take longer
// than what is then left of the target, and doubtful if about half of them do. A request without a target or without a
// deadline keeps its full benefit, so that it is served in order of arrival and can't wait for ever.
func (a *Admitter) benefitAfter(e *request, wait time.Duration) Benefit {
	s, start := e.queue.serviceTime, a.now+wait
	switch {
	case e.Deadline == 0 || e.queue.Target <= 0:
		return Full
	case start+s.conservative() <= e.fullUntil():
		return Full
	case start+s.mean <= e.fullUntil():
		return Doubtful
	case a.canMeetDeadline(e, wait):
		return Late
	}
	return Lost
}

// fullUntil returns the time until which a response has its full benefit.
func (e *request) fullUntil() time.Duration { return min(e.arrived+e.queue.Target, e.Deadline) }

// slack returns how long a request may wait without losing its full benefit.
func (a *Admitter) slack(e *request) time.Duration {
	return e.fullUntil() - a.now - e.queue.serviceTime.conservative()
}

// leastCost returns the request of a list, oldest first, that costs most if it is delayed. Requests of one rank need equal
// work. Of those that may still meet the target it is the oldest, which has the least slack. If there are none, it is the
// oldest as long as all can be served, and otherwise the youngest, which is the likeliest to finish before its deadline.
func (a *Admitter) leastCost(q *queue, list []*request) *request {
	for _, e := range list {
		if a.benefitAfter(e, 0) <= Doubtful {
			return e
		}
	}
	if a.crowded(q) {
		return list[len(list)-1]
	}
	return list[0]
}

// overloaded reports whether a rank gets more work than it can have done: its queue is standing, or the latest arrivals need
// more than all slots. The arrivals show it before the queue does, so that a burst isn't queued first and refused later.
func (a *Admitter) overloaded(q *queue) bool {
	if q.standing(a.now, a.slots) {
		return true
	}
	belowFloor := q.busy < minFloorUse*q.Floor*float64(a.slots)
	return a.config.Policy == LeastCost && q.Target > 0 && !belowFloor &&
		q.arrivalRate*q.serviceTime.mean.Seconds() > float64(a.slots)
}

// crowded reports whether the requests that wait ahead of a rank or in it need more slot time than its target leaves.
func (a *Admitter) crowded(q *queue) bool {
	return q.Target > 0 && a.backlog(q.Urgency) > q.allowedWait()
}

// backlog returns how long all slots need for the waiting requests of an urgency and of more urgent ranks.
func (a *Admitter) backlog(urgency int) time.Duration {
	var work time.Duration
	for _, q := range a.queues {
		if q.Urgency <= urgency {
			work += time.Duration(q.waiting()) * q.serviceTime.mean
		}
	}
	return work / time.Duration(max(a.slots, 1))
}

// fairPart is the part of another rank's served share below which a rank of the same urgency goes first.
const fairPart = 0.5

// servedShare returns the share of the requests that arrived lately that were started.
func (q *queue) servedShare() float64 {
	if q.arrivalRate <= 0 {
		return 0
	}
	return q.startRate / q.arrivalRate
}

// costlier reports whether delaying the next request of rank x costs more than delaying that of y, a rank of the same urgency.
// A rank of which too small a share is served goes first, and then nested requests, since their parents hold slots. As long as
// all requests can be served, the least slack decides, otherwise the benefit for the expected work.
func (a *Admitter) costlier(x, y *queue) bool {
	switch s, t := x.servedShare(), y.servedShare(); {
	case s < fairPart*t:
		return true
	case t < fairPart*s:
		return false
	}
	if (len(x.nested) > 0) != (len(y.nested) > 0) {
		return len(x.nested) > 0
	}
	first, second := a.nextOf(x), a.nextOf(y)
	if b, c := a.benefitAfter(first, 0), a.benefitAfter(second, 0); b != c {
		return b < c
	}
	if (a.crowded(x) || a.crowded(y)) && x.serviceTime.mean != y.serviceTime.mean {
		return x.serviceTime.mean < y.serviceTime.mean
	}
	return a.slack(first) < a.slack(second)
}

// leastCostWait estimates how long a new request waits: for the calls and the more urgent requests that wait, and for those of
// its rank that lose nothing by being served first.
func (a *Admitter) leastCostWait(e *request) time.Duration {
	q := e.queue
	if e.Nested {
		return a.nestedWait(q)
	}
	ahead := 0
	for _, w := range q.plain {
		if a.benefitAfter(w, 0) <= Doubtful {
			ahead++
		}
	}
	if ahead == 0 && len(q.nested) == 0 && a.running < a.slots {
		return 0
	}
	if q.standing(a.now, a.slots) {
		return time.Duration(float64(ahead+len(q.nested)) / max(q.startRate, minStartRate) * float64(time.Second))
	}
	return a.waitBehind(q, time.Duration(ahead+len(q.nested))*q.serviceTime.mean)
}

// nestedWait estimates how long a new nested request waits. Of its own urgency only nested requests are ahead of it.
func (a *Admitter) nestedWait(q *queue) time.Duration {
	if a.running < a.slots && len(q.nested) == 0 {
		return 0
	}
	var ahead time.Duration
	free := float64(a.slots)
	for _, o := range a.queues {
		switch {
		case o.Urgency < q.Urgency:
			ahead += time.Duration(o.waiting()) * o.serviceTime.mean
			free -= o.busy
		case o.Urgency == q.Urgency:
			ahead += time.Duration(len(o.nested)) * o.serviceTime.mean
		}
	}
	return time.Duration(float64(ahead) / max(free, float64(max(a.reservedSlots(), 1))))
}

// retrySpread is the share of the expected wait over which the returns of refused callers are spread.
const retrySpread = 0.5

// spreadOf maps consecutive ids to evenly spread values from 0 to 1.
func spreadOf(id uint64) float64 {
	const inverseGoldenRatio = 0.6180339887498949
	_, fraction := math.Modf(float64(id%(1<<20)) * inverseGoldenRatio)
	return fraction
}
