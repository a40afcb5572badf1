package dispatcher

import (
	"context"
	"sync"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

// admissionQueue makes an admitter.Admitter usable by concurrent requests: it blocks them until the admitter starts or
// refuses them.
type admissionQueue struct {
	mu       sync.Mutex
	admitter *admitter.Admitter
	nextID   uint64
	waiting  map[uint64]chan admitter.Action
	// queued receives a value when a request is queued.
	queued chan struct{}
	// windowStart and finished determine the rate of completed requests over the last window.
	windowStart time.Duration
	finished    int
	rate        float64
	offered     float64
	slots       int
	running     int
}

// rateWindow is the time over which the rate of completed requests is measured.
const rateWindow = time.Second

func newAdmissionQueue(c admitter.Config) *admissionQueue {
	return &admissionQueue{admitter: admitter.New(c), waiting: map[uint64]chan admitter.Action{}, queued: make(chan struct{}, 1), slots: c.Slots}
}

// step passes an event to the admitter and wakes the requests that the resulting actions concern. The lock must be
// held.
func (q *admissionQueue) step(e admitter.Event) {
	for _, action := range q.admitter.Step(timer.Now(), e) {
		var id uint64
		switch a := action.(type) {
		case admitter.Start:
			id = a.ID
			q.running++
		case admitter.Refuse:
			id = a.ID
		}
		if ch, present := q.waiting[id]; present {
			ch <- action
			delete(q.waiting, id)
		}
	}
}

// tick makes the admitter refuse requests whose deadlines can no longer be met. It reports whether any request is
// queued.
func (q *admissionQueue) tick() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(admitter.Tick{})
	now := timer.Now()
	if span := now - q.windowStart; span >= rateWindow {
		q.rate = float64(q.finished) / span.Seconds()
		q.windowStart, q.finished = now, 0
	}
	return len(q.waiting) > 0
}

func (q *admissionQueue) apply(e admitter.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, ok := e.(admitter.Resize); ok {
		q.slots = r.Slots
	}
	q.step(e)
}

// preview returns the refusal that a request would receive now, or nil if it would be admitted or queued.
func (q *admissionQueue) preview(a admitter.Arrive) *encoder.Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	refuse, refused := q.admitter.Preview(timer.Now(), a)
	if !refused {
		return nil
	}
	_, response := q.resultOf(a.ID, refuse)
	return response
}

// admit waits until the request may start. It returns the function that releases the slot, or the refusal.
func (q *admissionQueue) admit(ctx context.Context, a admitter.Arrive) (func(completed bool), *encoder.Response) {
	q.mu.Lock()
	q.nextID++
	a.ID = q.nextID
	decided := make(chan admitter.Action, 1)
	q.waiting[a.ID] = decided
	q.step(a)
	if _, waits := q.waiting[a.ID]; waits {
		select {
		case q.queued <- struct{}{}:
		default:
		}
	}
	q.mu.Unlock()
	select {
	case action := <-decided:
		return q.resultOf(a.ID, action)
	case <-ctx.Done():
	}
	q.mu.Lock()
	q.step(admitter.Cancel{ID: a.ID})
	q.mu.Unlock()
	release, refusal := q.resultOf(a.ID, <-decided)
	if refusal == nil {
		release(false)
		refusal = &encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Cancelled}
	}
	return nil, refusal
}

// resultOf converts the decision on a request to the function that releases its slot, or to the refusal.
func (q *admissionQueue) resultOf(id uint64, action admitter.Action) (func(bool), *encoder.Response) {
	if refuse, refused := action.(admitter.Refuse); refused {
		return nil, &encoder.Response{
			Outcome: encoder.NotRun, Reason: reasonOf(refuse.Reason), RetryAfter: refuse.RetryAfter,
		}
	}
	var once sync.Once
	return func(completed bool) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.running--
			if completed {
				q.finished++
			}
			q.step(admitter.Finish{ID: id, Completed: completed})
		})
	}, nil
}

func reasonOf(r admitter.Reason) encoder.Reason {
	switch r {
	case admitter.QueueFull, admitter.DeadlineUnreachable:
		return encoder.Overloaded
	case admitter.Draining:
		return encoder.BackendLost
	case admitter.UnknownRank:
		return encoder.NotReady
	}
	return encoder.Cancelled
}

// load returns the load of the backend server for responses and lease messages.
func (q *admissionQueue) load() encoder.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return encoder.Load{
		Running: q.running, Queued: len(q.waiting), Slots: q.slots,
		LowestAdmitted: q.admitter.LowestAdmitted(), Rate: q.rate, Offered: q.offered,
	}
}

// Admission returns a snapshot of the admission for the state dump.
func (d *Dispatcher) Admission() any {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	return d.admission.admitter.Snapshot()
}
