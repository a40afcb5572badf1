package gatekeeper

import (
	"context"
	"slices"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/timer"
)

// arrive asks for a slot.
func (g *Executor) arrive(j *Job) (uint64, chan admitter.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.ContainsFunc(g.ranks, func(r admitter.Rank) bool { return r.Name == j.Rank }) {
		g.ranks = append(g.ranks, admitter.Rank{Name: j.Rank, Urgency: j.Priority, Target: j.LatencyTarget})
		g.step(admitter.Reconfigure{Ranks: g.ranks})
	}
	g.arrivals.note(timer.Now(), j)
	g.lastID++
	id := g.lastID
	action := make(chan admitter.Action, 1)
	g.waiting[id] = action
	g.step(admitter.Arrive{ID: id, Rank: j.Rank, Deadline: j.Deadline})
	g.tick()
	return id, action
}

// step passes an event on and hands the actions to the requests that wait for them.
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

// tick keeps checking deadlines while requests wait.
func (g *Executor) tick() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	time.AfterFunc(tickInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ticking = false
		g.step(admitter.Tick{})
		g.tick()
	})
}

// await waits for a slot. It returns the refusal if there is none.
func (g *Executor) await(ctx context.Context, j *Job, id uint64, action chan admitter.Action) (Result, bool) {
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
	return Result{Outcome: NotRun, Reason: reason, RetryAfter: max(r.RetryAfter, refuseAfter)}, true
}
