package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
	"hibiscusline/timer"
)

const (
	// releaseRetry is the time between two attempts to release ranges, or to store their rows at the guardians.
	releaseRetry = 100 * time.Millisecond
)

// moveKey identifies the ranges that a planned move assigned to one owner at one epoch.
type moveKey struct {
	source, owner applier.MemberID
	epoch         applier.Offset
}

// ranges returns the ranges that still have this source, owner and epoch.
func (m moveKey) ranges(s *applier.State) []hasher.Range {
	var ranges []hasher.Range
	for _, a := range s.Unreleased(m.source) {
		if a.Owner == m.owner && a.Epoch == m.epoch {
			ranges = append(ranges, a.Range)
		}
	}
	return ranges
}

// releaseMoved releases the ranges that the state has assigned to other members. This process no longer admits requests
// of these ranges, because it has applied the record.
func (d *Daemon) releaseMoved(n *incarnation) {
	moves := map[moveKey]bool{}
	d.state.View(func(s *applier.State) {
		for _, a := range s.Unreleased(n.id) {
			if a.Owner != 0 {
				moves[moveKey{source: n.id, owner: a.Owner, epoch: a.Epoch}] = true
			}
		}
	})
	for m := range moves {
		if _, started := n.outgoingMoves.LoadOrStore(m, true); !started {
			d.tasks.Go(func() { d.release(n, m) })
		}
	}
}

// release waits until the running requests of moved ranges have ended and transfers the ranges. It retries until the
// owner has received them or another record has changed them. The rows are kept here until the owner has declared that
// its guardians hold them.
func (d *Daemon) release(n *incarnation, m moveKey) {
	ctx, cancel := d.background()
	defer cancel()
	var lastRanges []hasher.Range
	released := false
	for ctx.Err() == nil && !n.removed.Load() {
		changed := d.state.Changed()
		var ranges []hasher.Range
		var owner applier.Member
		d.state.View(func(s *applier.State) {
			if ranges = m.ranges(s); len(ranges) > 0 {
				owner = *s.Members[m.owner]
			}
		})
		if len(ranges) == 0 {
			break
		}
		lastRanges = ranges
		if !released {
			err := d.handOverRanges(ctx, n, owner, m, ranges)
			if released = err == nil; !released {
				d.metrics.GetOrCreateCounter("hibiscus_release_errors_total").Inc()
			}
		}
		retry := time.After(releaseRetry)
		if released {
			retry = nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
		}
	}
	d.dropRows(n, lastRanges)
}

func (d *Daemon) handOverRanges(ctx context.Context, n *incarnation, owner applier.Member, m moveKey, ranges []hasher.Range) error {
	if err := n.dispatcher.AwaitRangesIdle(ctx, ranges); err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	return d.transfer(ctx, n, owner, encoder.Transfer{From: n.id, Service: n.backend.Service, Ranges: ranges, Epoch: m.epoch})
}

// dropRows drops the idempotency rows of those parts of ranges that other members own and have received. The state
// stays locked so that no part can return with new rows at the same time.
func (d *Daemon) dropRows(n *incarnation, ranges []hasher.Range) {
	service := n.backend.Service
	d.state.View(func(s *applier.State) {
		n.dispatcher.WithRows(func(t *deduper.Table) {
			for _, r := range ranges {
				for part := range s.Overlapping(service, r) {
					if part.Owner != n.id && part.Source != n.id {
						t.RemoveRange(service, part.Range)
					}
				}
			}
		})
	})
}

// offer asks a member whether it can take ranges. A move to an unreachable member would leave the ranges unserved.
func (d *Daemon) offer(ctx context.Context, n *incarnation, target applier.Member) error {
	ack, err := call[encoder.Ack](ctx, d, servedAgain.Answer(), target.Address, encoder.Offer{Service: n.backend.Service})
	if err != nil {
		return errors.Wrap(err, "offer ranges")
	}
	if ack.Refused != "" {
		return errors.Errorf("offer was refused: %s", ack.Refused)
	}
	return nil
}

func (d *Daemon) handleOffer(m encoder.Offer) encoder.Message {
	n := d.incarnation()
	if n == nil || n.backend.Service != m.Service || n.leaving.Load() {
		return encoder.Ack{Refused: "this process doesn't take ranges now"}
	}
	if timer.Now() >= n.ValidUntil() {
		return encoder.Ack{Refused: "this process has no lease"}
	}
	return encoder.Ack{}
}

// transfer sends the idempotency rows of moved ranges to their new owner. The last message releases the ranges.
func (d *Daemon) transfer(ctx context.Context, n *incarnation, owner applier.Member, m encoder.Transfer) error {
	var rows []deduper.Row
	n.dispatcher.WithRows(func(t *deduper.Table) {
		for _, r := range m.Ranges {
			rows = append(rows, t.Export(timer.Now(), m.Service, r)...)
			m.Blocks = append(m.Blocks, t.Blocks(timer.Now(), m.Service, r)...)
		}
	})
	for !m.Last {
		m.Rows = rows[:min(maxBatchRows, len(rows))]
		rows = rows[len(m.Rows):]
		m.Last = len(rows) == 0
		ack, err := call[encoder.Ack](ctx, d, transferredRows.Answer(), owner.Address, m)
		if err != nil {
			return errors.Wrap(err, "transfer idempotency rows")
		}
		if ack.Refused != "" {
			return errors.Errorf("transfer was refused: %s", ack.Refused)
		}
	}
	return nil
}

// acceptTransfer stores the rows of ranges that a move has assigned to this member.
func (d *Daemon) acceptTransfer(ctx context.Context, m encoder.Transfer) encoder.Message {
	n := d.incarnation()
	if n == nil || n.backend.Service != m.Service {
		return encoder.Ack{Refused: "this process serves another service"}
	}
	d.awaitApplied(ctx, m.Epoch)
	move := moveKey{source: m.From, owner: n.id, epoch: m.Epoch}
	var ranges []hasher.Range
	d.state.View(func(s *applier.State) { ranges = move.ranges(s) })
	if len(ranges) == 0 {
		return encoder.Ack{Refused: "this process has no range to receive"}
	}
	n.dispatcher.WithRows(func(t *deduper.Table) {
		t.Import(timer.Now(), m.Rows)
		for _, b := range m.Blocks {
			t.Block(timer.Now(), b)
		}
	})
	if !m.Last {
		return encoder.Ack{}
	}
	if _, again := n.incomingMoves.LoadOrStore(move, true); !again {
		n.received.add(m.From, ranges)
		d.metrics.GetOrCreateCounter("hibiscus_ranges_received_total").Add(len(ranges))
		d.tasks.Go(func() { d.completeMove(n, move) })
	}
	return encoder.Ack{}
}

// replicateRows sends the rows of ranges to this member's guardians.
func (d *Daemon) replicateRows(ctx context.Context, n *incarnation, ranges []hasher.Range) error {
	n.exportMu.Lock()
	defer n.exportMu.Unlock()
	ctx, cancel := storedRows.Answer().Context(ctx)
	defer cancel()
	var rows []deduper.Row
	complete := encoder.Unchanged
	n.dispatcher.WithRows(func(t *deduper.Table) {
		for _, r := range ranges {
			rows = append(rows, t.Export(timer.Now(), n.backend.Service, r)...)
			if len(t.Blocks(timer.Now(), n.backend.Service, r)) > 0 {
				complete = encoder.Incomplete
			}
		}
	})
	if complete == encoder.Incomplete {
		n.resyncLater()
	}
	guardians, _ := d.guardiansOf(n.id)
	for first := true; first || len(rows) > 0; first = false {
		part := rows[:min(maxBatchRows, len(rows))]
		rows = rows[len(part):]
		message := encoder.ReplicateRows{Owner: n.id, Rows: part, Complete: complete}
		if err := d.sendRows(ctx, guardians, message); err != nil {
			return err
		}
	}
	return nil
}

// completeMove sends the rows of moved ranges to the guardians and declares that the source need not keep them. It
// retries until a record has changed the ranges.
func (d *Daemon) completeMove(n *incarnation, m moveKey) {
	ctx, cancel := d.background()
	defer cancel()
	for ctx.Err() == nil && !n.removed.Load() {
		var ranges []hasher.Range
		d.state.View(func(s *applier.State) { ranges = m.ranges(s) })
		if len(ranges) == 0 {
			return
		}
		err := d.replicateRows(ctx, n, ranges)
		if err == nil {
			// A rejected record needs no handling here: the loop checks the ranges again.
			_, err = d.commit(ctx, applier.Receive{Member: n.id, Source: m.source, Epoch: m.epoch})
		}
		if err == nil {
			continue
		}
		d.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
		select {
		case <-ctx.Done():
		case <-time.After(releaseRetry):
		}
	}
}

// awaitReleased waits until all ranges that moved away from this member have been received by their new owners.
func (d *Daemon) awaitReleased(ctx context.Context, n *incarnation) error {
	for {
		changed := d.state.Changed()
		unreleased := 0
		d.state.View(func(s *applier.State) { unreleased = len(s.Unreleased(n.id)) })
		if unreleased == 0 || n.removed.Load() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d ranges have not been received by their owners", unreleased)
		}
	}
}
