package executor

import (
	"context"
	"slices"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/timer"
)

// enqueue queues a job for a slot. The returned channel receives the decision.
func (g *Executor) enqueue(j *Job) (uint64, chan admitter.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.ContainsFunc(g.ranks, func(r admitter.Rank) bool { return r.Name == j.Rank }) {
		g.ranks = append(g.ranks, admitter.Rank{Name: j.Rank, Urgency: j.Priority, Target: j.LatencyTarget})
		g.step(admitter.Reconfigure{Ranks: g.ranks})
	}
	g.arrivals.record(timer.Now(), j)
	g.lastID++
	id := g.lastID
	action := make(chan admitter.Action, 1)
	g.waiting[id] = action
	g.step(admitter.Arrive{ID: id, Rank: j.Rank, Deadline: j.Deadline})
	g.scheduleTick()
	return id, action
}

// step applies an event to the admitter and delivers the resulting actions to the waiting requests. The caller holds
// mu.
func (g *Executor) step(e admitter.Event) {
	for _, a := range g.admitter.Step(timer.Now(), e) {
		var id uint64
		switch a := a.(type) {
		case admitter.Start:
			id = a.ID
			g.running++
		case admitter.Refuse:
			id = a.ID
		}
		if ch, found := g.waiting[id]; found {
			delete(g.waiting, id)
			ch <- a
		}
	}
}

// scheduleTick checks deadlines periodically while requests wait. The caller holds mu.
func (g *Executor) scheduleTick() {
	if g.tickScheduled || len(g.waiting) == 0 {
		return
	}
	g.tickScheduled = true
	time.AfterFunc(tickInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tickScheduled = false
		g.step(admitter.Tick{})
		g.scheduleTick()
	})
}

// awaitSlot waits for a slot. It returns the refusal and true if the request gets none.
func (g *Executor) awaitSlot(ctx context.Context, j *Job, id uint64, action chan admitter.Action) (Result, bool) {
	select {
	case a := <-action:
		return refusal(a)
	default:
	}
	select {
	case a := <-action:
		return refusal(a)
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.step(admitter.Cancel{ID: id})
	g.mu.Unlock()
	if _, refused := refusal(<-action); !refused {
		g.finish(id, false)
	}
	return Result{Outcome: NotRun, Reason: CallerDisconnected}, true
}

func refusal(a admitter.Action) (Result, bool) {
	r, refused := a.(admitter.Refuse)
	if !refused {
		return Result{}, false
	}
	reason := Overloaded
	switch r.Reason {
	case admitter.DeadlineUnreachable:
		reason = DeadlineTooClose
	case admitter.Draining:
		reason = Draining
	case admitter.QueueFull, admitter.Cancelled, admitter.UnknownRank:
	}
	return Result{Outcome: NotRun, Reason: reason, RetryAfter: max(r.RetryAfter, defaultRetryAfter)}, true
}
