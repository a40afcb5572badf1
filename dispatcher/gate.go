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

const rateWindow = time.Second

func newAdmissionQueue(c admitter.Config) *admissionQueue {
	return &admissionQueue{admitter: admitter.New(c), waiting: map[uint64]chan admitter.Action{}, queued: make(chan struct{}, 1), slots: c.Slots}
}

// step passes an event to the admitter and wakes the requests that the resulting actions concern. The lock must be
// held.
func (g *admissionQueue) step(e admitter.Event) {
	for _, action := range g.admitter.Step(timer.Now(), e) {
		var id uint64
		switch a := action.(type) {
		case admitter.Start:
			id = a.ID
			g.running++
		case admitter.Refuse:
			id = a.ID
		}
		if ch, present := g.waiting[id]; present {
			ch <- action
			delete(g.waiting, id)
		}
	}
}

// tick makes the admitter refuse requests whose deadlines can no longer be met. It reports whether any request is
// queued.
func (g *admissionQueue) tick() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(admitter.Tick{})
	now := timer.Now()
	if span := now - g.windowStart; span >= rateWindow {
		g.rate = float64(g.finished) / span.Seconds()
		g.windowStart, g.finished = now, 0
	}
	return len(g.waiting) > 0
}

func (g *admissionQueue) apply(e admitter.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := e.(admitter.Resize); ok {
		g.slots = r.Slots
	}
	g.step(e)
}

// preview returns the refusal that a request would receive now, or nil if it would be admitted or queued.
func (g *admissionQueue) preview(a admitter.Arrive) *encoder.Response {
	g.mu.Lock()
	defer g.mu.Unlock()
	refuse, refused := g.admitter.Preview(timer.Now(), a)
	if !refused {
		return nil
	}
	_, response := g.resultOf(a.ID, refuse)
	return response
}

// admit waits until the request may start. It returns the function that releases the slot, or the refusal.
func (g *admissionQueue) admit(ctx context.Context, a admitter.Arrive) (func(completed bool), *encoder.Response) {
	g.mu.Lock()
	g.nextID++
	a.ID = g.nextID
	decided := make(chan admitter.Action, 1)
	g.waiting[a.ID] = decided
	g.step(a)
	if _, waits := g.waiting[a.ID]; waits {
		select {
		case g.queued <- struct{}{}:
		default:
		}
	}
	g.mu.Unlock()
	select {
	case action := <-decided:
		return g.resultOf(a.ID, action)
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.step(admitter.Cancel{ID: a.ID})
	g.mu.Unlock()
	release, refusal := g.resultOf(a.ID, <-decided)
	if refusal == nil {
		release(false)
		refusal = &encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Cancelled}
	}
	return nil, refusal
}

func (g *admissionQueue) resultOf(id uint64, action admitter.Action) (func(bool), *encoder.Response) {
	if refuse, refused := action.(admitter.Refuse); refused {
		return nil, &encoder.Response{
			Outcome: encoder.NotRun, Reason: reasonOf(refuse.Reason), RetryAfter: refuse.RetryAfter,
		}
	}
	var once sync.Once
	return func(completed bool) {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.running--
			if completed {
				g.finished++
			}
			g.step(admitter.Finish{ID: id, Completed: completed})
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
func (g *admissionQueue) load() encoder.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return encoder.Load{
		Running: g.running, Queued: len(g.waiting), Slots: g.slots,
		LowestAdmitted: g.admitter.LowestAdmitted(), Rate: g.rate, Offered: g.offered,
	}
}

// Admission returns a snapshot of the admission for the state dump.
func (d *Dispatcher) Admission() any {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	return d.admission.admitter.Snapshot()
}
