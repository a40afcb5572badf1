package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/delegator"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

const (
	// recordsWaitDivisor limits the hold of a read of the records to a fraction of the lease, which runs from the start of a
	// read.
	recordsWaitDivisor = 5
	// storeCallTimeout bounds a call to the store that isn't repeated while it is pending.
	storeCallTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the wait after a failed change of the assignment.
	storeRetryDelay = 250 * time.Millisecond
	// batchDelayPerMember is the wait after a read that returned records, per member of the system. It batches records
	// that arrive together, so that the number of calls of all sidecars doesn't grow with the square of their number.
	// Sidecars that need a record sooner get it from others.
	batchDelayPerMember = 12 * time.Millisecond
	// configurationBatchDelay is the wait after a read that returned a configuration.
	configurationBatchDelay = 250 * time.Millisecond
)

// followRecords keeps the records of the system up to date, by reading the store or from a sidecar in its zone that
// reads it.
func (a *Sidecar) followRecords(ctx context.Context) {
	loaded := false
	hold := waiter.Hold{}
	for ctx.Err() == nil {
		var err error
		if !loaded || a.store.Era() > a.registrar.View().Era {
			err = a.loadRecords(ctx)
			loaded = err == nil
		} else if r, delegated := a.nextSource().(delegator.Reader); delegated {
			a.pollReader(ctx, r.Name, a.relayHold())
			continue
		} else {
			var count int
			count, err = a.readRecords(ctx, hold)
			if errors.Is(err, platform.ErrExpired) || errors.Is(err, errLaterEra) {
				loaded, err = false, nil
			}
			if err == nil && count > 0 && !timer.Sleep(ctx, a.batchDelay()) {
				return
			}
		}
		if err != nil {
			a.storeHealth.markDown(err)
			// The answer renews the lease, so the next one must come at once.
			hold = waiter.Hold{}
			if !a.awaitStore(ctx) {
				return
			}
			continue
		}
		hold = a.recordsHold()
		a.storeHealth.markUp()
	}
}

// batchDelay returns the wait after a read that returned records. It is bounded, so that reads renew the lease and find new
// records in time.
func (a *Sidecar) batchDelay() time.Duration {
	delay := time.Duration(len(a.registrar.View().Members)) * batchDelayPerMember
	return min(delay, a.promises.records.Pause(), leaseTerm(a.bounds.MaxHold)/recordsWaitDivisor)
}

func (a *Sidecar) loadRecords(ctx context.Context) error {
	answer, err := a.readStore(ctx, storeRead{topic: platform.RecordsTopic, promise: a.promises.records, newest: true})
	if err != nil {
		return err
	}
	a.enterEra(answer.entries, registrar.Position{Era: answer.era, Offset: answer.next})
	// Pages are read one after the other, so a record may be missing until later reads return it. This load therefore
	// doesn't prove that the table is the newest.
	a.mu.Lock()
	a.loaded = true
	a.mu.Unlock()
	a.applyMu.Lock()
	deletions := a.registrar.Deletions(answer.entries, answer.next)
	a.applyMu.Unlock()
	if !a.apply(append(answer.entries, deletions...), registrar.Position{Era: answer.era, Offset: answer.next}, 0) {
		return errEarlierEra
	}
	return nil
}

// readRecords reads and applies the records after the known ones and returns their number.
func (a *Sidecar) readRecords(ctx context.Context, hold waiter.Hold) (int, error) {
	v := a.registrar.View()
	answer, err := a.readStore(ctx, storeRead{topic: platform.RecordsTopic, promise: a.promises.records, from: v.End, hold: hold})
	switch {
	case err != nil:
		return 0, err
	case answer.era > v.Era:
		return 0, errLaterEra
	}
	readStart := time.Duration(0)
	if answer.completeAt != 0 {
		readStart = answer.start
	}
	if !a.apply(answer.entries, registrar.Position{Era: answer.era, Offset: answer.next}, readStart) {
		return 0, errEarlierEra
	}
	return len(answer.entries), nil
}

type suspicionKey struct {
	service string
	assigner.Suspicion
}

// apply applies records up to a position. It drops those of another era than that of the view and reports false. readStart is
// the start time of a read that returned all records of the store, or zero.
func (a *Sidecar) apply(entries []registrar.Entry, end registrar.Position, readStart time.Duration) bool {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if end.Era != a.registrar.View().Era {
		a.logOtherEra("records", end.Era)
		return false
	}
	if err := a.registrar.Apply(entries, end.Offset); err != nil {
		_ = a.logger.Log("event", "records_unreadable", "error", err)
	}
	a.applyView(a.registrar.View(), len(entries), readStart)
	return true
}

// applyView applies a new view to the state that is derived from the records. count is the number of records that were applied.
// The caller holds applyMu.
func (a *Sidecar) applyView(v *registrar.View, count int, readStart time.Duration) {
	now := timer.Now()
	if count > 0 {
		a.lastRecordAt = now
	}
	a.caughtUpAt = max(a.caughtUpAt, readStart)
	for service, t := range v.Tables {
		for _, s := range t.Suspects {
			key := suspicionKey{service, s}
			if _, known := a.suspectedSince[key]; !known {
				a.suspectedSince[key] = now
				_ = a.logger.Log("event", "suspicion_read", "service", service, "member", s.Member, "serial", s.Serial, "offset", v.End)
			}
		}
	}
	a.mu.Lock()
	if own, settled := v.MemberBeforeEnd(a.settings.Name); settled {
		a.published = own
		a.eraUnconfirmed = a.eraUnconfirmed && own.Epoch != a.own.Epoch
		if own.Epoch != a.own.Epoch {
			a.predecessor = own
		}
		if a.leavingsKnown {
			a.resumeServer()
		}
		a.endUseOfLeftServer()
	}
	if !a.leavingsAsked && (a.loaded || len(v.Members) > 0) {
		a.leavingsAsked = true
		go a.fetchLeavings()
	}
	if readStart != 0 && !a.eraUnconfirmed {
		a.granter.Observe(v.Tables[a.settings.Service], readStart)
	} else {
		a.granter.AdoptUnverified(v.Tables[a.settings.Service])
	}
	a.confirmGrants()
	a.mu.Unlock()
	if count > 0 {
		a.updates.send()
	}
	wake(a.planWake)
	wake(a.publishWake)
	wake(a.callWake)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
