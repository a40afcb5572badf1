package executor

import (
	"context"
	"slices"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/timer"
)

// enqueue queues a job for a slot, or for all slots if it must run alone. The returned channel receives the decision.
func (g *Executor) enqueue(j *Job, alone bool) (uint64, <-chan admitter.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	if !slices.ContainsFunc(g.ranks, func(r admitter.Rank) bool { return r.Name == j.Rank }) {
		g.ranks = append(g.ranks, admitter.Rank{Name: j.Rank, Urgency: j.Priority, Target: j.LatencyTarget})
		g.queue.Step(now, admitter.Reconfigure{Ranks: g.ranks})
	}
	g.arrivals.record(now, j)
	id, decided := g.queue.Add(now, admitter.Arrive{Rank: j.Rank, Deadline: j.Deadline, Exclusive: alone})
	g.scheduleTick()
	return id, decided
}

// scheduleTick checks deadlines periodically while requests wait. The caller holds mu.
func (g *Executor) scheduleTick() {
	if g.tickScheduled || g.queue.Waiting() == 0 {
		return
	}
	g.tickScheduled = true
	time.AfterFunc(tickInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tickScheduled = false
		g.queue.Step(timer.Now(), admitter.Tick{})
		g.scheduleTick()
	})
}

// awaitSlot waits for a slot. It returns the refusal and true if the request gets none.
func (g *Executor) awaitSlot(ctx context.Context, j *Job, id uint64, decided <-chan admitter.Action) (Result, bool) {
	start := timer.Now()
	action, cancelled := admitter.Await(ctx, decided, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Step(timer.Now(), admitter.Cancel{ID: id})
	})
	g.config.OnDecision(decisionOf(j, action, timer.Now()-start))
	r, refused := refusal(action)
	if !cancelled {
		return r, refused
	}
	if !refused {
		g.finish(id, false)
	}
	return Result{Outcome: NotRun, Reason: CallerDisconnected}, true
}

// Decision is the decision on a job that asked for a slot.
type Decision struct {
	Rank   string
	Waited time.Duration
	// Started means that the job got a slot. Benefit is then what its response was expected to be worth, and otherwise Reason
	// is the cause of the refusal.
	Started bool
	Benefit admitter.Benefit
	Reason  admitter.Reason
}

func decisionOf(j *Job, a admitter.Action, waited time.Duration) Decision {
	d := Decision{Rank: j.Rank, Waited: waited}
	switch a := a.(type) {
	case admitter.Start:
		d.Started, d.Benefit = true, a.Benefit
	case admitter.Refuse:
		d.Reason = a.Reason
	}
	return d
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
