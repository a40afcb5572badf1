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
	"hibiscusline/validator"
)

const (
	// maxBatchRows is the maximum number of rows in one message. Each row may hold an outcome of 16 KiB.
	maxBatchRows = 200
	// resyncInterval is the time after which all rows are sent again to guardians whose rows were declared incomplete.
	resyncInterval = 10 * time.Second
)

var fullRange = hasher.Full()

// recordRows stores rows of a member for which this process is a guardian.
func (d *Daemon) recordRows(m encoder.ReplicateRows) encoder.Message {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	err := d.store.Record(timer.Now(), m.Owner, m.Rows)
	d.store.DeleteIntents(m.Owner, m.Aborted)
	if err != nil {
		return encoder.Ack{Refused: err.Error()}
	}
	if m.Complete != encoder.Unchanged {
		d.store.SetComplete(m.Owner, m.Complete == encoder.Complete)
		d.rowsDeclaredAt[m.Owner] = m.Version
	}
	return encoder.Ack{}
}

func (d *Daemon) queryRows(m encoder.RowsQuery) encoder.Rows {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	rows, complete := d.store.Rows(timer.Now(), m.Owner, m.Service, m.Range)
	// A guardian that was replaced and later assigned again misses the rows written in between.
	return encoder.Rows{Rows: rows, Complete: complete && d.rowsDeclaredAt[m.Owner] == m.Version}
}

// replicator replicates the rows of an incarnation to its guardians.
type replicator struct {
	daemon      *Daemon
	incarnation *incarnation
}

// Record returns when all guardians have stored the row. A lost guardian blocks it until the owner has replaced the
// guardian, because a successor relies on any single guardian that declares its rows complete.
func (r *replicator) Record(ctx context.Context, row deduper.Row) error {
	return r.send(ctx, encoder.ReplicateRows{Owner: r.incarnation.id, Rows: []deduper.Row{row}})
}

// Publish sends an outcome without waiting for acknowledgement. If it is lost, a successor knows only the intent and
// responds with an unknown outcome.
func (r *replicator) Publish(row deduper.Row) {
	r.sendAsync(encoder.ReplicateRows{Owner: r.incarnation.id, Rows: []deduper.Row{row}})
}

// DeleteIntent tells the guardians, without waiting for acknowledgement, to delete the intent of an attempt that was
// not dispatched.
func (r *replicator) DeleteIntent(ref deduper.AttemptRef) {
	r.sendAsync(encoder.ReplicateRows{Owner: r.incarnation.id, Aborted: []deduper.AttemptRef{ref}})
}

func (r *replicator) sendAsync(m encoder.ReplicateRows) {
	r.daemon.tasks.Go(func() {
		ctx, cancel := storedRows.Answer().Context(context.Background())
		defer cancel()
		if err := r.send(ctx, m); err != nil {
			r.daemon.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
		}
	})
}

func (r *replicator) send(ctx context.Context, m encoder.ReplicateRows) error {
	guardians, _ := r.daemon.guardiansOf(r.incarnation.id)
	return r.daemon.sendRows(ctx, guardians, m)
}

// sendRows sends rows to the guardians and waits for all acknowledgements. It returns the first error.
func (d *Daemon) sendRows(ctx context.Context, guardians []applier.Member, m encoder.ReplicateRows) error {
	results := make(chan error, len(guardians))
	for _, g := range guardians {
		go func() {
			ack, err := call[encoder.Ack](ctx, d, storedRows.Answer(), g.Address, m)
			if err == nil && ack.Refused != "" {
				err = errors.New(ack.Refused)
			}
			results <- err
		}()
	}
	var first error
	for range guardians {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// guardiansOf returns the guardians of a member that are in the state, and its guardian version.
func (d *Daemon) guardiansOf(id applier.MemberID) ([]applier.Member, applier.Offset) {
	var guardians []applier.Member
	var version applier.Offset
	d.state.View(func(s *applier.State) {
		m, present := s.Members[id]
		if !present {
			return
		}
		version = m.GuardianVersion
		for _, g := range m.Guardians {
			if guardian, present := s.Members[g]; present {
				guardians = append(guardians, *guardian)
			}
		}
	})
	return guardians, version
}

// synchronizeRows sends all rows to the guardians after the set of guardians has changed, and then declares them
// complete.
func (d *Daemon) synchronizeRows(n *incarnation) {
	guardians, version := d.guardiansOf(n.id)
	if len(guardians) == 0 || n.syncedVersion.Load() == uint64(version) || timer.Now() < time.Duration(n.nextSyncAt.Load()) {
		return
	}
	if !n.syncing.CompareAndSwap(false, true) {
		return
	}
	d.tasks.Go(func() {
		defer n.syncing.Store(false)
		n.exportMu.Lock()
		defer n.exportMu.Unlock()
		ctx, cancel := storedRows.Answer().Context(context.Background())
		defer cancel()
		complete, err := d.sendAllRows(ctx, n, guardians, version)
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
			return
		}
		if complete {
			n.syncedVersion.Store(uint64(version))
		}
	})
}

// resyncLater makes all rows be sent again, because the guardians count them as incomplete. Rows may be missing here until
// the blocks expire.
func (n *incarnation) resyncLater() {
	n.nextSyncAt.Store(int64(timer.Now() + resyncInterval))
	n.syncedVersion.Store(0)
}

// sendAllRows sends all rows to the guardians and declares them complete, or incomplete if rows may be missing here. It
// reports whether it declared them complete.
func (d *Daemon) sendAllRows(ctx context.Context, n *incarnation, guardians []applier.Member, version applier.Offset) (bool, error) {
	var rows []deduper.Row
	var blocked bool
	n.dispatcher.WithRows(func(t *deduper.Table) {
		rows = t.Export(timer.Now(), n.backend.Service, fullRange)
		blocked = len(t.Blocks(timer.Now(), n.backend.Service, fullRange)) > 0
	})
	for len(rows) > 0 {
		part := rows[:min(maxBatchRows, len(rows))]
		rows = rows[len(part):]
		if err := d.sendRows(ctx, guardians, encoder.ReplicateRows{Owner: n.id, Rows: part}); err != nil {
			return false, err
		}
	}
	complete := encoder.Complete
	if blocked {
		complete = encoder.Incomplete
		n.resyncLater()
	}
	return !blocked, d.sendRows(ctx, guardians, encoder.ReplicateRows{Owner: n.id, Complete: complete, Version: version})
}

// expireRows drops rows that are older than their idempotency window, and rows of members for which this process is no
// longer a guardian.
func (d *Daemon) expireRows(ctx context.Context) {
	const interval = 5 * time.Second
	every(ctx, interval, func() {
		windows := map[string]time.Duration{}
		owners := map[applier.MemberID]bool{}
		self := d.self()
		var applied applier.Offset
		d.state.View(func(s *applier.State) {
			if s.Configuration == nil {
				return
			}
			applied = s.Applied
			for name, service := range s.Configuration.Services {
				windows[name] = service.EffectiveIdempotencyWindow()
			}
			for id, m := range s.Members {
				owners[id] = m.GuardedBy(self)
			}
			for _, r := range s.Removals {
				owners[r.ID] = r.Cause != applier.Left
			}
		})
		window := func(service string) time.Duration {
			if w, known := windows[service]; known {
				return w
			}
			return validator.DefaultIdempotencyWindow
		}
		if n := d.incarnation(); n != nil {
			n.dispatcher.WithRows(func(t *deduper.Table) { t.Expire(timer.Now(), window) })
		}
		d.storeMu.Lock()
		defer d.storeMu.Unlock()
		d.store.Expire(timer.Now(), window)
		for id, version := range d.rowsDeclaredAt {
			// The owner may have applied a newer record that makes this process its guardian.
			if !owners[id] && version <= applied {
				d.store.RemoveOwner(id)
				delete(d.rowsDeclaredAt, id)
			}
		}
	})
}
