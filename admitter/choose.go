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
		if !a.reachable(e, 0) {
			a.refuse(e, DeadlineUnreachable)
			continue
		}
		a.start(e)
		if e.Exclusive && a.config.Policy == Ranked {
			a.alone.current = e
		}
	}
}

// next returns the waiting request that gets the next slot, or nil.
func (a *Admitter) next() *entry {
	if a.running >= a.slots || a.alone.current != nil {
		return nil
	}
	if a.config.Policy == SingleQueue {
		if len(a.arrivals) == 0 {
			return nil
		}
		return a.arrivals[0]
	}
	holding := a.alone.hold(a.now, a.running)
	if holding && a.running == 0 {
		return a.alone.waiting[0]
	}
	if a.nestedRunning < a.reserved() || holding {
		for _, q := range a.queues {
			if len(q.nested) > 0 {
				return a.candidate(q, q.nested)
			}
		}
	}
	if holding {
		return nil
	}
	return a.byRank()
}

// byRank returns a request of the rank that is owed the most, or else of the most urgent rank.
func (a *Admitter) byRank() *entry {
	plain := a.running-a.nestedRunning < a.slots-a.reserved()
	var first, owed *queue
	for _, q := range a.queues {
		if len(q.nested) == 0 && (len(q.plain) == 0 || !plain) {
			continue
		}
		if first == nil {
			first = q
		}
		if q.Floor > 0 && q.credit > 0 && (owed == nil || float64(q.credit)/q.Floor > float64(owed.credit)/owed.Floor) {
			owed = q
		}
	}
	if owed != nil {
		first = owed
	}
	switch {
	case first == nil:
		return nil
	case len(first.nested) > 0:
		return a.candidate(first, first.nested)
	}
	return a.candidate(first, first.plain)
}

// candidate returns the oldest request of a list, or the youngest when the oldest may not finish in time. In an overload
// this keeps the slots on requests that will finish in time; in first-come order all would start just too late.
func (a *Admitter) candidate(q *queue, list []*entry) *entry {
	oldest, youngest := list[0], list[len(list)-1]
	if oldest.Deadline == 0 || oldest.Deadline-a.now >= q.service.safe() {
		return oldest
	}
	if youngest.Deadline == 0 || youngest.Deadline > oldest.Deadline {
		return youngest
	}
	return oldest
}

// reserved is the number of slots that only nested requests may use.
func (a *Admitter) reserved() int {
	if a.config.NestedShare <= 0 || a.slots < 2 {
		return 0
	}
	return min(max(1, int(math.Round(a.config.NestedShare*float64(a.slots)))), a.slots-1)
}

// reachable reports whether a request that starts after a wait can finish before its deadline.
func (a *Admitter) reachable(e *entry, wait time.Duration) bool {
	switch {
	case e.Deadline == 0:
		return true
	case a.config.Policy == SingleQueue || a.now >= e.Deadline:
		return a.now < e.Deadline
	case a.now+wait+e.queue.service.mean <= e.Deadline:
		return true
	}
	s := e.queue.service
	stale := e.queue.running == 0 && a.now-s.updated > staleAfter
	return stale && a.now+wait < e.Deadline
}

// targetShare is the part of the target that a standing queue may use up. The rest is for errors of the estimates: with
// the whole target a fifth of the answers came too late.
const targetShare = 0.8

// admissible reports whether a new request can finish before its deadline, and within its rank's target if the queue
// stands. A standing queue that is only bounded by deadlines gives late answers to all instead of timely ones to as many
// as there are slots for.
func (a *Admitter) admissible(e *entry) bool {
	wait := a.expectedWait(e)
	if e.Exclusive || e.Nested || !e.queue.standing(a.now, a.slots) {
		return a.reachable(e, wait)
	}
	return a.reachable(e, wait) && wait+e.queue.service.usual() <= time.Duration(targetShare*float64(e.queue.Target))
}

// leastShare is the number of slots that a rank is taken to have at least, so that expected waits stay finite.
const leastShare = 0.05

// leastRate is the number of starts per second that a standing queue is taken to have at least.
const leastRate = 0.5

// expectedWait estimates the time that a new request waits for a slot: the queued work of its rank and of more urgent
// ranks, divided by the slots that those ranks leave, but at most what the rank's floor gives it.
func (a *Admitter) expectedWait(e *entry) time.Duration {
	if e.Exclusive {
		return a.alone.expectedWait(a.now)
	}
	own := time.Duration(len(*e.queue.list(e.Nested))) * e.queue.service.mean
	if a.running < a.slots && own == 0 {
		return 0
	}
	if e.Nested {
		return time.Duration(float64(own) / float64(max(a.reserved(), 1)))
	}
	if e.queue.standing(a.now, a.slots) {
		// Starts tell how fast the queue moves. The mean service time times the length of the queue is less certain: it
		// follows the latest few requests and was off by a third, so the queue grew whenever it was too low.
		return time.Duration(float64(len(*e.queue.list(e.Nested))) / max(e.queue.startRate, leastRate) * float64(time.Second))
	}
	ahead, left := own, float64(a.slots)
	for _, q := range a.queues {
		if q == e.queue {
			break
		}
		ahead += time.Duration(q.waiting()) * q.service.mean
		left -= q.busy
	}
	wait := float64(ahead) / max(left, leastShare)
	if floor := e.queue.Floor * float64(a.slots); floor > 0 {
		wait = min(wait, float64(own)/floor)
	}
	return time.Duration(wait)
}

// Bounds of the advice on when to try again.
const (
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 10 * time.Second
)

func (a *Admitter) retryAfter(e *entry, reason Reason) time.Duration {
	switch reason {
	case Cancelled, UnknownRank:
		return 0
	case Draining:
		return leastRetryAfter
	}
	return min(max(a.expectedWait(e), leastRetryAfter), mostRetryAfter)
}

// LowestAdmitted returns the urgency of the least urgent rank of which a request with the rank's target as its deadline
// would be admitted now. When no rank would be admitted, it returns the urgency of the most urgent one. Without ranks it
// returns zero.
func (a *Admitter) LowestAdmitted() int {
	for i := len(a.queues) - 1; i >= 0; i-- {
		q := a.queues[i]
		e := &entry{queue: q, Arrive: Arrive{Deadline: a.now + q.Target}}
		if i == 0 || len(q.plain) < a.config.QueueLimit && a.admissible(e) {
			return q.Urgency
		}
	}
	return 0
}
