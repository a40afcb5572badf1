package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// Reasons to reject a heartbeat that can be decoded.
var (
	errWrongAddress   = errors.New("heartbeat: the address isn't that of the server beside the process")
	errUnknownService = errors.New("heartbeat: the service is not configured")
	errNoKeyLists     = errors.New("heartbeat: holds and freed are missing, which servers of this service send")
)

// confirmGrants enables grants once the store holds a record of this sidecar that names the server's current
// incarnation as a possible holder of keys. Before that, other sidecars may still reassign its keys. A server that may have
// left gets no grants, so that its keys move once the earlier ones have expired.
func (a *Sidecar) confirmGrants() {
	p := a.published
	if p.State.Running() && p.Epoch == a.own.Epoch && a.server.state != registrar.Ended && !a.server.unconfirmed {
		a.granter.Confirm(p.Incarnation, p.Revision)
	}
}

// maxConflictBackoff is the longest random wait after a conflict with another sidecar's append.
const maxConflictBackoff = 30 * time.Millisecond

// maxAppendAttempts bounds the attempts to append a change while other sidecars append at the same time.
const maxAppendAttempts = 8

// appendChange appends records that are built from a view, on the condition that nothing was appended since that view.
// On a conflict it reads the new records and tries again.
func (a *Sidecar) appendChange(
	ctx context.Context, reason string, build func(*registrar.View) ([]platform.Record, error),
) error {
	for range maxAppendAttempts {
		v := a.registrar.View()
		if a.store.Era() > v.Era {
			return errors.Wrap(errLaterEra, reason)
		}
		records, err := build(v)
		if err != nil || len(records) == 0 {
			return err
		}
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		a.metrics.count(`hibiscus_store_calls_total{call="append"}`)
		first, err := a.store.Append(call, platform.ExpectedEnd(v.End), records)
		cancel()
		switch {
		case err == nil && first.Era != v.Era:
			return errors.Wrap(errLaterEra, reason)
		case err == nil:
			a.applyAppended(reason, first, records, first.Offset+uint64(len(records)))
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return errors.Wrap(err, reason)
		}
		if !timer.Sleep(ctx, rand.N(maxConflictBackoff)) {
			return errors.Wrap(ctx.Err(), reason)
		}
		if err := a.catchUp(ctx, v.Position()); err != nil {
			return errors.Wrap(err, reason)
		}
	}
	return errors.Wrap(platform.ErrConflict, reason)
}

// applyAppended applies records of this sidecar that the store has acknowledged. The end is the offset before which all
// records are known, or zero if that is unknown.
func (a *Sidecar) applyAppended(reason string, first registrar.Position, records []platform.Record, end uint64) {
	entries := make([]registrar.Entry, len(records))
	for i, r := range records {
		entries[i] = registrar.Entry{Key: r.Key, Offset: first.Offset + uint64(i), Value: r.Value}
	}
	_ = a.logger.Log("event", "appended", "why", reason, "era", first.Era, "offset", first.Offset, "records", len(records))
	a.apply(entries, registrar.Position{Era: first.Era, Offset: end}, 0)
}

// catchUp reads and applies the records from a position on.
func (a *Sidecar) catchUp(ctx context.Context, from registrar.Position) error {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
	b, err := a.store.Read(call, platform.RecordsTopic, from.Offset, waiter.Hold{})
	switch {
	case err != nil:
		return err
	case b.Era > from.Era:
		return errLaterEra
	}
	a.apply(b.Entries, registrar.Position{Era: b.Era, Offset: b.Next}, 0)
	return nil
}

// publishOwn keeps this sidecar's record in the store up to date.
func (a *Sidecar) publishOwn(ctx context.Context) {
	for {
		select {
		case <-a.publishWake:
		case <-ctx.Done():
			return
		}
		if err := a.publishOnce(ctx); err != nil {
			_ = a.logger.Log("event", "publish_failed", "error", err)
			if !timer.Sleep(ctx, a.storeHealth.retryDelay()) {
				return
			}
			wake(a.publishWake)
		}
	}
}

// publishOnce appends this sidecar's record if it differs from the stored one. An append without response is retried
// under the same sequence number until it is acknowledged, so that it can't take effect after a later one.
func (a *Sidecar) publishOnce(ctx context.Context) error {
	if era := a.registrar.View().Era; era != a.publishEra {
		a.publishEra, a.sequence, a.unacknowledged = era, 0, nil
	}
	if a.unacknowledged == nil {
		record, err := a.ownRecord()
		if err != nil || record == nil {
			return err
		}
		a.unacknowledged = record
	}
	a.mu.Lock()
	producer := platform.Producer{ID: a.settings.Name, Epoch: a.own.Epoch, Sequence: a.sequence}
	a.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="append"}`)
	first, err := a.store.Append(call, producer, a.unacknowledged)
	if errors.Is(err, platform.ErrFenced) {
		// Another process of this name has a later epoch, or the sequence has a gap. Restart the sequence in a new
		// epoch.
		a.mu.Lock()
		a.own.Epoch++
		a.mu.Unlock()
		a.sequence, a.unacknowledged = 0, nil
	}
	if err != nil {
		return err
	}
	records := a.unacknowledged
	a.sequence, a.unacknowledged = a.sequence+1, nil
	a.applyAppended("own record", first, records, 0)
	return nil
}

// ownRecord returns this sidecar's record if it differs from the stored one, or nil.
func (a *Sidecar) ownRecord() ([]platform.Record, error) {
	v := a.registrar.View()
	stored, found := v.StoredMember(a.settings.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.loaded || a.own.State == registrar.Absent && !found {
		return nil, nil
	}
	if a.own.Epoch <= stored.Epoch && a.sequence == 0 {
		a.own.Epoch = max(stored.Epoch, assigner.CounterFloor(v.Era)) + 1
	}
	own := a.own
	own.Stopping = a.stopping.Load()
	if own.State == registrar.Absent {
		own.Incarnation, own.State, own.Slots, own.Service = stored.Incarnation, v.Members[own.Name].State, stored.Slots, stored.Service
	}
	if own.State == registrar.Ready && v.HasLeft(own.Name, own.Incarnation) {
		own.State = registrar.Draining
	}
	if found && stored == own && !v.Unreadable(registrar.MemberKey(own.Name)) {
		return nil, nil
	}
	value, err := own.Encode()
	return []platform.Record{{Key: registrar.MemberKey(own.Name), Value: value}}, err
}

// tableRecord returns the record of a changed table, or nil without a table.
func tableRecord(t *assigner.Table) ([]platform.Record, error) {
	if t == nil {
		return nil, nil
	}
	value, err := t.Encode()
	return []platform.Record{{Key: registrar.TableKey(t.Service), Value: value}}, err
}

// changeTable changes the assignment of this sidecar's service and notifies the owners that gain keys.
func (a *Sidecar) changeTable(
	ctx context.Context, reason string, build func(*registrar.View, *assigner.Table) *assigner.Table,
) error {
	var before, after *assigner.Table
	err := a.appendChange(ctx, reason, func(v *registrar.View) ([]platform.Record, error) {
		before = v.Tables[a.settings.Service]
		after = a.openTable(v, before)
		if after == nil {
			after = build(v, before)
		}
		records, err := tableRecord(after)
		if err != nil || after == nil {
			return nil, err
		}
		if !v.Marked() {
			mark := platform.Record{Key: registrar.EraKey, Value: registrar.EncodeEra(v.Era)}
			records = append([]platform.Record{mark}, records...)
		}
		// An empty record deletes the member. A sidecar that still runs publishes its record again.
		for _, member := range assigner.SuspectsWithoutSlices(before, after) {
			records = append(records, platform.Record{Key: registrar.MemberKey(member)})
		}
		return records, nil
	})
	if err != nil {
		_ = a.logger.Log("event", "table_unchanged", "why", reason, "error", err)
		return err
	}
	if after != nil {
		a.notify(assigner.NewOwners(before, after))
	}
	return nil
}

// releaseSlices transfers released slices to their new owners. Heartbeats report them until that is done, so the next
// heartbeat retries a failed attempt.
func (a *Sidecar) releaseSlices(owner assigner.Owner, list []assigner.Released) {
	if !a.releaseBusy.CompareAndSwap(false, true) {
		return
	}
	defer a.releaseBusy.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = a.changeTable(ctx, "release", func(_ *registrar.View, t *assigner.Table) *assigner.Table {
		if t == nil {
			return nil
		}
		return assigner.Release(t, owner, a.stillReleased(t, list))
	})
}

// stillReleased returns the slices that the server has not been granted again while the release waited for the store.
func (a *Sidecar) stillReleased(t *assigner.Table, list []assigner.Released) []assigner.Released {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granter.StillReleased(t, list)
}

// releaseTimeout bounds one attempt to transfer released slices.
const releaseTimeout = 3 * time.Second
