package daemon

import (
	"context"
	"sync"
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
	rowsTimeout = time.Second
	// rowsBatch bounds the rows in one message; each may hold an outcome of 16 KiB.
	rowsBatch = 200
	// parallelFetches bounds the ranges whose rows are fetched at a time. A guardian that was lost with the owner costs
	// rowsTimeout for each range that waits for it alone.
	parallelFetches = 64
	// resyncInterval is the time after which guardians that were declared incomplete are told all rows again.
	resyncInterval = 10 * time.Second
)

var fullRange = hasher.Full()

// recordRows keeps rows of a member that this process guards.
func (d *Daemon) recordRows(m encoder.RecordRows) encoder.Message {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	err := d.store.Record(timer.Now(), m.Owner, m.Rows)
	d.store.DeleteIntents(m.Owner, m.Forget)
	if err != nil {
		return encoder.Ack{Refused: err.Error()}
	}
	if m.Complete != encoder.Unchanged {
		d.store.SetComplete(m.Owner, m.Complete == encoder.Complete)
		d.completeAt[m.Owner] = m.Version
	}
	return encoder.Ack{}
}

func (d *Daemon) queryRows(m encoder.RowsQuery) encoder.Rows {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	rows, complete := d.store.Rows(timer.Now(), m.Owner, m.Service, m.Range)
	// A guardian that was replaced and named again misses the rows of the time between.
	return encoder.Rows{Rows: rows, Complete: complete && d.completeAt[m.Owner] == m.Version}
}

// replicator keeps the rows of an incarnation at its guardians.
type replicator struct {
	daemon      *Daemon
	incarnation *incarnation
}

// Record returns when all guardians have the row. A guardian that is lost holds it up until the owner has replaced it,
// since a successor relies on any one guardian that says it holds all rows.
func (r *replicator) Record(ctx context.Context, row deduper.Row) error {
	return r.send(ctx, encoder.RecordRows{Owner: r.incarnation.id, Rows: []deduper.Row{row}})
}

// Publish sends an outcome without waiting. If it is lost, a successor knows the intent only and answers unknown.
func (r *replicator) Publish(row deduper.Row) {
	r.sendLater(encoder.RecordRows{Owner: r.incarnation.id, Rows: []deduper.Row{row}})
}

// Forget tells the guardians without waiting that an attempt was not dispatched.
func (r *replicator) Forget(ref deduper.AttemptRef) {
	r.sendLater(encoder.RecordRows{Owner: r.incarnation.id, Forget: []deduper.AttemptRef{ref}})
}

func (r *replicator) sendLater(m encoder.RecordRows) {
	r.daemon.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), rowsTimeout)
		defer cancel()
		if err := r.send(ctx, m); err != nil {
			r.daemon.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
		}
	})
}

func (r *replicator) send(ctx context.Context, m encoder.RecordRows) error {
	guardians, _ := r.daemon.guardiansOf(r.incarnation.id)
	return r.daemon.recordAt(ctx, guardians, m)
}

// recordAt sends rows to members and waits for all their acknowledgements.
func (d *Daemon) recordAt(ctx context.Context, guardians []applier.Member, m encoder.RecordRows) error {
	results := make(chan error, len(guardians))
	for _, g := range guardians {
		go func() {
			ack, err := ask[encoder.Ack](ctx, d, g.Address, m)
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

// guardiansOf returns the guardians of a member and its guardian version.
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

// synchronizeRows gives all rows to the guardians after the set of guardians changed, and then declares them complete.
func (d *Daemon) synchronizeRows(n *incarnation) {
	guardians, version := d.guardiansOf(n.id)
	if len(guardians) == 0 || n.synchronized.Load() == uint64(version) || timer.Now() < time.Duration(n.nextSync.Load()) {
		return
	}
	if !n.synchronizing.CompareAndSwap(false, true) {
		return
	}
	d.tasks.Go(func() {
		defer n.synchronizing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), rowsTimeout)
		defer cancel()
		whole, err := d.pushAll(ctx, n, guardians, version)
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
			return
		}
		if !whole {
			// Rows may be missing here until the blocks end; the guardians are told again then.
			n.nextSync.Store(int64(timer.Now() + resyncInterval))
			return
		}
		n.synchronized.Store(uint64(version))
	})
}

// pushAll sends all rows to the guardians and declares them complete, unless rows may be missing here. It reports whether
// it declared them complete.
func (d *Daemon) pushAll(ctx context.Context, n *incarnation, guardians []applier.Member, version applier.Offset) (bool, error) {
	var rows []deduper.Row
	var blocked bool
	n.dispatcher.Rows(func(t *deduper.Table) {
		rows = t.Export(timer.Now(), n.server.Service, fullRange)
		blocked = len(t.Blocks(timer.Now(), n.server.Service, fullRange)) > 0
	})
	for len(rows) > 0 {
		part := rows[:min(rowsBatch, len(rows))]
		rows = rows[len(part):]
		if err := d.recordAt(ctx, guardians, encoder.RecordRows{Owner: n.id, Rows: part}); err != nil {
			return false, err
		}
	}
	complete := encoder.Complete
	if blocked {
		complete = encoder.Incomplete
	}
	return !blocked, d.recordAt(ctx, guardians, encoder.RecordRows{Owner: n.id, Complete: complete, Version: version})
}

// fetchLostRows fetches the idempotency rows of ranges that this process took over, before it runs non-repeatable
// requests of them.
func (d *Daemon) fetchLostRows(n *incarnation) {
	var ranges []lostRange
	var window time.Duration
	d.state.View(func(s *applier.State) {
		if s.Configuration != nil {
			window = s.Configuration.Services[n.server.Service].Window()
		}
		for _, a := range s.Owned(n.id) {
			if len(a.Lineage) == 0 {
				continue
			}
			if _, done := n.fetched.Load(a.Epoch); done {
				continue
			}
			l := lostRange{assignment: a}
			for _, owner := range a.Lineage {
				l.owners = append(l.owners, newLostOwner(s, owner))
			}
			ranges = append(ranges, l)
		}
	})
	if len(ranges) == 0 || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	d.tasks.Go(func() {
		defer n.fetching.Store(false)
		epochs := map[applier.Offset]bool{}
		var fetches sync.WaitGroup
		limit := make(chan struct{}, parallelFetches)
		for _, l := range ranges {
			epochs[l.assignment.Epoch] = true
			limit <- struct{}{}
			fetches.Go(func() {
				defer func() { <-limit }()
				d.fetchRange(n, l, window)
			})
		}
		fetches.Wait()
		d.settleEpochs(n, epochs)
	})
}

// fetchRange fetches the rows of one range, and blocks non-repeatable requests of it for the window if rows may be missing.
func (d *Daemon) fetchRange(n *incarnation, l lostRange, window time.Duration) {
	complete := !l.assignment.Incomplete
	for _, owner := range l.owners {
		complete = d.importFrom(n, owner, l.assignment.Range) && complete
	}
	if complete {
		return
	}
	d.metrics.GetOrCreateCounter("hibiscus_ranges_blocked_total").Inc()
	n.dispatcher.Rows(func(t *deduper.Table) {
		t.Block(timer.Now(), deduper.Block{Service: n.server.Service, Range: l.assignment.Range, Remaining: window})
	})
}

// lostRange is a range that was taken over, with the owners whose rows are needed.
type lostRange struct {
	assignment applier.Assignment
	owners     []lostOwner
}

// lostOwner is a removed member with those of its guardians that are present.
type lostOwner struct {
	id        applier.MemberID
	version   applier.Offset
	guardians []applier.Member
}

func newLostOwner(s *applier.State, id applier.MemberID) lostOwner {
	removal, known := s.Removal(id)
	if !known {
		return lostOwner{id: id}
	}
	lost := lostOwner{id: id, version: removal.GuardianVersion}
	for _, g := range removal.Guardians {
		if m, present := s.Members[g]; present {
			lost.guardians = append(lost.guardians, *m)
		}
	}
	return lost
}

// importFrom imports the rows that the guardians of a lost owner hold, and reports whether one of them holds all. The
// guardians are asked at the same time, since one that was lost with the owner answers only by its time-out.
func (d *Daemon) importFrom(n *incarnation, owner lostOwner, r hasher.Range) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rowsTimeout)
	defer cancel()
	question := encoder.RowsQuery{Owner: owner.id, Service: n.server.Service, Range: r, Version: owner.version}
	answers := make(chan encoder.Rows, len(owner.guardians))
	for _, g := range owner.guardians {
		go func() {
			if g.ID == n.id {
				answers <- d.queryRows(question)
				return
			}
			// An unanswered question counts as an answer without rows.
			rows, _ := ask[encoder.Rows](ctx, d, g.Address, question)
			answers <- rows
		}()
	}
	for range owner.guardians {
		rows := <-answers
		n.dispatcher.Rows(func(t *deduper.Table) { t.Import(timer.Now(), rows.Rows) })
		if rows.Complete {
			return true
		}
	}
	return false
}

// settleEpochs gives the imported rows to this member's own guardians and admits non-repeatable requests again.
func (d *Daemon) settleEpochs(n *incarnation, epochs map[applier.Offset]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), rowsTimeout)
	defer cancel()
	guardians, version := d.guardiansOf(n.id)
	if _, err := d.pushAll(ctx, n, guardians, version); err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
		return
	}
	var newest applier.Offset
	var withheld time.Duration
	for epoch := range epochs {
		n.fetched.Store(epoch, true)
		newest = max(newest, epoch)
		withheld = max(withheld, n.dispatcher.WithheldUntil(epoch))
	}
	// Settling clears the list of lost owners, from which a further successor would know that it has to wait.
	time.AfterFunc(max(0, withheld-timer.Now()), func() {
		if !n.leaving.Load() && !n.removed.Load() {
			d.appendOnce(applier.Settle{Member: n.id, AsOf: newest})
		}
	})
}

// expireRows forgets rows that are older than their window, and rows kept for members that this process no longer guards.
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
				windows[name] = service.Window()
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
			n.dispatcher.Rows(func(t *deduper.Table) { t.Expire(timer.Now(), window) })
		}
		d.storeMu.Lock()
		defer d.storeMu.Unlock()
		d.store.Expire(timer.Now(), window)
		for id, version := range d.completeAt {
			// An owner may have read a newer record than this process has, which names it as guardian.
			if !owners[id] && version <= applied {
				d.store.RemoveOwner(id)
				delete(d.completeAt, id)
			}
		}
	})
}
