package dispatcher

import (
	"context"
	"sync"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

// admissionQueue makes an admitter.Queue usable by concurrent requests: it blocks them until they are started or refused.
type admissionQueue struct {
	mu    sync.Mutex
	queue *admitter.Queue
	// queued receives a value when a request is queued.
	queued chan struct{}
	// windowStart and finished determine the rate of completed requests over the last window.
	windowStart time.Duration
	finished    int
	rate        float64
	offered     float64
	slots       int
}

// rateWindow is the time over which the rate of completed requests is measured.
const rateWindow = time.Second

func newAdmissionQueue(c admitter.Config) *admissionQueue {
	return &admissionQueue{queue: admitter.NewQueue(c), queued: make(chan struct{}, 1), slots: c.Slots}
}

// tick makes the admitter refuse requests whose deadlines can no longer be met. It reports whether any request is
// queued.
func (q *admissionQueue) tick() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := timer.Now()
	q.queue.Step(now, admitter.Tick{})
	if span := now - q.windowStart; span >= rateWindow {
		q.rate = float64(q.finished) / span.Seconds()
		q.windowStart, q.finished = now, 0
	}
	return q.queue.Waiting() > 0
}

func (q *admissionQueue) apply(e admitter.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, ok := e.(admitter.Resize); ok {
		q.slots = r.Slots
	}
	q.queue.Step(timer.Now(), e)
}

// preview returns the refusal that a request would receive now, or nil if it would be admitted or queued.
func (q *admissionQueue) preview(a admitter.Arrive) *encoder.Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	refuse, refused := q.queue.Admitter().Preview(timer.Now(), a)
	if !refused {
		return nil
	}
	_, response := q.resultOf(a.ID, refuse)
	return response
}

// admit waits until the request may start. It returns the function that releases the slot, or the refusal.
func (q *admissionQueue) admit(ctx context.Context, a admitter.Arrive) (func(completed bool), *encoder.Response) {
	q.mu.Lock()
	id, decided := q.queue.Add(timer.Now(), a)
	if len(decided) == 0 {
		select {
		case q.queued <- struct{}{}:
		default:
		}
	}
	q.mu.Unlock()
	action, cancelled := admitter.Await(ctx, decided, func() { q.apply(admitter.Cancel{ID: id}) })
	release, refusal := q.resultOf(id, action)
	if !cancelled {
		return release, refusal
	}
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
			if completed {
				q.finished++
			}
			q.queue.Finish(timer.Now(), id, completed)
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
		Running: q.queue.Running(), Queued: q.queue.Waiting(), Slots: q.slots,
		LowestAdmitted: q.queue.Admitter().LowestAdmitted(), Rate: q.rate, Offered: q.offered,
	}
}

// Admission returns a snapshot of the admission for the state dump.
func (d *Dispatcher) Admission() any {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	return d.admission.queue.Admitter().Snapshot()
}
