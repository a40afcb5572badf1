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
	// transferTimeout bounds one message of a transfer.
	transferTimeout = 2 * time.Second
	// releaseRetry is the time between two attempts to release ranges, or to keep their rows at the guardians.
	releaseRetry = 100 * time.Millisecond
)

// moved names the ranges that a planned move gave to one owner at one epoch.
type moved struct {
	source, owner applier.MemberID
	epoch         applier.Offset
}

// ranges returns those ranges that still have this source, owner and epoch.
func (m moved) ranges(s *applier.State) []hasher.Range {
	var ranges []hasher.Range
	for _, a := range s.Unreleased(m.source) {
		if a.Owner == m.owner && a.Epoch == m.epoch {
			ranges = append(ranges, a.Range)
		}
	}
	return ranges
}

// releaseMoved releases the ranges that the state has given to other members. This process no longer admits requests of
// them, since it has applied the record.
func (d *Daemon) releaseMoved(n *incarnation) {
	groups := map[moved]bool{}
	d.state.View(func(s *applier.State) {
		for _, a := range s.Unreleased(n.id) {
			if a.Owner != 0 {
				groups[moved{source: n.id, owner: a.Owner, epoch: a.Epoch}] = true
			}
		}
	})
	for m := range groups {
		if _, started := n.releases.LoadOrStore(m, true); !started {
			d.tasks.Go(func() { d.release(n, m) })
		}
	}
}

// release waits for the running requests of moved ranges and hands the ranges over, until their owner has them or another
// record has changed them. The rows stay here until the owner has declared that its guardians hold them.
func (d *Daemon) release(n *incarnation, m moved) {
	ctx, cancel := d.background()
	defer cancel()
	var gone []hasher.Range
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
		gone = ranges
		if !released {
			err := d.handRanges(ctx, n, owner, m, ranges)
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
	d.dropRows(n, gone)
}

func (d *Daemon) handRanges(ctx context.Context, n *incarnation, owner applier.Member, m moved, ranges []hasher.Range) error {
	if err := n.dispatcher.Finish(ctx, ranges); err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	return d.transfer(ctx, n, owner, encoder.Transfer{From: n.id, Service: n.server.Service, Ranges: ranges, Epoch: m.epoch})
}

// dropRows drops the idempotency rows of those parts of ranges that others own and have received. The state is locked
// meanwhile, so that no part can come back together with new rows.
func (d *Daemon) dropRows(n *incarnation, ranges []hasher.Range) {
	service := n.server.Service
	d.state.View(func(s *applier.State) {
		n.dispatcher.Rows(func(t *deduper.Table) {
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

// offer asks a member whether it can take ranges. A move to a member that can't be reached would leave them unserved.
func (d *Daemon) offer(ctx context.Context, n *incarnation, target applier.Member) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	ack, err := ask[encoder.Ack](ctx, d, target.Address, encoder.Offer{Service: n.server.Service})
	if err != nil {
		return errors.Wrap(err, "offer ranges")
	}
	if ack.Refused != "" {
		return errors.Errorf("offer was refused: %s", ack.Refused)
	}
	return nil
}

func (d *Daemon) considerOffer(m encoder.Offer) encoder.Message {
	n := d.incarnation()
	if n == nil || n.server.Service != m.Service || n.leaving.Load() {
		return encoder.Ack{Refused: "this process doesn't take ranges now"}
	}
	if timer.Now() >= n.ValidUntil() {
		return encoder.Ack{Refused: "this process has no lease"}
	}
	return encoder.Ack{}
}

// transfer hands the idempotency rows of moved ranges to their owner. Its last message releases the ranges.
func (d *Daemon) transfer(ctx context.Context, n *incarnation, owner applier.Member, m encoder.Transfer) error {
	var rows []deduper.Row
	n.dispatcher.Rows(func(t *deduper.Table) {
		for _, r := range m.Ranges {
			rows = append(rows, t.Export(timer.Now(), m.Service, r)...)
			m.Blocks = append(m.Blocks, t.Blocks(timer.Now(), m.Service, r)...)
		}
	})
	for !m.Last {
		m.Rows = rows[:min(rowsBatch, len(rows))]
		rows = rows[len(m.Rows):]
		m.Last = len(rows) == 0
		askCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		ack, err := ask[encoder.Ack](askCtx, d, owner.Address, m)
		cancel()
		if err != nil {
			return errors.Wrap(err, "transfer idempotency rows")
		}
		if ack.Refused != "" {
			return errors.Errorf("transfer was refused: %s", ack.Refused)
		}
	}
	return nil
}

// acceptTransfer keeps the rows of ranges that a move has given to this member.
func (d *Daemon) acceptTransfer(ctx context.Context, m encoder.Transfer) encoder.Message {
	n := d.incarnation()
	if n == nil || n.server.Service != m.Service {
		return encoder.Ack{Refused: "this process serves another service"}
	}
	d.awaitApplied(ctx, m.Epoch)
	move := moved{source: m.From, owner: n.id, epoch: m.Epoch}
	var ranges []hasher.Range
	d.state.View(func(s *applier.State) { ranges = move.ranges(s) })
	if len(ranges) == 0 {
		return encoder.Ack{Refused: "this process has no range to receive"}
	}
	n.dispatcher.Rows(func(t *deduper.Table) {
		t.Import(timer.Now(), m.Rows)
		for _, b := range m.Blocks {
			t.Block(timer.Now(), b)
		}
	})
	if !m.Last {
		return encoder.Ack{}
	}
	if _, again := n.released.LoadOrStore(move, true); !again {
		d.metrics.GetOrCreateCounter("hibiscus_ranges_received_total").Add(len(ranges))
		d.tasks.Go(func() { d.receive(n, move) })
	}
	return encoder.Ack{}
}

// keepRows gives the rows of ranges to this member's guardians.
func (d *Daemon) keepRows(ctx context.Context, n *incarnation, ranges []hasher.Range) error {
	var rows []deduper.Row
	complete := encoder.Unchanged
	n.dispatcher.Rows(func(t *deduper.Table) {
		for _, r := range ranges {
			rows = append(rows, t.Export(timer.Now(), n.server.Service, r)...)
			if len(t.Blocks(timer.Now(), n.server.Service, r)) > 0 {
				complete = encoder.Incomplete
			}
		}
	})
	guardians, _ := d.guardiansOf(n.id)
	for first := true; first || len(rows) > 0; first = false {
		part := rows[:min(rowsBatch, len(rows))]
		rows = rows[len(part):]
		message := encoder.RecordRows{Owner: n.id, Rows: part, Complete: complete}
		if err := d.recordAt(ctx, guardians, message); err != nil {
			return err
		}
	}
	return nil
}

// receive gives the rows of moved ranges to the guardians and declares that the source need not keep them, until another
// record has changed the ranges.
func (d *Daemon) receive(n *incarnation, m moved) {
	ctx, cancel := d.background()
	defer cancel()
	for ctx.Err() == nil && !n.removed.Load() {
		var ranges []hasher.Range
		d.state.View(func(s *applier.State) { ranges = m.ranges(s) })
		if len(ranges) == 0 {
			return
		}
		askCtx, cancelAsk := context.WithTimeout(ctx, rowsTimeout)
		err := d.keepRows(askCtx, n, ranges)
		cancelAsk()
		if err == nil {
			// A rejected record shows in the ranges.
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

// awaitReleased waits until all ranges that moved away from this member have been received by their owners.
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
