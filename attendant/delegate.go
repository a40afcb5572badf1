package attendant

import (
	"context"
	"time"

	"hibiscusline/delegator"
	"hibiscusline/timer"
)

const (
	// zoneReaders is the number of processes of a zone that read the store. Several can be lost or turned away by the store at
	// once without a gap in what the others learn.
	zoneReaders = 4
	// sharedWait is how long a read waits for new records while other processes learn from it, whose knowledge is older.
	sharedWait = 1500 * time.Millisecond
	// readerWait is how long a reader waits for news before it answers. A reader that knows nothing recent delays those that
	// ask it by this time at most.
	readerWait = 700 * time.Millisecond
	// Parts of the lease term that bound the waits and the age of a reader's knowledge when leases are short.
	sharedWaitParts = 8
	readerWaitParts = 16
	readerAgeParts  = 3
	// readerSuspension is how long a reader that knows nothing recent isn't asked.
	readerSuspension = 3 * time.Second
	// delegationCheck is how often a process that learns from others looks whether it must read the configuration itself.
	delegationCheck = 500 * time.Millisecond
)

func newDelegator(self string, leaseTerm time.Duration) *delegator.Delegator {
	return delegator.New(delegator.Config{
		Self: self, Readers: zoneReaders, MaxAge: leaseTerm / readerAgeParts, Suspension: readerSuspension,
	})
}

// source returns where the process learns of new records next. Only the loop that follows records calls it.
func (a *Attendant) source() delegator.Source {
	zone := a.zoneMembers()
	s := a.delegator.Next(timer.Now(), zone)
	_, delegates := s.(delegator.Reader)
	if a.delegates.Swap(delegates) != delegates {
		_ = a.logger.Log("event", "store_reads_delegated", "delegated", delegates, "members", len(zone))
	}
	return s
}

// zoneMembers returns the members of the process's own zone.
func (a *Attendant) zoneMembers() []delegator.Member {
	var zone []delegator.Member
	for _, m := range a.registrar.View().Members {
		if m.Zone == a.settings.Zone {
			zone = append(zone, delegator.Member{Name: m.Name, Usable: !m.Stopping && a.peers.DownFor(m.Peer) == 0})
		}
	}
	return zone
}

// readWait is how long a read of the records waits for a new one.
func (a *Attendant) readWait() time.Duration {
	term := leaseTerm(a.bounds.MaxHold)
	if len(a.zoneMembers()) > zoneReaders {
		return min(recordsWait, sharedWait, term/sharedWaitParts)
	}
	return min(recordsWait, term/recordsWaitParts)
}

// followReader learns from a process that reads the store.
func (a *Attendant) followReader(ctx context.Context, name string) {
	m, known := a.registrar.View().Members[name]
	if !known {
		return
	}
	wait := min(readerWait, leaseTerm(a.bounds.MaxHold)/readerWaitParts)
	age, err := a.learnFrom(ctx, m.Peer, wait)
	switch {
	case err != nil:
		a.delegator.ReportFailure(timer.Now(), name)
		a.peers.Check(m.Peer)
		_ = a.logger.Log("event", "reader_failed", "member", name, "error", err)
	case age < 0:
		a.delegator.ReportFailure(timer.Now(), name)
	default:
		a.delegator.ReportAge(timer.Now(), name, age)
	}
}
