package router

import (
	"sync/atomic"

	"hibiscusline/applier"
	"hibiscusline/follower"
)

// memberCache caches the active members of each service. Log records are rare compared with requests, and listing the
// members takes time in proportion to the number of all members. The zero value is ready for use.
type memberCache struct {
	snapshot atomic.Pointer[memberSnapshot]
}

type memberSnapshot struct {
	applied  applier.Offset
	services map[string][]applier.Member
}

// active returns the active members of a service. The caller must not modify the slice.
func (c *memberCache) active(f *follower.Follower, service string) []applier.Member {
	if cached := c.snapshot.Load(); cached != nil && cached.applied == f.Applied() {
		return cached.services[service]
	}
	snapshot := &memberSnapshot{services: map[string][]applier.Member{}}
	f.View(func(s *applier.State) {
		snapshot.applied = s.Applied
		for _, m := range s.MembersOf("") {
			if m.Status == applier.Active {
				snapshot.services[m.Service] = append(snapshot.services[m.Service], *m)
			}
		}
	})
	c.snapshot.Store(snapshot)
	return snapshot.services[service]
}
