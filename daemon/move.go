package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
	"hibiscusline/leaser"
	"hibiscusline/timer"
)

const (
	// moveTimeout bounds one attempt to move ranges. Requests for them wait at their entries meanwhile.
	moveTimeout = 10 * time.Second
	// transferTimeout bounds one message of a transfer, which the target's guardians acknowledge too.
	transferTimeout = 2 * time.Second
	// leavePause is the time between the notice that this process drains and the close of its listener, in which
	// callers finish with their open connections.
	leavePause = 500 * time.Millisecond
	// leaveLimit is the time after which a leaving backend server gets no new work, although its ranges have no other owner
	// yet because the log is down. It leaves room within the 3 s that are promised.
	leaveLimit = 2 * time.Second
	// finishTimeout bounds the wait for requests in flight at a stop. It exceeds the longest timeout of a caller.
	finishTimeout = time.Minute
)

// move gives ranges of this member to another one. No request of the ranges runs while they change hands.
func (d *Daemon) move(ctx context.Context, n *incarnation, to applier.MemberID, ranges []applier.RangeEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	var target applier.Member
	present := false
	pending := false
	d.state.View(func(s *applier.State) {
		if m, ok := s.Members[to]; ok {
			target, present = *m, true
		}
		for _, a := range s.Owned(n.id) {
			if _, fetched := n.fetched.Load(a.Epoch); len(a.Lineage) > 0 && !fetched {
				pending = pending || containsRange(ranges, a.Range)
			}
			if n.dispatcher.WithheldUntil(a.Epoch) > timer.Now() {
				// The next owner would not wait for requests that may still run on the lost owner's server.
				pending = pending || containsRange(ranges, a.Range)
			}
		}
	})
	if !present {
		return errors.Errorf("member %s is not present", to)
	}
	if target.Service != n.server.Service {
		return errors.Errorf("member %s serves %s, not %s", to, target.Service, n.server.Service)
	}
	if pending {
		return errors.New("a range was taken over a moment ago and is not settled yet")
	}
	plain := make([]hasher.Range, len(ranges))
	for i, r := range ranges {
		plain[i] = r.Range
	}
	resume, err := n.dispatcher.Hold(ctx, plain)
	if err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	defer resume()
	if err := d.transfer(ctx, n, target, ranges); err != nil {
		return err
	}
	// The record may take effect long after its append got no answer. Until this process knows what became of it, the
	// ranges are not served here; a bound on this wait would let the next owner serve them at the same time.
	decided, cancelDecided := d.background()
	defer cancelDecided()
	result, err := d.commit(decided, applier.Move{Service: n.server.Service, From: n.id, To: to, Ranges: ranges})
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.Errorf("move was rejected: %s", result.Reason)
	}
	d.metrics.GetOrCreateCounter("hibiscus_ranges_moved_total").Add(len(ranges))
	n.dispatcher.Rows(func(t *deduper.Table) {
		for _, r := range plain {
			t.Drop(n.server.Service, r)
		}
	})
	return nil
}

func containsRange(ranges []applier.RangeEpoch, r hasher.Range) bool {
	return slices.ContainsFunc(ranges, func(e applier.RangeEpoch) bool { return e.Range == r })
}

// transfer hands the idempotency rows of ranges to their next owner.
func (d *Daemon) transfer(ctx context.Context, n *incarnation, target applier.Member, ranges []applier.RangeEpoch) error {
	m := encoder.Transfer{From: n.id, Service: n.server.Service, Ranges: ranges}
	n.dispatcher.Rows(func(t *deduper.Table) {
		for _, r := range ranges {
			m.Rows = append(m.Rows, t.Export(timer.Now(), n.server.Service, r.Range)...)
			m.Blocks = append(m.Blocks, t.Blocks(timer.Now(), n.server.Service, r.Range)...)
		}
	})
	for {
		part := m
		part.Rows = m.Rows[:min(rowsBatch, len(m.Rows))]
		m.Rows = m.Rows[len(part.Rows):]
		// A frozen target must not hold the ranges up for long.
		askCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		ack, err := ask[encoder.Ack](askCtx, d, target.Address, part)
		cancel()
		if err != nil {
			return errors.Wrap(err, "transfer idempotency rows")
		}
		if ack.Refused != "" {
			return errors.Errorf("transfer was refused: %s", ack.Refused)
		}
		if len(m.Rows) == 0 {
			return nil
		}
	}
}

// acceptTransfer keeps rows of ranges that this member is about to own, here and at its guardians.
func (d *Daemon) acceptTransfer(ctx context.Context, m encoder.Transfer) encoder.Message {
	n := d.incarnation()
	if n == nil || n.server.Service != m.Service || n.leaving.Load() {
		return encoder.Ack{Refused: "this process doesn't take ranges now"}
	}
	if timer.Now() >= n.ValidUntil() {
		return encoder.Ack{Refused: "this process has no lease"}
	}
	var rows []deduper.Row
	n.dispatcher.Rows(func(t *deduper.Table) {
		t.Import(timer.Now(), m.Rows)
		for _, b := range m.Blocks {
			t.Block(timer.Now(), b)
		}
		for _, r := range m.Ranges {
			rows = append(rows, t.Export(timer.Now(), m.Service, r.Range)...)
		}
	})
	guardians, _ := d.guardiansOf(n.id)
	message := encoder.RecordRows{Owner: n.id, Rows: rows}
	if len(m.Blocks) > 0 {
		message.Complete = encoder.Incomplete
	}
	if err := d.recordAt(ctx, guardians, message); err != nil {
		return encoder.Ack{Refused: "guardians did not keep the rows: " + err.Error()}
	}
	return encoder.Ack{}
}

// resign ends an incarnation whose backend server is leaving: its ranges move to other members and it leaves. A later
// announcement makes the process a new member.
func (d *Daemon) resign(n *incarnation, why string) {
	d.resignAfter(n, why, func(context.Context) { time.AfterFunc(leaveLimit, n.dispatcher.Withdraw) })
}

// giveUp resigns for a backend server that doesn't answer. A server that checks grants refuses what it accepted once the
// range has a newer epoch; with any other, the ranges move when the deadlines of all accepted requests have passed.
func (d *Daemon) giveUp(n *incarnation, why string) {
	d.resignAfter(n, why, func(ctx context.Context) {
		n.dispatcher.Abandon()
		if n.server.Fenced || !n.dispatcher.Answers() {
			return
		}
		var wait time.Duration
		d.state.View(func(s *applier.State) { wait = s.Configuration.Services[n.server.Service].MaxRequest.Value() })
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	})
}

func (d *Daemon) resignAfter(n *incarnation, why string, prepare func(context.Context)) {
	if n.leaving.Swap(true) {
		return
	}
	d.mu.Lock()
	d.resigning = true
	d.mu.Unlock()
	d.log("state", "resigning", "member", n.id, "reason", why)
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

// handOver moves all ranges to other members, a group for each target. It returns when none is left, or when there is no
// member to take them.
func (d *Daemon) handOver(ctx context.Context, n *incarnation) error {
	const retry = 100 * time.Millisecond
	for {
		var groups []balancer.MoveRanges
		d.state.View(func(s *applier.State) { groups = balancer.Evacuate(s, n.id) })
		if len(groups) == 0 {
			if len(d.ownedRanges(n)) > 0 {
				d.log("state", "no member can take the ranges", "member", n.id)
			}
			return nil
		}
		results := make(chan error, len(groups))
		for _, g := range groups {
			go func() { results <- d.move(ctx, n, g.Move.To, g.Move.Ranges) }()
		}
		failed := false
		for range groups {
			if err := <-results; err != nil {
				failed = true
				d.log("state", "move failed", "member", n.id, "err", err)
			}
		}
		if !failed {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retry):
		}
	}
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

// awaitReplacement waits a bounded time until no member counts on this one as its guardian.
func (d *Daemon) awaitReplacement(ctx context.Context, n *incarnation) {
	const bound = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, bound)
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
	time.Sleep(leavePause)
	// Requests in flight get their own time: a log that is down uses up the time for leaving.
	ctx, cancelFinish := context.WithTimeout(context.Background(), finishTimeout)
	defer cancelFinish()
	// Shutdown closes connections whose first request it has not read yet.
	s.accepting.Finish()
	s.busy.quiet(ctx)
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
