package attendant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

var errWrongAddress = errors.New("heartbeat: the address isn't that of the server beside the process")

// confirmGrants allows grants once the store holds a record of this process that names the server's present incarnation as one that
// may hold keys. Before that, other processes may still give its keys away.
func (a *Attendant) confirmGrants() {
	p := a.published
	holds := p.State == registrar.Ready || p.State == registrar.Draining
	if holds && p.Epoch == a.own.Epoch && a.server.state != registrar.Ended {
		a.granter.Confirm(p.Incarnation, p.Revision)
	}
}

// conflictPause is the longest random wait after another process's append came first.
const conflictPause = 30 * time.Millisecond

// appendRetries bounds the tries of a change when other processes append at the same time.
const appendRetries = 8

// change appends records on the condition that nothing was appended since the view that they are made from.
func (a *Attendant) change(ctx context.Context, why string, build func(*registrar.View) ([]platform.Record, error)) error {
	for range appendRetries {
		v := a.registrar.View()
		records, err := build(v)
		if err != nil || len(records) == 0 {
			return err
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		a.metrics.count(`hibiscus_store_calls_total{call="append"}`)
		offset, err := a.store.Append(call, platform.EndsAt(v.End), records)
		cancel()
		if err == nil {
			a.appended(why, offset, records, offset+uint64(len(records)))
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return errors.Wrap(err, why)
		}
		if !timer.Sleep(ctx, rand.N(conflictPause)) {
			return errors.Wrap(ctx.Err(), why)
		}
		if err := a.catchUp(ctx, v.End); err != nil {
			return errors.Wrap(err, why)
		}
	}
	return errors.Wrap(platform.ErrConflict, why)
}

// appended takes the process's own records that the store has acknowledged. The end is the offset before which nothing is
// unseen, or zero.
func (a *Attendant) appended(why string, offset uint64, records []platform.Record, end uint64) {
	entries := make([]registrar.Entry, len(records))
	for i, r := range records {
		entries[i] = registrar.Entry{Key: r.Key, Offset: offset + uint64(i), Value: r.Value}
	}
	_ = a.logger.Log("event", "appended", "why", why, "offset", offset, "records", len(records))
	a.apply(entries, end, 0)
}

// catchUp reads the records that were appended since an offset.
func (a *Attendant) catchUp(ctx context.Context, from uint64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
	b, err := a.store.Read(call, platform.RecordsTopic, from, 0)
	if err != nil {
		return err
	}
	a.apply(b.Entries, b.Next, 0)
	return nil
}

// publishOwn keeps the process's own record in the store true.
func (a *Attendant) publishOwn(ctx context.Context) {
	for {
		select {
		case <-a.publish:
		case <-ctx.Done():
			return
		}
		if err := a.publishOnce(ctx); err != nil {
			_ = a.logger.Log("event", "publish_failed", "error", err)
			if !timer.Sleep(ctx, storePause) {
				return
			}
			signal(a.publish)
		}
	}
}

// publishOnce appends the process's own record if it differs from the stored one. A record whose append got no answer is sent
// again under its sequence until there is one, so that it can't take effect after a later one.
func (a *Attendant) publishOnce(ctx context.Context) error {
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
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="append"}`)
	offset, err := a.store.Append(call, producer, a.unacknowledged)
	if errors.Is(err, platform.ErrFenced) {
		// A process of this name with a later epoch, or a gap in the sequence: a new epoch starts anew.
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
	a.appended("own record", offset, records, 0)
	return nil
}

// ownRecord returns the process's own record if it differs from the stored one.
func (a *Attendant) ownRecord() ([]platform.Record, error) {
	stored, found := a.registrar.View().Members[a.settings.Name]
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.loaded || a.own.State == registrar.Absent && !found {
		return nil, nil
	}
	if a.own.Epoch <= stored.Epoch && a.sequence == 0 {
		a.own.Epoch = stored.Epoch + 1
	}
	own := a.own
	own.Stopping = a.stopping.Load()
	if own.State == registrar.Absent {
		own.Incarnation, own.State, own.Slots, own.Service = stored.Incarnation, stored.State, stored.Slots, stored.Service
	}
	if found && stored == own {
		return nil, nil
	}
	value, err := own.Encode()
	return []platform.Record{{Key: registrar.MemberKey(own.Name), Value: value}}, err
}

// tableRecord returns the record of a changed table.
func tableRecord(t *assigner.Table) ([]platform.Record, error) {
	if t == nil {
		return nil, nil
	}
	value, err := t.Encode()
	return []platform.Record{{Key: registrar.TableKey(t.Service), Value: value}}, err
}

// changeTable changes the assignment of the process's own service and tells the owners that gain keys by it.
func (a *Attendant) changeTable(ctx context.Context, why string, build func(*registrar.View, *assigner.Table) *assigner.Table) error {
	var before, after *assigner.Table
	err := a.change(ctx, why, func(v *registrar.View) ([]platform.Record, error) {
		before = v.Tables[a.settings.Service]
		after = build(v, before)
		records, err := tableRecord(after)
		if err != nil || after == nil {
			return nil, err
		}
		// A process that is alive after all writes its record again.
		for _, member := range assigner.SuspectsWithoutSlices(before, after) {
			records = append(records, platform.Record{Key: registrar.MemberKey(member)})
		}
		return records, nil
	})
	if err != nil {
		_ = a.logger.Log("event", "table_unchanged", "why", why, "error", err)
		return err
	}
	if after != nil {
		a.notify(assigner.NewOwners(before, after))
	}
	return nil
}

// releaseSlices gives released slices to their new owners. Heartbeats report them until that is done, so a failed try is
// repeated by the next heartbeat.
func (a *Attendant) releaseSlices(owner assigner.Owner, list []assigner.Released) {
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
		return assigner.Release(t, owner, list)
	})
}

// releaseTimeout bounds one try to give released slices away.
const releaseTimeout = 3 * time.Second
