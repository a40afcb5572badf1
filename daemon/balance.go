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

// maxHotKeys is the number of most frequent keys whose request rates are passed to the planner.
const maxHotKeys = 16

// rangeBalancer tracks the load of the ranges of one incarnation and plans moves, splits and merges.
type rangeBalancer struct {
	mu      sync.Mutex
	sketch  *balancer.Sketch
	planner *balancer.Planner
	// busy means that earlier proposals are still being executed.
	busy bool
}

func newRangeBalancer(static bool) *rangeBalancer {
	return &rangeBalancer{
		sketch:  balancer.NewSketch(timer.Now(), balancer.SketchConfig{}),
		planner: balancer.NewPlanner(balancer.PlannerConfig{Static: static}),
	}
}

func (r *rangeBalancer) observe(p hasher.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sketch.Observe(p)
}

// tickBalance runs the balancer of this member periodically.
func (d *Daemon) tickBalance(ctx context.Context) {
	const interval = time.Second
	every(ctx, interval, func() {
		if n := d.incarnation(); n != nil && !n.leaving.Load() && !d.draining.Load() {
			d.balance(n)
		}
	})
}

// balance runs the planner once and executes its proposals in the background.
func (d *Daemon) balance(n *incarnation) {
	members := map[applier.MemberID]balancer.MemberLoad{}
	for id, l := range d.loadReports() {
		members[id] = balancer.MemberLoad{Rate: l.load.Offered, Age: time.Since(l.at)}
	}
	now := timer.Now()
	if now >= n.ValidUntil() {
		return
	}
	owned := []hasher.Range{}
	for _, r := range d.ownedRanges(n) {
		owned = append(owned, r.Range)
	}
	r := n.rangeBalancer
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sketch.Advance(now)
	r.sketch.SetRanges(owned)
	loads := r.sketch.Loads(maxHotKeys)
	n.dispatcher.SetOffered(loads.Rate())
	if r.busy {
		return
	}
	loads.Members = members
	var proposals []balancer.Proposal
	evacuated := false
	d.state.View(func(s *applier.State) {
		proposals = r.planner.Plan(now, s, n.id, loads)
		_, evacuated = s.Evacuated(d.config.Settings.Zone)
	})
	if len(proposals) == 0 {
		return
	}
	r.busy = true
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		if evacuated {
			d.evacuate(ctx, n, proposals)
		} else {
			d.executeProposals(ctx, n, proposals)
		}
		r.mu.Lock()
		r.busy = false
		r.mu.Unlock()
	})
}

// executeProposals executes moves, splits and merges in sequence. The planner proposes again what has failed.
func (d *Daemon) executeProposals(ctx context.Context, n *incarnation, proposals []balancer.Proposal) {
	d.ownershipMu.Lock()
	defer d.ownershipMu.Unlock()
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

// evacuate moves the ranges of this member out of its evacuated zone, to all targets at the same time, so that it ends
// before the grace of the evacuation. The next run of the balancer repeats what has failed.
func (d *Daemon) evacuate(ctx context.Context, n *incarnation, proposals []balancer.Proposal) {
	d.ownershipMu.Lock()
	defer d.ownershipMu.Unlock()
	if n.leaving.Load() {
		return
	}
	var moves []balancer.MoveRanges
	for _, proposal := range proposals {
		if m, isMove := proposal.(balancer.MoveRanges); isMove {
			moves = append(moves, m)
		}
	}
	failed := d.moveAll(ctx, n, moves)
	d.metrics.GetOrCreateCounter("hibiscus_balance_errors_total").Add(len(failed))
}

// merge merges two adjacent ranges of this member. No request of either range runs during the merge: a backend server
// may reject a request that started with the lower of the two epochs.
func (d *Daemon) merge(ctx context.Context, n *incarnation, m applier.Merge) error {
	ctx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	resume, err := n.dispatcher.Pause(ctx, []hasher.Range{m.Lower.Range, m.Upper.Range})
	if err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	defer resume()
	_, err = d.commit(ctx, m)
	return err
}
