package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/hasher"
	"hibiscusline/timer"
)

// hotKeys is the number of keys of which the planner is told the rate.
const hotKeys = 16

// ranges tracks the load of the ranges of one incarnation and plans their moves.
type ranges struct {
	mu      sync.Mutex
	sketch  *balancer.Sketch
	planner *balancer.Planner
	// busy means that earlier proposals are being carried out.
	busy bool
}

func newRanges(static bool) *ranges {
	return &ranges{
		sketch:  balancer.NewSketch(timer.Now(), balancer.SketchConfig{}),
		planner: balancer.NewPlanner(balancer.PlannerConfig{Static: static}),
	}
}

func (r *ranges) observe(p hasher.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sketch.Observe(p)
}

// tickBalance lets this member plan moves of its ranges.
func (d *Daemon) tickBalance(ctx context.Context) {
	const interval = time.Second
	every(ctx, interval, func() {
		if n := d.incarnation(); n != nil && !n.leaving.Load() && !d.draining.Load() {
			d.balance(n)
		}
	})
}

// balance plans once and carries the proposals out in the background.
func (d *Daemon) balance(n *incarnation) {
	members := map[applier.MemberID]balancer.MemberLoad{}
	for id, l := range d.reports() {
		members[id] = balancer.MemberLoad{Rate: l.load.Rate, Age: time.Since(l.at)}
	}
	now := timer.Now()
	if now >= n.ValidUntil() {
		return
	}
	owned := []hasher.Range{}
	for _, r := range d.ownedRanges(n) {
		owned = append(owned, r.Range)
	}
	r := n.ranges
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sketch.SetRanges(owned)
	r.sketch.Advance(now)
	if r.busy {
		return
	}
	loads := r.sketch.Loads(hotKeys)
	loads.Members = members
	var proposals []balancer.Proposal
	d.state.View(func(s *applier.State) { proposals = r.planner.Plan(now, s, n.id, loads) })
	if len(proposals) == 0 {
		return
	}
	r.busy = true
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		d.carryOut(ctx, n, proposals)
		r.mu.Lock()
		r.busy = false
		r.mu.Unlock()
	})
}

// carryOut performs moves and splits one after another. The planner plans what fails anew.
func (d *Daemon) carryOut(ctx context.Context, n *incarnation, proposals []balancer.Proposal) {
	d.changing.Lock()
	defer d.changing.Unlock()
	for _, proposal := range proposals {
		if n.leaving.Load() {
			return
		}
		var err error
		switch p := proposal.(type) {
		case balancer.MoveRanges:
			err = d.move(ctx, n, p.Move.To, p.Move.Ranges)
		case balancer.SplitRange:
			_, err = d.commit(ctx, p.Split)
		case balancer.MergeRanges:
			err = d.merge(ctx, n, p.Merge)
		}
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_balance_errors_total").Inc()
			d.log("state", "balancing failed", "member", n.id, "err", err)
		}
	}
}

// merge joins two ranges of this member. No request of them runs meanwhile: a backend server may reject one that started
// with the lower of the two epochs.
func (d *Daemon) merge(ctx context.Context, n *incarnation, m applier.Merge) error {
	ctx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	resume, err := n.dispatcher.Hold(ctx, []hasher.Range{m.Lower.Range, m.Upper.Range})
	if err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	defer resume()
	_, err = d.commit(ctx, m)
	return err
}
