package delegator

import (
	"net/netip"
	"sync"
	"time"
)

// Announcement is a configuration that another process has.
type Announcement struct {
	Version uint64
	// Offset is where the store has it, or zero if that is unknown.
	Offset uint64
	// Source is the process that announced it last, and Other the latest other one, if there is one.
	Source, Other netip.AddrPort
	// Since is the time from which this process has lacked it, and got none in between.
	Since time.Duration
}

// LackedFor returns how long this process has lacked the configuration, or zero if there is none.
func (a Announcement) LackedFor(now time.Duration) time.Duration {
	if a.Version == 0 {
		return 0
	}
	return now - a.Since
}

// Announced tracks the newest configuration that other processes have. It is safe for concurrent use. The zero value
// knows of none.
type Announced struct {
	mu     sync.Mutex
	newest Announcement
}

// Observe records what another process has. The time Since of the announcement is that of the call.
func (a *Announced) Observe(n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n.Version < a.newest.Version {
		return
	}
	if n.Version == a.newest.Version {
		n.Offset = max(n.Offset, a.newest.Offset)
		n.Other = a.newest.Source
		if n.Source == a.newest.Source {
			n.Other = a.newest.Other
		}
	}
	if a.newest.Version != 0 {
		n.Since = a.newest.Since
	}
	a.newest = n
}

// Behind returns the newest configuration that others have, and reports whether a process that has a version lacks it.
func (a *Announced) Behind(version uint64) (Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest, a.newest.Version > version
}

// Applied records that this process has got a version at a time.
func (a *Announced) Applied(now time.Duration, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version >= a.newest.Version {
		a.newest = Announcement{}
		return
	}
	a.newest.Since = now
}

// Withdraw forgets an announcement that the store has refuted: it has nothing newer than an older version.
func (a *Announced) Withdraw(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newest.Version <= version {
		a.newest = Announcement{}
	}
}
