package admitter

import (
	"context"
	"time"
)

// Queue delivers the decisions of an Admitter to the requests that wait for them. Like the Admitter it is not safe for
// concurrent use; only the channels that Add returns are.
type Queue struct {
	admitter *Admitter
	waiting  map[uint64]chan Action
	lastID   uint64
	running  int
}

// NewQueue returns a Queue without requests.
func NewQueue(c Config) *Queue {
	return &Queue{admitter: New(c), waiting: map[uint64]chan Action{}}
}

// Admitter returns the Admitter. Events must be passed to Step instead.
func (q *Queue) Admitter() *Admitter { return q.admitter }

// Waiting returns the number of requests without a decision.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that were started and have not finished.
func (q *Queue) Running() int { return q.running }

// Step applies an event and delivers the resulting decisions.
func (q *Queue) Step(now time.Duration, e Event) {
	for _, action := range q.admitter.Step(now, e) {
		var id uint64
		switch a := action.(type) {
		case Start:
			id = a.ID
			q.running++
		case Refuse:
			id = a.ID
		}
		if decided, present := q.waiting[id]; present {
			delete(q.waiting, id)
			decided <- action
		}
	}
}

// Add applies the arrival of a request under a new id. The channel receives the decision.
func (q *Queue) Add(now time.Duration, a Arrive) (id uint64, decided <-chan Action) {
	q.lastID++
	a.ID = q.lastID
	channel := make(chan Action, 1)
	q.waiting[a.ID] = channel
	q.Step(now, a)
	return a.ID, channel
}

// Finish applies the end of a started request.
func (q *Queue) Finish(now time.Duration, id uint64, completed bool) {
	q.running--
	q.Step(now, Finish{ID: id, Completed: completed})
}

// Await waits for the decision on a request. If the context ends first, it calls cancel, which must apply Cancel to the
// request, and reports that. The request may have been started nevertheless.
func Await(ctx context.Context, decided <-chan Action, cancel func()) (a Action, cancelled bool) {
	// A decision that is there goes before the end of the context.
	select {
	case a = <-decided:
		return a, false
	default:
	}
	select {
	case a = <-decided:
		return a, false
	case <-ctx.Done():
	}
	cancel()
	return <-decided, true
}
