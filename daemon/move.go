package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/hasher"
	"hibiscusline/leaser"
	"hibiscusline/timer"
)

const (
	// moveTimeout bounds one attempt to move ranges. The ranges are served during the attempt, except while they are
	// being released.
	moveTimeout = 10 * time.Second
	// mergeTimeout bounds the time for which requests of two ranges are held during their merge. It is short, because
	// a merge that waits for an unavailable log holds these requests.
	mergeTimeout = 500 * time.Millisecond
	// drainNoticePeriod is the time between the announcement that this process drains and the close of its listener,
	// during which callers finish with their open connections.
	drainNoticePeriod = 500 * time.Millisecond
	// stopAdmittingDelay is the time after which a leaving backend server gets no new work, even if its ranges have no
	// other owner yet because the log is down. It leaves a margin to the guaranteed 3 s.
	stopAdmittingDelay = 2 * time.Second
	// shutdownTimeout bounds the wait for requests in flight during a stop. It exceeds the longest timeout of a caller.
	shutdownTimeout = time.Minute
)

// move moves ranges of this member to another member. This process serves them until it has applied the record, so that
// a slow or unavailable log doesn't stop requests. It returns when the ranges have been released.
func (d *Daemon) move(ctx context.Context, n *incarnation, to applier.MemberID, ranges []applier.RangeEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	target, err := d.checkMove(n, to, ranges)
	if err != nil {
		return err
	}
	if err := d.offer(ctx, n, target); err != nil {
		return err
	}
	for _, r := range ranges {
		n.received.remove(r.Range)
	}
	result, err := d.commit(ctx, applier.Move{Service: n.backend.Service, From: n.id, To: to, Ranges: ranges})
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.Errorf("move was rejected: %s", result.Reason)
	}
	d.metrics.GetOrCreateCounter("hibiscus_ranges_moved_total").Add(len(ranges))
	return d.awaitReleased(ctx, n)
}

// checkMove returns the target member of a move, or an error if the ranges can't move now.
func (d *Daemon) checkMove(n *incarnation, to applier.MemberID, ranges []applier.RangeEpoch) (applier.Member, error) {
	var target applier.Member
	present := false
	pending := false
	d.state.View(func(s *applier.State) {
		if m, ok := s.Members[to]; ok {
			target, present = *m, true
		}
		for _, a := range s.Owned(n.id) {
			if a.Source != 0 || len(a.Lineage) > 0 && !n.hasFetched(a.Epoch) {
				pending = pending || containsRange(ranges, a.Range)
			}
			if n.dispatcher.TakeOverWaitEnd(a.Epoch) > timer.Now() {
				// The next owner would not wait for requests that may still be running on the lost owner's server.
				pending = pending || containsRange(ranges, a.Range)
			}
		}
	})
	switch {
	case !present:
		return target, errors.Errorf("member %s is not present", to)
	case target.Service != n.backend.Service:
		return target, errors.Errorf("member %s serves %s, not %s", to, target.Service, n.backend.Service)
	case pending:
		return target, errors.New("a range changed its owner a moment ago and is not settled yet")
	}
	return target, nil
}

func containsRange(ranges []applier.RangeEpoch, r hasher.Range) bool {
	return slices.ContainsFunc(ranges, func(e applier.RangeEpoch) bool { return e.Range == r })
}

// resign ends an incarnation whose backend server is leaving: it moves its ranges to other members and leaves. A later
// announcement makes the process join as a new member.
func (d *Daemon) resign(n *incarnation, reason string) {
	d.resignAfter(n, reason, func(context.Context) { time.AfterFunc(stopAdmittingDelay, n.dispatcher.StopAdmitting) })
}

// abandonBackend resigns for a backend server that doesn't respond. A fenced server rejects the requests that it
// accepted earlier once the range has a newer epoch. The ranges of a server that isn't fenced move only after the
// deadlines of all accepted requests have passed.
func (d *Daemon) abandonBackend(n *incarnation, reason string) {
	d.resignAfter(n, reason, func(ctx context.Context) {
		n.dispatcher.AbandonBackend()
		if n.backend.Fenced || !n.dispatcher.BackendReachable() {
			return
		}
		var wait time.Duration
		d.state.View(func(s *applier.State) { wait = s.Configuration.Services[n.backend.Service].MaxRequestTime.Value() })
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	})
}

func (d *Daemon) resignAfter(n *incarnation, reason string, prepare func(context.Context)) {
	if n.leaving.Swap(true) {
		return
	}
	d.mu.Lock()
	d.resigning = true
	d.mu.Unlock()
	d.log("state", "resigning", "member", n.id, "reason", reason)
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		prepare(ctx)
		if err := d.leave(ctx, n); err != nil {
			d.log("state", "resignation failed", "member", n.id, "err", err)
		}
		d.mu.Lock()
		if d.current == n {
			d.current = nil
		}
		d.resigning = false
		d.mu.Unlock()
	})
}

// leave hands over all ranges of an incarnation and removes it from the state.
func (d *Daemon) leave(ctx context.Context, n *incarnation) error {
	n.leaving.Store(true)
	d.perform(n, n.step(leaser.Stopping{}))
	if _, err := d.commit(ctx, applier.Drain{Member: n.id}); err != nil {
		return err
	}
	if err := d.handOver(ctx, n); err != nil {
		return err
	}
	if err := n.dispatcher.Close(ctx); err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	if err := d.awaitReleased(ctx, n); err != nil {
		return errors.Wrap(err, "wait for the release of moved ranges")
	}
	d.awaitReplacement(ctx, n)
	d.perform(n, n.step(leaser.Leaving{}))
	result, err := d.commit(ctx, applier.Leave{Member: n.id})
	if err != nil {
		return err
	}
	if !result.Accepted && !n.removed.Load() {
		return errors.Errorf("leave was rejected: %s", result.Reason)
	}
	d.log("state", "left", "member", n.id)
	return nil
}

// handOver moves all ranges to other members, with one move per target. A target to which a move failed is avoided in
// the next attempt. It returns when no range is left, or when no member can take the remaining ranges.
func (d *Daemon) handOver(ctx context.Context, n *incarnation) error {
	const retry = 100 * time.Millisecond
	var avoid []applier.MemberID
	for {
		var groups []balancer.MoveRanges
		d.state.View(func(s *applier.State) { groups = balancer.Evacuate(s, n.id, avoid...) })
		if len(groups) == 0 {
			if len(d.ownedRanges(n)) > 0 {
				d.log("state", "no member can take the ranges", "member", n.id)
			}
			return nil
		}
		if avoid = d.moveAll(ctx, n, groups); len(avoid) == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retry):
		}
	}
}

// moveAll executes moves at the same time and returns the targets of those that failed.
func (d *Daemon) moveAll(ctx context.Context, n *incarnation, groups []balancer.MoveRanges) (failed []applier.MemberID) {
	errs := make([]error, len(groups))
	var moves sync.WaitGroup
	for i, g := range groups {
		moves.Go(func() { errs[i] = d.move(ctx, n, g.Move.To, g.Move.Ranges) })
	}
	moves.Wait()
	for i, err := range errs {
		if err != nil {
			failed = append(failed, groups[i].Move.To)
			d.log("state", "move failed", "member", n.id, "to", groups[i].Move.To, "err", err)
		}
	}
	return failed
}

func (d *Daemon) ownedRanges(n *incarnation) []applier.RangeEpoch {
	var owned []applier.RangeEpoch
	d.state.View(func(s *applier.State) {
		for _, a := range s.Owned(n.id) {
			owned = append(owned, applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch})
		}
	})
	return owned
}

// awaitReplacement waits until no member uses this one as its guardian, for maxWait at most.
func (d *Daemon) awaitReplacement(ctx context.Context, n *incarnation) {
	const maxWait = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		changed := d.state.Changed()
		guarding := false
		d.state.View(func(s *applier.State) {
			for _, m := range s.Members {
				guarding = guarding || m.GuardedBy(n.id)
			}
		})
		if !guarding {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// stop ends the process gracefully.
func (d *Daemon) stop(s *servers) error {
	d.draining.Store(true)
	d.log("state", "draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.config.Settings.DrainTimeout)
	defer cancel()
	var leaveErr error
	if n := d.incarnation(); n != nil {
		leaveErr = d.leave(ctx, n)
	}
	time.Sleep(drainNoticePeriod)
	// Requests in flight get a separate timeout, because an unavailable log may use up the time for leaving.
	ctx, cancelFinish := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelFinish()
	// Shutdown would close connections whose first request has not been read yet.
	s.callerListener.Drain()
	s.callerConnections.waitIdle(ctx)
	shutdownErr := s.callers.Shutdown(ctx)
	for _, server := range []interface{ Shutdown(context.Context) error }{s.local, s.admin} {
		if err := server.Shutdown(ctx); err != nil && shutdownErr == nil {
			shutdownErr = err
		}
	}
	if leaveErr != nil {
		return errors.Wrap(leaveErr, "leave")
	}
	return errors.Wrap(shutdownErr, "finish requests in flight")
}
