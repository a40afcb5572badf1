package dispatcher

import (
	"context"
	"sync"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
	"hibiscusline/timer"
)

// Lease provides the time until which this process may serve as owner.
type Lease interface {
	// ValidUntil returns the end of the lease by the clock of package timer.
	ValidUntil() time.Duration
}

// ownership tracks the running requests of owned ranges, so that a move can wait for them, and the ranges that must not
// be served yet.
type ownership struct {
	mu       sync.Mutex
	paused   []hasher.Range
	inFlight map[uint64]hasher.Position
	next     uint64
	idle     chan struct{}
	// waitUntil holds, by epoch, the time before which a range taken over from an unfenced server must not be served.
	waitUntil map[applier.Offset]time.Duration
}

// grant is the permission to run one request.
type grant struct {
	assignment applier.Assignment
	release    func()
}

// enter checks that this process owns a position now. The grant must be released when the request has ended.
//
// The request counts as in flight before the check. A range that the state assigns to another member is released when
// no request is in flight, and a request that was checked before that change must delay the release.
func (d *Dispatcher) enter(service string, p hasher.Position) (grant, encoder.Reason) {
	o := &d.ownership
	id, reason := o.start(p)
	if reason != encoder.NoReason {
		return grant{}, reason
	}
	assignment, reason := d.check(service, p)
	if reason != encoder.NoReason {
		o.leave(id)
		return grant{}, reason
	}
	return grant{assignment: assignment, release: func() { o.leave(id) }}, encoder.NoReason
}

// start counts a request as in flight, unless its range is paused.
func (o *ownership) start(p hasher.Position) (uint64, encoder.Reason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.paused {
		if r.Contains(p) {
			return 0, encoder.Moving
		}
	}
	o.next++
	o.inFlight[o.next] = p
	return o.next, encoder.NoReason
}

// leave ends a request that start has counted and wakes AwaitRangesIdle.
func (o *ownership) leave(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, id)
	if o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// check checks the owner in the state, the lease, the release by the previous owner and the waiting time after a
// take-over.
func (d *Dispatcher) check(service string, p hasher.Position) (applier.Assignment, encoder.Reason) {
	var a applier.Assignment
	var found bool
	var wait time.Duration
	d.config.State.View(func(s *applier.State) {
		a, found = s.Lookup(service, p)
		wait = takeOverWait(s, service, a)
	})
	if !found || a.Owner != d.config.Self() {
		return a, encoder.NotOwner
	}
	if timer.Now() >= d.config.Lease.ValidUntil() {
		return a, encoder.NoLease
	}
	if a.Source != 0 && !d.config.Released(a.Source, a.Epoch) {
		return a, encoder.Moving
	}
	if wait > 0 && d.ownership.inTakeOverWait(a.Epoch, wait) {
		return a, encoder.Moving
	}
	return a, encoder.NoReason
}

// recheck repeats the check for a request that has waited in the queue. The request may still run if its range has
// moved away in the meantime, because the range is released only after the request has ended.
func (d *Dispatcher) recheck(j *job) encoder.Reason {
	if d.evacuated(j.head.Keyed) {
		return encoder.Evacuated
	}
	if !j.head.Keyed {
		return encoder.NoReason
	}
	a, reason := d.check(j.head.Service, j.head.Position)
	if reason == encoder.NotOwner && a.Source == d.config.Self() && timer.Now() < d.config.Lease.ValidUntil() {
		return encoder.NoReason
	}
	if reason == encoder.NoReason && a.Epoch != j.grant.assignment.Epoch {
		return encoder.NotOwner
	}
	return reason
}

// takeOverWait returns how long a successor must wait before it serves a range. The wait is needed because an unfenced
// backend server of the lost owner doesn't check epochs and may still be running a request.
func takeOverWait(s *applier.State, service string, a applier.Assignment) time.Duration {
	if len(a.Lineage) == 0 {
		return 0
	}
	for _, id := range a.Lineage {
		// A removal that is no longer in the state is so old that its server can't be running a request any more.
		if lost, known := s.Removal(id); known && !lost.Fenced {
			return s.Configuration.Services[service].MaxRequestTime.Value()
		}
	}
	return 0
}

// TakeOverWaitEnd returns the time from which a range at an epoch may be served, by the clock of package timer. It is
// in the past for most ranges.
func (d *Dispatcher) TakeOverWaitEnd(epoch applier.Offset) time.Duration {
	d.ownership.mu.Lock()
	defer d.ownership.mu.Unlock()
	return d.ownership.waitUntil[epoch]
}

// inTakeOverWait reports whether the waiting time of an epoch has not ended yet. The first call starts it.
func (o *ownership) inTakeOverWait(epoch applier.Offset, wait time.Duration) bool {
	now := timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	until, started := o.waitUntil[epoch]
	if !started {
		until = now + wait
		o.waitUntil[epoch] = until
	}
	return now < until
}

// pruneTakeOverWaits drops the waiting times of epochs that no longer need one.
func (o *ownership) pruneTakeOverWaits(needed map[applier.Offset]time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for epoch := range o.waitUntil {
		if _, present := needed[epoch]; !present {
			delete(o.waitUntil, epoch)
		}
	}
}

// Pause stops admitting requests of the ranges and waits until none is running. It returns the function that admits
// them again.
func (d *Dispatcher) Pause(ctx context.Context, ranges []hasher.Range) (func(), error) {
	o := &d.ownership
	o.mu.Lock()
	o.paused = append(o.paused, ranges...)
	o.mu.Unlock()
	resume := func() { o.resume(ranges) }
	if err := d.AwaitRangesIdle(ctx, ranges); err != nil {
		resume()
		return nil, err
	}
	return resume, nil
}

// AwaitRangesIdle waits until no request of the ranges is running. Ranges that this process still owns receive new
// requests in the meantime.
func (d *Dispatcher) AwaitRangesIdle(ctx context.Context, ranges []hasher.Range) error {
	o := &d.ownership
	for {
		o.mu.Lock()
		busy := o.anyRunning(ranges)
		if o.idle == nil {
			o.idle = make(chan struct{})
		}
		idle := o.idle
		o.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *ownership) anyRunning(ranges []hasher.Range) bool {
	for _, p := range o.inFlight {
		for _, r := range ranges {
			if r.Contains(p) {
				return true
			}
		}
	}
	return false
}

func (o *ownership) resume(ranges []hasher.Range) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range ranges {
		for i, p := range o.paused {
			if p == r {
				o.paused = append(o.paused[:i], o.paused[i+1:]...)
				break
			}
		}
	}
}

// AwaitIdle waits until no keyed request is in flight and no request holds or waits for a slot.
func (d *Dispatcher) AwaitIdle(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for {
		load := d.admission.load()
		if d.InFlight() == 0 && load.Running == 0 && load.Queued == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// Close waits for running and queued requests, then refuses all others and waits until none is left.
func (d *Dispatcher) Close(ctx context.Context) error {
	if err := d.AwaitIdle(ctx); err != nil {
		return err
	}
	d.StopAdmitting()
	return d.AwaitIdle(ctx)
}

// StopAdmitting refuses all requests that are not running yet, until SetBackend is called.
func (d *Dispatcher) StopAdmitting() { d.admission.apply(admitter.Resize{}) }
