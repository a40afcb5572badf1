package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
	"hibiscusline/timer"
)

// parallelFetches bounds the number of ranges whose rows are fetched concurrently. If a guardian was lost together
// with the owner, each range for which it is the only guardian takes the whole wait.
const parallelFetches = 64

// fetchLostRows fetches the idempotency rows of ranges that this process took over. Until they are present, it doesn't
// run non-repeatable requests of these ranges. Each epoch is fetched on its own: ranges of one lost owner don't wait for
// the guardians of another.
func (d *Daemon) fetchLostRows(n *incarnation) {
	ranges, window := d.lostRanges(n)
	for epoch, lost := range ranges {
		if _, running := n.fetching.LoadOrStore(epoch, true); running {
			continue
		}
		d.tasks.Go(func() {
			defer n.fetching.Delete(epoch)
			d.fetchEpoch(n, epoch, lost, window)
		})
	}
}

// lostRanges returns the ranges whose rows have to be fetched, by epoch, and the idempotency window.
func (d *Daemon) lostRanges(n *incarnation) (map[applier.Offset][]lostRange, time.Duration) {
	ranges := map[applier.Offset][]lostRange{}
	var window time.Duration
	d.state.View(func(s *applier.State) {
		if s.Configuration != nil {
			window = s.Configuration.Services[n.backend.Service].EffectiveIdempotencyWindow()
		}
		for _, a := range s.Owned(n.id) {
			if len(a.Lineage) == 0 || n.hasFetched(a.Epoch) {
				continue
			}
			l := lostRange{assignment: a}
			for _, owner := range a.Lineage {
				l.owners = append(l.owners, newLostOwner(s, owner))
			}
			ranges[a.Epoch] = append(ranges[a.Epoch], l)
		}
	})
	return ranges, window
}

// hasFetched reports whether the rows of an epoch have been fetched from the guardians of the lost owners.
func (n *incarnation) hasFetched(epoch applier.Offset) bool {
	_, done := n.fetchedEpochs.Load(epoch)
	return done
}

// fetchEpoch fetches the rows of the ranges that were taken over at an epoch.
func (d *Daemon) fetchEpoch(n *incarnation, epoch applier.Offset, ranges []lostRange, window time.Duration) {
	if n.hasFetched(epoch) {
		// Another fetch has ended since the ranges were listed.
		return
	}
	var blocked missingRows
	var fetches sync.WaitGroup
	limit := make(chan struct{}, parallelFetches)
	for _, l := range ranges {
		limit <- struct{}{}
		fetches.Go(func() {
			defer func() { <-limit }()
			d.fetchRange(n, l, window, &blocked)
		})
	}
	fetches.Wait()
	for owners, count := range blocked.ranges {
		d.log("state", "idempotency rows missing", "member", n.id, "ranges", count, "lost", owners)
	}
	d.settleEpoch(n, epoch)
}

// fetchRange fetches the rows of one range. If rows may be missing, it blocks non-repeatable requests of the range for
// the idempotency window, and counts the range.
func (d *Daemon) fetchRange(n *incarnation, l lostRange, window time.Duration, blocked *missingRows) {
	// The previous owners had ended before the first fetch began. It may be repeated.
	began, _ := n.fetchesBegan.LoadOrStore(l.assignment.Epoch, timer.Now())
	// A source that has released the range has handed over its rows.
	l.owners = slices.DeleteFunc(l.owners, func(o lostOwner) bool { return n.received.contains(o.id, l.assignment.Range) })
	if !l.assignment.Incomplete && d.importLineage(n, l) {
		return
	}
	end := began.(time.Duration) + window
	d.metrics.GetOrCreateCounter("hibiscus_ranges_blocked_total").Inc()
	blocked.add(l)
	n.dispatcher.WithRows(func(t *deduper.Table) {
		now := timer.Now()
		t.Block(now, deduper.Block{Service: n.backend.Service, Range: l.assignment.Range, Remaining: end - now})
	})
}

const (
	// rejoinTime is how long a guardian may take to join again after its lease has lapsed. The loss of a few members of a small
	// fleet can make the leases of all others lapse, and the rows are with processes that are about to be members again.
	rejoinTime = 4 * time.Second
	// rejoinInterval is the wait before the guardians are asked again.
	rejoinInterval = 500 * time.Millisecond
)

// importLineage imports the rows of all previous owners of a range, and reports whether they are complete. It asks again
// while guardians may join again.
func (d *Daemon) importLineage(n *incarnation, l lostRange) bool {
	for end := timer.Now() + rejoinTime; ; {
		complete := true
		for _, owner := range l.owners {
			complete = d.importRows(n, owner, l.assignment.Range) && complete
		}
		if complete {
			return true
		}
		if timer.Now() >= end || !timer.Sleep(context.Background(), rejoinInterval) {
			return false
		}
		d.state.View(func(s *applier.State) {
			for i := range l.owners {
				l.owners[i] = newLostOwner(s, l.owners[i].id)
			}
		})
	}
}

// lostRange is a range that was taken over, with the previous owners whose rows are needed.
type lostRange struct {
	assignment applier.Assignment
	owners     []lostOwner
}

// describeOwners lists the lost owners, each with its guardians that could be asked.
func (l lostRange) describeOwners() string {
	var owners []string
	for _, o := range l.owners {
		var names []string
		for _, g := range o.guardians {
			names = append(names, g.Name)
		}
		owners = append(owners, fmt.Sprintf("%s asked=[%s]", o.id, strings.Join(names, " ")))
	}
	return strings.Join(owners, ", ")
}

// missingRows counts the ranges that are blocked, by their lost owners.
type missingRows struct {
	mu     sync.Mutex
	ranges map[string]int
}

func (r *missingRows) add(l lostRange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranges == nil {
		r.ranges = map[string]int{}
	}
	r.ranges[l.describeOwners()]++
}

// lostOwner is a removed member, with those of its guardians that are still in the state.
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
		if m := memberOrSuccessor(s, g); m != nil {
			lost.guardians = append(lost.guardians, *m)
		}
	}
	return lost
}

// memberOrSuccessor returns a member, or, if that was removed, the member that its process has joined as since, or nil. A
// process whose lease has lapsed keeps the rows that it holds for others, and one that was started again says that it has
// none.
func memberOrSuccessor(s *applier.State, id applier.MemberID) *applier.Member {
	if m, present := s.Members[id]; present {
		return m
	}
	removal, known := s.Removal(id)
	if !known {
		return nil
	}
	for _, m := range s.Members {
		if m.Name == removal.Name {
			return m
		}
	}
	return nil
}

// importRows imports the rows that the guardians of a lost owner hold, and reports whether one of them has a complete
// set. The guardians are queried concurrently, because one that was lost together with the owner delays its query until
// the timeout.
func (d *Daemon) importRows(n *incarnation, owner lostOwner, r hasher.Range) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	query := encoder.RowsQuery{Owner: owner.id, Service: n.backend.Service, Range: r, Version: owner.version}
	responses := make(chan encoder.Rows, len(owner.guardians))
	for _, g := range owner.guardians {
		go func() {
			if g.ID == n.id {
				responses <- d.queryRows(query)
				return
			}
			// A failed query counts as a response without rows.
			rows, _ := call[encoder.Rows](ctx, d, lostRows.Answer(), g.Address, query)
			responses <- rows
		}()
	}
	for range owner.guardians {
		rows := <-responses
		n.dispatcher.WithRows(func(t *deduper.Table) { t.Import(timer.Now(), rows.Rows) })
		if rows.Complete {
			return true
		}
	}
	return false
}

// settleEpoch sends the imported rows to this member's own guardians and then admits non-repeatable requests again. All
// epochs that have been fetched meanwhile are settled together, because all rows are sent.
func (d *Daemon) settleEpoch(n *incarnation, epoch applier.Offset) {
	n.unsettled.Store(epoch, true)
	n.exportMu.Lock()
	defer n.exportMu.Unlock()
	if _, present := n.unsettled.Load(epoch); !present {
		return
	}
	var epochs []applier.Offset
	n.unsettled.Range(func(e, _ any) bool {
		epochs = append(epochs, e.(applier.Offset))
		n.unsettled.Delete(e)
		return true
	})
	ctx, cancel := storedRows.Answer().Context(context.Background())
	defer cancel()
	guardians, version := d.guardiansOf(n.id)
	if _, err := d.sendAllRows(ctx, n, guardians, version); err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_rows_unsent_total").Inc()
		return
	}
	var waitEnd time.Duration
	for _, e := range epochs {
		n.fetchedEpochs.Store(e, true)
		n.fetchesBegan.Delete(e)
		waitEnd = max(waitEnd, n.dispatcher.TakeOverWaitEnd(e))
	}
	// The Settle record clears the list of lost owners, which tells a further successor that it has to wait. It is
	// therefore appended only after this wait has ended.
	time.AfterFunc(max(0, waitEnd-timer.Now()), func() { d.appendSettle(n) })
}

// appendSettle declares that this member has the rows of its ranges up to an epoch.
func (d *Daemon) appendSettle(n *incarnation) {
	if n.leaving.Load() || n.removed.Load() {
		return
	}
	var newest applier.Offset
	d.state.View(func(s *applier.State) { newest = n.newestSettled(s.Owned(n.id)) })
	if newest > 0 {
		d.appendOnce(applier.Settle{Member: n.id, AsOf: newest})
	}
}

// newestSettled returns the newest epoch that a Settle record may name, or zero if there is none. The record covers all
// older epochs too, so none of them may lack its rows or wait after its take-over.
func (n *incarnation) newestSettled(owned []applier.Assignment) (newest applier.Offset) {
	taken := slices.DeleteFunc(slices.Clone(owned), func(a applier.Assignment) bool { return len(a.Lineage) == 0 })
	slices.SortFunc(taken, func(a, b applier.Assignment) int { return cmp.Compare(a.Epoch, b.Epoch) })
	for _, a := range taken {
		if !n.hasFetched(a.Epoch) || n.dispatcher.TakeOverWaitEnd(a.Epoch) > timer.Now() {
			break
		}
		newest = a.Epoch
	}
	return newest
}
