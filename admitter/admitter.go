package admitter

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/limiter"
)

// Admitter schedules requests onto the slots of one backend server. It is not safe for concurrent use.
type Admitter struct {
	config   Config
	slots    int
	now      time.Duration
	requests map[uint64]*request
	// queues holds one queue per configured rank, most urgent first.
	queues  []*queue
	running int
	// nestedRunning counts running nested requests. They are included in running.
	nestedRunning int
	exclusive     exclusiveState
	// fifo holds the waiting requests in order of arrival under SingleQueue.
	fifo         []*request
	actions      []Action
	unknownRanks uint64
	// serviceTime estimates the service time over all ranks.
	serviceTime estimate
	// pace limits the starts while the server is cold.
	pace *limiter.Limiter
}

// New returns an Admitter with no requests.
func New(c Config) *Admitter {
	c.QueueLimit = max(c.QueueLimit, 1)
	a := &Admitter{config: c, slots: max(c.Slots, 0), requests: map[uint64]*request{}, pace: limiter.New(c.Pace)}
	a.setRanks(c.Ranks)
	return a
}

// Step applies an event at the given time and returns the actions that the caller must carry out. A time before the
// latest one seen is treated as the latest one.
func (a *Admitter) Step(now time.Duration, e Event) []Action {
	a.actions = nil
	a.advance(now)
	switch e := e.(type) {
	case Arrive:
		a.arrive(e)
	case Finish:
		a.finish(e)
	case Cancel:
		if r, present := a.requests[e.ID]; present && !r.running {
			a.refuse(r, Cancelled)
		}
	case Tick:
		a.expire()
		a.expirePaced()
	case Resize:
		a.slots = max(e.Slots, 0)
		if a.slots == 0 {
			a.refuseAll(func(*request) bool { return true }, Draining)
		}
	case Reconfigure:
		a.setRanks(e.Ranks)
	case Pace:
		a.pace.Set(a.now, e.State)
	}
	a.dispatch()
	return a.actions
}

// MeanServiceTime returns the mean service time of recent requests over all ranks, or zero if none has finished.
func (a *Admitter) MeanServiceTime() time.Duration { return a.serviceTime.mean }

// RankMeanServiceTime returns the mean service time of recent requests of a rank, or zero if none has finished.
func (a *Admitter) RankMeanServiceTime(rank string) time.Duration {
	if q := a.queueOf(rank); q != nil {
		return q.serviceTime.mean
	}
	return 0
}

func (a *Admitter) advance(now time.Duration) {
	span := now - a.now
	if span <= 0 {
		return
	}
	a.now = now
	var longestMean time.Duration
	for _, q := range a.queues {
		longestMean = max(longestMean, q.serviceTime.mean)
	}
	for _, q := range a.queues {
		q.advance(a.now, span, a.slots, longestMean)
	}
}

func (a *Admitter) setRanks(ranks []Rank) {
	old := a.queues
	a.queues = nil
	for _, r := range ranks {
		i := slices.IndexFunc(old, func(q *queue) bool { return q.Name == r.Name })
		if i < 0 {
			a.queues = append(a.queues, &queue{Rank: r, lastEmpty: a.now})
			continue
		}
		old[i].Rank = r
		a.queues = append(a.queues, old[i])
	}
	slices.SortStableFunc(a.queues, func(x, y *queue) int { return cmp.Compare(x.Urgency, y.Urgency) })
	a.refuseAll(func(e *request) bool { return !slices.Contains(a.queues, e.queue) }, UnknownRank)
}

func (a *Admitter) queueOf(rank string) *queue {
	for _, q := range a.queues {
		if q.Name == rank {
			return q
		}
	}
	return nil
}

func (a *Admitter) arrive(e Arrive) {
	if _, present := a.requests[e.ID]; present {
		return
	}
	q := a.queueOf(e.Rank)
	if q == nil {
		a.unknownRanks++
		a.actions = append(a.actions, Refuse{ID: e.ID, Reason: UnknownRank})
		return
	}
	n := &request{Arrive: e, queue: q, arrived: a.now}
	a.requests[e.ID] = n
	q.arrivalRate += 1 / busyWindow.Seconds()
	switch {
	case a.slots == 0:
		a.refuse(n, Draining)
	case a.config.Policy == Unlimited:
		a.start(n)
	case a.config.Policy == SingleQueue:
		a.enqueueSingle(n)
	case !a.admissible(n):
		a.refuse(n, DeadlineUnreachable)
	default:
		a.enqueue(n)
	}
}

// Preview returns the refusal that a request would get if it arrived now, and whether it would be refused. Callers use
// it to skip the work that precedes the start of a request. A refusal is counted as if the request had arrived.
func (a *Admitter) Preview(now time.Duration, e Arrive) (Refuse, bool) {
	a.advance(now)
	n := &request{Arrive: e, queue: a.queueOf(e.Rank), arrived: a.now}
	refuse := Refuse{ID: e.ID}
	switch {
	case n.queue == nil:
		refuse.Reason = UnknownRank
	case a.slots == 0:
		refuse.Reason = Draining
	case a.config.Policy.ranked() && !a.admissible(n):
		refuse.Reason = DeadlineUnreachable
	default:
		return Refuse{}, false
	}
	if n.queue != nil {
		n.queue.arrivalRate += 1 / busyWindow.Seconds()
		n.queue.refused[refuse.Reason]++
	} else {
		a.unknownRanks++
	}
	refuse.RetryAfter = a.retryAfter(n, refuse.Reason)
	return refuse, true
}

// enqueue adds a request to its queue. If the queue is full, the request with the earliest deadline is refused, whether
// it is the new one or a waiting one: under overload the oldest requests are about to miss their deadlines, and running
// one of them would make a younger request miss its own. A new request without a deadline is refused only if no waiting
// request has one.
func (a *Admitter) enqueue(n *request) {
	list := a.waitListOf(n)
	if len(*list) >= a.config.QueueLimit {
		victim := n
		for _, e := range *list {
			if e.Deadline != 0 && (victim.Deadline == 0 || e.Deadline < victim.Deadline) {
				victim = e
			}
		}
		reason := QueueFull
		if !a.canMeetDeadline(victim, 0) {
			reason = DeadlineUnreachable
		}
		a.refuse(victim, reason)
		if victim == n {
			return
		}
		list = a.waitListOf(n)
	}
	*list = append(*list, n)
}

// enqueueSingle adds a request to the queue that all ranks share under SingleQueue.
func (a *Admitter) enqueueSingle(n *request) {
	if len(a.fifo) >= a.config.QueueLimit*len(a.queues) {
		a.refuse(n, QueueFull)
		return
	}
	a.fifo = append(a.fifo, n)
}

// waitListOf returns the list in which a request waits.
func (a *Admitter) waitListOf(e *request) *[]*request {
	switch {
	case a.config.Policy == SingleQueue:
		return &a.fifo
	case e.Exclusive:
		return &a.exclusive.waiting
	}
	return e.queue.waitList(e.Nested)
}

func (a *Admitter) finish(f Finish) {
	e, present := a.requests[f.ID]
	if !present || !e.running {
		return
	}
	delete(a.requests, f.ID)
	a.running--
	e.queue.running--
	e.queue.finished++
	if e.Nested {
		a.nestedRunning--
	}
	elapsed := a.now - e.started
	// An abandoned request has run for at least its elapsed time, so that time counts if it exceeds the mean. Shorter
	// ones, such as failed connections, say nothing about the service time.
	if f.Completed || elapsed > e.queue.serviceTime.mean && e.queue.serviceTime.samples > 0 {
		e.queue.serviceTime.observe(a.now, elapsed)
		a.serviceTime.observe(a.now, elapsed)
	}
	e.queue.settle(e, a.now)
	a.exclusive.finish(a.now, e)
}

func (a *Admitter) start(e *request) {
	a.remove(e)
	e.running, e.started = true, a.now
	a.running++
	benefit := a.benefitAfter(e, 0)
	e.queue.benefits[benefit]++
	e.queue.running++
	e.queue.started++
	e.queue.startRate += 1 / busyWindow.Seconds()
	if e.Nested {
		a.nestedRunning++
	}
	e.queue.charge(e)
	a.pace.Started(a.now)
	a.actions = append(a.actions, Start{ID: e.ID, Benefit: benefit})
}

func (a *Admitter) refuse(e *request, reason Reason) {
	a.remove(e)
	delete(a.requests, e.ID)
	e.queue.refused[reason]++
	a.actions = append(a.actions, Refuse{ID: e.ID, Reason: reason, RetryAfter: a.retryAfter(e, reason)})
}

func (a *Admitter) remove(e *request) {
	list := a.waitListOf(e)
	if i := slices.Index(*list, e); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// refuseAll refuses the matching waiting requests in order of their ids, so that equal inputs give equal outputs.
func (a *Admitter) refuseAll(match func(*request) bool, reason Reason) {
	var matching []*request
	for _, e := range a.requests {
		if !e.running && match(e) {
			matching = append(matching, e)
		}
	}
	slices.SortFunc(matching, func(x, y *request) int { return cmp.Compare(x.ID, y.ID) })
	for _, e := range matching {
		a.refuse(e, reason)
	}
}

// expire refuses waiting requests that can no longer finish before their deadlines.
func (a *Admitter) expire() {
	a.refuseAll(func(e *request) bool { return !a.canMeetDeadline(e, 0) }, DeadlineUnreachable)
}
