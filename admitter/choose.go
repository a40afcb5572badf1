package admitter

import (
	"math"
	"time"
)

// dispatch starts waiting requests while slots are free.
func (a *Admitter) dispatch() {
	for {
		e := a.next()
		if e == nil {
			return
		}
		if !a.canMeetDeadline(e, 0) {
			a.refuse(e, DeadlineUnreachable)
			continue
		}
		a.start(e)
		if e.Exclusive && a.config.Policy.ranked() {
			a.exclusive.current = e
		}
	}
}

// next returns the waiting request that gets the next free slot, or nil.
func (a *Admitter) next() *request {
	if a.running >= a.slots || a.exclusive.current != nil || !a.mayStart() {
		return nil
	}
	if a.config.Policy == SingleQueue {
		if len(a.fifo) == 0 {
			return nil
		}
		return a.fifo[0]
	}
	holding := a.exclusive.hold(a.now, a.running)
	if holding && a.running == 0 {
		return a.exclusive.waiting[0]
	}
	if a.nestedRunning < a.reservedSlots() || holding {
		for _, q := range a.queues {
			if len(q.nested) > 0 {
				return a.nextIn(q, q.nested)
			}
		}
	}
	if holding {
		return nil
	}
	return a.nextByRank()
}

// nextByRank returns a request of the rank with the highest credit relative to its floor, or of the most urgent rank if
// no rank has credit. Ranks of the same urgency take turns in the order in which their oldest requests arrived.
func (a *Admitter) nextByRank() *request {
	plainAllowed := a.running-a.nestedRunning < a.slots-a.reservedSlots()
	var first, owed *queue
	for _, q := range a.queues {
		if len(q.nested) == 0 && (len(q.plain) == 0 || !plainAllowed) {
			continue
		}
		if first == nil || q.Urgency == first.Urgency && a.goesBefore(q, first) {
			first = q
		}
		if q.Floor > 0 && q.credit > 0 && (owed == nil || float64(q.credit)/q.Floor > float64(owed.credit)/owed.Floor) {
			owed = q
		}
	}
	if owed != nil {
		first = owed
	}
	if first == nil {
		return nil
	}
	return a.nextOf(first)
}

// goesBefore reports whether rank x goes before rank y, which is as urgent.
func (a *Admitter) goesBefore(x, y *queue) bool {
	if a.config.Policy == LeastCost {
		return a.costlier(x, y)
	}
	return x.oldestArrival() < y.oldestArrival()
}

// nextOf returns the next request of a rank. One must be waiting.
func (a *Admitter) nextOf(q *queue) *request {
	list := q.plain
	if len(q.nested) > 0 {
		list = q.nested
	}
	return a.nextIn(q, list)
}

// nextIn returns the next request of a list of a rank.
func (a *Admitter) nextIn(q *queue, list []*request) *request {
	if a.config.Policy == LeastCost {
		return a.leastCost(q, list)
	}
	return a.oldestOrYoungest(q, list)
}

// oldestOrYoungest returns the oldest request of a list, or the youngest if the oldest may miss its deadline because it
// has waited. Under overload this gives the slots to requests that will finish in time; in first-come, first-served order
// all of them would start slightly too late. A request whose deadline was that close when it arrived keeps its turn, since
// there is always a younger one with a later deadline.
func (a *Admitter) oldestOrYoungest(q *queue, list []*request) *request {
	oldest, youngest := list[0], list[len(list)-1]
	needed := q.serviceTime.conservative()
	if oldest.Deadline == 0 || oldest.Deadline-a.now >= needed || oldest.Deadline-oldest.arrived < needed {
		return oldest
	}
	if youngest.Deadline == 0 || youngest.Deadline > oldest.Deadline {
		return youngest
	}
	return oldest
}

// reservedSlots returns the number of slots that only nested requests may use.
func (a *Admitter) reservedSlots() int {
	if a.config.NestedShare <= 0 || a.slots < 2 {
		return 0
	}
	return min(max(1, int(math.Round(a.config.NestedShare*float64(a.slots)))), a.slots-1)
}

// canMeetDeadline reports whether a request that starts after the given wait can finish before its deadline.
func (a *Admitter) canMeetDeadline(e *request, wait time.Duration) bool {
	switch {
	case e.Deadline == 0:
		return true
	case a.config.Policy == SingleQueue || a.now >= e.Deadline:
		return a.now < e.Deadline
	case a.now+wait+e.queue.serviceTime.mean <= e.Deadline:
		return true
	}
	s := e.queue.serviceTime
	stale := e.queue.running == 0 && a.now-s.updated > staleAfter
	return stale && a.now+wait < e.Deadline
}

// targetShare is the fraction of the rank's target latency that a request may be expected to take when its queue is
// standing. The rest is a margin for estimation errors: with the whole target, a fifth of the responses were late.
const targetShare = 0.8

// minWaitShare is the fraction of the rank's target latency for which a request may wait in a standing queue even if the
// service time leaves no time to wait. Without it the slots of a slow server would be idle at times.
const minWaitShare = 0.2

// allowedWait returns how long a request may be expected to wait in a standing queue: what the target leaves beside the
// service time.
func (q *queue) allowedWait() time.Duration {
	target := float64(q.Target)
	return max(time.Duration(targetShare*target)-q.serviceTime.typical(), time.Duration(minWaitShare*target))
}

// admissible reports whether a new request can finish before its deadline and, if its rank is overloaded, is expected to
// wait no longer than allowedWait. If only deadlines limited the queue of an overload, all responses would miss the target; with
// this limit, as many meet it as the slots can serve.
func (a *Admitter) admissible(e *request) bool {
	if a.paced() {
		return a.admissiblePaced(e)
	}
	wait := a.expectedWait(e)
	if e.Exclusive || e.Nested || !a.overloaded(e.queue) {
		return a.canMeetDeadline(e, wait)
	}
	return a.canMeetDeadline(e, wait) && wait <= e.queue.allowedWait()
}

// minFreeSlots is the lower bound on the slots available to a rank in wait estimates, which keeps them finite.
const minFreeSlots = 0.05

// minStartRate is the lower bound on the start rate of a standing queue in wait estimates, in starts per second.
const minStartRate = 0.5

// expectedWait estimates how long a new request waits until it starts.
func (a *Admitter) expectedWait(e *request) time.Duration {
	wait := a.slotWait(e)
	if a.paced() {
		return max(wait, a.pacedWait(e))
	}
	return wait
}

// slotWait estimates how long a new request waits for a slot: the queued work of its rank and of those that are as
// urgent or more, divided by the slots that the more urgent ranks leave free. The floor of the rank caps the estimate.
func (a *Admitter) slotWait(e *request) time.Duration {
	if e.Exclusive {
		return a.exclusive.expectedWait(a.now)
	}
	if a.config.Policy == LeastCost {
		return a.leastCostWait(e)
	}
	own := time.Duration(len(*e.queue.waitList(e.Nested))) * e.queue.serviceTime.mean
	if a.running < a.slots && own == 0 {
		return 0
	}
	if e.Nested {
		return time.Duration(float64(own) / float64(max(a.reservedSlots(), 1)))
	}
	if e.queue.standing(a.now, a.slots) {
		// The start rate measures how fast the queue drains. Queue length times mean service time is less accurate: it
		// follows only the latest requests and was off by a third, so the queue grew whenever the estimate was too low.
		return time.Duration(
			float64(len(*e.queue.waitList(e.Nested))) / max(e.queue.startRate, minStartRate) * float64(time.Second),
		)
	}
	return a.waitBehind(e.queue, own)
}

// waitBehind estimates the wait of a rank for slots behind its own work that waits and that of ranks that are as urgent or more.
func (a *Admitter) waitBehind(own *queue, work time.Duration) time.Duration {
	ahead, freeSlots := work, float64(a.slots)
	for _, q := range a.queues {
		if q == own || q.Urgency > own.Urgency {
			continue
		}
		ahead += time.Duration(q.waiting()) * q.serviceTime.mean
		if q.Urgency < own.Urgency {
			freeSlots -= q.busy
		}
	}
	wait := float64(ahead) / max(freeSlots, minFreeSlots)
	if floor := own.Floor * float64(a.slots); floor > 0 {
		wait = min(wait, float64(work)/floor)
	}
	return time.Duration(wait)
}

// Bounds of Refuse.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

func (a *Admitter) retryAfter(e *request, reason Reason) time.Duration {
	switch reason {
	case Cancelled, UnknownRank:
		return 0
	case Draining:
		return minRetryAfter
	}
	wait := max(a.expectedWait(e), minRetryAfter)
	if a.config.Policy == LeastCost {
		wait += time.Duration(float64(wait) * retrySpread * spreadOf(e.ID))
	}
	return min(wait, maxRetryAfter)
}

// LowestAdmitted returns the urgency of the least urgent rank that would now admit a request whose deadline is the
// target of the rank. If no rank would, it returns the urgency of the most urgent one, and zero if there are no ranks.
func (a *Admitter) LowestAdmitted() int {
	for i := len(a.queues) - 1; i >= 0; i-- {
		q := a.queues[i]
		e := &request{queue: q, arrived: a.now, Arrive: Arrive{Deadline: a.now + q.Target}}
		if i == 0 || len(q.plain) < a.config.QueueLimit && a.admissible(e) {
			return q.Urgency
		}
	}
	return 0
}
