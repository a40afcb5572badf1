package attendant

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/delegator"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// recordsWait is how long a read of the records waits for a new one, at most. A lease runs from the start of a read, so
	// the wait is also at most a part of the lease.
	recordsWait      = 2500 * time.Millisecond
	recordsWaitParts = 5
	// configurationWait is how long a read of the configuration waits for a new one.
	configurationWait = 25 * time.Second
	// readMargin is how long a read may take beyond its wait.
	readMargin = 2 * time.Second
	// callTimeout bounds every other call to the store.
	callTimeout = 1500 * time.Millisecond
	// storePause is the wait after a failed call.
	storePause = 250 * time.Millisecond
	// gatherTime is the wait after a read that returned records, for each member of the system, so that records that come
	// together are read at once and the calls of all processes don't grow with the square of their number. Processes that
	// need a record sooner get it from others.
	gatherTime = 12 * time.Millisecond
	// maxGather keeps the reads frequent enough for the lease.
	maxGather = 2 * time.Second
	// gatherConfigurations is the wait after a read that returned a configuration.
	gatherConfigurations = 250 * time.Millisecond
)

// followRecords learns of the system's own records for as long as the process runs: by reads of the store, or from a process
// of its zone that reads the store.
func (a *Attendant) followRecords(ctx context.Context) {
	loaded := false
	for ctx.Err() == nil {
		var err error
		if !loaded {
			err = a.loadRecords(ctx)
			loaded = err == nil
		} else if r, delegated := a.source().(delegator.Reader); delegated {
			a.followReader(ctx, r.Name)
			continue
		} else {
			var count int
			count, err = a.readRecords(ctx)
			if errors.Is(err, platform.ErrExpired) {
				loaded, err = false, nil
			}
			if err == nil && count > 0 && !timer.Sleep(ctx, a.gather()) {
				return
			}
		}
		if err != nil {
			a.storeReach.lost(err)
			if !timer.Sleep(ctx, storePause) {
				return
			}
			continue
		}
		a.storeReach.regained()
	}
}

// gather returns the wait after a read that returned records.
func (a *Attendant) gather() time.Duration {
	gather := time.Duration(len(a.registrar.View().Members)) * gatherTime
	return min(gather, maxGather, leaseTerm(a.bounds.MaxHold)/recordsWaitParts)
}

func (a *Attendant) loadRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="newest"}`)
	entries, end, err := a.store.Newest(ctx, platform.RecordsTopic)
	if err != nil {
		return err
	}
	// Pages are read one after the other, so a record may be missing until the reads that follow show it: this load is no
	// proof that the table is the newest.
	a.mu.Lock()
	a.loaded = true
	a.mu.Unlock()
	a.apply(entries, end, 0)
	return nil
}

// readRecords reads the records that follow those that the process knows, and returns their number.
func (a *Attendant) readRecords(ctx context.Context) (int, error) {
	wait := a.readWait()
	from := a.registrar.View().End
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	began := timer.Now()
	a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
	b, err := a.store.Read(ctx, platform.RecordsTopic, from, wait)
	if err != nil {
		return 0, err
	}
	proof := time.Duration(0)
	if b.Next == b.End {
		proof = began
	}
	a.apply(b.Entries, b.Next, proof)
	return len(b.Entries), nil
}

type suspicionKey struct {
	service string
	assigner.Suspicion
}

// apply takes records. The proof is the start of a read that showed that there were no others, or zero.
func (a *Attendant) apply(entries []registrar.Entry, end uint64, proof time.Duration) {
	a.applying.Lock()
	defer a.applying.Unlock()
	if err := a.registrar.Apply(entries, end); err != nil {
		_ = a.logger.Log("event", "records_unreadable", "error", err)
	}
	v := a.registrar.View()
	now := timer.Now()
	if len(entries) > 0 {
		a.lastNew = now
	}
	a.proof = max(a.proof, proof)
	for service, t := range v.Tables {
		for _, s := range t.Suspects {
			key := suspicionKey{service, s}
			if _, known := a.suspected[key]; !known {
				a.suspected[key] = now
				_ = a.logger.Log("event", "suspicion_read", "service", service, "member", s.Member, "serial", s.Serial, "offset", v.End)
			}
		}
	}
	a.mu.Lock()
	if own, settled := v.MemberBeforeEnd(a.settings.Name); settled {
		a.published = own
		a.resume()
	}
	if proof != 0 {
		a.granter.Observe(v.Tables[a.settings.Service], proof)
	} else {
		a.granter.AdoptUnverified(v.Tables[a.settings.Service])
	}
	a.confirmGrants()
	a.mu.Unlock()
	if len(entries) > 0 {
		a.news.send()
	}
	signal(a.changed)
	signal(a.publish)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
