package sidecar

import (
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// Errors of a process whose records are of another era of the store than an answer.
var (
	// errLaterEra means that the store has come back from an older copy since the records were loaded.
	errLaterEra = errors.New("the store has begun a later era")
	// errEarlierEra means that an answer was late.
	errEarlierEra = errors.New("the answer is of an earlier era of the store")
)

// enterEra replaces the records by the newest ones of a later era of the store. It does nothing if they are of the present era or
// of an earlier one.
func (a *Sidecar) enterEra(entries []registrar.Entry, end registrar.Position) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	before := a.registrar.View()
	if end.Era <= before.Era {
		return
	}
	now := timer.Now()
	a.eraSince, a.caughtUpAt, a.lastRecordAt = now, 0, now
	clear(a.suspectedSince)
	if err := a.registrar.Enter(entries, end); err != nil {
		_ = a.logger.Log("event", "records_unreadable", "error", err)
	}
	a.mu.Lock()
	a.granter.Enter(now, end.Era)
	claims := a.granter.ClaimCount()
	a.eraUnconfirmed = true
	if a.own.Epoch != 0 {
		// The store may have forgotten the present epoch. The next one fences what is on its way.
		a.own.Epoch = assigner.CounterFloor(end.Era) + 1
	}
	a.mu.Unlock()
	a.metrics.count("hibiscus_store_eras_total")
	_ = a.logger.Log("event", "store_era", "era", end.Era, "before", before.Era, "end", end.Offset, "end_before", before.End,
		"members", len(a.registrar.View().Members), "members_before", len(before.Members), "claims", claims)
	a.applyView(a.registrar.View(), len(entries), 0)
	wake(a.newerConfig)
}

// logOtherEra logs that something was dropped because it is of another era of the store than the records.
func (a *Sidecar) logOtherEra(what string, era uint64) {
	a.metrics.count("hibiscus_other_era_dropped_total")
	_ = a.logger.Log("event", "other_era_dropped", "what", what, "era", era, "present", a.registrar.View().Era)
}

// openTable returns the table that opens the present era, with the claims of this process, or nil if it is open or there is
// none.
func (a *Sidecar) openTable(v *registrar.View, t *assigner.Table) *assigner.Table {
	if t == nil || t.Era >= v.Era {
		return nil
	}
	opened := assigner.Open(t, v.Era)
	if next := a.applyClaims(opened); next != nil {
		return next
	}
	return opened
}

// applyClaims returns a table with the claims of this process that it lacks, or nil if it lacks none.
func (a *Sidecar) applyClaims(t *assigner.Table) *assigner.Table {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.granter.Unwritten(t)
	if len(list) == 0 {
		return nil
	}
	return assigner.ApplyClaims(t, assigner.Owner{Member: a.settings.Name, Incarnation: a.granter.Incarnation()}, list)
}

// settledAt returns the time from which a table that settles may be settled: when all leases of earlier eras have ended.
func (a *Sidecar) settledAt() time.Duration {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	return a.eraSince + a.maxLease()
}

// maxLease returns the longest time for which another process may use a lease.
func (a *Sidecar) maxLease() time.Duration {
	return time.Duration(clockDrift*float64(leaseTerm(a.bounds.MaxHold))) + suspectMargin
}
