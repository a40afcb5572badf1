package sidecar

import (
	"context"
	"time"

	"hibiscusline/delegator"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

const (
	// storeReaders is the number of sidecars that read the store, in all zones together if there are fewer zones. Several
	// can fail or be refused by the store at once without delaying updates to the others.
	storeReaders = 4
	// sharedReadWait is how long a read waits for new records when other sidecars rely on this one. It is short because
	// their knowledge is older than this sidecar's.
	sharedReadWait = 1500 * time.Millisecond
	// readerWait is how long a reader holds a request while it has nothing new. A reader whose knowledge is outdated
	// delays its clients by at most this time.
	readerWait = 700 * time.Millisecond
	// Divisors of the lease term, which bound the waits and the age of a reader's knowledge when leases are short.
	sharedReadWaitDivisor = 8
	readerWaitDivisor     = 16
	readerAgeDivisor      = 3
	// readerSuspension is how long a reader whose knowledge is outdated isn't asked again.
	readerSuspension = 3 * time.Second
	// emptyPollInterval is the minimum time between two requests to readers if the first one brought nothing.
	emptyPollInterval = 100 * time.Millisecond
	// delegationCheckInterval is how often a sidecar that relies on readers checks whether it must read the
	// configuration itself.
	delegationCheckInterval = 500 * time.Millisecond
)

func newDelegator(self, zone string, leaseTerm time.Duration) *delegator.Delegator {
	return delegator.New(delegator.Config{
		Self: self, Zone: zone, Readers: storeReaders, MaxAge: leaseTerm / readerAgeDivisor, Suspension: readerSuspension,
	})
}

// nextSource returns where to read new records next. Only followRecords calls it.
func (a *Sidecar) nextSource() delegator.Source {
	members := a.delegatorMembers()
	s := a.delegator.Next(timer.Now(), members)
	_, delegated := s.(delegator.Reader)
	if a.delegated.Swap(delegated) != delegated {
		_ = a.logger.Log("event", "store_reads_delegated", "delegated", delegated, "members", len(members))
	}
	return s
}

// delegatorMembers returns the members of all zones.
func (a *Sidecar) delegatorMembers() []delegator.Member {
	var list []delegator.Member
	for _, m := range a.registrar.View().Members {
		usable := !m.Stopping && a.peers.DownFor(m.Peer) == 0
		list = append(list, delegator.Member{Name: m.Name, Zone: m.Zone, Usable: usable})
	}
	return list
}

// recordsHold returns how long the store may hold a read of the records while it has no new one.
func (a *Sidecar) recordsHold() waiter.Hold {
	term, hold := leaseTerm(a.bounds.MaxHold), a.promises.records.Hold()
	if len(a.registrar.View().Members) > storeReaders {
		return hold.AtMost(min(sharedReadWait, term/sharedReadWaitDivisor))
	}
	return hold.AtMost(term / recordsWaitDivisor)
}

// awaitStore waits after a failed read of the store until it is time for the next one. Meanwhile it asks the readers. It
// reports false if ctx ended.
func (a *Sidecar) awaitStore(ctx context.Context) bool {
	until := timer.Now() + min(a.storeHealth.retryDelay(), a.promises.records.Retry())
	for ctx.Err() == nil {
		left := until - timer.Now()
		if left <= pollAnswerTime {
			return timer.Sleep(ctx, left)
		}
		r, found := a.delegator.Fallback(timer.Now(), a.delegatorMembers())
		if !found {
			return timer.Sleep(ctx, left)
		}
		poll, cancel := context.WithTimeout(ctx, left)
		a.pollReader(poll, r.Name, min(a.relayHold(), left-pollAnswerTime))
		cancel()
	}
	return false
}

// pollAnswerTime is the time that a reader has, beyond its hold, to answer before the next read of the store.
const pollAnswerTime = 200 * time.Millisecond

// relayHold returns how long a reader may hold a request of this sidecar while it has nothing new.
func (a *Sidecar) relayHold() time.Duration {
	return min(readerWait, leaseTerm(a.bounds.MaxHold)/readerWaitDivisor, a.promises.configuration.RelayHold())
}

// pollReader requests new records from a sidecar that reads the store and may hold the request for a time.
func (a *Sidecar) pollReader(ctx context.Context, name string, hold time.Duration) {
	m, known := a.registrar.View().Members[name]
	if !known {
		return
	}
	start, end, version := timer.Now(), a.registrar.View().End, a.version()
	age, err := a.pullFrom(ctx, m.Peer, hold)
	switch {
	case err != nil && ctx.Err() != nil:
		// The request was given up early, so the reader may only be slow.
		a.peers.Check(m.Peer)
	case err != nil:
		a.delegator.ReportFailure(timer.Now(), name)
		a.peers.Check(m.Peer)
		_ = a.logger.Log("event", "reader_failed", "member", name, "error", err)
	case age < 0:
		a.delegator.ReportFailure(timer.Now(), name)
	default:
		a.delegator.ReportAge(timer.Now(), name, age)
	}
	if err == nil && a.registrar.View().End == end && a.version() == version {
		// A reader that has other records or another version, and none that this sidecar can use, answers at once.
		timer.Sleep(ctx, start+min(hold, emptyPollInterval)-timer.Now())
	}
}
