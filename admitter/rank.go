package admitter

import (
	"math"
	"time"
)

// busyWindow is the time constant of the moving averages of busy slots and of starts. It spans a few service times.
const busyWindow = time.Second

// queue is the state of one rank. The queue of a removed rank exists until its running requests have finished.
type queue struct {
	Rank
	serviceTime estimate
	nested      []*request
	// plain holds the waiting requests that are neither nested nor exclusive.
	plain   []*request
	running int
	// credit is the slot time that the rank is owed. A start charges the expected service time; the end of the request
	// corrects the charge to the actual time.
	credit time.Duration
	// busy is the moving average of the number of running requests.
	busy float64
	// startRate is the moving average of the number of starts per second.
	startRate float64
	// arrivalRate is the moving average of the number of arrivals per second.
	arrivalRate float64
	// lastEmpty is the latest time at which no request of the rank was waiting.
	lastEmpty time.Duration
	started   uint64
	// benefits counts the starts by their expected benefit.
	benefits [benefitCount]uint64
	refused  [reasonCount]uint64
	finished uint64
}

// request is a waiting or running request.
type request struct {
	Arrive
	queue   *queue
	arrived time.Duration
	running bool
	started time.Duration
	// charged is the expected service time when the request started, which settle replaces by the actual one.
	charged time.Duration
}

func (q *queue) waiting() int { return len(q.nested) + len(q.plain) }

// oldestArrival returns the time at which the oldest waiting request arrived. One must be waiting.
func (q *queue) oldestArrival() time.Duration {
	switch {
	case len(q.nested) == 0:
		return q.plain[0].arrived
	case len(q.plain) == 0:
		return q.nested[0].arrived
	}
	return min(q.nested[0].arrived, q.plain[0].arrived)
}

// waitList returns the list in which a request of the rank waits.
func (q *queue) waitList(nested bool) *[]*request {
	if nested {
		return &q.nested
	}
	return &q.plain
}

// advance updates averages and credit for an elapsed span of time. A rank without waiting requests accumulates no
// credit, so that it cannot claim slots for a time in which it needed none; it only pays back a negative balance.
// longestMean is the longest mean service time of all ranks.
func (q *queue) advance(now, span time.Duration, slots int, longestMean time.Duration) {
	if q.waiting() == 0 {
		q.lastEmpty = now
	}
	decay := math.Exp(-float64(span) / float64(busyWindow))
	q.busy = q.busy*decay + float64(q.running)*(1-decay)
	q.startRate *= decay
	q.arrivalRate *= decay
	if q.Floor <= 0 {
		q.credit = 0
		return
	}
	q.credit += time.Duration(q.Floor * float64(slots) * float64(span))
	if q.waiting() == 0 {
		q.credit = min(q.credit, 0)
		return
	}
	// While long requests of other ranks occupy all slots, the credit must be able to cover their whole service time.
	bound := 2*q.serviceTime.mean + time.Duration(2*q.Floor*float64(slots)*float64(longestMean+time.Second))
	q.credit = min(q.credit, bound)
}

// standingAfter is how long a queue must be non-empty to count as standing. It exceeds the waits that bursts cause at
// loads below the capacity.
const standingAfter = 500 * time.Millisecond

// minFloorUse is the fraction of its floor that a rank must use for its queue to count as standing.
const minFloorUse = 0.95

// standing reports whether the rank has a persistent queue because more work arrives than it can have done. In that
// state each request that waits longer than the target makes all later ones miss the target too. A rank without a target
// never counts as standing. Neither does a rank that uses less than its floor: its queue comes from uneven arrivals, and
// it is entitled to all the slots it asks for.
func (q *queue) standing(now time.Duration, slots int) bool {
	return now-q.lastEmpty >= standingAfter && q.Target > 0 && q.busy >= minFloorUse*q.Floor*float64(slots)
}

// charge deducts the expected slot time of a starting request. The balance is not charged below minus one service time,
// so that a rank is not held back later for having used capacity that no other rank wanted.
func (q *queue) charge(e *request) {
	e.charged = q.serviceTime.mean
	q.credit = max(q.credit-e.charged, min(q.credit, -q.serviceTime.mean))
}

// settle replaces the charge of a finished request by its actual slot time.
func (q *queue) settle(e *request, now time.Duration) {
	lowest := min(q.credit, -4*q.serviceTime.mean)
	q.credit = max(q.credit-(now-e.started-e.charged), lowest)
}

// Parameters of service time estimates.
const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 1.0 / 16
	// conservativeDeviations is how many deviations a conservative estimate lies above the mean.
	conservativeDeviations = 2
	// staleAfter is the age of the latest sample after which one request may run despite the estimate. Otherwise a rank
	// whose estimate once exceeded its deadlines would be refused forever.
	staleAfter = time.Second
)

// estimate is a moving average of service times and of their mean absolute deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	// updated is the time of the latest sample.
	updated time.Duration
	samples uint64
}

func (e *estimate) observe(now, sample time.Duration) {
	e.updated = now
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	difference := sample - e.mean
	e.mean += time.Duration(sampleWeight * float64(difference))
	e.deviation += time.Duration(sampleWeight * (math.Abs(float64(difference)) - float64(e.deviation)))
}

// typical returns a service time that most requests do not exceed.
func (e *estimate) typical() time.Duration { return e.mean + e.deviation }

// conservative returns a service time that few requests exceed.
func (e *estimate) conservative() time.Duration { return e.mean + conservativeDeviations*e.deviation }
