package admitter

import (
	"cmp"
	"slices"
	"time"
)

// Admitter gives the slots of one backend server to requests. It is not safe for concurrent use.
type Admitter struct {
	config  Config
	slots   int
	now     time.Duration
	entries map[uint64]*entry
	// queues holds the ranks in force, most urgent first.
	queues  []*queue
	running int
	// nestedRunning counts running nested requests; they are also part of running.
	nestedRunning int
	alone         aloneState
	// arrivals is the order of arrival under SingleQueue.
	arrivals []*entry
	actions  []Action
	unknown  uint64
	// service is the service time over all ranks.
	service estimate
}

// New returns an Admitter without requests.
func New(c Config) *Admitter {
	c.QueueLimit = max(c.QueueLimit, 1)
	a := &Admitter{config: c, slots: max(c.Slots, 0), entries: map[uint64]*entry{}}
	a.setRanks(c.Ranks)
	return a
}

// Step applies an event at a time and returns what the caller has to do. Times must not descend; an earlier time is taken
// as the latest one seen.
func (a *Admitter) Step(now time.Duration, e Event) []Action {
	a.actions = nil
	a.advance(now)
	switch e := e.(type) {
	case Arrive:
		a.arrive(e)
	case Finish:
		a.finish(e)
	case Cancel:
		if waiting, present := a.entries[e.ID]; present && !waiting.running {
			a.refuse(waiting, Cancelled)
		}
	case Tick:
		a.expire()
	case Resize:
		a.slots = max(e.Slots, 0)
		if a.slots == 0 {
			a.refuseAll(func(*entry) bool { return true }, Draining)
		}
	case Reconfigure:
		a.setRanks(e.Ranks)
	}
	a.dispatch()
	return a.actions
}

// MeanServiceTime returns the mean service time of recent requests over all ranks, or zero if none has finished.
func (a *Admitter) MeanServiceTime() time.Duration { return a.service.mean }

// RankMeanServiceTime returns the mean service time of recent requests of a rank, or zero if none has finished.
func (a *Admitter) RankMeanServiceTime(rank string) time.Duration {
	if q := a.queueOf(rank); q != nil {
		return q.service.mean
	}
	return 0
}

func (a *Admitter) advance(now time.Duration) {
	span := now - a.now
	if span <= 0 {
		return
	}
	a.now = now
	var longest time.Duration
	for _, q := range a.queues {
		longest = max(longest, q.service.mean)
	}
	for _, q := range a.queues {
		q.advance(a.now, span, a.slots, longest)
	}
}

func (a *Admitter) setRanks(ranks []Rank) {
	old := a.queues
	a.queues = nil
	for _, r := range ranks {
		i := slices.IndexFunc(old, func(q *queue) bool { return q.Name == r.Name })
		if i < 0 {
			a.queues = append(a.queues, &queue{Rank: r, emptied: a.now})
			continue
		}
		old[i].Rank = r
		a.queues = append(a.queues, old[i])
	}
	slices.SortStableFunc(a.queues, func(x, y *queue) int { return cmp.Compare(x.Urgency, y.Urgency) })
	a.refuseAll(func(e *entry) bool { return !slices.Contains(a.queues, e.queue) }, UnknownRank)
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
	if _, present := a.entries[e.ID]; present {
		return
	}
	q := a.queueOf(e.Rank)
	if q == nil {
		a.unknown++
		a.actions = append(a.actions, Refuse{ID: e.ID, Reason: UnknownRank})
		return
	}
	n := &entry{Arrive: e, queue: q}
	a.entries[e.ID] = n
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

// Preview returns the refusal that a request would get if it arrived now, if it would get one. It lets the caller save the
// work that has to be done before a request may start.
func (a *Admitter) Preview(now time.Duration, e Arrive) (Refuse, bool) {
	a.advance(now)
	n := &entry{Arrive: e, queue: a.queueOf(e.Rank)}
	refuse := Refuse{ID: e.ID}
	switch {
	case n.queue == nil:
		refuse.Reason = UnknownRank
	case a.slots == 0:
		refuse.Reason = Draining
	case a.config.Policy == Ranked && !a.admissible(n):
		refuse.Reason = DeadlineUnreachable
	default:
		return Refuse{}, false
	}
	if n.queue != nil {
		n.queue.refused[refuse.Reason]++
	} else {
		a.unknown++
	}
	refuse.RetryAfter = a.retryAfter(n, refuse.Reason)
	return refuse, true
}

// enqueue adds a request to its queue. When the queue is full, the request with the least time left is refused, be it the
// new one or one that waits: in an overload the oldest are the ones that will miss their deadlines, and each of them that
// still ran would make a younger one miss its own. Work without deadline gives way to none that waits.
func (a *Admitter) enqueue(n *entry) {
	list := a.listOf(n)
	if len(*list) >= a.config.QueueLimit {
		victim := n
		for _, e := range *list {
			if e.Deadline != 0 && (victim.Deadline == 0 || e.Deadline < victim.Deadline) {
				victim = e
			}
		}
		reason := QueueFull
		if !a.reachable(victim, 0) {
			reason = DeadlineUnreachable
		}
		a.refuse(victim, reason)
		if victim == n {
			return
		}
		list = a.listOf(n)
	}
	*list = append(*list, n)
}

func (a *Admitter) enqueueSingle(n *entry) {
	if len(a.arrivals) >= a.config.QueueLimit*len(a.queues) {
		a.refuse(n, QueueFull)
		return
	}
	a.arrivals = append(a.arrivals, n)
}

// listOf returns the list in which a request waits.
func (a *Admitter) listOf(e *entry) *[]*entry {
	switch {
	case a.config.Policy == SingleQueue:
		return &a.arrivals
	case e.Exclusive:
		return &a.alone.waiting
	}
	return e.queue.list(e.Nested)
}

func (a *Admitter) finish(f Finish) {
	e, present := a.entries[f.ID]
	if !present || !e.running {
		return
	}
	delete(a.entries, f.ID)
	a.running--
	e.queue.running--
	e.queue.finished++
	if e.Nested {
		a.nestedRunning--
	}
	elapsed := a.now - e.started
	// An abandoned request ran for at least its elapsed time; shorter ones, such as failed connections, tell nothing.
	if f.Completed || elapsed > e.queue.service.mean && e.queue.service.samples > 0 {
		e.queue.service.observe(a.now, elapsed)
		a.service.observe(a.now, elapsed)
	}
	e.queue.settle(e, a.now)
	a.alone.finish(a.now, e)
}

func (a *Admitter) start(e *entry) {
	a.remove(e)
	e.running, e.started = true, a.now
	a.running++
	e.queue.running++
	e.queue.started++
	e.queue.startRate += 1 / busyWindow.Seconds()
	if e.Nested {
		a.nestedRunning++
	}
	e.queue.charge(e)
	a.actions = append(a.actions, Start{ID: e.ID})
}

func (a *Admitter) refuse(e *entry, reason Reason) {
	a.remove(e)
	delete(a.entries, e.ID)
	e.queue.refused[reason]++
	a.actions = append(a.actions, Refuse{ID: e.ID, Reason: reason, RetryAfter: a.retryAfter(e, reason)})
}

func (a *Admitter) remove(e *entry) {
	list := a.listOf(e)
	if i := slices.Index(*list, e); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// refuseAll refuses the waiting requests that match, in order of id so that equal inputs give equal outputs.
func (a *Admitter) refuseAll(match func(*entry) bool, reason Reason) {
	var matching []*entry
	for _, e := range a.entries {
		if !e.running && match(e) {
			matching = append(matching, e)
		}
	}
	slices.SortFunc(matching, func(x, y *entry) int { return cmp.Compare(x.ID, y.ID) })
	for _, e := range matching {
		a.refuse(e, reason)
	}
}

// expire refuses waiting requests that can no longer finish in time.
func (a *Admitter) expire() {
	a.refuseAll(func(e *entry) bool { return !a.reachable(e, 0) }, DeadlineUnreachable)
}
