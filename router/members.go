package router

import (
	"sync/atomic"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
)

// memberCache caches the active members of each service outside evacuated zones. Log records are rare compared with requests, and listing the
// members takes time in proportion to the number of all members. The zero value is ready for use.
type memberCache struct {
	snapshot atomic.Pointer[memberSnapshot]
}

type memberSnapshot struct {
	applied  applier.Offset
	services map[string][]applier.Member
	// emptied names the services whose active members all lie in evacuated zones.
	emptied map[string]bool
}

// active returns the active members of a service outside evacuated zones, or the reason why there are none. The caller
// must not modify the slice.
func (c *memberCache) active(f *follower.Follower, service string) ([]applier.Member, encoder.Reason) {
	snapshot := c.current(f)
	members := snapshot.services[service]
	switch {
	case len(members) > 0:
		return members, encoder.NoReason
	case snapshot.emptied[service]:
		return nil, encoder.Evacuated
	}
	return nil, encoder.NoOwner
}

// emptied reports whether a service has active members and all of them lie in evacuated zones.
func (c *memberCache) emptied(f *follower.Follower, service string) bool {
	return c.current(f).emptied[service]
}

func (c *memberCache) current(f *follower.Follower) *memberSnapshot {
	if cached := c.snapshot.Load(); cached != nil && cached.applied == f.Applied() {
		return cached
	}
	snapshot := &memberSnapshot{services: map[string][]applier.Member{}, emptied: map[string]bool{}}
	f.View(func(s *applier.State) {
		snapshot.applied = s.Applied
		for _, m := range s.MembersOf("") {
			if m.Status != applier.Active {
				continue
			}
			if _, evacuated := s.Evacuated(m.Zone); evacuated {
				snapshot.emptied[m.Service] = true
				continue
			}
			snapshot.services[m.Service] = append(snapshot.services[m.Service], *m)
		}
	})
	for service := range snapshot.services {
		delete(snapshot.emptied, service)
	}
	c.snapshot.Store(snapshot)
	return snapshot
}
